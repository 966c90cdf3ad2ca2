package room

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/interference"
	"github.com/lavendercourse/lavendercourse/message"
)

// Causes of refusals and stops, as written to logs.
const (
	causeInvalidOrder      = "order asks for less than nothing"
	causeStaleOrder        = "order carries an old stamp"
	causeOtherKind         = "order was made for another kind of worker"
	causeNotAccepting      = "worker takes no runs"
	causeNoCapacity        = "worker has no room"
	causeEarlierRun        = "an earlier run of the task has not ended"
	causeStepLimit         = "worker runs as many tasks of the step as allowed"
	causeStartRefused      = "worker refused the start"
	causeStartUnanswered   = "worker did not answer the start"
	causeRecalled          = "entry recalled the run"
	causeOwnerLeaseExpired = "entry did not renew its lease"
	causeLinkEnded         = "link to the entry ended"
	causeWorkerEnded       = "worker ended"
	causeWorkerSilent      = "worker did not answer until its lease expired"
	causeNotListed         = "worker does not list the run"
	causeStalled           = "run made no progress"
	causeSlow              = "run made too little progress"
	causeForeign           = "run was not ordered by this runner"
	causeIsolated          = "worker is reserved for one run"
	causeLeaseTooShort     = "runs of a silent entry on the worker have not ended"
	causeNotIsolated       = "other runs on the worker did not end in time"
	causeUndelivered       = "worker could not be called"
)

// Table is the table of the runs on one worker. Times are in ms by the runner's clock unless noted. It is not safe for
// concurrent use.
type Table struct {
	cfg Config
	// worker is the last report of the worker, valid if hasReport is set.
	worker    lavendercourse.WorkerReport
	hasReport bool
	// inheritedAt is the time at which the report was taken over from a predecessor, or 0 if the worker sent it.
	// reportedAt is the time at which the worker sent it to this runner, or 0.
	inheritedAt clock.Millis
	reportedAt  clock.Millis
	// describedAt is the time at which the incarnation, the service or the labels of the worker were last reported to be
	// others. Orders from before that may require what the worker no longer is.
	describedAt clock.Millis
	// heartbeatInterval is the shortest time between two successive heartbeats, in ms; intervalMeasured is set once there
	// were two.
	heartbeatInterval clock.Millis
	intervalMeasured  bool
	// draining is set while the worker is draining, shuttingDown once the runner is shutting down.
	draining     bool
	shuttingDown bool
	// domainDrained is set while the failure domain of the worker is out of service.
	domainDrained bool
	// incarnation identifies the worker process that the table describes, by WorkerReport.Incarnation; 0 means unknown.
	// endIncarnation resets the fields that describe only this incarnation.
	incarnation int64
	// endedIncarnation is the last incarnation that endIncarnation has ended, at endedAt, or 0.
	endedIncarnation int64
	endedAt          clock.Millis
	// unreachableAt is the time of the first sign since the worker's last answer that it cannot be called: its address refused
	// a connection, or another worker answered there.
	unreachableAt clock.Millis
	// crashedIncarnation is the last incarnation of which entries were told at a refused connection that it has crashed, or 0.
	crashedIncarnation int64
	// replacement is the last report of another worker or incarnation, which arrived at replacementAt and is used once the present
	// one has ended. It is valid if hasReplacement is set.
	replacement    lavendercourse.WorkerReport
	replacementAt  clock.Millis
	hasReplacement bool
	// leaving holds the last report of each worker that has reported that it drains, the newest last.
	leaving []lavendercourse.WorkerReport
	// startedAt is the time of the first renewal, and inheritedID the id of the worker that a predecessor of this runner called, or
	// empty if it is not known.
	startedAt   clock.Millis
	inheritedID string
	// settled is set once all runs that a predecessor of this runner left have been listed or must have ended. Until then runs may go
	// on at a worker that is not called any more, so that nothing may be said of the end of earlier runs.
	settled bool
	// token is the fencing token in use, or 0.
	token int64
	// lastEnd is the number of the last end that the worker listed and that was processed.
	lastEnd int64
	// maxToken is the highest token used in any incarnation, prevMaxToken the highest one used before the current
	// incarnation.
	maxToken     int64
	prevMaxToken int64
	// listedAt is the reading of the worker's clock in the newest list that was processed.
	listedAt clock.Millis
	calls    callStats
	// tokenStep, in ms, is added to the token when the worker refuses it.
	tokenStep int64
	// workerClock is the newest known reading of the worker's clock, in ms. It was taken no later than workerClockAt,
	// the time by the runner's clock at which it arrived.
	workerClock   clock.Millis
	workerClockAt clock.Millis
	// clockOffset is the worker's clock minus the runner's, in ms, as an upper bound: the reading in the last answer to a
	// renewal less the time at which that was sent. The answer may have waited while the runner was paused. hasClockOffset
	// is set once there was such an answer in this incarnation.
	clockOffset    clock.Millis
	hasClockOffset bool
	// grantedUntil is the latest time, by the worker's clock, up to which the worker's lease may have been renewed.
	grantedUntil clock.Millis
	// lastAnswer is the time of the worker's last answer, or 0.
	lastAnswer clock.Millis
	// lastList is the time of the worker's last answer that lists its runs, or 0. Refusals of renewals neither show the runs nor that the
	// lease was renewed.
	lastList clock.Millis
	runs     map[taskKey]*trackedRun
	// foreign holds runs that this runner did not order: those of its predecessor. They are stopped, and nothing is
	// started before they have ended, since the resources that they use are not known. foreignSince is the time at which the
	// first of them was listed.
	foreign      map[lavendercourse.RunID]bool
	foreignSince clock.Millis
	// expired holds the runs that were given up because the worker was silent, until it answers. If it answers in another
	// incarnation, they may have ended it.
	expired []message.CrashedRun
	// isolated is the run that has to be the only one on the worker, or nil. While it is set, no other run is accepted.
	isolated *trackedRun
	// recentEnds holds the runs that have ended in the last isolationDelay, oldest first.
	recentEnds []endedRun
	// reconciled is set once the worker that is called has listed its runs under the current token.
	reconciled bool
	// used is the sum of what all runs in the table need.
	used lavendercourse.Resources
	// ownerRenewedAt holds, for each entry that may own runs, the newest timestamp of this runner's reports that the entry
	// has sent back. The owner lease of the entry's runs counts from it.
	ownerRenewedAt map[string]clock.Millis
	history        history
	pace           pace
	// recorder measures which kinds of tasks slow each other down. It is nil without Config.Neighbours.
	recorder *interference.Recorder
}

