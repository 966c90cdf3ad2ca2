package room

import (
	"slices"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// Evidence for the end of an incarnation, as written to logs.
const (
	evidenceRefused  = "connection refused"
	evidenceAnswer   = "answer of another incarnation"
	evidenceReplaced = "heartbeat of another worker, and no runs left"
	evidenceLease    = "lease of a worker that could not be called"
)

// endIncarnation ends all runs and resets the state that belongs to the worker's incarnation. Whether it drains stays known until the next
// report is adopted, since the same process may answer again after its lease has ended. Unanswered starts may be carried out by the next
// incarnation until it has listed its runs, so their runs become stateInDoubt and are not reported as ended yet.
func (t *Table) endIncarnation(now clock.Millis, evidence string) []Action {
	t.endedIncarnation, t.endedAt = t.latestIncarnation(), now
	// at is the time at which the process ended, as far as is known.
	at := now
	if t.Unreachable() {
		at = t.unreachableAt
	}
	var actions []Action
	if report := t.crashReport(now, at, evidence); t.crashedIncarnation != t.latestIncarnation() && (len(report.Crash.Runs) > 0 || report.Observed) {
		actions = append(actions, report)
		if report.Observed {
			t.crashedIncarnation = t.latestIncarnation()
		}
	}
	for _, run := range t.sortedRuns() {
		if run.state == stateWaiting {
			actions = t.endRun(actions, now, run, lavendercourse.EndRefused, lavendercourse.ReplyUnavailable, causeWorkerEnded)
			continue
		}
		if run.startsSent > run.startsAnswered {
			run.state, run.inDoubtSince, run.endKind, run.endCause = stateInDoubt, at, lavendercourse.EndCrashed, causeWorkerEnded
			continue
		}
		actions = t.endRun(actions, now, run, lavendercourse.EndCrashed, lavendercourse.ReplyAccepted, causeWorkerEnded)
	}
	t.expired, t.recentEnds, t.isolated = nil, nil, nil
	t.foreign = map[lavendercourse.RunID]bool{}
	t.incarnation, t.token, t.lastEnd, t.workerClock, t.workerClockAt, t.grantedUntil, t.lastAnswer, t.lastList = 0, 0, 0, 0, 0, 0, 0, 0
	t.listedAt, t.hasClockOffset, t.unreachableAt = 0, false, 0
	t.reconciled, t.prevMaxToken = false, t.maxToken
	t.pace = pace{}
	return append(actions, t.useReplacement(now)...)
}

// crashReport returns the report of a crash of the worker at the given time in ms, with the runs that it may have had.
func (t *Table) crashReport(now, at clock.Millis, evidence string) ReportCrash {
	report := ReportCrash{
		Evidence: evidence, Silent: at - t.lastAnswer,
		Crash:    message.Crash{Incarnation: t.latestIncarnation(), Ago: now - at, Runs: slices.Clone(t.expired)},
		Draining: t.draining, Observed: t.lastAnswer > 0 && at-t.lastAnswer < silentAfter && !t.draining,
	}
	for range t.expired {
		report.States = append(report.States, stateExpired)
	}
	for _, ended := range t.endsSince(at - isolationDelay) {
		report.Crash.Runs = append(report.Crash.Runs, message.CrashedRun{Run: ended.id, Age: at - ended.sentAt})
		report.States = append(report.States, stateEnded)
	}
	for id := range t.foreign {
		report.Crash.Runs = append(report.Crash.Runs, message.CrashedRun{Run: id})
		report.States = append(report.States, stateForeign)
	}
	for _, run := range t.sortedRuns() {
		if run.state != stateWaiting && !run.neverStarted() {
			report.Crash.Runs = append(report.Crash.Runs, message.CrashedRun{Run: run.id, Age: at - run.firstSentAt})
			report.States = append(report.States, run.state.String())
		}
	}
	return report
}

// showsAllRuns reports whether a list with the given status shows all runs that a predecessor of this runner may have left. It does
// so if it is of the worker that the predecessor called, whose earlier incarnations have ended. A list of another worker shows nothing of
// that one, however young it is and whatever was heard of that one: it may drain beside its successor until the lease has expired that
// the predecessor may have granted.
func (t *Table) showsAllRuns(now clock.Millis, status lavendercourse.WorkerStatus) bool {
	if t.predecessorLeaseExpired(now) {
		return true
	}
	return t.inheritedID != "" && t.worker.ID == t.inheritedID && t.worker.Incarnation == status.Incarnation
}

// predecessorLeaseExpired reports whether the lease that a predecessor of this runner may have granted has expired.
func (t *Table) predecessorLeaseExpired(now clock.Millis) bool {
	return t.startedAt > 0 && now-t.startedAt >= predecessorLease
}

// EarlierRunsEnded reports whether a list under the present token has shown all runs, also those that a predecessor of this runner left on
// another worker. Unlike settled, it is false while the runs on the worker that is called are not known.
func (t *Table) EarlierRunsEnded() bool { return t.settled && t.reconciled }

// withdrawCrash withdraws the report of a crash of the given incarnation, which answers.
func (t *Table) withdrawCrash(incarnation int64) []Action {
	if t.crashedIncarnation != incarnation {
		return nil
	}
	t.crashedIncarnation = 0
	return []Action{WithdrawCrash{Incarnation: incarnation}}
}

// reportReturn reports that the worker still has runs in an incarnation that was taken for ended.
func (t *Table) reportReturn(now clock.Millis, workerRuns lavendercourse.WorkerRuns) []Action {
	if t.endedIncarnation == 0 || workerRuns.Status.Incarnation != t.endedIncarnation || len(workerRuns.Running) == 0 {
		return nil
	}
	t.endedIncarnation = 0
	return []Action{ReportReturn{Incarnation: workerRuns.Status.Incarnation, Away: now - t.endedAt, Running: len(workerRuns.Running)}}
}

// HandleRefusedConnection records that the worker's address refused the connection for a call that was sent at the given time
// in ms. This does not show that the worker's process has ended, with its runs: a worker that shuts down closes its listener
// first. The runs end with the worker's lease, unless it answers before. Entries are told at once that the worker has probably
// crashed, as a task that crashes its workers must be found quickly; this is withdrawn if the worker answers.
func (t *Table) HandleRefusedConnection(now, sent clock.Millis) []Action {
	if t.lastAnswer > sent || t.Unreachable() {
		// The worker has answered another call meanwhile, or this is known.
		return nil
	}
	refusedLately := t.refusedLately(now)
	t.markUnreachable(now)
	report := t.crashReport(now, now, evidenceRefused)
	if !t.Unreachable() || refusedLately || !report.Observed || t.crashedIncarnation == t.latestIncarnation() {
		return nil
	}
	t.crashedIncarnation = t.latestIncarnation()
	return []Action{report}
}

// markUnreachable records that the worker cannot be called.
func (t *Table) markUnreachable(now clock.Millis) {
	if t.lastAnswer > 0 && !t.Unreachable() {
		t.unreachableAt = now
	}
}

// Unreachable reports whether the worker cannot be called since its last answer: its address refuses connections, or another worker
// answers there.
func (t *Table) Unreachable() bool { return t.unreachableAt > 0 && t.unreachableAt >= t.lastAnswer }

// refusedLately reports whether the worker could not be called a short time ago. It may still answer on open connections.
func (t *Table) refusedLately(now clock.Millis) bool {
	return t.unreachableAt > 0 && now-t.unreachableAt < silentAfter
}

// leaseExpired reports whether all runs on the worker must have ended because its lease has expired, even if its clock is slow
// by maxClockDriftPercent. It does not while the last contact is more recent than silentAfter.
func (t *Table) leaseExpired(now, contact clock.Millis) bool {
	if now-contact < silentAfter || !t.predecessorLeaseExpired(now) {
		return false
	}
	elapsed := now - t.workerClockAt
	return t.workerClock+elapsed-elapsed*maxClockDriftPercent/100 > t.grantedUntil+stopRetryInterval
}
