package queue_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// maxStartsAfterThirdCrash is one less than the number of starts at which the users count a task that crashes its
// workers as started without a bound.
const maxStartsAfterThirdCrash = 2

// Guards against a task that crashes worker after worker (BUDGET).
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		h.enroll(name, "d1")
	}
	h.submit("bad", 1, 60, 20*clock.Second)
	startsAfterThirdCrash := 0
	for crashed := 0; crashed < 9; crashed++ {
		sent := h.takeOrders()
		if len(sent) == 0 {
			break
		}
		if crashed >= 3 {
			startsAfterThirdCrash += len(sent)
		}
		h.now += 60
		h.crash(sent[0].runner, sent[0].run)
		h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
		h.perform(h.scheduler.Tick(h.now))
	}
	assert.Assert(t, startsAfterThirdCrash <= maxStartsAfterThirdCrash, "%d starts after the third crash", startsAfterThirdCrash)
	assert.Equal(t, h.answers["bad"].Result, lavendercourse.JobFailed)
}

// Guards against a count of crashes that begins anew at another entry, after the first one was killed.
func TestCrashesCountAcrossEntries(t *testing.T) {
	first, second := newHarness("d1"), newHarness("d1")
	entries := []*harness{first, second}
	for _, h := range entries {
		for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
			h.enroll(name, "d1")
		}
	}
	crashes := 0
	crash := func(h *harness) bool {
		sent := h.takeOrders()
		if len(sent) == 0 {
			return false
		}
		crashes++
		for _, e := range entries {
			e.now += 60
			e.crashed = int64(crashes) - 1
			e.crash(sent[0].runner, sent[0].run)
		}
		h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
		return true
	}
	first.submit("bad", 1, 60, 20*clock.Second)
	crash(first)
	second.submit("bad", 1, 60, 20*clock.Second)
	for crash(second) {
	}
	assert.Equal(t, crashes, 2)
	assert.Equal(t, second.answers["bad"].Result, lavendercourse.JobFailed)

	crash(first)
	assert.Equal(t, first.answers["bad"].Result, lavendercourse.JobFailed)
}

// Guards against a job that is accepted again although another entry has seen its task crash three workers.
func TestSubmissionOfCrashingJobFailsAtOnce(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		h.enroll(name, "d1")
	}
	for _, runner := range []string{"r2", "r3", "r4"} {
		h.now += 100
		h.crash(runner, lavendercourse.RunID{Job: "bad", Run: 1})
	}
	j, a := h.submit("bad", 1, 60, 20*clock.Second)
	assert.Assert(t, j == nil)
	assert.Equal(t, a.Result, lavendercourse.JobFailed)
	_, a = h.submit("bad", 1, 60, 20*clock.Second)
	assert.Equal(t, a.Result, lavendercourse.JobFailed, "a repeated submission gets the same answer")
}

// Guards against a job that is shown as failed although another job's task crashed its workers each time (LOST).
func TestJobBesideBadTasksIsNotShownAsFailed(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		h.enroll(name, "d1")
	}
	h.submit("innocent", 1, 900, 20*clock.Second)
	for round := range 5 {
		sent := h.takeOrders()
		if len(sent) == 0 {
			break
		}
		h.now += 100 * clock.Millis(round+1)
		h.crash(sent[0].runner, sent[0].run, lavendercourse.RunID{Job: "bad" + string(rune('0'+round)), Run: 1})
		h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
		h.perform(h.scheduler.Tick(h.now))
	}
	a, answered := h.answers["innocent"]
	assert.Assert(t, !answered || a.Result != lavendercourse.JobFailed, a.Cause)
}