// New returns an empty table that has no worker yet.
func New(cfg Config) *Table {
	t := &Table{
		cfg: cfg.withDefaults(), runs: map[taskKey]*trackedRun{}, foreign: map[lavendercourse.RunID]bool{},
		ownerRenewedAt: map[string]clock.Millis{}, tokenStep: initialTokenStep, heartbeatInterval: defaultHeartbeatInterval,
	}
	if cfg.Neighbours {
		t.recorder = interference.NewRecorder()
	}
	return t
}

// Token returns the fencing token in use, or 0 if there is none.
func (t *Table) Token() int64 { return t.token }

// UnfinishedRuns returns the number of runs that have not ended, including those that are starting, being stopped or in
// doubt.
func (t *Table) UnfinishedRuns() int { return len(t.runs) }

// MayHaveRuns reports whether runs of the entry may still be unfinished. Runs that a killed predecessor left behind
// belong to unknown entries, and are themselves unknown until the worker has listed them; until they have ended, the
// result is true for every entry.
func (t *Table) MayHaveRuns(entry string) bool { return !t.settled || t.HasRuns(entry) }

// HasRuns is like MayHaveRuns, apart from runs of a predecessor on another worker than the one that is called.
func (t *Table) HasRuns(entry string) bool {
	if !t.reconciled || len(t.foreign) > 0 {
		return true
	}
	for _, run := range t.runs {
		if run.entry == entry {
			return true
		}
	}
	return false
}

// AcceptsRuns reports whether new runs are accepted.
func (t *Table) AcceptsRuns(now clock.Millis) bool {
	if t.inheritedAt != 0 && now-t.inheritedAt >= inheritedReportTimeout {
		return false
	}
	return t.reportIsCurrent() && !t.restarts() && !t.refusedLately(now) && t.reportAge(now) <= t.heartbeatInterval+reportAgeMargin &&
		!t.draining && !t.domainDrained && !t.shuttingDown && t.reconciled && len(t.foreign) == 0 && now-t.lastList < silentAfter
}

// Free returns the part of the worker's capacity that is not used by runs in the table, or nothing while the worker is
// reserved for an isolated run.
func (t *Table) Free() lavendercourse.Resources {
	if t.isolated != nil {
		return lavendercourse.Resources{}
	}
	return t.worker.Capacity.Sub(t.used)
}

// LoadReport returns the load report for entries.
func (t *Table) LoadReport(now clock.Millis) message.Report {
	failed, ended := t.history.counts(now)
	return message.Report{
		Stamp: now, Free: t.Free(), Running: len(t.runs), AcceptsRuns: t.AcceptsRuns(now), Failed: failed, Ended: ended,
		PacePercent: t.pace.percent, Slow: t.pace.slow(),
	}
}

// SetDomainDrained sets whether the failure domain of the worker is out of service. New runs are refused while it is, and
// the present ones go on.
func (t *Table) SetDomainDrained(drained bool) { t.domainDrained = drained }

// DomainDrained tells whether the failure domain of the worker is out of service.
func (t *Table) DomainDrained() bool { return t.domainDrained }

// RefuseNewRuns makes the table refuse all new runs, since the runner is shutting down.
func (t *Table) RefuseNewRuns() { t.shuttingDown = true }

