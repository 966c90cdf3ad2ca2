package slot_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
)

// Guards against a window that lets an entry send a start which is refused for lack of room: the entry would send it
// again with every refusal. Two entries fill the slots and the pending places; the windows that the agent tells then
// must not allow another start, although the share of a third entry does.
func TestWindowNeverExceedsRoom(t *testing.T) {
	table := slot.New(slot.Config{Incarnation: "agent", Slots: 4})
	start := func(entry string, n int) []slot.Action {
		id := lavendercourse.NewJobID(lavendercourse.Incarnation(entry), uint64(n), "tag")
		actions, err := table.Start(1000, entry, message.Start{Job: id.String(), Attempt: 1, Agent: "agent", Stamp: 1000, Backlog: 50})
		assert.NilError(t, err)
		return actions
	}
	for n := range 4 {
		start("a", n)
		start("b", n)
	}
	assert.Equal(t, table.Load("a").Pending, 4)
	table.Renew(1000, "c", message.Renew{Backlog: 100})
	assert.Equal(t, table.Load("c").Window, 0)
	refused, ok := start("c", 0)[0].(slot.Reply)
	assert.Assert(t, ok)
	assert.Equal(t, refused.Done.Status, message.StatusRefused)
	assert.Equal(t, refused.Done.Load.Window, 0)
	ended := lavendercourse.NewTaskKey(lavendercourse.NewJobID("a", 0, "tag"), 0)
	table.Ended(1000, ended, message.StatusDone, nil, "")
	assert.Equal(t, table.Load("c").Window, 1)
}
