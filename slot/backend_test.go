package slot_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
)

var firstKey = lavendercourse.NewTaskKey(lavendercourse.NewJobID("owner", 1, "tag"), 0)

func startTask(t *testing.T, table *slot.Table, task uint32, call bool) []slot.Action {
	t.Helper()
	actions, err := table.Start(1, "entry-1", message.Start{
		Job: firstKey.Job().String(), Task: task, Attempt: 1, Call: call, Kind: "sleep", Stamp: 1, Agent: "agent", Wait: true,
	})
	assert.NilError(t, err)
	return actions
}

func countRuns(actions []slot.Action) int {
	count := 0
	for _, a := range actions {
		if _, ok := a.(slot.Run); ok {
			count++
		}
	}
	return count
}

// Guards against more concurrent work on a backend server than it has connections. Calls and tasks share the
// connections, so a task must wait while calls use all of them.
func TestTasksWaitForConnections(t *testing.T) {
	table := slot.New(slot.Config{Incarnation: "agent", Slots: 2, Connections: 3})
	for call := range uint32(3) {
		assert.Equal(t, countRuns(startTask(t, table, call, true)), 1)
	}
	assert.Equal(t, len(startTask(t, table, 10, false)), 0)
	assert.Equal(t, table.Usage(), slot.Usage{Pending: 1, Calls: 3})
	assert.Equal(t, countRuns(table.TaskEnded(2, firstKey, message.StatusDone, nil, "")), 1)
	assert.Equal(t, table.Usage(), slot.Usage{Running: 1, Calls: 2})
}

// Guards against starting tasks on a backend server that does not answer, and against reporting a task that was running
// there as not run.
func TestSetBackendUp(t *testing.T) {
	table := slot.New(slot.Config{Incarnation: "agent", Slots: 1, Connections: 9})
	assert.Equal(t, countRuns(startTask(t, table, 0, false)), 1)
	assert.Equal(t, len(startTask(t, table, 1, false)), 0)

	// The pending task is refused. The running task gets no reply yet.
	actions := table.SetBackendUp(2, false)
	assert.Equal(t, len(actions), 1)
	pending := actions[0].(slot.Reply).Done
	assert.Equal(t, pending.Task, uint32(1))
	assert.Equal(t, pending.Status, message.StatusRefused)
	assert.Equal(t, pending.Load.Window, 0)

	// The end of the running task starts no other task, and new tasks and calls are refused.
	actions = table.TaskEnded(3, firstKey, message.StatusFailed, nil, "no answer")
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].(slot.Reply).Done.Status, message.StatusFailed)
	for _, call := range []bool{false, true} {
		actions = startTask(t, table, 2, call)
		assert.Equal(t, actions[0].(slot.Reply).Done.Status, message.StatusRefused)
	}

	assert.Equal(t, len(table.SetBackendUp(4, true)), 0)
	assert.Assert(t, table.Load("entry-1").Window > 0)
	assert.Equal(t, countRuns(startTask(t, table, 3, false)), 1)
}

// Guards against a held slot that is granted to an entry, and against a released one that no pending task gets.
func TestHeldSlotIsNotGranted(t *testing.T) {
	table := slot.New(slot.Config{Incarnation: "agent", Slots: 1, Connections: 9})
	assert.Equal(t, countRuns(startTask(t, table, 0, false)), 1)
	assert.Equal(t, len(startTask(t, table, 1, false)), 0)
	table.HoldSlot()
	assert.Equal(t, countRuns(table.TaskEnded(2, firstKey, message.StatusFailed, nil, "no answer")), 0)
	assert.Equal(t, table.Load("entry-1").Running, 1)
	assert.Equal(t, countRuns(table.ReleaseSlot(3)), 1)
	assert.Equal(t, table.Usage(), slot.Usage{Running: 1})
}