// HandleOrder processes an order of an entry: each run is started or refused. The order also renews the owner lease of
// the entry.
func (t *Table) HandleOrder(now clock.Millis, entry string, o message.Order) []Action {
	t.extendOwnerLease(entry, o.Stamp)
	var actions []Action
	for _, id := range o.Runs {
		reason, cause := t.refusal(now, o, id, t.Free())
		if cause != "" {
			actions = append(actions, ReportEnd{Entry: entry, Run: id, Kind: lavendercourse.EndRefused, Reason: reason, Cause: cause})
			continue
		}
		actions = append(actions, t.sendStart(now, t.addRun(now, entry, o, id)))
	}
	return actions
}

// addRun adds an ordered run to the table.
func (t *Table) addRun(now clock.Millis, entry string, o message.Order, id lavendercourse.RunID) *trackedRun {
	run := &trackedRun{
		id: id, entry: entry, payload: o.Payload, need: o.Need, estimate: o.Estimate, orderedAt: now, observedAt: now, progressedAt: now,
		kind: interference.Kind(o.Kind), orderSize: len(o.Runs),
	}
	t.runs[keyOf(id)] = run
	t.used = t.used.Add(run.need)
	return run
}

// refusal returns the reason and cause for which a run is refused, or an empty cause if it is accepted. free is the part of
// the capacity that the run may use.
func (t *Table) refusal(now clock.Millis, o message.Order, id lavendercourse.RunID, free lavendercourse.Resources) (lavendercourse.Reply, string) {
	switch {
	case !o.Need.IsValid():
		return lavendercourse.ReplyOther, causeInvalidOrder
	case now-o.Stamp > t.cfg.OrderValidity:
		return lavendercourse.ReplyLate, causeStaleOrder
	case o.Stamp < t.describedAt:
		return lavendercourse.ReplyUnavailable, causeOtherKind
	case !t.AcceptsRuns(now):
		return lavendercourse.ReplyUnavailable, causeNotAccepting
	case t.leaseLeft(now) < minStartLease:
		return lavendercourse.ReplyUnavailable, causeLeaseTooShort
	case t.runs[keyOf(id)] != nil:
		return lavendercourse.ReplyOther, causeEarlierRun
	case t.isolated != nil:
		return lavendercourse.ReplyNoCapacity, causeIsolated
	case !o.Need.Fits(free):
		return lavendercourse.ReplyNoCapacity, causeNoCapacity
	case o.MaxPerWorker > 0 && t.runsOfStep(id) >= o.MaxPerWorker:
		return lavendercourse.ReplyNoCapacity, causeStepLimit
	}
	return lavendercourse.ReplyAccepted, ""
}

// runsOfStep returns the number of runs in the table that belong to the same step as the given one.
func (t *Table) runsOfStep(id lavendercourse.RunID) int {
	n := 0
	for key := range t.runs {
		if key.job == id.Job && key.step == id.Step {
			n++
		}
	}
	return n
}

func (t *Table) sendStart(now clock.Millis, run *trackedRun) Action {
	run.startsSent++
	run.worker = t.worker.ID
	if run.startsSent == 1 {
		run.workerClockAtStart, run.firstSentAt = t.workerClock, now
	}
	return StartRun{Worker: t.worker.ID, Entry: run.entry, Timeout: t.calls.timeout(), Order: lavendercourse.Order{
		Run: run.id, Payload: run.payload, LeaseExpiry: t.grantLease(now), Token: t.token,
	}}
}

// RecordAnswerTime records how long, in ms, the worker took to answer a call, not counting the time for which it was asked
// to wait.
func (t *Table) RecordAnswerTime(took clock.Millis) { t.calls.answered(took) }

// RecordLateAnswer records how long, in ms, the worker took to answer a call that RecordLostAnswer was called for.
func (t *Table) RecordLateAnswer(took clock.Millis) { t.calls.answeredLate(took) }

// RecordLostAnswer records a call that the worker did not answer in time.
func (t *Table) RecordLostAnswer() { t.calls.lost() }

// CallTimeout returns the time in ms to wait for the answer to a call that is sent now.
func (t *Table) CallTimeout() clock.Millis { return t.calls.timeout() }

// RunsInDoubt returns the number of runs of which it is not known whether the worker has started or stopped them.
func (t *Table) RunsInDoubt() int {
	n := 0
	for _, run := range t.runs {
		if run.state == stateInDoubt || (run.state == stateStopping && run.stopAcceptedAt == 0) || (run.state == stateStarting && run.startsSent > 1) {
			n++
		}
	}
	return n
}

// LosesAnswers reports whether the worker leaves a share of the calls unanswered now.
func (t *Table) LosesAnswers() bool { return t.calls.lossy }

// grantLease returns the time by the worker's clock, in ms, up to which the worker's lease is renewed now, and records
// it.
func (t *Table) grantLease(now clock.Millis) clock.Millis {
	until := t.workerClockNow(now) + t.leaseLeft(now)
	t.grantedUntil = max(t.grantedUntil, until)
	return until
}

