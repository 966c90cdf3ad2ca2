package agent

import (
	"context"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/slot"
	"github.com/lavendercourse/lavendercourse/worker"
)

// listingBackend lists the given tasks, or fails to, and counts the requests. It answers polls and nothing else.
type listingBackend struct {
	lavendercourse.Backend
	tasks []lavendercourse.TaskKey
	err   error
	lists int
}

func (*listingBackend) Ping(context.Context) error { return nil }

func (b *listingBackend) List(context.Context) ([]lavendercourse.TaskKey, error) {
	b.lists++
	return slices.Clone(b.tasks), b.err
}

// Guards against slots that are granted while tasks of a predecessor run, or are held after these have ended; against
// stops of such tasks, which a draining predecessor may still answer for (the stand-in has no Stop and would panic); and
// against a list with each poll when it is not needed.
func TestSlotsOfPredecessorTasks(t *testing.T) {
	task := func(n uint32) lavendercourse.TaskKey {
		return lavendercourse.NewTaskKey(lavendercourse.NewJobID("own", 1, "tag"), n)
	}
	// answer is the answer of the backend server to a list, and the state after the poll.
	type answer struct {
		tasks []lavendercourse.TaskKey
		err   error
		up    bool
		held  int
	}
	for _, tc := range []struct {
		name     string
		answers  []answer
		lists    int
		unlisted int
	}{
		{"no task runs", []answer{{up: true}, {up: true}}, 1, 0},
		{"tasks end one by one", []answer{
			{tasks: []lavendercourse.TaskKey{task(1), task(2)}, up: true, held: 2},
			{tasks: []lavendercourse.TaskKey{task(2)}, up: true, held: 1},
			{up: true},
			{up: true},
		}, 3, 0},
		{"later tasks are the agent's own", []answer{
			{tasks: []lavendercourse.TaskKey{task(1)}, up: true, held: 1},
			{tasks: []lavendercourse.TaskKey{task(1), task(3)}, up: true, held: 1},
			{tasks: []lavendercourse.TaskKey{task(3)}, up: true},
		}, 3, 0},
		{"first list fails", []answer{
			{err: worker.ErrUnanswered},
			{tasks: []lavendercourse.TaskKey{task(1)}, up: true, held: 1},
		}, 2, 0},
		{"later list fails", []answer{
			{tasks: []lavendercourse.TaskKey{task(1)}, up: true, held: 1},
			{err: worker.ErrUnanswered, up: true, held: 1},
			{up: true},
		}, 3, 0},
		{"no list is offered", []answer{{err: lavendercourse.ErrNoList, up: true}, {up: true}}, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var log eventLog
			b := &listingBackend{}
			a := &Agent{
				cfg: Config{Backend: b, Clock: clock.NewManual(1), Logger: zerolog.New(&log)}, ctx: t.Context(),
				table: slot.New(slot.Config{Slots: 8, Connections: 62}), backend: newBackendStatus(),
				predecessorTasks: map[lavendercourse.TaskKey]bool{},
			}
			for i, answer := range tc.answers {
				b.tasks, b.err = answer.tasks, answer.err
				a.poll(true)
				assert.Equal(t, a.backend.up, answer.up, "poll %d", i)
				assert.Equal(t, a.table.Load("e").Running, answer.held, "poll %d", i)
			}
			assert.Equal(t, b.lists, tc.lists)
			assert.Equal(t, log.count(event.TasksNotListed, ""), tc.unlisted)
		})
	}
}
