package agent

import (
	"context"

	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/event"
)

// needsList reports whether the next poll has to ask for the running tasks: before the first start, and until no task of
// a predecessor is left. Only the goroutine that polls may call it.
func (a *Agent) needsList() bool { return !a.backend.everAnswered || len(a.predecessorTasks) > 0 }

// listTasks returns the tasks that the backend server runs. If it offers no list, all slots are granted as if it ran
// none, which is logged: no other proof can come.
func (a *Agent) listTasks(ctx context.Context) ([]lavendercourse.TaskKey, error) {
	listed, err := a.cfg.Backend.List(ctx)
	if eris.Is(err, lavendercourse.ErrNoList) {
		event.TasksNotListed.On(a.cfg.Logger).Err(err).Send()
		return nil, nil
	}
	return listed, err
}

// updatePredecessorTasks holds a slot for each task of a predecessor, which the first list shows, and releases it once a
// list shows that the task has ended. Such a task is not stopped: the predecessor may be draining.
func (a *Agent) updatePredecessorTasks(listed []lavendercourse.TaskKey) {
	if !a.backend.everAnswered {
		for _, key := range listed {
			a.predecessorTasks[key] = true
			a.table.HoldSlot()
		}
		if len(listed) > 0 {
			event.PredecessorTasks.On(a.cfg.Logger).Int("tasks", len(listed)).Send()
		}
		return
	}
	running := map[lavendercourse.TaskKey]bool{}
	for _, key := range listed {
		running[key] = true
	}
	for key := range a.predecessorTasks {
		if !running[key] {
			delete(a.predecessorTasks, key)
			a.perform(a.table.ReleaseSlot(a.cfg.Clock.Now()))
		}
	}
}
