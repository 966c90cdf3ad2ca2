package agent

import (
	"context"
	"time"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
)

const (
	// pollPeriod is both the time between polls of the backend server and the timeout of a poll.
	pollPeriod = clock.Second
	// maxFailedPolls is the number of consecutive polls without an answer after which the backend server counts as
	// down. After a single slow answer the entries must not move all work to other workers.
	maxFailedPolls = 3
)

// backendStatus is the status of the backend server as seen by the agent.
type backendStatus struct {
	// everAnswered tells whether the backend server has ever answered. Until then the agent dials no entries.
	everAnswered bool
	// up tells whether the backend server counts as up. The entries are notified of each change.
	up bool
	// refusing tells whether the table refuses work until the backend server answers a poll.
	refusing    bool
	failedPolls int
	// pollNow requests a poll ahead of the schedule.
	pollNow chan struct{}
}

// newBackendStatus returns the status before the first answer of the backend server.
func newBackendStatus() backendStatus {
	return backendStatus{refusing: true, pollNow: make(chan struct{}, 1)}
}

// pollBackend polls the backend server until the context ends.
func (a *Agent) pollBackend(ctx context.Context) error {
	t := time.NewTicker(pollPeriod.Duration())
	defer t.Stop()
	for scheduled := true; ; {
		a.poll(scheduled)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			scheduled = true
		case <-a.backend.pollNow:
			scheduled = false
		}
	}
}

// poll checks whether the backend server answers. Only scheduled polls count when they get no answer, since several
// unscheduled ones may follow each other without delay.
func (a *Agent) poll(scheduled bool) {
	ctx, cancel := context.WithTimeout(a.ctx, pollPeriod.Duration())
	defer cancel()
	err := a.cfg.Backend.Ping(ctx)
	var listed []lavendercourse.TaskKey
	if err == nil && a.needsList() {
		listed, err = a.listTasks(ctx)
	}
	if a.ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if scheduled {
			a.pollFailed(err)
		}
		return
	}
	a.updatePredecessorTasks(listed)
	a.pollSucceeded()
}

// pollFailed handles a poll without an answer. After maxFailedPolls in a row it sends a leave to all entries.
func (a *Agent) pollFailed(err error) {
	a.backend.failedPolls++
	if a.backend.failedPolls != maxFailedPolls {
		return
	}
	event.WorkerDown.On(a.cfg.Logger).Err(err).Send()
	a.refuseWork()
	if !a.backend.up {
		return
	}
	a.backend.up = false
	for _, s := range a.links {
		// Send closes the link if its queue is full.
		_ = s.link.Send(message.TypeLeave, 0, message.Leave{})
	}
}

// pollSucceeded handles the answer to a poll. After an outage it sends a new hello to all entries, since they were sent
// a leave.
func (a *Agent) pollSucceeded() {
	a.backend.failedPolls, a.backend.everAnswered = 0, true
	wasDown := !a.backend.up
	if wasDown {
		a.backend.up = true
		event.WorkerUp.On(a.cfg.Logger).Send()
	}
	if !a.backend.refusing {
		return
	}
	a.backend.refusing = false
	now := a.cfg.Clock.Now()
	a.perform(a.table.SetBackendUp(now, true))
	for name, s := range a.links {
		if wasDown && !a.leaving {
			_ = s.link.Send(message.TypeHello, 0, a.hello())
		}
		a.sendHeartbeat(now, name, s)
	}
}

// refuseWork refuses pending tasks and new starts until the backend server answers a poll.
func (a *Agent) refuseWork() {
	if a.backend.refusing {
		return
	}
	a.backend.refusing = true
	a.perform(a.table.SetBackendUp(a.cfg.Clock.Now(), false))
}

// handleNoAnswer handles a task or call that the backend server did not answer. It refuses work and requests a poll, so
// that pending tasks are not sent to a server that may be down.
func (a *Agent) handleNoAnswer() {
	a.refuseWork()
	select {
	case a.backend.pollNow <- struct{}{}:
	default:
	}
}

// announceOutage sends a leave on a new link if the backend server is down. The link is kept nevertheless, since the
// entry may have unfinished work here.
func (a *Agent) announceOutage(l *link.Link) {
	if !a.backend.up {
		_ = l.Send(message.TypeLeave, 0, message.Leave{})
	}
}
