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
	for _, tc := range []struct {
		name             string
		minStep, maxStep int
	}{
		{"regular records", 0, 20_000},
		{"outages and steps of the clock", -60_000, 60_000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkPaging(t, tc.minStep, tc.maxStep) })
		})
	}
}

// checkPaging compares the lists of two readers of the same records, which are minStep to maxStep ms apart.
func checkPaging(t *rapid.T, minStep, maxStep int) {
	wholeRead, pagedRead := member.NewList(), member.NewList()
	var page lavendercourse.Page
	at := 10_000 * clock.Second
	for offset := uint64(1); offset <= 30; offset++ {
		at += clock.Millis(rapid.IntRange(minStep, maxStep).Draw(t, "ms"))
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

// Guards against an entry that is alone on the list, and so is its own majority, because an outage of the log or a step of
// its time of day was taken for the silence of all others; and against silent entries that stay listed after either.
func TestListAfterGapOfLog(t *testing.T) {
	const at = 1000 * clock.Second
	// announced is a record at a time in ms after the first ones.
	type announced struct {
		after clock.Millis
		name  string
	}
	for _, tc := range []struct {
		name    string
		first   string
		records []announced
		want    string
	}{
		{"outage", "abc", []announced{{60_000, "a"}}, "[a b c]"},
		{"outage with two entries", "ab", []announced{{60_000, "a"}}, "[a b]"},
		{"outage of a day", "abc", []announced{{86_400_000, "b"}}, "[a b c]"},
		{"outage before a new entry joins", "ab", []announced{{60_000, "c"}}, "[a b c]"},
		{"two outages", "abc", []announced{{60_000, "a"}, {120_000, "a"}}, "[a b c]"},
		{"silent for 30 s without the outage", "abc", []announced{{60_000, "a"}, {70_000, "a"}, {80_000, "a"}, {90_000, "a"}}, "[a b c]"},
		{"silent for longer without the outage", "abc", []announced{{60_000, "a"}, {70_000, "a"}, {80_000, "a"}, {90_001, "a"}}, "[a]"},
		{"silent before the outage", "abc", []announced{{15_000, "a"}, {15_000, "b"}, {75_000, "a"}, {90_001, "a"}}, "[a b]"},
		{"two periods without a record are silence", "ab", []announced{{20_000, "a"}, {30_001, "a"}}, "[a]"},
		{"more than two periods are an outage", "ab", []announced{{20_001, "a"}, {30_001, "a"}}, "[a b]"},
		{"regular records", "ab", []announced{{10_000, "a"}, {20_000, "a"}, {30_001, "a"}}, "[a]"},
		{"clock set back", "abc", []announced{{-60_000, "a"}}, "[a b c]"},
		{"clock set back, all announce themselves", "abc", []announced{{-60_000, "a"}, {-59_999, "b"}, {-59_998, "c"}}, "[a b c]"},
		{"silent after the clock was set back", "abc", []announced{{-60_000, "a"}, {-50_000, "a"}, {-40_000, "a"}, {-29_999, "a"}}, "[a]"},
		{"records slightly out of order", "ab", []announced{{5_000, "a"}, {4_000, "b"}, {15_000, "a"}, {25_000, "a"}, {35_000, "a"}}, "[a b]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var page lavendercourse.Page
			add := func(at clock.Millis, name string) {
				page.Records = append(page.Records, announcedRecord(uint64(len(page.Records)+1), at, name, false))
			}
			for _, name := range tc.first {
				add(at, string(name))
			}
			for _, r := range tc.records {
				add(at+r.after, r.name)
			}
			l := member.NewList()
			l.Apply(page)
			assert.Equal(t, fmt.Sprint(l.Names()), tc.want)
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
