package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/message"
)

// errInterrupted is the error of an append that ended in a panic.
var errInterrupted = eris.New("the append was interrupted")

// pendingCancel is a cancel whose callers wait until it is recorded in the store. done is closed when stored is set.
type pendingCancel struct {
	done   chan struct{}
	stored bool
}

// shareCancel tells all other gateways of a cancelled job, and has it recorded in the store. g.mu must be held.
func (g *Gateway) shareCancel(c message.CancelledJob) {
	for _, p := range g.peers {
		// The error is ignored: the gateway is sent the cancels that are kept on its next link.
		_ = p.link.Send(message.TypeCancel, 0, message.Cancel{Jobs: []message.CancelledJob{c}})
	}
	if !g.cancelLog.Add(g.cfg.Clock.Now(), c) {
		return
	}
	if g.pendingCancels[c.Key] == nil {
		g.pendingCancels[c.Key] = &pendingCancel{done: make(chan struct{})}
	}
	select {
	case g.cancelAdded <- struct{}{}:
	default:
	}
}

// recordCancels appends the cancels of jobs to the store and answers their callers.
func (g *Gateway) recordCancels(ctx context.Context) error {
	outageLog := daemon.NewOutageLog(g.log, g.cfg.CancelStream)
	failed := false
	for ctx.Err() == nil {
		g.mu.Lock()
		batch, wait := g.cancelLog.Next(g.cfg.Clock.Now())
		g.mu.Unlock()
		if len(batch) == 0 {
			var due <-chan time.Time
			if wait > 0 {
				due = time.After(wait.Duration())
			}
			select {
			case <-due:
			case <-g.cancelAdded:
			case <-ctx.Done():
			}
			continue
		}
		err := g.appendCancels(ctx, batch, failed)
		failed = outageLog.RecordResult(ctx, err)
	}
	return ctx.Err()
}

// appendCancels appends cancels to the store as one record and answers their callers. If the append fails and the last one had not, only
// the connection may be silent, and it is repeated on another one before callers are told to come again.
func (g *Gateway) appendCancels(ctx context.Context, batch []message.CancelledJob, failedBefore bool) (err error) {
	// The error stays if the append panics. The supervisor starts the service again, which waits for the append to be settled.
	err = errInterrupted
	defer func() { g.settleCancels(batch, err) }()
	value, encodeErr := message.Encode(message.TypeCancel, 0, message.Cancel{Jobs: batch})
	if encodeErr != nil {
		return encodeErr
	}
	putErr := g.cfg.Store.Put(ctx, g.cfg.CancelStream, g.cfg.Name, value)
	if putErr != nil && !failedBefore && ctx.Err() == nil {
		putErr = g.cfg.Store.Put(ctx, g.cfg.CancelStream, g.cfg.Name, value)
	}
	return putErr
}

// settleCancels answers the callers of cancels of which an append has ended with the given error. After an error it answers the callers
// of all cancels that wait, since the append of some of them may be many failed ones away.
func (g *Gateway) settleCancels(batch []message.CancelledJob, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelLog.Settle(g.cfg.Clock.Now(), err == nil)
	if err != nil {
		g.log.On(event.CancelsNotRecorded).Int("jobs", len(batch)).Err(err).Send()
	} else {
		g.log.On(event.CancelsRecorded).Int("jobs", len(batch)).Send()
	}
	if err != nil {
		for key := range g.pendingCancels {
			g.answerCancel(key, false)
		}
		return
	}
	for _, c := range batch {
		g.answerCancel(c.Key, true)
	}
}

// answerCancel answers the callers that wait until a cancel is recorded, if there are any. g.mu must be held.
func (g *Gateway) answerCancel(key string, stored bool) {
	if p := g.pendingCancels[key]; p != nil {
		p.stored = stored
		close(p.done)
		delete(g.pendingCancels, key)
	}
}