// Guards against a crashing task that is started without a bound because its runs end in other ways than a crash.
func TestStartsAfterThirdCrashAreBounded(t *testing.T) {
	h := newHarness("d1")
	names := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"}
	for _, name := range names {
		h.enroll(name, "d1")
	}
	h.submit("bad", 1, 60, 20*clock.Second)
	h.submit("beside", 1, 60, 20*clock.Second)
	starts := 0
	for round := range 8 {
		var bad *sentRun
		for _, s := range h.takeOrders() {
			if s.run.Job == "bad" {
				bad = &s
			}
		}
		if bad == nil {
			break
		}
		h.now += 60
		beside := lavendercourse.RunID{Job: "beside", Run: 1}
		if round < 3 {
			h.crash(bad.runner, bad.run, beside)
			h.endRun(*bad, lavendercourse.EndCrashed, capacity)
			continue
		}
		starts++
		h.endRun(*bad, lavendercourse.EndExpired, capacity)
	}
	assert.Assert(t, starts <= maxStartsAfterThirdCrash, "%d starts after the third crash", starts)
	assert.Equal(t, h.answers["bad"].Result, lavendercourse.JobInterrupted, "each worker ran another task too, so none is shown to be responsible")
}

// Guards against innocent jobs that fail because their tasks start again beside the one that crashes workers.
func TestJobsBesideCrashingTaskComplete(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		h.enroll(name, "d1")
	}
	h.submit("bad", 1, 60, 20*clock.Second)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		h.submit(id, 1, 60, 20*clock.Second)
	}
	for range 12 {
		h.now += 60
		byRunner := map[string][]sentRun{}
		for _, s := range h.takeOrders() {
			byRunner[s.runner] = append(byRunner[s.runner], s)
		}
		for runner, runs := range byRunner {
			ids, kind := []lavendercourse.RunID{}, lavendercourse.EndDone
			for _, s := range runs {
				ids = append(ids, s.run)
				if s.run.Job == "bad" {
					kind = lavendercourse.EndCrashed
				}
			}
			if kind == lavendercourse.EndCrashed {
				h.crash(runner, ids...)
			}
			for _, s := range runs {
				h.endRun(s, kind, capacity)
			}
		}
	}
	assert.Equal(t, h.answers["bad"].Result, lavendercourse.JobFailed)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		assert.Equal(t, h.answers[id].Result, lavendercourse.JobCompleted, id)
	}
}

// Guards against a job that is shown as failed because a job of another queue has the same id and crashes workers: ids are
// unique within one queue only (LOST).
func TestJobWithIDOfCrashingJobOfOtherQueue(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		h.enroll(name, "d1")
	}
	h.submit("bad", 1, 60, 20*clock.Second)
	for range 9 {
		sent := h.takeOrders()
		if len(sent) == 0 {
			break
		}
		h.now += 60
		h.crash(sent[0].runner, sent[0].run)
		h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
	}
	assert.Equal(t, h.answers["bad"].Result, lavendercourse.JobFailed)
	other := testQueue
	other.Name, other.PathPrefix = "prints", "/other/"
	_, a, _ := h.scheduler.Submit(h.now, lavendercourse.Submission{
		Payload: "other payload", Steps: []lavendercourse.Step{{Count: 1, Need: need, Estimate: 60}},
	}, other, "bad")
	assert.Assert(t, a.Result != lavendercourse.JobFailed, a.Cause)
}

// Guards against a task that crashes its workers without a bound since it waits again when its entry is told of the crash: the
// link to the runner was cut, so the entry knows from the new enrollment that the run has ended, and gets the crash after it.
func TestCrashToldAfterEnrollmentCounts(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		h.enroll(name, "d1")
	}
	h.submit("bad", 1, 60, 60*clock.Second)
	starts := 0
	for starts < 9 {
		sent := h.takeOrders()
		if len(sent) == 0 {
			break
		}
		starts++
		h.now += 60
		h.scheduler.Unlinked(sent[0].runner)
		h.now += 100
		h.orderedRuns[sent[0].runner] = 0
		h.perform(h.scheduler.Enroll(h.now, message.Enroll{Name: sent[0].runner, Domain: "d1", Service: service, Capacity: capacity}, false))
		h.crashed++
		h.perform(h.scheduler.HandleCrash(h.now, sent[0].runner, message.Crash{
			Incarnation: h.crashed, Ago: 100, Runs: []message.CrashedRun{{Run: sent[0].run, Age: 60}},
		}))
		for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
			h.report(name, capacity)
		}
		h.perform(h.scheduler.Tick(h.now))
	}
	assert.Assert(t, starts <= 3+maxStartsAfterThirdCrash, "%d starts, each of which crashed a worker", starts)
}

