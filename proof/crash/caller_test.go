package crash_test

import (
	"fmt"
	"math"
	"slices"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/queue"
)

const (
	// callerPatience is the time in ms for which a caller waits beyond patienceFactor times the run time of the longest task.
	callerPatience = 1500 * clock.Millis(1)
	patienceFactor = 2.5
	// resubmitDelay is the time in ms after which a caller submits an interrupted job again, maxSubmissions how often it does.
	resubmitDelay  = 1300 * clock.Millis(1)
	maxSubmissions = 5
	// failingRuns is the share of the runs that fail, failingJobs that of the jobs with a task that always fails.
	failingRuns = 0.002
	failingJobs = 0.003
)

type simTask struct {
	duration clock.Millis
	// bad is set if each worker that starts the task crashes, fails if each run ends as failed.
	bad, fails bool
}

type simJob struct {
	id         string
	kind       *jobKind
	tasks      []simTask
	submission lavendercourse.Submission
	submitted  int
	bad        bool
	// startedAt is the time in ms at which a task of the job was last started.
	startedAt clock.Millis
}

// submission is one request of a caller.
type submission struct {
	w       *world
	job     *simJob
	g       *gateway
	queued  *queue.Job
	result  lavendercourse.JobResult
	closed  bool
	started bool
	// idleSince is the time in ms from which on none of its tasks ran although there was enough capacity, or 0.
	idleSince clock.Millis
}

// submitNext submits a job and schedules the next one.
func (w *world) submitNext(stop clock.Millis) {
	if w.now >= stop {
		return
	}
	work, weights := 0.0, 0.0
	for _, k := range w.kinds {
		work += k.weight * k.tasks * k.duration
		weights += k.weight
	}
	perJob := work / weights
	w.schedule(w.pause(perJob/(w.load*float64(w.workers*runsPerWorker))), func() { w.submitNext(stop) })
	pick := w.rng.Float64() * weights
	for i := range w.kinds {
		if pick -= w.kinds[i].weight; pick < 0 {
			w.submit(w.newJob(i), nil)
			return
		}
	}
}

func (w *world) newJob(kind int) *simJob {
	k := &w.kinds[kind]
	w.jobCount++
	j := &simJob{id: fmt.Sprintf("%06d", w.jobCount), kind: k}
	mean := w.lognormal(k.duration, 0.4)
	longest := 1.0
	for range max(int(math.Round(w.lognormal(k.tasks, 0.4))), 1) {
		d := max(w.lognormal(mean, 0.15), 1)
		longest = max(longest, d)
		j.tasks = append(j.tasks, simTask{duration: clock.Millis(d)})
	}
	if slices.Contains(w.badQueues, kind) && w.rng.Float64() < w.badShare {
		j.bad = true
		i := 0
		if !w.badFirst {
			i = w.rng.IntN(len(j.tasks))
		}
		j.tasks[i].bad = true
	} else if w.rng.Float64() < failingJobs {
		j.tasks[0].fails = true
	}
	j.submission = lavendercourse.Submission{
		Payload: "p", CallerTimeout: callerPatience + clock.Millis(patienceFactor*longest),
		Steps: []lavendercourse.Step{{
			Count: len(j.tasks), Need: lavendercourse.Resources{CPU: int(w.lognormal(meanCPU, 0.2)), Memory: 64},
			Estimate: clock.Millis(max(w.lognormal(mean, 0.3), 1)),
		}},
	}
	w.jobs[j.id] = j
	w.oracle.count.jobs++
	return j
}

// submit submits a job to a random gateway other than the given one.
func (w *world) submit(j *simJob, except *gateway) {
	var ready []*gateway
	for _, g := range w.gateways {
		if g.ready() && (except == nil || g.index != except.index) {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		w.oracle.count.unsubmitted++
		return
	}
	j.submitted++
	sub := &submission{w: w, job: j, g: ready[w.rng.IntN(len(ready))]}
	g := sub.g
	queued, answer, actions := g.scheduler.Submit(w.now, j.submission, j.kind.queue, j.id)
	w.open = append(w.open, sub)
	if queued == nil {
		sub.answered(answer)
		return
	}
	sub.queued = queued
	g.submissions[j.id], g.pending[queued] = sub, sub
	g.perform(actions)
	w.schedule(j.submission.CallerTimeout, sub.leave)
}

// leave ends the wait of the caller.
func (sub *submission) leave() {
	if sub.closed {
		return
	}
	sub.close(lavendercourse.JobInterrupted)
	sub.w.oracle.count.gaveUp++
	if sub.g.alive {
		delete(sub.g.pending, sub.queued)
		sub.g.perform(sub.g.scheduler.CallerLeft(sub.w.now, sub.queued))
	}
}

func (sub *submission) close(result lavendercourse.JobResult) {
	sub.closed, sub.result = true, result
	w := sub.w
	w.open = slices.DeleteFunc(slices.Clone(w.open), func(o *submission) bool { return o == sub })
}

// answered handles the answer to the caller.
func (sub *submission) answered(a lavendercourse.JobAnswer) {
	if sub.closed {
		return
	}
	sub.close(a.Result)
	w := sub.w
	w.checkAnswer(sub, a)
	if a.Result == lavendercourse.JobInterrupted && sub.job.submitted < maxSubmissions {
		w.resubmissions++
		w.schedule(resubmitDelay, func() {
			w.resubmissions--
			w.submit(sub.job, sub.g)
		})
	}
}
