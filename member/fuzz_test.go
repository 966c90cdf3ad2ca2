package member_test

import (
	"testing"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/member"
)

// FuzzDecode guards against announcements that crash a reader, lose a field, or list an entry without a name.
func FuzzDecode(f *testing.F) {
	for _, a := range []member.Announcement{
		{},
		{Name: "e", Address: "127.0.0.1:1", Incarnation: "i", Region: "r", Domain: "d"},
		{Name: "e", Incarnation: "i", Leave: true},
	} {
		b, err := member.Encode(a)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := member.NewList()
		l.Apply(lavendercourse.Page{First: 1, Next: 2, Records: []lavendercourse.Record{{Offset: 1, Data: data}}})
		a, err := member.Decode(data)
		if listed := len(l.Names()); listed != 0 && (err != nil || a.Leave || l.Names()[0] != a.Name) {
			t.Fatalf("%d entries are listed after announcement %+v, decoded with error %v", listed, a, err)
		}
		if err != nil {
			return
		}
		b, err := member.Encode(a)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := member.Decode(b); err != nil || decoded != a {
			t.Fatalf("announcement %+v is %+v after encoding and decoding: %v", a, decoded, err)
		}
	})
}