// awaitCancels waits until the cancels in the store have been read, or until maxCancelLoad has passed since the gateway started.
func (g *Gateway) awaitCancels(ctx context.Context) {
	select {
	case <-g.cancelsAwaited:
	case <-ctx.Done():
	}
}

// cancelsWereAwaited tells whether awaitCancels would return at once.
func (g *Gateway) cancelsWereAwaited() bool {
	select {
	case <-g.cancelsAwaited:
		return true
	default:
		return false
	}
}

// giveUpCancels ends the wait for the cancels in the store if they have not been read.
func (g *Gateway) giveUpCancels() {
	g.cancelsOnce.Do(func() {
		if g.ctx.Err() == nil {
			g.log.On(event.CancelsNotRead).Send()
		}
		close(g.cancelsAwaited)
	})
}

// followCancels reads the cancels in the store: first those that were recorded before this gateway started, then new ones. A gateway
// that is asked to cancel a job may have no link with the one that has it.
func (g *Gateway) followCancels(ctx context.Context) error {
	outageLog := daemon.NewOutageLog(g.log, g.cfg.CancelStream)
	var loading []message.CancelledJob
	loaded, failures, next := false, 0, uint64(0)
	for ctx.Err() == nil {
		wait := clock.Millis(0)
		if loaded {
			wait = longPollTimeout
		}
		began := g.cfg.Clock.Now()
		c, err := g.cfg.Store.Changes(ctx, g.cfg.CancelStream, next, wait)
		if err == nil && c.Expired && c.Next == next {
			err = eris.New("the first offset that is retained is not known")
		}
		if outageLog.RecordResult(ctx, err) {
			// After the first failure only the connection may be silent, and the next read uses another one.
			if failures++; failures > 1 {
				daemon.Sleep(ctx, storeRetryInterval)
			}
			continue
		}
		advanced := c.Next > next
		failures, next = 0, c.Next
		if c.Expired {
			continue
		}
		if !advanced && c.End < next {
			// The stream has been emptied and begins again.
			next = 0
			daemon.Sleep(ctx, cancelReadPause)
			continue
		}
		jobs := g.decodeCancels(c)
		if !loaded {
			loading = append(loading, jobs...)
			loading = loading[max(0, len(loading)-maxLoadedCancels):]
			if next < c.End {
				if !advanced {
					// The answer held no records although there are more.
					daemon.Sleep(ctx, cancelReadPause)
				}
				continue
			}
			jobs, loading, loaded = loading, nil, true
		}
		g.handleCancels(jobs)
		g.cancelsOnce.Do(func() { close(g.cancelsAwaited) })
		switch {
		case len(c.Changes) > 0:
			daemon.Sleep(ctx, cancelReadPause)
		case g.cfg.Clock.Now()-began < wait/2:
			// The store does not wait for records.
			daemon.Sleep(ctx, wait)
		}
	}
	return ctx.Err()
}

// decodeCancels returns the cancelled jobs in records of the store. Records that cannot be decoded are skipped.
func (g *Gateway) decodeCancels(c lavendercourse.Changes) []message.CancelledJob {
	var jobs []message.CancelledJob
	for _, change := range c.Changes {
		var cancel message.Cancel
		f, err := message.Decode(change.Value)
		switch {
		case err != nil:
		case f.Type != message.TypeCancel:
			err = eris.Wrapf(message.ErrFrame, "the type of a record is %s", f.Type)
		default:
			err = f.DecodeBody(&cancel)
		}
		if err != nil {
			g.log.On(event.CancelsSkipped).Err(err).Send()
			continue
		}
		jobs = append(jobs, cancel.Jobs...)
	}
	return jobs
}

// handleCancels ends the cancelled jobs, or keeps the cancels in case the jobs are submitted here.
func (g *Gateway) handleCancels(jobs []message.CancelledJob) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	for _, job := range jobs {
		g.perform(g.scheduler.HandleCancel(now, job))
	}
}