// workerClockNow returns the reading of the worker's clock, in ms, that is expected now.
func (t *Table) workerClockNow(now clock.Millis) clock.Millis {
	return t.workerClock + now - t.workerClockAt
}

// leaseLeft returns the time in ms for which the worker's lease may be renewed now. It ends maxLeaseWithoutOwner after the
// last stamp of each entry whose runs have not ended, and after the first stop of each run that has to end, even if the worker's
// clock is slow by maxClockDriftPercent: nothing else ends these runs if the worker falls silent or no stop reaches it. The lease of
// runs that a predecessor of this runner left is not renewed. The result is not positive if the lease may not be renewed.
func (t *Table) leaseLeft(now clock.Millis) clock.Millis {
	if len(t.runs) == 0 && (!t.reconciled || len(t.foreign) > 0) {
		return 0
	}
	left := t.cfg.WorkerLease
	limit := func(since clock.Millis) {
		granted := since + maxLeaseWithoutOwner - t.workerClockAt
		left = min(left, granted*(100-maxClockDriftPercent)/100-(now-t.workerClockAt))
	}
	if len(t.foreign) > 0 {
		limit(t.foreignSince)
	}
	for _, run := range t.runs {
		if run.state == stateWaiting {
			continue
		}
		limit(t.ownerStamp(run))
		if run.state == stateStopping {
			limit(run.stoppingSince)
		}
	}
	return left
}

// ownerStamp returns the newest timestamp that the entry of a run has sent back on the link on which it ordered the run.
func (t *Table) ownerStamp(run *trackedRun) clock.Millis {
	if run.entryGone {
		return run.entryStamp
	}
	return t.ownerRenewedAt[run.entry]
}

// recordAnswer records that the worker answered at the given time, with the incarnation and clock reading in the
// answer. It returns false if the answer is from another incarnation.
func (t *Table) recordAnswer(now clock.Millis, status lavendercourse.WorkerStatus) bool {
	if status.Incarnation != 0 && t.incarnation != 0 && status.Incarnation != t.incarnation {
		return false
	}
	if status.Incarnation != 0 {
		t.incarnation = status.Incarnation
	}
	if status.Clock > 0 && status.Clock >= t.workerClock {
		t.workerClock, t.workerClockAt = status.Clock, now
	}
	t.lastAnswer, t.expired = now, nil
	return true
}

// extendOwnerLease renews the owner lease of an entry's runs. The stamp, in ms, is the newest timestamp that the entry
// received from this runner and sends back, so its age is measured by this runner's clock alone.
func (t *Table) extendOwnerLease(entry string, stamp clock.Millis) {
	t.ownerRenewedAt[entry] = max(t.ownerRenewedAt[entry], stamp)
}

// RenewOwnerLease handles an entry's answer to a report: it renews the owner lease of the entry's runs. The stamp is
// that of the newest report which the entry has received.
func (t *Table) RenewOwnerLease(entry string, stamp clock.Millis) { t.extendOwnerLease(entry, stamp) }

// HandleStartReply processes the worker's answer to a start that was sent with the given token. A non-nil error means
// that no answer arrived.
func (t *Table) HandleStartReply(now clock.Millis, id lavendercourse.RunID, token int64, status lavendercourse.WorkerStatus, reply lavendercourse.Reply, err error) []Action {
	run := t.runs[keyOf(id)]
	if run == nil || run.id != id {
		return nil
	}
	if err != nil {
		return t.retryStart(now, run)
	}
	if token <= t.prevMaxToken {
		return t.handleStaleStartReply(now, run, reply)
	}
	if reply != lavendercourse.ReplyAccepted {
		run.startsAnswered++
	}
	if reply == lavendercourse.ReplyIncarnation {
		t.markUnreachable(now)
		return t.retryStart(now, run)
	}
	if (status.Clock > 0 && status.Clock < run.workerClockAtStart) || !t.recordAnswer(now, status) {
		// The incarnation that the start was sent to has ended, and with it all its runs. If the next incarnation has
		// accepted the start, the run is in doubt.
		return t.endIncarnation(now, evidenceAnswer)
	}
	if reply == lavendercourse.ReplyAccepted {
		run.startsAnswered++
		if run.state == stateStarting {
			t.confirmStart(now, run)
		}
		return nil
	}
	if reply == lavendercourse.ReplyStaleToken {
		t.handleTokenRefusal(now, token)
	}
	if run.state == stateRunning {
		// The worker has accepted another attempt of this start.
		return nil
	}
	if run.state == stateStopping || run.startsSent > 1 {
		// An earlier start of this run may have been carried out. The next list of runs shows whether it was.
		return t.stopRun(nil, now, run, lavendercourse.EndStopped, causeStartUnanswered)
	}
	return t.endRun(nil, now, run, lavendercourse.EndRefused, reply, causeStartRefused)
}

// confirmStart records that the worker has started a run.
func (t *Table) confirmStart(now clock.Millis, run *trackedRun) {
	run.state, run.startedAt, run.observedAt, run.progressedAt = stateRunning, now, now, now
	t.recordNeighbourStart(now, run)
}

