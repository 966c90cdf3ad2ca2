package slot_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
)

// Guards against tasks that are sent to a backend server that is gone, and against a claim of "not run" for one that
// was running there.
func TestSetReady(t *testing.T) {
	table := slot.New(slot.Config{Incarnation: "agent", Slots: 1, Connections: 9})
	assert.Equal(t, runs(begin(t, table, 0, false)), 1)
	assert.Equal(t, len(begin(t, table, 1, false)), 0)

	// The pending task is refused; the running one is not answered yet.
	actions := table.SetReady(2, false)
	assert.Equal(t, len(actions), 1)
	pending := actions[0].(slot.Reply).Done
	assert.Equal(t, pending.Task, uint32(1))
	assert.Equal(t, pending.Status, message.StatusRefused)
	assert.Equal(t, pending.Load.Window, 0)

	// The end of the running task starts nothing, and new work is refused.
	key := lavendercourse.NewTaskKey(lavendercourse.NewJobID("owner", 1, "tag"), 0)
	actions = table.Ended(3, key, message.StatusFailed, nil, "no answer")
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].(slot.Reply).Done.Status, message.StatusFailed)
	for _, call := range []bool{false, true} {
		actions = begin(t, table, 2, call)
		assert.Equal(t, actions[0].(slot.Reply).Done.Status, message.StatusRefused)
	}

	assert.Equal(t, len(table.SetReady(4, true)), 0)
	assert.Assert(t, table.Load("entry-1").Window > 0)
	assert.Equal(t, runs(begin(t, table, 3, false)), 1)
}
