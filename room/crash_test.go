package room_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/room"
)

// crashes returns the runs of each ReportCrash action.
func crashes(actions []room.Action) [][]lavendercourse.RunID {
	var all [][]lavendercourse.RunID
	for _, a := range actions {
		if c, ok := a.(room.ReportCrash); ok {
			var runs []lavendercourse.RunID
			for _, r := range c.Crash.Runs {
				runs = append(runs, r.Run)
			}
			all = append(all, runs)
		}
	}
	return all
}

// Guards against a crash that is not traced to the runs that the worker had: those that run, start or are being stopped.
func TestCrashNamesAllRunsOfTheWorker(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0), runID(1), runID(2))
	h.renew(lavendercourse.ReplyAccepted, runID(0), runID(1))
	h.table.HandleRecall(h.now, entryName, h.now, []lavendercourse.RunID{runID(1)})
	assert.DeepEqual(t, crashes(h.refuseUntilLeaseExpires()), [][]lavendercourse.RunID{{runID(0), runID(1), runID(2)}})
	assert.Equal(t, len(crashes(h.refuseUntilLeaseExpires())), 0, "one crash is reported once")
}

// Guards against a crash that looks like silence: the runs were given up before the new incarnation was noticed.
func TestCrashOfSilentWorkerNamesExpiredRuns(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.renew(lavendercourse.ReplyAccepted, runID(0))
	h.now += 3 * clock.Second
	assert.DeepEqual(t, describe(h.table.Tick(h.now)), []string{"expired 0"})
	assert.DeepEqual(t, crashes(h.restart()), [][]lavendercourse.RunID{{runID(0)}})
}

// Guards against a cut that is taken for a crash: the worker answers again in the same incarnation.
func TestExpiredRunsOfReachableWorkerAreNoCrash(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.renew(lavendercourse.ReplyAccepted, runID(0))
	h.now += 3 * clock.Second
	h.table.Tick(h.now)
	h.renew(lavendercourse.ReplyAccepted)
	// The end of the next incarnation, a moment later, is a crash of an idle worker.
	assert.DeepEqual(t, crashes(h.restart()), [][]lavendercourse.RunID{nil})
}

// observed returns, for each ReportCrash action, whether entries are told of it.
func observed(actions []room.Action) []bool {
	var all []bool
	for _, a := range actions {
		if c, ok := a.(room.ReportCrash); ok {
			all = append(all, c.Observed)
		}
	}
	return all
}

// Guards against runs that count as suspects of a crash although the worker's process did not crash under them, or nobody
// can tell: it lost its power, restarted behind a cut, or was replaced (LOST).
func TestOnlyObservedCrashesCount(t *testing.T) {
	cases := []struct {
		name string
		end  func(h *harness) []room.Action
		want bool
	}{
		{"refuses connections", func(h *harness) []room.Action { return h.refuseUntilLeaseExpires() }, true},
		{"restarts at once", func(h *harness) []room.Action { return h.restart() }, true},
		{"restarts after it was silent", func(h *harness) []room.Action {
			h.now += 600
			return h.restart()
		}, false},
		{"restarts after its lease", func(h *harness) []room.Action {
			h.now += 3 * clock.Second
			h.table.Tick(h.now)
			return h.restart()
		}, false},
		{"was draining", func(h *harness) []room.Action {
			h.heartbeat(firstIncarnation, true)
			return h.refuseUntilLeaseExpires()
		}, false},
		{"has deregistered", func(h *harness) []room.Action {
			h.table.HandleDeregistration(workerName)
			return h.refuseUntilLeaseExpires()
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t)
			h.order(runID(0))
			h.renew(lavendercourse.ReplyAccepted, runID(0))
			assert.DeepEqual(t, observed(c.end(h)), []bool{c.want})
		})
	}
}