// Guards against a task that is started again and again because its crashes are forgotten: a job that is answered as
// interrupted after five crashes may be submitted again, and the users' bound has no time limit (BUDGET).
func TestExhaustedJobThatIsSubmittedAgainLater(t *testing.T) {
	h := newHarness("d1")
	names := []string{"r1", "r2"}
	for _, name := range names {
		h.enroll(name, "d1")
	}
	starts := 0
	for range 4 {
		h.submit("bad", 1, 60, 20*clock.Second)
		for range 9 {
			sent := h.takeOrders()
			if len(sent) == 0 {
				break
			}
			starts++
			h.now += 60
			h.crash(sent[0].runner, sent[0].run, lavendercourse.RunID{Job: "beside", Run: starts})
			h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
			h.now += clock.Second
			for _, name := range names {
				h.report(name, capacity)
			}
			h.perform(h.scheduler.Tick(h.now))
		}
		h.now += 31 * clock.Second
		h.crash("r1", lavendercourse.RunID{Job: "other", Run: starts})
		for _, name := range names {
			h.report(name, capacity)
		}
		h.perform(h.scheduler.Tick(h.now))
	}
	assert.Assert(t, starts <= 3+maxStartsAfterThirdCrash, "%d starts, each of which crashed a worker", starts)
}

// Guards against a job that is interrupted on each submission, long after the crashes that its task took part in are past
// their retention, because no other worker crashes meanwhile.
func TestExhaustedJobIsServedOnceItsCrashesAreOld(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
		h.enroll(name, "d1")
	}
	for i, runner := range []string{"r1", "r2", "r3", "r4", "r5"} {
		h.now += 300
		h.crash(runner, lavendercourse.RunID{Job: "innocent", Run: i + 1}, lavendercourse.RunID{Job: "beside", Task: i, Run: 1})
	}
	_, a := h.submit("innocent", 1, 60, 20*clock.Second)
	assert.Equal(t, a.Result, lavendercourse.JobInterrupted)
	h.now += 10 * 60 * clock.Second
	h.report("r6", capacity)
	h.perform(h.scheduler.Tick(h.now))
	j, a := h.submit("innocent", 1, 60, 20*clock.Second)
	assert.Assert(t, j != nil, "ten minutes later: %s", a.Cause)
}

// Guards against a task that is started without a bound since one of its crashes is not told: the worker was silent or draining
// at its end, so its runner only reports that the runs have ended with it (BUDGET).
func TestStartsAfterThirdCrashAreBoundedIfOneIsNotTold(t *testing.T) {
	h := newHarness("d1")
	names := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"}
	for _, name := range names {
		h.enroll(name, "d1")
	}
	h.submit("bad", 1, 200, 20*clock.Second)
	// The ages differ, as those of task 0 of 4d1a224e4ce2689f in the incident.
	ages := []clock.Millis{64, 13, 26, 90, 150, 40, 110, 190}
	starts := 0
	for crashed, age := range ages {
		sent := h.takeOrders()
		if len(sent) == 0 {
			break
		}
		if crashed >= 3 {
			starts++
		}
		h.now += age
		if crashed != 1 {
			h.crashed++
			crash := message.Crash{Incarnation: h.crashed, Runs: []message.CrashedRun{{Run: sent[0].run, Age: age}}}
			if !sent[0].isolated {
				crash.Runs = append(crash.Runs, message.CrashedRun{Run: lavendercourse.RunID{Job: "beside", Task: crashed, Run: 1}, Age: 30})
			}
			h.perform(h.scheduler.HandleCrash(h.now, sent[0].runner, crash))
		}
		h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
		h.now += 300
		for _, name := range names {
			h.report(name, capacity)
		}
		h.perform(h.scheduler.Tick(h.now))
	}
	assert.Assert(t, starts <= maxStartsAfterThirdCrash, "%d starts after the third crash", starts)
}

