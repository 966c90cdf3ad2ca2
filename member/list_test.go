package member_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/member"
)

func page(t *testing.T, offset uint64, at clock.Millis, a member.Announcement) lavendercourse.Page {
	t.Helper()
	b, err := member.Encode(a)
	assert.NilError(t, err)
	return lavendercourse.Page{First: 1, Next: offset + 1, Records: []lavendercourse.Record{{Offset: offset, Time: at, Data: b}}}
}

// Guards against sending the list to every agent each time an entry repeats its announcement: with 48 entries that
// was several kilobytes a second on each link.
func TestRepeatedAnnouncementsAreNoChange(t *testing.T) {
	l := member.NewList()
	a, b := member.Announcement{Name: "a", Incarnation: "a1"}, member.Announcement{Name: "b", Incarnation: "b1"}
	l.Apply(page(t, 1, 0, a))
	l.Apply(page(t, 2, 0, b))
	before := l.Revision()
	l.Apply(page(t, 3, 10*clock.Second, a))
	assert.Equal(t, l.Revision(), before)
	a.Incarnation = "a2"
	l.Apply(page(t, 4, 20*clock.Second, a))
	assert.Assert(t, l.Revision() != before, "a new incarnation is a change")
	before = l.Revision()
	l.Apply(page(t, 5, 31*clock.Second, a))
	assert.Assert(t, l.Revision() != before, "b has expired")
	assert.DeepEqual(t, l.Names(), []string{"a"})
}