// Guards against a crash that is put down to the only run left, although another one ended a moment before.
func TestCrashNamesRunsThatHaveJustEnded(t *testing.T) {
	for _, c := range []struct {
		after clock.Millis
		want  []lavendercourse.RunID
	}{{50, []lavendercourse.RunID{runID(0), runID(1)}}, {150, []lavendercourse.RunID{runID(1)}}} {
		h := newReadyHarness(t)
		h.order(runID(0), runID(1))
		h.renew(lavendercourse.ReplyAccepted, runID(0), runID(1))
		h.end(runID(0), lavendercourse.EndStopped, runID(1))
		h.now += c.after
		assert.DeepEqual(t, crashes(h.refuseUntilLeaseExpires()), [][]lavendercourse.RunID{c.want})
	}
}

// Guards against a worker that crashes again and again while it is idle, and looks sound to the entries.
func TestCrashOfIdleWorkerIsReported(t *testing.T) {
	h := newReadyHarness(t)
	assert.DeepEqual(t, observed(h.refuseUntilLeaseExpires()), []bool{true})
	h = newReadyHarness(t)
	h.now += 600
	assert.Equal(t, len(observed(h.restart())), 0, "an idle worker that was silent is nobody's concern")
}

// Guards against a crash that is put down to the only run known to run, although an unanswered start of the incarnation before
// may have been carried out late.
func TestCrashNamesRunsInDoubt(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.restart()
	h.incarnation = firstIncarnation + 1
	h.renew(lavendercourse.ReplyUnavailable)
	assert.DeepEqual(t, crashes(h.refuseUntilLeaseExpires()), [][]lavendercourse.RunID{{runID(0)}})
}

// Guards against a crash that is put down to the only run that this runner ordered, although the worker had a run that it did
// not order: one that a killed runner left behind, or whose start was carried out late.
func TestCrashNamesRunsThatWereNotOrdered(t *testing.T) {
	h := newReadyHarness(t)
	h.orderIsolated(runID(1))
	late := lavendercourse.RunID{Job: "late", Task: 7, Run: 1}
	assert.DeepEqual(t, describe(h.renew(lavendercourse.ReplyAccepted, runID(1), late)), []string{"stop 7"})
	named := crashes(h.refuseUntilLeaseExpires())
	assert.Equal(t, len(named), 1)
	assert.Equal(t, len(named[0]), 2, "the crash is put down to %v alone", named[0])
}

// Guards against a crash that counts for a run that the worker has refused: the process ended before the start was sent, so
// that the next one refuses it.
func TestRefusedStartIsNoSuspect(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(1))
	actions := h.table.HandleStartReply(h.now, runID(1), h.table.Token(), h.workerStatus(), lavendercourse.ReplyIncarnation, nil)
	for _, runs := range crashes(actions) {
		assert.Equal(t, len(runs), 0, "%v was refused and is named in a crash", runs)
	}
}

// Guards against a bad task that is noticed only when the lease of its worker has expired, and against a crash that counts
// although the worker has only refused a connection.
func TestCrashIsReportedAtOnceAndWithdrawn(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.renew(lavendercourse.ReplyAccepted, runID(0))
	assert.DeepEqual(t, observed(h.table.HandleRefusedConnection(h.now, h.now)), []bool{true})
	assert.Equal(t, len(h.table.HandleRefusedConnection(h.now, h.now)), 0)
	h.now++
	withdrawn := room.Action(room.WithdrawCrash{Incarnation: firstIncarnation})
	assert.Assert(t, slices.Contains(comparableActions(h.renew(lavendercourse.ReplyAccepted, runID(0))), withdrawn))
	assert.Assert(t, !slices.Contains(comparableActions(h.renew(lavendercourse.ReplyAccepted, runID(0))), withdrawn))
	// A later crash of the same incarnation, which answers again after its lease.
	assert.DeepEqual(t, observed(h.refuseUntilLeaseExpires()), []bool{true})
	assert.Assert(t, slices.Contains(comparableActions(h.renew(lavendercourse.ReplyAccepted)), withdrawn))
}

// comparableActions returns the actions that can be compared, which reports of crashes cannot.
func comparableActions(actions []room.Action) []room.Action {
	return slices.DeleteFunc(slices.Clone(actions), func(a room.Action) bool {
		_, ok := a.(room.ReportCrash)
		return ok
	})
}
