package slot_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
)

func startOf(task uint32, call bool) message.Start {
	job := lavendercourse.NewJobID("owner", 1, "tag")
	return message.Start{Job: job.String(), Task: task, Attempt: 1, Call: call, Kind: "sleep", Stamp: 1, Agent: "agent"}
}

func begin(t *testing.T, table *slot.Table, task uint32, call bool) []slot.Action {
	t.Helper()
	actions, err := table.Start(1, "entry-1", startOf(task, call))
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
	key := lavendercourse.NewTaskKey(lavendercourse.NewJobID("owner", 1, "tag"), 0)
	assert.Equal(t, runs(table.Ended(2, key, message.StatusDone, nil, "")), 1)
	assert.Equal(t, table.Usage(), slot.Usage{Running: 1, Calls: 2})
}
