package agent

import (
	"context"
	"time"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
)

const (
	pollPeriod = clock.Second
	// missLimit is the number of polls without an answer in a row after which the backend server counts as down. A
	// single slow answer must not move all work away.
	missLimit = 3
)

// watch is what the agent knows of its backend server.
type watch struct {
	// seen tells whether the backend server has ever answered. Before that the agent sends no hello.
	seen bool
	// up tells whether the backend server answers, as far as the entries were told.
	up bool
	// held tells whether the table refuses work until the next answer.
	held   bool
	misses int
	// soon asks for a poll before the next one is due.
	soon chan struct{}
}

// newWatch returns the state before the first answer of the backend server.
func newWatch() watch {
	return watch{held: true, soon: make(chan struct{}, 1)}
}

// watchWorker polls the backend server until the context ends.
func (a *Agent) watchWorker(ctx context.Context) error {
	t := time.NewTicker(pollPeriod.Duration())
	defer t.Stop()
	for due := true; ; {
		a.poll(due)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			due = true
		case <-a.watch.soon:
			due = false
		}
	}
}

// poll asks the backend server for a sign of life. A poll that was not due does not count when it gets no answer, since
// several may follow each other at once.
func (a *Agent) poll(due bool) {
	ctx, cancel := context.WithTimeout(a.ctx, pollPeriod.Duration())
	defer cancel()
	err := a.cfg.Backend.Ping(ctx)
	if a.ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if due {
			a.missed(err)
		}
		return
	}
	a.answered()
}

// missed handles a poll without an answer. After missLimit of them the entries are told that the agent leaves.
func (a *Agent) missed(err error) {
	a.watch.misses++
	if a.watch.misses != missLimit {
		return
	}
	event.WorkerDown.On(a.cfg.Logger).Err(err).Send()
	a.hold()
	if !a.watch.up {
		return
	}
	a.watch.up = false
	for _, s := range a.links {
		// A link that cannot take the frame closes itself.
		_ = s.link.Send(message.TypeLeave, 0, message.Leave{})
	}
}

// answered handles the answer to a poll. Entries that were told of the outage get a new hello.
func (a *Agent) answered() {
	a.watch.misses, a.watch.seen = 0, true
	rejoin := !a.watch.up
	if rejoin {
		a.watch.up = true
		event.WorkerUp.On(a.cfg.Logger).Send()
	}
	if !a.watch.held {
		return
	}
	a.watch.held = false
	now := a.cfg.Clock.Now()
	a.perform(a.table.SetReady(now, true))
	for name, s := range a.links {
		if rejoin && !a.leaving {
			_ = s.link.Send(message.TypeHello, 0, a.hello())
		}
		a.beatOn(now, name, s)
	}
}

// hold refuses everything that has not started until the backend server answers a poll.
func (a *Agent) hold() {
	if a.watch.held {
		return
	}
	a.watch.held = true
	a.perform(a.table.SetReady(a.cfg.Clock.Now(), false))
}

// suspect is called when work got no answer. Pending tasks must not follow it to a backend server that may be gone.
func (a *Agent) suspect() {
	a.hold()
	select {
	case a.watch.soon <- struct{}{}:
	default:
	}
}

// greet tells a new link of an outage. The entry may have work here from before, so that the link is needed even then.
func (a *Agent) greet(l *link.Link) {
	if !a.watch.up {
		_ = l.Send(message.TypeLeave, 0, message.Leave{})
	}
}