// HandleUndeliveredStart records that a start did not reach the worker, whose address refused the connection.
func (t *Table) HandleUndeliveredStart(id lavendercourse.RunID) {
	if run := t.runs[keyOf(id)]; run != nil && run.id == id && run.state == stateStarting && run.startsAnswered < run.startsSent {
		run.startsAnswered++
	}
}

// handleStaleStartReply processes the answer to a start that was sent in an incarnation that has ended. A start that
// was rejected is not carried out by the next incarnation either.
func (t *Table) handleStaleStartReply(now clock.Millis, run *trackedRun, reply lavendercourse.Reply) []Action {
	if reply == lavendercourse.ReplyAccepted || run.state != stateInDoubt {
		return nil
	}
	run.startsAnswered++
	if run.startsSent > run.startsAnswered {
		return nil
	}
	return t.endRun(nil, now, run, run.endKind, lavendercourse.ReplyAccepted, run.endCause)
}

// retryStart repeats an unanswered start, or stops the run once maxStartAttempts starts have been sent or the lease cannot be
// extended by minStartLease.
func (t *Table) retryStart(now clock.Millis, run *trackedRun) []Action {
	switch {
	case run.state != stateStarting:
		return nil
	case run.neverStarted():
		return t.endRun(nil, now, run, lavendercourse.EndRefused, lavendercourse.ReplyUnavailable, causeUndelivered)
	case !t.Unreachable() && !t.restarts() && run.startsSent < maxStartAttempts && t.leaseLeft(now) >= minStartLease:
		return []Action{t.sendStart(now, run)}
	default:
		return t.stopRun(nil, now, run, lavendercourse.EndStopped, causeStartUnanswered)
	}
}

// raiseToken switches to a higher fencing token, taken from the time of day. The time of day is later for each
// successor of a runner and for each incarnation of the worker, so that the worker accepts a successor and refuses
// starts and stops from before it restarted.
func (t *Table) raiseToken(now clock.Millis) {
	t.token = max(t.maxToken+1, int64(t.cfg.Epoch+now))
	t.maxToken = t.token
	t.reconciled = false
}

// handleTokenRefusal raises the token after the worker refused the given one, which happens if the time of day was set
// back. Each refusal raises it by a larger step, until the worker accepts it. Refusals of earlier tokens are ignored,
// since the token has been raised already.
func (t *Table) handleTokenRefusal(now clock.Millis, token int64) {
	if token != t.token {
		return
	}
	t.maxToken += t.tokenStep
	t.tokenStep = min(t.tokenStep*tokenStepGrowth, maxTokenStep)
	t.raiseToken(now)
}

// HandleRecall stops runs of an entry. Runs that are not in the table have ended or never started, and are reported as
// stopped, unless they may be runs of a predecessor.
func (t *Table) HandleRecall(now clock.Millis, entry string, stamp clock.Millis, ids []lavendercourse.RunID) []Action {
	t.extendOwnerLease(entry, stamp)
	var actions []Action
	for _, id := range ids {
		run := t.runs[keyOf(id)]
		if run == nil || run.id != id {
			if t.settled && !t.foreign[id] {
				actions = append(actions, ReportEnd{Entry: entry, Run: id, Kind: lavendercourse.EndStopped, Cause: causeRecalled})
			}
			continue
		}
		actions = t.stopRun(actions, now, run, lavendercourse.EndStopped, causeRecalled)
	}
	return actions
}

// EntryDisconnected stops the runs of an entry whose link has ended. Their ends are not reported to the entry.
func (t *Table) EntryDisconnected(now clock.Millis, entry string) []Action {
	var actions []Action
	for _, run := range t.sortedRuns() {
		if run.entry == entry {
			if !run.entryGone {
				run.entryGone, run.entryStamp = true, t.ownerRenewedAt[entry]
			}
			actions = t.stopRun(actions, now, run, lavendercourse.EndStopped, causeLinkEnded)
		}
	}
	delete(t.ownerRenewedAt, entry)
	return actions
}

// stopRun starts to stop a run, unless it is being stopped already or is in doubt.
func (t *Table) stopRun(actions []Action, now clock.Millis, run *trackedRun, kind lavendercourse.EndKind, cause string) []Action {
	if run.state == stateStopping || run.state == stateInDoubt {
		return actions
	}
	if run.state == stateWaiting {
		return t.endRun(actions, now, run, lavendercourse.EndRefused, lavendercourse.ReplyOther, cause)
	}
	run.state, run.stoppingSince, run.endKind, run.endCause = stateStopping, now, kind, cause
	return append(actions, t.sendStop(now, run))
}

// RefusedStops returns the pending stops, to be sent one after the other before the next renewal, while the worker refuses
// connections. It may answer renewals on an open channel then, which is the only way to it and is busy while a renewal waits.
func (t *Table) RefusedStops(now clock.Millis) []StopRun {
	if !t.refusedLately(now) {
		return nil
	}
	var stops []StopRun
	for _, run := range t.sortedRuns() {
		if run.state == stateStopping && run.stopAcceptedAt == 0 {
			stops = append(stops, t.sendStop(now, run))
		}
	}
	return stops
}

