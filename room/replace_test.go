package room_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/room"
)

// secondIncarnation is the incarnation of the worker in replacementReport.
const secondIncarnation = firstIncarnation + 5000

// Guards against a list of another worker that is taken for one of the recorded worker, because it answers a call that was sent
// before the record was read and named no worker.
func TestListOfOtherIncarnationDoesNotShowRunsOfPredecessor(t *testing.T) {
	h := newHarness(t)
	_, unnamed, _ := h.table.NextRenewal(h.now)
	h.inherit(workerName)
	h.incarnation = secondIncarnation
	h.table.HandleRenewalReply(h.now+1, h.now, unnamed, lavendercourse.WorkerRuns{Status: h.workerStatus()}, lavendercourse.ReplyAccepted)
	assert.Assert(t, h.table.MayHaveRuns(entryName))
}

// Guards against runs of a predecessor that are taken for ended although the recorded worker has answered this runner, with a refusal
// that does not name its incarnation.
func TestRefusalShowsThatRecordedWorkerGoesOn(t *testing.T) {
	h := newHarness(t)
	began := h.now
	h.inherit(workerName)
	h.incarnation = 0
	h.renew(lavendercourse.ReplyUnavailable)
	h.table.HandleHeartbeat(h.now, replacementReport(1))
	h.incarnation = secondIncarnation
	took := h.untilNothingIsLeft(began)
	assert.Assert(t, took >= predecessorLease, "nothing is left after %d ms", took)
}

// Guards against a recorded worker that is given up before the lease has expired that a predecessor may have granted: it has refused
// a renewal, so that this runner has granted none.
func TestWorkerIsNotGivenUpBeforeLeaseOfPredecessor(t *testing.T) {
	h := newHarness(t)
	began := h.now
	h.renew(lavendercourse.ReplyUnavailable)
	h.inherit(workerName)
	for sequence := int64(1); h.now < began+predecessorLease-20; sequence++ {
		h.now += 9
		h.table.HandleRefusedConnection(h.now, h.now)
		h.table.HandleHeartbeat(h.now, replacementReport(sequence))
		h.table.Tick(h.now)
		h.incarnation = firstIncarnation
		if w, _ := h.table.Worker(); w.ID != workerName {
			h.incarnation = secondIncarnation
			h.renew(lavendercourse.ReplyAccepted)
		}
		assert.Assert(t, h.table.MayHaveRuns(entryName), "nothing is left after %d ms", h.now-began)
	}
}

// drainWithRun makes the worker drain with one run, which goes on for the given time in ms after the heartbeat of another worker.
func (h *harness) drainWithRun(lasts clock.Millis) {
	h.order(runID(0))
	h.renew(lavendercourse.ReplyAccepted, runID(0))
	// The interval of the heartbeats is not measured across a gap, so the default applies.
	h.seq++
	h.heartbeat(firstIncarnation, true)
	h.table.HandleHeartbeat(h.now, replacementReport(1))
	for until := h.now + lasts; h.now < until; {
		h.now += 20
		h.percent++
		h.table.RenewOwnerLease(entryName, h.now)
		h.renew(lavendercourse.ReplyAccepted, runID(0))
	}
	h.end(runID(0), lavendercourse.EndDone)
}

// Guards against runs on a worker whose kept heartbeat is too old to tell its capacity, when it is used and afterwards.
func TestKeptHeartbeatIsUsedOnlyWhileItIsNew(t *testing.T) {
	h := newReadyHarness(t)
	h.drainWithRun(3600)
	assert.Assert(t, !slices.Contains(comparableActions(h.table.Tick(h.now)), room.Action(room.DescribeWorker{})))
	w, _ := h.table.Worker()
	assert.Equal(t, w.ID, workerName)

	h = newReadyHarness(t)
	arrived := h.now + 1
	h.drainWithRun(2500)
	h.table.Tick(h.now)
	h.incarnation, h.lastEnd = secondIncarnation, 0
	for _, age := range []clock.Millis{3400, 3600} {
		for h.now < arrived+age {
			h.now += 19
			h.renew(lavendercourse.ReplyAccepted)
		}
		assert.Equal(t, h.table.AcceptsRuns(h.now), age < 3500, "after %d ms", h.now-arrived)
	}
}

// Guards against an answer of the recorded worker that counts as one of the worker that has taken its place before it answered: the
// next answer would then look like a crash.
func TestLateAnswerOfReplacedWorkerIsDropped(t *testing.T) {
	h := newHarness(t)
	h.inherit(workerName)
	sent := h.now
	_, renewal, _ := h.table.NextRenewal(sent)
	h.table.HandleHeartbeat(h.now, replacementReport(1))
	h.table.NextRenewal(h.now)
	h.now++
	actions := h.table.HandleRenewalReply(h.now, sent, renewal, lavendercourse.WorkerRuns{Status: h.workerStatus()}, lavendercourse.ReplyAccepted)
	h.incarnation = secondIncarnation
	actions = append(actions, h.renew(lavendercourse.ReplyAccepted)...)
	assert.Equal(t, len(crashes(actions)), 0)
	assert.Assert(t, h.table.AnsweredWithin(h.now, 10))
}

