package queue_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// crashTwice submits a job whose task is on two workers that crash beside another job's task, and returns its next order.
func crashTwice(t *testing.T, h *harness, job string) sentRun {
	h.submit(job, 1, 60, 20*clock.Second)
	for range 2 {
		sent := h.takeOrders()
		assert.Equal(t, len(sent), 1)
		assert.Assert(t, !sent[0].isolated)
		h.now += 60
		h.crash(sent[0].runner, sent[0].run, lavendercourse.RunID{Job: "beside " + job, Run: 1})
		h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
	}
	sent := h.takeOrders()
	assert.Equal(t, len(sent), 1)
	return sent[0]
}

// Guards against a suspect that meets crash after crash of others, since it shares its workers, and against an innocent one
// that is not cleared by ending well.
func TestSuspectOfTwoCrashesIsIsolated(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4"} {
		h.enroll(name, "d1")
	}
	alone := crashTwice(t, h, "a")
	assert.Assert(t, alone.isolated)
	h.submit("b", 20, 60, 20*clock.Second)
	for _, s := range h.takeOrders() {
		assert.Assert(t, s.runner != alone.runner, "%+v", s)
	}
	h.endRun(alone, lavendercourse.EndDone, capacity)
	assert.Equal(t, h.answers["a"].Result, lavendercourse.JobCompleted)
	h.submit("c", 20, 60, 20*clock.Second)
	assert.Assert(t, len(h.takeOrders()) > 0)
}

// Guards against suspects that take all workers, each one for itself, while other jobs wait.
func TestFewTasksAreIsolatedAtOnce(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
		h.enroll(name, "d1")
	}
	first := crashTwice(t, h, "a")
	h.submit("b", 1, 60, 20*clock.Second)
	for range 2 {
		sent := h.takeOrders()
		assert.Equal(t, len(sent), 1)
		h.now += 300
		h.crash(sent[0].runner, sent[0].run, lavendercourse.RunID{Job: "beside b", Run: 1})
		h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
	}
	assert.Equal(t, len(h.takeOrders()), 0, "the first isolated run has not ended")
	h.endRun(first, lavendercourse.EndDone, capacity)
	sent := h.takeOrders()
	assert.Equal(t, len(sent), 1)
	assert.Assert(t, sent[0].isolated && sent[0].run.Job == "b")
}

// Guards against a suspect that waits for an empty worker where none ever is: a busy runner is asked to take no other runs.
func TestSuspectIsIsolatedOnBusyWorker(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2"} {
		h.enroll(name, "d1")
	}
	h.submit("a", 1, 60, 20*clock.Second)
	for i := range 2 {
		sent := h.takeOrders()
		h.now += 60
		h.crash(sent[0].runner, sent[0].run, lavendercourse.RunID{Job: "beside", Task: i, Run: 1})
		if i == 1 {
			for _, name := range []string{"r1", "r2"} {
				h.report(name, lavendercourse.Resources{Memory: 64})
			}
		}
		h.perform(h.scheduler.HandleEnds(h.now, sent[0].runner, message.Ended{
			Report: h.loadReport(sent[0].runner, lavendercourse.Resources{Memory: 64}), Ends: []message.RunEnd{{Run: sent[0].run, Kind: lavendercourse.EndCrashed}},
		}))
		if i == 0 {
			for _, name := range []string{"r1", "r2"} {
				h.report(name, capacity)
			}
		}
	}
	sent := h.takeOrders()
	assert.Equal(t, len(sent), 1)
	assert.Assert(t, sent[0].isolated)
}

// maxIdle is the time in ms for which a job may have nothing running while workers have room for it, by the users' page.
const maxIdle = 3 * clock.Second

// Guards against a job that has begun and then waits for the workers set aside for its queue, while all others idle (LOST).
func TestJobOfContainedQueueDoesNotWaitBesideIdleWorkers(t *testing.T) {
	h := newFleet()
	h.crashJobs(4)
	h.submit("begun", 1, 60, 20*clock.Second)
	sent := h.takeOrders()
	assert.Equal(t, len(sent), 1)
	away := sent[0].runner
	h.crash(away, sent[0].run, lavendercourse.RunID{Job: "beside", Run: 1})
	h.endRun(sent[0], lavendercourse.EndCrashed, lavendercourse.Resources{})
	for waited := clock.Millis(0); waited < maxIdle; waited += 100 {
		h.now += 100
		for i := range 11 {
			name := fmt.Sprintf("r%d", i)
			r := h.loadReport(name, capacity)
			r.AcceptsRuns = name != away
			h.perform(h.scheduler.HandleReport(h.now, name, r))
		}
		h.perform(h.scheduler.Tick(h.now))
		if sent = h.takeOrders(); len(sent) > 0 {
			break
		}
	}
	assert.Equal(t, len(sent), 1, "the job waits although ten workers are idle")
	assert.Assert(t, sent[0].isolated, "it may be bad too")
}

// Guards against suspects that wait for each other while workers idle (LOST).
func TestSuspectsDoNotWaitBesideIdleWorkers(t *testing.T) {
	h := newHarness("d1")
	for i := range 20 {
		h.enroll(fmt.Sprintf("r%d", i), "d1")
	}
	isolated := 0
	for i := range 5 {
		if crashTwice(t, h, fmt.Sprintf("job %d", i)).isolated {
			isolated++
		}
	}
	assert.Equal(t, isolated, 5)
}

// Guards against a job that is never answered because a runner of an earlier version ignores the order of an isolated run: it
// gets a plain order, and others are preferred.
func TestRunnerOfEarlierVersionGetsPlainOrder(t *testing.T) {
	h := newHarness("d1")
	names := []string{"r1", "r2", "r3", "r4"}
	for _, name := range names {
		h.enroll(name, "d1")
		h.perform(h.scheduler.Enroll(h.now, message.Enroll{Name: name, Domain: "d1", Service: service, Capacity: capacity}, true))
	}
	h.submit("a", 1, 60, 20*clock.Second)
	for range 3 {
		sent := h.takeOrders()
		assert.Equal(t, len(sent), 1)
		assert.Assert(t, !sent[0].isolated)
		h.now += 60
		h.crash(sent[0].runner, sent[0].run, lavendercourse.RunID{Job: "beside", Run: 1})
		h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
	}
	h.enroll("r5", "d1")
	h.perform(h.scheduler.Tick(h.now))
	sent := h.takeOrders()
	assert.Equal(t, len(sent), 1)
	h.endRun(sent[0], lavendercourse.EndRefused, capacity)
	h.now += 100
	h.perform(h.scheduler.Tick(h.now))
	sent = h.takeOrders()
	assert.Equal(t, len(sent), 1)
	assert.Assert(t, sent[0].isolated && sent[0].runner == "r5", "%+v", sent[0])
}

// Guards against a contained queue whose jobs are all refused while a suspect has the only worker set aside for itself.
func TestContainedQueueIsServedBesideIsolatedRun(t *testing.T) {
	h := newHarness("d1")
	names := []string{"r1", "r2", "r3", "r4", "r5", "r6"}
	for _, name := range names {
		h.enroll(name, "d1")
	}
	for _, cause := range []string{"x", "y", "z"} {
		h.scheduler.HandleVerdict(h.now, message.Verdict{Service: service, Queue: testQueue.Name, Cause: cause})
	}
	alone := crashTwice(t, h, "a")
	assert.Assert(t, alone.isolated)
	j, a := h.submit("b", 1, 60, 20*clock.Second)
	assert.Assert(t, j != nil, "job of a caller that waits 20 s, 60 ms of work: %s", a.Cause)
}