func (t *Table) sendStop(now clock.Millis, run *trackedRun) StopRun {
	run.stopSentAt = now
	run.stopsSent++
	return StopRun{Worker: t.worker.ID, Run: run.id, Token: t.token, Timeout: t.calls.timeout()}
}

// HandleStopReply processes the worker's answer to a stop that was sent with the given token. The run stays in the
// table until the worker lists its end, or no longer lists it as running.
func (t *Table) HandleStopReply(now clock.Millis, id lavendercourse.RunID, token int64, status lavendercourse.WorkerStatus, reply lavendercourse.Reply, err error) []Action {
	run := t.runs[keyOf(id)]
	if err != nil {
		if run != nil && run.id == id && run.state == stateStopping && run.stopAcceptedAt == 0 && run.stopsSent <= maxFastStops && !t.Unreachable() {
			return []Action{t.sendStop(now, run)}
		}
		return nil
	}
	if token <= t.prevMaxToken {
		return nil
	}
	if reply == lavendercourse.ReplyIncarnation {
		t.markUnreachable(now)
		return nil
	}
	if !t.recordAnswer(now, status) {
		return t.endIncarnation(now, evidenceAnswer)
	}
	if reply == lavendercourse.ReplyStaleToken {
		t.handleTokenRefusal(now, token)
	}
	if run != nil && run.id == id && reply == lavendercourse.ReplyAccepted && run.stopAcceptedAt == 0 {
		run.stopAcceptedAt = now
	}
	return nil
}

// NextRenewal returns the ID of the worker, which is empty if not known yet, the next renewal of its lease, and the time
// in ms to wait for the answer. The renewal does not extend the lease if the worker has not answered within
// leaseExtensionCutoff, has not listed its runs within silentAfter or cannot be reached, or if runs on it should have ended. Renewals may overlap.
func (t *Table) NextRenewal(now clock.Millis) (string, lavendercourse.Renewal, clock.Millis) {
	if t.startedAt == 0 {
		t.startedAt = now
	}
	if t.token == 0 {
		t.raiseToken(now)
	}
	renewal := lavendercourse.Renewal{Token: t.token, AckedEnd: t.lastEnd}
	if t.hasReport && t.workerClock > 0 && now-t.lastAnswer < leaseExtensionCutoff && now-t.lastList < silentAfter && !t.Unreachable() {
		left := t.leaseLeft(now)
		if left > 0 {
			renewal.LeaseExpiry = t.grantLease(now)
		}
		renewal.MaxWait = t.waitTime(now)
		if left < minLeaseForWait {
			renewal.MaxWait = lossyRenewalWait
		}
	}
	worker := ""
	if t.hasReport {
		worker = t.worker.ID
	}
	return worker, renewal, renewal.MaxWait + t.calls.timeout()
}

// waitTime returns how long, in ms, the worker may delay the answer to a renewal until a run ends.
func (t *Table) waitTime(now clock.Millis) clock.Millis {
	if t.calls.lossy {
		return lossyRenewalWait
	}
	for _, run := range t.runs {
		if run.state == stateRunning && run.estimate > 0 && (now-run.startedAt)*100 > run.estimate*overduePercent {
			return overdueRenewalWait
		}
	}
	return renewalWait
}

// HandleRenewalReply processes the worker's answer to a renewal that was sent at the given time. Answers may arrive in another order than
// the worker gave them: of an answer that is older than one processed before, only the ends that are not known yet are used, since the
// runs that it lists may have ended.
func (t *Table) HandleRenewalReply(now, sent clock.Millis, renewal lavendercourse.Renewal, workerRuns lavendercourse.WorkerRuns, reply lavendercourse.Reply) []Action {
	if renewal.Token <= t.prevMaxToken {
		return nil
	}
	if reply == lavendercourse.ReplyIncarnation {
		t.markUnreachable(now)
		return nil
	}
	if reply == lavendercourse.ReplyAccepted && workerRuns.Status.Incarnation == 0 {
		// A list that does not name its incarnation shows nothing of the runs of this one.
		return nil
	}
	if !t.recordAnswer(now, workerRuns.Status) {
		return t.endIncarnation(now, evidenceAnswer)
	}
	if reply == lavendercourse.ReplyStaleToken {
		t.handleTokenRefusal(now, renewal.Token)
		return nil
	}
	if reply != lavendercourse.ReplyAccepted || renewal.Token != t.token {
		return nil
	}
	if t.hasReplacement && t.describesWorker(t.replacement) && sent > t.replacementAt {
		// The heartbeat was delayed: it is of an earlier incarnation.
		t.hasReplacement = false
	}
	t.settled = t.settled || t.showsAllRuns(now, workerRuns.Status)
	t.reconciled, t.tokenStep = true, initialTokenStep
	t.clockOffset, t.hasClockOffset, t.lastList = workerRuns.Status.Clock-sent, true, now
	old := t.isOldList(renewal, workerRuns)
	actions := append(t.withdrawCrash(workerRuns.Status.Incarnation), t.reportReturn(now, workerRuns)...)
	actions = append(actions, t.recordEnds(now, workerRuns.Ended)...)
	if old {
		return actions
	}
	t.listedAt = workerRuns.Status.Clock
	return t.reconcile(actions, now, sent, workerRuns.Running)
}

