package crash_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/queue"
	"github.com/lavendercourse/lavendercourse/route"
)

// bench drives one scheduler with crash reports that are made up. Each runner has room for two tasks.
type bench struct {
	t         *testing.T
	scheduler *queue.Scheduler
	now       clock.Millis
	runners   []string
	// orders holds the runs in flight by runner, failed the jobs answered as failed.
	orders      map[string][]lavendercourse.RunID
	failed      map[string]bool
	incarnation int64
}

func newBench(t *testing.T, runners ...string) *bench {
	b := &bench{
		t: t, scheduler: queue.New(queue.Config{Domain: "d"}), now: startTime, runners: runners, orders: map[string][]lavendercourse.RunID{},
		failed: map[string]bool{},
	}
	for _, name := range runners {
		b.perform(b.scheduler.Enroll(b.now, message.Enroll{Name: name, Domain: "d", Service: service, Capacity: benchCapacity(2), Isolates: true}, false))
	}
	return b
}

func benchCapacity(tasks int) lavendercourse.Resources {
	return lavendercourse.Resources{CPU: tasks * 100, Memory: 1000}
}

func (b *bench) perform(actions []queue.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case queue.SendOrder:
			b.orders[a.Runner] = append(b.orders[a.Runner], a.Order.Runs...)
		case queue.AnswerCallers:
			if a.Answer.Result == lavendercourse.JobFailed {
				b.failed[a.Job.ID()] = true
			}
		}
	}
}

func (b *bench) load(runner string) message.Report {
	free := benchCapacity(2 - len(b.orders[runner]))
	return message.Report{Stamp: b.now, Free: free, AcceptsRuns: true, ReceivedRuns: 1000}
}

// report lets the given runners report their load, so that only they get orders.
func (b *bench) report(runners ...string) {
	for _, name := range runners {
		b.perform(b.scheduler.HandleReport(b.now, name, b.load(name)))
	}
	b.perform(b.scheduler.Tick(b.now))
}

func (b *bench) submit(id string) {
	_, _, actions := b.scheduler.Submit(b.now, lavendercourse.Submission{
		Payload: "p", Steps: []lavendercourse.Step{{Count: 1, Need: lavendercourse.Resources{CPU: 100, Memory: 1}, Estimate: 200}},
	}, route.Queue{Name: "q", PathPrefix: "/q/", Service: service, MaxAttempts: 3, SlackFactor: 100, TargetLatency: 60000}, id)
	b.perform(actions)
	b.perform(b.scheduler.Tick(b.now))
}

// crash reports a crash of a runner's worker with the runs of this entry at the given age, and those given.
func (b *bench) crash(runner string, age clock.Millis, others ...message.CrashedRun) {
	b.incarnation++
	runs := b.orders[runner]
	delete(b.orders, runner)
	c := message.Crash{Incarnation: b.incarnation, Runs: others}
	e := message.Ended{Report: b.load(runner)}
	for _, id := range runs {
		c.Runs = append(c.Runs, message.CrashedRun{Run: id, Age: age})
		e.Ends = append(e.Ends, message.RunEnd{Run: id, Kind: lavendercourse.EndCrashed, Duration: age})
	}
	e.Report.AcceptsRuns = false
	b.perform(b.scheduler.HandleCrash(b.now, runner, c))
	b.perform(b.scheduler.HandleEnds(b.now, runner, e))
}

// runnerOf returns the runner that has a run of the job.
func (b *bench) runnerOf(id string) string {
	for _, name := range b.runners {
		for _, run := range b.orders[name] {
			if run.Job == id {
				return name
			}
		}
	}
	return ""
}

// Guards against failing a task after its fifth crash although each of the crashes is explained by a bad task that has
// crashed another worker at the same age before.
func TestTaskBesideFiveBadTasksIsInnocent(t *testing.T) {
	b := newBench(t, "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9")
	b.report(b.runners[:8]...)
	for i, age := range []clock.Millis{20, 400, 110, 700, 230} {
		bad := func(run int) message.CrashedRun {
			return message.CrashedRun{Run: lavendercourse.RunID{Job: string(rune('a' + i)), Run: run}, Age: 64}
		}
		// The other entry's bad task has crashed two workers of which this entry ran nothing.
		b.crash("r8", 0, bad(1))
		b.now += 150
		b.crash("r9", 0, bad(2))
		b.now += 150
		b.report(b.runners[:8]...)
		if i == 0 {
			b.submit("innocent")
		}
		runner := b.runnerOf("innocent")
		assert.Assert(t, runner != "", "the task was not ordered for crash %d", i+1)
		b.now += age
		b.crash(runner, age, bad(3))
		assert.Assert(t, !b.failed["innocent"], "the job failed after crash %d", i+1)
		b.now += 200
		b.report(b.runners[:8]...)
	}
}

// Guards against failing a task because it started together with a bad one again and again, at equal ages, since only one
// worker at a time has room: the bad one has to be told apart before either job fails.
func TestTasksThatStartTogetherAreToldApart(t *testing.T) {
	b := newBench(t, "r0", "r1", "r2", "r3", "r4", "r5")
	b.report("r0")
	b.submit("innocent")
	b.submit("bad")
	for round := range 2 * len(b.runners) {
		runner := b.runners[round%len(b.runners)]
		b.report(runner)
		b.now += 64
		if b.runnerOf("bad") != "" {
			b.crash(runner, 64)
		} else {
			b.complete(runner)
		}
		assert.Assert(t, !b.failed["innocent"], "the job without a bad task failed in round %d", round+1)
		// The reports of the other workers are too old for orders by then.
		b.now += 1000
	}
	assert.Assert(t, b.failed["bad"], "the job with the bad task did not fail")
}

// complete ends the runs of a runner as done.
func (b *bench) complete(runner string) {
	var e message.Ended
	for _, id := range b.orders[runner] {
		e.Ends = append(e.Ends, message.RunEnd{Run: id, Kind: lavendercourse.EndDone})
	}
	delete(b.orders, runner)
	e.Report = b.load(runner)
	b.perform(b.scheduler.HandleEnds(b.now, runner, e))
}
