package cut_test

import (
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

const (
	// resubmitDelay is the time in ms after which a caller that has left submits its job again, maxSubmissions how often it
	// submits the job in all.
	resubmitDelay  = 1300 * clock.Millis(1)
	maxSubmissions = 4
	// shortLimit and longLimit are the time limits of callers in ms.
	shortLimit = 1500 * clock.Millis(1)
	longLimit  = 6 * clock.Second
	// maxTasks is the largest number of tasks of a job. The others bound the mean run time of its tasks in ms, by the time limit
	// of the caller.
	maxTasks     = 4
	minShortTask = 50 * clock.Millis(1)
	maxShortTask = 900 * clock.Millis(1)
	minLongTask  = 300 * clock.Millis(1)
	maxLongTask  = 2500 * clock.Millis(1)
)

// simJob is a job of a caller. durations holds the run time of each task in ms.
type simJob struct {
	id         string
	durations  []clock.Millis
	submission lavendercourse.Submission
	submitted  int
	firstAt    clock.Millis
	// last is the gateway of the last submission.
	last   *gatewaySite
	result lavendercourse.JobResult
	done   bool
	trace  []traceLine
}

// submission is one request of a caller.
type submission struct {
	w                   *world
	job                 *simJob
	number              int
	atCaller, atGateway *end
	// left is set once the caller waits no more, answered once the gateway has answered or has noticed that.
	left, answered bool
}

// submitNext submits a job and schedules the next one.
func (w *world) submitNext() {
	if w.now >= w.submitEnd() {
		return
	}
	pause := min(w.pause(w.submitPause), quietTime/quietJobs)
	if w.now >= w.quietFrom() {
		pause = quietTime / clock.Millis(quietJobs*w.scenario.gateways)
	}
	w.schedule(pause, w.submitNext)
	w.submit(w.newJob())
}

// meanWork returns the mean sum of the run times of a job's tasks in ms.
func (s scenario) meanWork() float64 {
	short, long := float64(minShortTask+maxShortTask)/2, float64(minLongTask+maxLongTask)/2
	return (1 + maxTasks) / 2.0 * (short + (long-short)*s.longShare)
}

func (w *world) newJob() *simJob {
	j := &simJob{id: fmt.Sprintf("%04d", len(w.allJobs)+1), firstAt: w.now}
	limit, mean := shortLimit, w.between(minShortTask, maxShortTask)
	if w.rng.Float64() < w.longShare {
		limit, mean = longLimit, w.between(minLongTask, maxLongTask)
	}
	for range w.between(1, maxTasks) {
		j.durations = append(j.durations, mean*w.between(90, 110)/100)
	}
	j.submission = lavendercourse.Submission{Payload: "p", CallerTimeout: limit, Steps: []lavendercourse.Step{{
		Count: len(j.durations), Need: lavendercourse.Resources{CPU: taskCPU, Memory: 64}, Estimate: mean,
	}}}
	w.jobs[j.id] = j
	w.allJobs = append(w.allJobs, j)
	return j
}

// submit submits a job to a random gateway.
func (w *world) submit(j *simJob) {
	var sites []*gatewaySite
	for _, s := range w.sites {
		if s.gateway.alive {
			sites = append(sites, s)
		}
	}
	if len(sites) == 0 {
		w.schedule(resubmitDelay, func() { w.submit(j) })
		return
	}
	j.submitted++
	j.last = sites[w.rng.IntN(len(sites))]
	if w.now >= w.quietFrom() {
		// Each gateway gets some of the jobs that have to be served.
		j.last = sites[len(w.allJobs)%len(sites)]
	}
	s, g := j.last, j.last.gateway
	c := w.connect(w.callers, g.host, func() bool { return s.callersCut > 0 })
	sub := &submission{w: w, job: j, number: j.submitted, atCaller: &c.ends[0], atGateway: &c.ends[1]}
	w.note(j.id, "caller sends submission %d to %s, limit %d ms", sub.number, s.name, j.submission.CallerTimeout)
	sub.atCaller.onEnd = func() { sub.leave("its connection has ended") }
	sub.atCaller.send(func() { g.submit(sub) })
	w.schedule(j.submission.CallerTimeout, func() {
		if sub.left {
			return
		}
		if w.rng.IntN(2) == 0 {
			sub.atCaller.reset()
			sub.leave("its time is over, it resets the connection")
			return
		}
		sub.atCaller.close()
		sub.leave("its time is over, it closes the connection")
	})
}

// leave ends the wait of the caller, who submits the job again.
func (sub *submission) leave(cause string) {
	if sub.left {
		return
	}
	sub.left = true
	w, j := sub.w, sub.job
	w.note(j.id, "caller leaves submission %d: %s", sub.number, cause)
	if j.submitted < maxSubmissions {
		w.schedule(resubmitDelay, func() { w.submit(j) })
	}
}

// handleAnswer handles the answer to the caller.
func (sub *submission) handleAnswer(a lavendercourse.JobAnswer) {
	if sub.left {
		return
	}
	w, j := sub.w, sub.job
	sub.atCaller.close()
	if a.Result == lavendercourse.JobInterrupted {
		sub.leave("it gets " + a.Result.String())
		return
	}
	sub.left = true
	w.note(j.id, "caller gets %v", a.Result)
	j.done, j.result = true, a.Result
}