// isOldList reports whether the worker made a list before one that was processed already: its clock reads less, or it
// does not show the last end that is known.
func (t *Table) isOldList(renewal lavendercourse.Renewal, workerRuns lavendercourse.WorkerRuns) bool {
	shownEnd := renewal.AckedEnd
	if n := len(workerRuns.Ended); n > 0 {
		shownEnd = max(shownEnd, workerRuns.Ended[n-1].Number)
	}
	return workerRuns.Status.Clock < t.listedAt || shownEnd < t.lastEnd
}

// recordEnds processes the ends that the worker lists and that have not been processed before.
func (t *Table) recordEnds(now clock.Millis, ends []lavendercourse.End) []Action {
	var actions []Action
	for _, e := range ends {
		if e.Number <= t.lastEnd {
			continue
		}
		t.lastEnd = e.Number
		delete(t.foreign, e.Run)
		run := t.runs[keyOf(e.Run)]
		if run == nil || run.id != e.Run {
			continue
		}
		if e.Kind.Succeeded() && run.state == stateRunning {
			t.pace.observe(run, now, 100)
		}
		kind, cause := e.Kind, ""
		if (run.state == stateStopping || run.state == stateInDoubt) && kind != lavendercourse.EndDone {
			kind, cause = run.endKind, run.endCause
		}
		actions = t.endRun(actions, now, run, kind, lavendercourse.ReplyAccepted, cause)
	}
	return actions
}

// reconcile compares the runs that the worker lists with those in the table, as of the time at which the renewal was
// sent. Later starts and stops may not be reflected in the list yet.
func (t *Table) reconcile(actions []Action, now, sent clock.Millis, running []lavendercourse.Running) []Action {
	present := map[lavendercourse.RunID]bool{}
	for _, listed := range running {
		present[listed.Run] = true
		run := t.runs[keyOf(listed.Run)]
		if run == nil || run.id != listed.Run {
			if len(t.foreign) == 0 {
				t.foreignSince = now
			}
			// The lease that the predecessor has granted is not known.
			t.foreign[listed.Run] = true
			t.grantedUntil = max(t.grantedUntil, t.workerClock+maxPlatformLease)
			actions = append(actions, StopRun{Worker: t.worker.ID, Run: listed.Run, Token: t.token, Timeout: t.calls.timeout()})
			continue
		}
		switch run.state {
		case stateStarting:
			run.startListed = true
			t.confirmStart(now, run)
			if run.startsSent == 1 {
				run.startsAnswered = 1
			}
		case stateInDoubt:
			// The lease that the start granted is in terms of the previous incarnation's clock. The platform shortens
			// it to maxPlatformLease.
			t.grantedUntil = max(t.grantedUntil, t.workerClock+maxPlatformLease)
			run.state, run.stoppingSince = stateStopping, now
			actions = append(actions, t.sendStop(now, run))
		}
		if run.state == stateRunning {
			t.pace.observe(run, now, listed.Percent)
			if listed.Percent != run.percent {
				run.progressedAt = now
			}
			run.percent, run.observedAt = listed.Percent, now
		}
	}
	for id := range t.foreign {
		if !present[id] {
			delete(t.foreign, id)
		}
	}
	for _, run := range t.sortedRuns() {
		if present[run.id] {
			continue
		}
		switch {
		case run.state == stateRunning && run.startedAt < sent:
			actions = t.endRun(actions, now, run, lavendercourse.EndLost, lavendercourse.ReplyAccepted, causeNotListed)
		case run.state == stateInDoubt && run.worker == t.worker.ID:
			actions = t.endRun(actions, now, run, run.endKind, lavendercourse.ReplyAccepted, run.endCause)
		case run.state == stateStopping && run.stopAcceptedAt > 0 && run.stopAcceptedAt < sent:
			actions = t.endRun(actions, now, run, run.endKind, lavendercourse.ReplyAccepted, run.endCause)
		}
	}
	return t.stopSlowRuns(actions, now)
}

