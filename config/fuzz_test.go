package config_test

import (
	"bytes"
	"testing"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/config"
)

// FuzzDecode guards against records that crash a reader, change when they are encoded again, or put an invalid setting
// into effect.
func FuzzDecode(f *testing.F) {
	for _, rec := range []config.Record{
		{},
		{ID: "p", Key: "domain.a", Value: config.Drained, Force: true},
		{ID: "q", Key: "team.t.quota", Value: "5", Base: 3},
		{Snapshot: &config.Snapshot{
			Version: 1, Offset: 2, Settings: []config.Setting{{Key: "domain.a", Value: config.Serving, Version: 1}},
			Recent: []config.Publication{{ID: "p", Version: 1}},
		}},
	} {
		b, err := config.Encode(rec)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := config.New()
		s.Apply(lavendercourse.Page{First: 1, Next: 2, Records: []lavendercourse.Record{{Offset: 1, Data: data}}})
		for _, v := range s.Settings() {
			if err := config.CheckSetting(v.Key, v.Value); err != nil {
				t.Fatal(err)
			}
		}
		rec, err := config.Decode(data)
		if err != nil {
			if s.Malformed() != 1 {
				t.Fatalf("malformed record is not counted, decode error: %v", err)
			}
			return
		}
		encoded, err := config.Encode(rec)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := config.Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if reencoded, err := config.Encode(decoded); err != nil || !bytes.Equal(encoded, reencoded) {
			t.Fatalf("record %x is %x after decoding and encoding: %v", encoded, reencoded, err)
		}
	})
}
