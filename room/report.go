package room

import (
	"math"
	"slices"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Worker returns the last report of the worker, and false if it is not of the worker's current incarnation.
func (t *Table) Worker() (lavendercourse.WorkerReport, bool) { return t.worker, t.reportIsCurrent() }

// reportAge returns the age of the last report in ms, or more. It is measured by the worker's clock, since a report may have
// waited while this runner was paused or another one ran, or by the time of its arrival if the report has no clock reading.
func (t *Table) reportAge(now clock.Millis) clock.Millis {
	switch {
	case t.worker.Clock > 0 && t.hasClockOffset:
		return now + t.clockOffset - t.worker.Clock
	case t.inheritedAt != 0:
		return maxClock
	}
	return now - t.reportedAt
}

// HandleHeartbeat processes a heartbeat of the worker. It also returns whether entries have to be sent the worker's
// description again, since it has changed. A heartbeat of another worker or incarnation does not end the runs of the present
// one, which may go on beside it; it is kept until that has ended. A report of a worker that it drains counts for that worker, also if
// it has not taken the place of the present one yet.
func (t *Table) HandleHeartbeat(now clock.Millis, report lavendercourse.WorkerReport) ([]Action, bool) {
	sameWorker := t.describesWorker(report)
	if sameWorker && t.isStale(report) || t.isOlderThanKept(report) {
		return nil, false
	}
	t.recordLeaving(report)
	if !t.canAdopt(now, report) {
		if sameWorker || !report.Draining {
			t.replacement, t.replacementAt, t.hasReplacement = report, now, true
		} else if report.ID == t.replacement.ID {
			t.hasReplacement = false
		}
		return nil, false
	}
	var actions []Action
	if t.incarnation != 0 && report.Incarnation != t.incarnation {
		actions = t.endIncarnation(now, evidenceReplaced)
	}
	return actions, t.adopt(now, report)
}

// isOlderThanKept reports whether a worker has sent a later report than the given one, which is kept until the worker may be used or
// shows that it drains.
func (t *Table) isOlderThanKept(report lavendercourse.WorkerReport) bool {
	older := func(kept lavendercourse.WorkerReport) bool {
		return report.ID == kept.ID && report.Incarnation == kept.Incarnation && report.Sequence < kept.Sequence
	}
	return t.hasReplacement && older(t.replacement) || slices.ContainsFunc(t.leaving, older)
}

// recordLeaving records whether the worker that has sent the report drains.
func (t *Table) recordLeaving(report lavendercourse.WorkerReport) {
	t.leaving = slices.DeleteFunc(t.leaving, func(kept lavendercourse.WorkerReport) bool {
		return kept.ID == report.ID && kept.Incarnation == report.Incarnation
	})
	if !report.Draining {
		return
	}
	t.leaving = append(t.leaving, report)
	if len(t.leaving) > maxLeaving {
		t.leaving = t.leaving[1:]
	}
}

// describesWorker reports whether a report is of the worker that the table describes, maybe of another incarnation.
func (t *Table) describesWorker(report lavendercourse.WorkerReport) bool {
	return !t.hasReport || report.ID == t.worker.ID
}

// canAdopt reports whether a report may take the place of the last one now: it is of the incarnation that answers, or none has
// answered yet, or the worker that it replaces is leaving or silent and has no runs. A worker that is leaving does not take the
// place of its successor again.
func (t *Table) canAdopt(now clock.Millis, report lavendercourse.WorkerReport) bool {
	switch {
	case report.Incarnation == t.incarnation:
		return true
	case t.incarnation == 0:
		return t.describesWorker(report) || !report.Draining
	case t.describesWorker(report):
		return false
	}
	return t.reconciled && len(t.runs) == 0 && len(t.foreign) == 0 && (t.draining || !t.AnsweredWithin(now, silentAfter))
}

// useReplacement adopts the report that was kept, if it may take the place of the last one now and is not too old.
func (t *Table) useReplacement(now clock.Millis) []Action {
	if !t.hasReplacement || !t.canAdopt(now, t.replacement) {
		return nil
	}
	t.hasReplacement = false
	arrived := t.replacementAt
	if now-arrived > t.heartbeatInterval+reportAgeMargin || (t.describesWorker(t.replacement) && t.isStale(t.replacement)) {
		return nil
	}
	actions, _ := t.HandleHeartbeat(now, t.replacement)
	t.reportedAt = arrived
	return append(actions, DescribeWorker{})
}

// adopt makes a report the last one, and returns whether entries have to be sent the worker's description again.
func (t *Table) adopt(now clock.Millis, report lavendercourse.WorkerReport) bool {
	if (!t.hasReport || report.ID != t.worker.ID) && report.Incarnation != t.incarnation {
		t.dropAnswers()
	}
	if !t.describesWorker(report) {
		t.unreachableAt = 0
	}
	sameKind := t.hasReport && report.Incarnation == t.worker.Incarnation && report.ID == t.worker.ID &&
		report.Service == t.worker.Service && slices.Equal(report.Labels, t.worker.Labels)
	if !sameKind {
		t.describedAt = now
	}
	changed := !sameKind || !t.reportIsCurrent() || report.Capacity != t.worker.Capacity
	t.measureInterval(now, report)
	t.worker, t.hasReport, t.draining, t.inheritedAt, t.reportedAt = report, true, report.Draining, 0, now
	t.hasReplacement = t.hasReplacement && t.replacement.ID != report.ID
	return changed
}

// dropAnswers forgets the answers to calls that named no worker or another one, and those that are still to come: they say nothing of
// the worker that is called from now on.
func (t *Table) dropAnswers() {
	t.token, t.prevMaxToken, t.reconciled = 0, t.maxToken, false
	t.workerClock, t.workerClockAt, t.lastAnswer, t.lastList, t.hasClockOffset, t.listedAt, t.lastEnd = 0, 0, 0, 0, false, 0, 0
	t.incarnation, t.grantedUntil, t.foreign = 0, 0, map[lavendercourse.RunID]bool{}
}

// BeingReplaced reports whether another worker sends heartbeats beside the one that the table describes.
func (t *Table) BeingReplaced() bool { return t.hasReplacement && !t.describesWorker(t.replacement) }

// restarts reports whether a heartbeat shows that the worker has restarted, before it answers in the new incarnation.
func (t *Table) restarts() bool { return t.hasReplacement && t.describesWorker(t.replacement) }

// measureInterval updates the interval of the heartbeats if the given one follows the last one.
func (t *Table) measureInterval(now clock.Millis, report lavendercourse.WorkerReport) {
	if t.reportedAt == 0 || report.Incarnation != t.worker.Incarnation || report.Sequence != t.worker.Sequence+1 {
		return
	}
	interval := now - t.reportedAt
	if report.Clock > 0 && t.worker.Clock > 0 {
		interval = report.Clock - t.worker.Clock
	}
	if !t.intervalMeasured || interval < t.heartbeatInterval {
		t.heartbeatInterval, t.intervalMeasured = max(interval, minHeartbeatInterval), true
	}
}

// InheritReport sets the worker report that a predecessor of this runner received, so that a restarted runner accepts
// runs before the next heartbeat. The report is used until a heartbeat arrives, for at most inheritedReportTimeout, and
// only if the worker answers in the same incarnation.
func (t *Table) InheritReport(now clock.Millis, report lavendercourse.WorkerReport) {
	t.inheritedID = report.ID
	if !t.hasReport && t.incarnation != report.Incarnation {
		t.dropAnswers()
	}
	if !t.hasReport {
		t.worker, t.hasReport, t.draining, t.inheritedAt = report, true, report.Draining, now
	}
}

// isStale reports whether a heartbeat is older than what is known of the worker.
func (t *Table) isStale(report lavendercourse.WorkerReport) bool {
	switch {
	case report.Incarnation < t.latestIncarnation():
		return true
	case t.incarnation != 0 && report.Incarnation > t.incarnation:
		// The worker's time of day may have been set back between two incarnations. A heartbeat that is no newer than
		// the last report is then of the earlier incarnation.
		return report.Incarnation <= t.worker.Incarnation
	}
	return report.ID == t.worker.ID && report.Incarnation == t.worker.Incarnation && report.Sequence <= t.worker.Sequence
}

// latestIncarnation returns the newest known incarnation. The one that the worker answers with takes precedence over
// the last heartbeat, since the time of day at a worker may be set back between two incarnations.
func (t *Table) latestIncarnation() int64 {
	if t.incarnation != 0 {
		return t.incarnation
	}
	return t.worker.Incarnation
}

// reportIsCurrent reports whether the last report is of the incarnation that the worker answers with. Another
// incarnation may have a different capacity, even at the same address.
func (t *Table) reportIsCurrent() bool {
	return t.hasReport && (t.worker.Incarnation == t.incarnation || (t.incarnation == 0 && t.inheritedAt == 0))
}

// HandleDeregistration records that the worker with the given id is shutting down, so that it gets no new runs. Its
// runs continue. No report that this process of the worker has sent before counts any more.
func (t *Table) HandleDeregistration(worker string) {
	recordLast := func(report lavendercourse.WorkerReport) {
		report.Sequence = math.MaxInt64
		t.recordLeaving(report)
	}
	if t.hasReport && worker == t.worker.ID {
		t.draining, t.worker.Draining = true, true
		recordLast(t.worker)
	}
	if t.hasReplacement && worker == t.replacement.ID {
		t.hasReplacement, t.replacement.Draining = false, true
		recordLast(t.replacement)
	}
}