// stopSlowRuns stops the runs that are stalled and, while the pace is slow, those that would end sooner on another
// worker.
func (t *Table) stopSlowRuns(actions []Action, now clock.Millis) []Action {
	all := t.sortedRuns()
	stalled, running := map[string]bool{}, 0
	for _, run := range all {
		if run.state == stateRunning {
			running++
		}
		if run.stalled(now) {
			stalled[run.id.Job] = true
			running--
		}
	}
	// If several jobs are stalled, or one is and nothing else runs, the worker itself is stalled.
	if len(stalled) > 1 || (len(stalled) == 1 && running == 0) {
		// 1 percent is the slowest pace: 0 means that there is no measurement.
		t.pace = pace{percent: 1}
	}
	for _, run := range all {
		switch {
		case run.stalled(now):
			actions = t.stopRun(actions, now, run, lavendercourse.EndSlow, causeStalled)
		case t.pace.slow() && run.slow(now) && t.remaining(run) > run.estimate+moveOverhead:
			actions = t.stopRun(actions, now, run, lavendercourse.EndSlow, causeSlow)
		}
	}
	return actions
}

// remaining returns the time in ms that a run still needs at the current pace.
func (t *Table) remaining(run *trackedRun) clock.Millis {
	return run.estimate * clock.Millis(100-run.percent) / clock.Millis(t.pace.percent)
}

// Tick applies all time-outs: it stops runs whose entry's lease has expired, ends the runs of a silent worker whose
// lease has expired and runs that were in doubt for Config.inDoubtTimeout, and repeats stops that had no effect. The runner
// calls it periodically.
func (t *Table) Tick(now clock.Millis) []Action {
	if t.Unreachable() && t.leaseExpired(now, t.lastAnswer) {
		return t.endIncarnation(now, evidenceLease)
	}
	actions := t.useReplacement(now)
	workerLeaseExpired := len(t.runs)+len(t.foreign) > 0 && t.leaseExpired(now, t.lastList)
	if workerLeaseExpired {
		for id := range t.foreign {
			t.expired = append(t.expired, message.CrashedRun{Run: id})
		}
		t.foreign = map[lavendercourse.RunID]bool{}
	}
	for _, run := range t.sortedRuns() {
		switch {
		case run.state == stateWaiting:
			actions = t.startIsolated(actions, now)
		case run.state == stateInDoubt:
			if now-run.inDoubtSince >= t.cfg.inDoubtTimeout() {
				actions = t.endRun(actions, now, run, run.endKind, lavendercourse.ReplyAccepted, run.endCause)
			}
		case workerLeaseExpired:
			t.expired = append(t.expired, message.CrashedRun{Run: run.id, Age: now - run.firstSentAt})
			actions = t.endRun(actions, now, run, lavendercourse.EndExpired, lavendercourse.ReplyAccepted, causeWorkerSilent)
		case run.state == stateStopping && now-run.stopSentAt >= stopRetryInterval:
			actions = append(actions, t.sendStop(now, run))
		case run.state != stateStopping && now-t.ownerRenewedAt[run.entry] > t.cfg.OwnerLease:
			actions = t.stopRun(actions, now, run, lavendercourse.EndStopped, causeOwnerLeaseExpired)
		}
	}
	return actions
}

// endRun removes a run from the table and reports its end to its entry, unless the link to the entry has ended.
func (t *Table) endRun(actions []Action, now clock.Millis, run *trackedRun, kind lavendercourse.EndKind, reason lavendercourse.Reply, cause string) []Action {
	delete(t.runs, keyOf(run.id))
	t.used = t.used.Sub(run.need)
	t.recordNeighbourEnd(now, run, kind)
	if t.isolated == run {
		t.isolated = nil
	}
	if run.startsSent > 0 && kind != lavendercourse.EndRefused && kind != lavendercourse.EndExpired {
		t.recentEnds = append(t.endsSince(now-isolationDelay), endedRun{id: run.id, sentAt: run.firstSentAt, endedAt: now})
	}
	if kind == lavendercourse.EndDone || kind == lavendercourse.EndFailed {
		t.history.add(sample{at: now, job: run.id.Job, failed: kind != lavendercourse.EndDone})
	}
	if run.entryGone {
		return actions
	}
	return append(actions, ReportEnd{Entry: run.entry, Run: run.id, Kind: kind, Reason: reason, Duration: now - run.orderedAt, Cause: cause})
}

// sortedRuns returns the runs in the order in which they were ordered, so that actions do not depend on map iteration.
func (t *Table) sortedRuns() []*trackedRun {
	all := make([]*trackedRun, 0, len(t.runs))
	for _, run := range t.runs {
		all = append(all, run)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.orderedAt != b.orderedAt {
			return a.orderedAt < b.orderedAt
		}
		if a.id.Job != b.id.Job {
			return a.id.Job < b.id.Job
		}
		if a.id.Step != b.id.Step {
			return a.id.Step < b.id.Step
		}
		return a.id.Task < b.id.Task
	})
	return all
}

// AnsweredWithin reports whether the worker has answered within the given time in ms before now.
func (t *Table) AnsweredWithin(now, within clock.Millis) bool {
	return t.lastAnswer > 0 && now-t.lastAnswer < within
}

// StopCause returns the log text for why a run is being stopped. Runs that are not in the table were not ordered by
// this runner.
func (t *Table) StopCause(id lavendercourse.RunID) string {
	if run := t.runs[keyOf(id)]; run != nil && run.id == id {
		return run.endCause
	}
	return causeForeign
}
