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

// announcedRecord returns a record of the log with an announcement, or with a leave.
func announcedRecord(offset uint64, at clock.Millis, name string, leave bool) lavendercourse.Record {
	b, err := member.Encode(member.Announcement{Name: name, Incarnation: fmt.Sprint(name, offset), Leave: leave})
	if err != nil {
		panic(err)
	}
	return lavendercourse.Record{Offset: offset, Time: at, Data: b}
}

// Guards against entries that disagree on the list because they read the log in different pages, read a page twice, or
// read a malformed record.
func TestListIsIndependentOfPaging(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wholeRead, pagedRead := member.NewList(), member.NewList()
		var page lavendercourse.Page
		at := 100 * clock.Second
		for offset := uint64(1); offset <= 30; offset++ {
			at += clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "ms"))
			r := announcedRecord(offset, at, fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "name")), rapid.IntRange(0, 5).Draw(t, "leave") == 5)
			if rapid.IntRange(0, 9).Draw(t, "malformed") == 9 {
				r.Data = []byte{0xff}
			}
			page.Records = append(page.Records, r)
			if rapid.Bool().Draw(t, "read") {
				pagedRead.Apply(page)
				pagedRead.Apply(page)
			}
		}
		wholeRead.Apply(page)
		pagedRead.Apply(page)
		if a, b := fmt.Sprint(wholeRead.Entries()), fmt.Sprint(pagedRead.Entries()); a != b {
			t.Fatalf("list after one page is %s, after several pages %s", a, b)
		}
	})
}

// Guards against entries that are removed while the log is unavailable, are never removed, or are listed again because
// a peer passes on an old announcement.
func TestListScenarios(t *testing.T) {
	const at = 100 * clock.Second
	for _, tc := range []struct {
		name    string
		records []lavendercourse.Record
		want    string
	}{
		{"announced", []lavendercourse.Record{announcedRecord(1, at, "a", false), announcedRecord(2, at, "b", false)}, "[a b]"},
		{"left", []lavendercourse.Record{announcedRecord(1, at, "a", false), announcedRecord(2, at, "a", true)}, "[]"},
		{"announced 30 s ago", []lavendercourse.Record{announcedRecord(1, at, "a", false), announcedRecord(2, at+member.AnnouncementTTL, "b", false)}, "[a b]"},
		{"expired", []lavendercourse.Record{announcedRecord(1, at, "a", false), announcedRecord(2, at+member.AnnouncementTTL+1, "b", false)}, "[b]"},
		{"no expiry without newer records", []lavendercourse.Record{announcedRecord(1, at, "a", false)}, "[a]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := member.NewList()
			l.AddFromPeer(member.Announcement{Name: "z", Incarnation: "z1"})
			assert.DeepEqual(t, l.Names(), []string{"z"})
			l.Apply(lavendercourse.Page{Records: tc.records})
			l.AddFromPeer(member.Announcement{Name: "z", Incarnation: "z2"})
			assert.Equal(t, fmt.Sprint(l.Names()), tc.want)
			owner, known := l.Owner("z2")
			assert.Assert(t, known && owner == "z")
		})
	}
}

// Guards against a list that is sent to every agent each time an entry repeats its announcement: with 48 entries that
// took several kilobytes per second on each link.
func TestRepeatedAnnouncementKeepsRevision(t *testing.T) {
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
	assert.Assert(t, l.Revision() != before, "a new incarnation changes the revision")
	before = l.Revision()
	apply(5, 31*clock.Second, a)
	assert.Assert(t, l.Revision() != before, "the expiry of b changes the revision")
	assert.DeepEqual(t, l.Names(), []string{"a"})
}