// Guards against a draining worker that loses its place before it has listed the runs of a predecessor.
func TestDrainingWorkerThatHasListedNothingIsNotReplaced(t *testing.T) {
	h := newHarness(t)
	h.inherit(workerName)
	h.renew(lavendercourse.ReplyUnavailable)
	h.heartbeat(firstIncarnation, true)
	h.table.HandleHeartbeat(h.now, replacementReport(1))
	w, _ := h.table.Worker()
	assert.Equal(t, w.ID, workerName)
}

// Guards against a delayed heartbeat of an earlier process that takes the place of the present report while the worker is silent.
func TestDelayedHeartbeatDoesNotReplaceReportOfSilentWorker(t *testing.T) {
	h := newReadyHarness(t)
	h.now += 600
	h.heartbeat(firstIncarnation+7000, false)
	h.now++
	h.renew(lavendercourse.ReplyAccepted)
	assert.Assert(t, h.table.AcceptsRuns(h.now))
}

// Guards against a worker that is replaced by one that is leaving, too.
func TestHeartbeatOfOtherDrainingWorkerIsNotKept(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.renew(lavendercourse.ReplyAccepted, runID(0))
	h.heartbeat(firstIncarnation, true)
	other := replacementReport(1)
	other.Draining = true
	h.table.HandleHeartbeat(h.now, other)
	h.end(runID(0), lavendercourse.EndDone)
	h.table.Tick(h.now)
	w, _ := h.table.Worker()
	assert.Equal(t, w.ID, workerName)
}

// Guards against one crash that is reported twice, because the worker has answered meanwhile without a list.
func TestCrashIsReportedOnceUntilItIsWithdrawn(t *testing.T) {
	h := newReadyHarness(t)
	h.now++
	assert.Equal(t, len(crashes(h.table.HandleRefusedConnection(h.now, h.now))), 1)
	h.renew(lavendercourse.ReplyUnavailable)
	h.now++
	assert.Equal(t, len(crashes(h.table.HandleRefusedConnection(h.now, h.now))), 0)
}

// Guards against a crash of the next incarnation that is withdrawn or not reported because of the crash before it.
func TestCrashOfNextIncarnationIsReported(t *testing.T) {
	h := newReadyHarness(t)
	h.now++
	h.table.HandleRefusedConnection(h.now, h.now)
	actions := append(h.restart(), h.renew(lavendercourse.ReplyAccepted)...)
	for _, a := range comparableActions(actions) {
		_, withdrawn := a.(room.WithdrawCrash)
		assert.Assert(t, !withdrawn)
	}
	h.now++
	assert.Equal(t, len(crashes(h.table.HandleRefusedConnection(h.now, h.now))), 1)
}

// Guards against an early report of a worker that is leaving, which has not crashed, and against one because of a connection that was
// refused before the worker's last answer.
func TestRefusedConnectionIsNoCrash(t *testing.T) {
	h := newReadyHarness(t)
	h.heartbeat(firstIncarnation, true)
	h.now++
	assert.Equal(t, len(h.table.HandleRefusedConnection(h.now, h.now)), 0)

	h = newReadyHarness(t)
	sent := h.now
	h.now += 5
	h.renew(lavendercourse.ReplyAccepted)
	assert.Equal(t, len(h.table.HandleRefusedConnection(h.now, sent)), 0)
	assert.Assert(t, !h.table.Unreachable())
}

// Guards against a crash that is dated to the time at which it was noticed: entries compare the times of crashes.
func TestCrashIsDatedToFirstSign(t *testing.T) {
	h := newReadyHarness(t)
	h.renew(lavendercourse.ReplyIncarnation)
	first := h.now
	h.now += 100
	for _, a := range h.restart() {
		if c, ok := a.(room.ReportCrash); ok {
			assert.Equal(t, c.Crash.Ago, h.now-first)
			return
		}
	}
	t.Fatal("no crash was reported")
}

// Guards against a heartbeat of a new incarnation that is taken for a delayed one, because of a list that was asked for before it.
func TestOlderListDoesNotDropHeartbeatOfNewIncarnation(t *testing.T) {
	h := newReadyHarness(t)
	sent := h.now
	_, renewal, _ := h.table.NextRenewal(sent)
	h.now++
	h.heartbeat(firstIncarnation+7000, false)
	h.now++
	h.table.HandleRenewalReply(h.now, sent, renewal, lavendercourse.WorkerRuns{Status: h.workerStatus()}, lavendercourse.ReplyAccepted)
	assert.DeepEqual(t, describe(h.order(runID(0))), []string{"refused 0"})
}

// Guards against a kept heartbeat of another worker that is dropped at each list of the present one.
func TestListDoesNotDropHeartbeatOfOtherWorker(t *testing.T) {
	h := newReadyHarness(t)
	h.drainWithRun(100)
	h.table.Tick(h.now)
	w, _ := h.table.Worker()
	assert.Equal(t, w.ID, "w2")
}

// Guards against a warning of two runs at once for each worker that answers again after its lease and has nothing left.
func TestReturnWithoutRunsIsNotReported(t *testing.T) {
	h := newReadyHarness(t)
	h.refuseUntilLeaseExpires()
	for _, a := range comparableActions(h.renew(lavendercourse.ReplyAccepted)) {
		_, returned := a.(room.ReportReturn)
		assert.Assert(t, !returned)
	}
}
