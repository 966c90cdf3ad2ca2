package slot_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
)

var first = lavendercourse.NewTaskKey(lavendercourse.NewJobID("owner", 1, "tag"), 0)

func begin(t *testing.T, table *slot.Table, task uint32, call bool) []slot.Action {
	t.Helper()
	actions, err := table.Start(1, "entry-1", message.Start{
		Job: first.Job().String(), Task: task, Attempt: 1, Call: call, Kind: "sleep", Stamp: 1, Agent: "agent", Wait: true,
	})
	assert.NilError(t, err)
	return actions
}

func runs(actions []slot.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(slot.Run); ok {
			n++
		}
	}
	return n
}

// Guards against more work at a backend server than it has connections: calls must not be joined by tasks beyond them.
func TestTasksWaitForConnections(t *testing.T) {
	table := slot.New(slot.Config{Incarnation: "agent", Slots: 2, Connections: 3})
	for call := range uint32(3) {
		assert.Equal(t, runs(begin(t, table, call, true)), 1)
	}
	assert.Equal(t, len(begin(t, table, 10, false)), 0)
	assert.Equal(t, table.Usage(), slot.Usage{Pending: 1, Calls: 3})
	assert.Equal(t, runs(table.Ended(2, first, message.StatusDone, nil, "")), 1)
	assert.Equal(t, table.Usage(), slot.Usage{Running: 1, Calls: 2})
}

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
	actions = table.Ended(3, first, message.StatusFailed, nil, "no answer")
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