// Guards against starts that are counted anew when a job that was interrupted for its crashes is submitted again.
func TestStartsAfterThirdCrashCountAcrossSubmissions(t *testing.T) {
	h := newHarness("d1")
	names := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"}
	for _, name := range names {
		h.enroll(name, "d1")
	}
	starts, crashes := 0, 0
	for range 3 {
		h.submit("bad", 1, 60, 20*clock.Second)
		for range 8 {
			sent := h.takeOrders()
			if len(sent) == 0 {
				break
			}
			h.now += 60
			if crashes < 3 {
				crashes++
				h.crash(sent[0].runner, sent[0].run, lavendercourse.RunID{Job: "beside", Task: crashes, Run: 1})
				h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
				continue
			}
			starts++
			h.endRun(sent[0], lavendercourse.EndExpired, capacity)
		}
		h.now += 1300
		for _, name := range names {
			h.report(name, capacity)
		}
		h.perform(h.scheduler.Tick(h.now))
	}
	assert.Assert(t, starts <= maxStartsAfterThirdCrash, "%d starts after the third crash", starts)
}

// Guards against a verdict on the first of many workers that end at the same time: their common cause is known some ms later
// (LOST).
func TestFirstWorkerOfManyIsNoEvidence(t *testing.T) {
	h := newHarness("d1")
	names := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"}
	for _, name := range names {
		h.enroll(name, "d1")
	}
	h.submit("innocent", 1, 200, 20*clock.Second)
	// A crash of a single worker, which happened to run nothing else.
	sent := h.takeOrders()
	h.now += 60
	h.crash(sent[0].runner, sent[0].run)
	h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
	sent = h.takeOrders()
	h.now += 60
	for i, name := range append([]string{sent[0].runner}, names...) {
		h.now += 2
		if i > 0 && name == sent[0].runner {
			continue
		}
		if i == 0 {
			h.crash(name, sent[0].run)
			h.perform(h.scheduler.HandleEnds(h.now, name, message.Ended{
				Report: h.loadReport(name, capacity), Ends: []message.RunEnd{{Run: sent[0].run, Kind: lavendercourse.EndCrashed}},
			}))
			continue
		}
		h.crash(name, lavendercourse.RunID{Job: "other", Task: i, Run: 1})
	}
	h.now += settleTime
	h.perform(h.scheduler.Tick(h.now))
	a := h.answers["innocent"]
	assert.Assert(t, a.Result != lavendercourse.JobFailed, a.Cause)
}

// Guards against a queue that uses all workers until the leases of those that its tasks have crashed have expired.
func TestQueueIsContainedBeforeItsRunsHaveEnded(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		h.enroll(name, "d1")
	}
	h.submit("bad", 1, 60, 20*clock.Second)
	first := h.takeOrders()
	h.now += 60
	h.crash(first[0].runner, first[0].run)
	h.endRun(first[0], lavendercourse.EndCrashed, capacity)
	second := h.takeOrders()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, len(h.scheduler.Verdicts()), 0)
	h.now += 60
	h.crash(second[0].runner, second[0].run)
	assert.Equal(t, len(h.scheduler.Verdicts()), 1)
}

// Guards against a worker that counts as crashed although it answers in the same incarnation.
func TestWithdrawnCrashOfWorkerIsNoEvidence(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		h.enroll(name, "d1")
	}
	h.submit("good", 1, 60, 20*clock.Second)
	for range 4 {
		sent := h.takeOrders()
		assert.Equal(t, len(sent), 1)
		h.now += 60
		h.crash(sent[0].runner, sent[0].run)
		h.scheduler.WithdrawCrash(sent[0].runner, h.crashed)
		h.endRun(sent[0], lavendercourse.EndExpired, capacity)
	}
	assert.Equal(t, len(h.scheduler.Verdicts()), 0)
	assert.Equal(t, len(h.answers), 0)
}
