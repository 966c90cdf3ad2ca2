package room

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// stateEnded is the name, in logs, of the state of a run that had ended shortly before a crash.
const stateEnded = "ended"

// endedRun is a run that has ended. sentAt is the time in ms at which its first start was sent.
type endedRun struct {
	id      lavendercourse.RunID
	sentAt  clock.Millis
	endedAt clock.Millis
}

// endsSince returns the runs in recentEnds that have ended since the given time in ms.
func (t *Table) endsSince(since clock.Millis) []endedRun {
	for i, ended := range t.recentEnds {
		if ended.endedAt > since {
			return t.recentEnds[i:]
		}
	}
	return nil
}

// HandleIsolatedOrder processes an order whose run has to be the only one on the worker, so that a crash of the worker
// shows whether the run is responsible. From now on the worker takes no other runs; the run starts once those that it has
// have ended, or is refused after maxIsolationWait.
func (t *Table) HandleIsolatedOrder(now clock.Millis, entry string, o message.Order) []Action {
	t.extendOwnerLease(entry, o.Stamp)
	var actions []Action
	for _, id := range o.Runs {
		reason, cause := t.refusal(now, o, id, t.worker.Capacity)
		if cause != "" {
			actions = append(actions, ReportEnd{Entry: entry, Run: id, Kind: lavendercourse.EndRefused, Reason: reason, Cause: cause})
			continue
		}
		t.isolated = t.addRun(now, entry, o, id)
		t.isolated.state = stateWaiting
		actions = t.startIsolated(actions, now)
	}
	return actions
}

// startIsolated starts the isolated run if the worker has no other runs any more, or refuses it if it has waited too long or
// may not start any more. The entry's lease takes the place of the order's stamp, which is old by then: it ends as soon as
// messages from the entry are delayed.
func (t *Table) startIsolated(actions []Action, now clock.Millis) []Action {
	run := t.isolated
	refuse := func(reason lavendercourse.Reply, cause string) []Action {
		return t.endRun(actions, now, run, lavendercourse.EndRefused, reason, cause)
	}
	switch {
	case now-t.ownerRenewedAt[run.entry] > min(t.cfg.OwnerLease, t.cfg.OrderValidity):
		return refuse(lavendercourse.ReplyLate, causeOwnerLeaseExpired)
	case !t.AcceptsRuns(now):
		return refuse(lavendercourse.ReplyUnavailable, causeNotAccepting)
	case !run.need.Fits(t.worker.Capacity):
		return refuse(lavendercourse.ReplyNoCapacity, causeNoCapacity)
	case len(t.runs) == 1 && len(t.endsSince(now-isolationDelay)) == 0:
		run.state, run.observedAt, run.progressedAt = stateStarting, now, now
		return append(actions, t.sendStart(now, run))
	case now-run.orderedAt >= maxIsolationWait:
		return refuse(lavendercourse.ReplyLate, causeNotIsolated)
	}
	return actions
}
