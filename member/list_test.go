package member_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/member"
)

// announced returns a record of the log.
func announced(offset uint64, at clock.Millis, name string, leave bool) lavendercourse.Record {
	b, err := member.Encode(member.Announcement{Name: name, Incarnation: fmt.Sprint(name, offset), Leave: leave})
	if err != nil {
		panic(err)
	}
	return lavendercourse.Record{Offset: offset, Time: at, Data: b}
}

// Guards against entries that disagree on the list because they read the log in other pages, read a page twice, or
// stumble over a malformed record.
func TestListDependsOnTheOffsetOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, pages := member.NewList(), member.NewList()
		var page lavendercourse.Page
		at := 100 * clock.Second
		for offset := uint64(1); offset <= 30; offset++ {
			at += clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "ms"))
			r := announced(offset, at, fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "name")), rapid.IntRange(0, 5).Draw(t, "leave") == 5)
			if rapid.IntRange(0, 9).Draw(t, "malformed") == 9 {
				r.Data = []byte{0xff}
			}
			page.Records = append(page.Records, r)
			if rapid.Bool().Draw(t, "read") {
				pages.Apply(page)
				pages.Apply(page)
			}
		}
		whole.Apply(page)
		pages.Apply(page)
		if a, b := fmt.Sprint(whole.Entries()), fmt.Sprint(pages.Entries()); a != b {
			t.Fatalf("%s differs from %s", a, b)
		}
	})
}

// Guards against entries that leave the list while the log is down, stay for ever, or come back by hearsay.
func TestListScenarios(t *testing.T) {
	const at = 100 * clock.Second
	for _, tc := range []struct {
		name    string
		records []lavendercourse.Record
		want    string
	}{
		{"announced", []lavendercourse.Record{announced(1, at, "a", false), announced(2, at, "b", false)}, "[a b]"},
		{"left", []lavendercourse.Record{announced(1, at, "a", false), announced(2, at, "a", true)}, "[]"},
		{"not younger than 30 s", []lavendercourse.Record{announced(1, at, "a", false), announced(2, at+member.Expiry, "b", false)}, "[a b]"},
		{"expired", []lavendercourse.Record{announced(1, at, "a", false), announced(2, at+member.Expiry+1, "b", false)}, "[b]"},
		{"only the log lets time pass", []lavendercourse.Record{announced(1, at, "a", false)}, "[a]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := member.NewList()
			l.Learn(member.Announcement{Name: "z", Incarnation: "z1"})
			assert.DeepEqual(t, l.Names(), []string{"z"})
			l.Apply(lavendercourse.Page{Records: tc.records})
			l.Learn(member.Announcement{Name: "z", Incarnation: "z2"})
			assert.Equal(t, fmt.Sprint(l.Names()), tc.want)
			owner, known := l.Owner("z2")
			assert.Assert(t, known && owner == "z")
		})
	}
}

// Guards against sending the list to every agent each time an entry repeats its announcement: with 48 entries that
// was several kilobytes a second on each link.
func TestRepeatedAnnouncementsAreNoChange(t *testing.T) {
	l := member.NewList()
	apply := func(offset uint64, at clock.Millis, a member.Announcement) {
		b, err := member.Encode(a)
		assert.NilError(t, err)
		l.Apply(lavendercourse.Page{First: 1, Next: offset + 1, Records: []lavendercourse.Record{{Offset: offset, Time: at, Data: b}}})
	}
	a, b := member.Announcement{Name: "a", Incarnation: "a1"}, member.Announcement{Name: "b", Incarnation: "b1"}
	apply(1, 0, a)
	apply(2, 0, b)
	before := l.Revision()
	apply(3, 10*clock.Second, a)
	assert.Equal(t, l.Revision(), before)
	a.Incarnation = "a2"
	apply(4, 20*clock.Second, a)
	assert.Assert(t, l.Revision() != before, "a new incarnation is a change")
	before = l.Revision()
	apply(5, 31*clock.Second, a)
	assert.Assert(t, l.Revision() != before, "b has expired")
	assert.DeepEqual(t, l.Names(), []string{"a"})
}
