package queue

import (
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/route"
)

type taskState uint8

const (
	taskWaiting taskState = iota
	// taskSent: an order was sent, and its end is not known.
	taskSent
	taskDone
)

type task struct {
	job   *Job
	step  int
	index int
	state taskState
	// run is the number of the last run.
	run    int
	runner *Runner
	// failures counts the runs that failed. avoid names the runner of the last run that did not end well.
	failures int
	avoid    string
}

func (t *task) id() lavendercourse.RunID {
	return lavendercourse.RunID{Job: t.job.id, Step: t.step, Task: t.index, Run: t.run}
}

// Job is a job that has not ended.
type Job struct {
	key     string
	id      string
	queue   route.Queue
	payload string
	steps   []lavendercourse.Step
	tasks   []*task
	// left counts the tasks of each step that have not ended well.
	left    []int
	arrived clock.Millis
	// due is the time by which the job should end, limit the time at which its caller gives up, or 0.
	due   clock.Millis
	limit clock.Millis
	// chain is the longest chain of estimates, in ms.
	chain clock.Millis
	// least is the smallest need of processor of a task.
	least int
	// waiting and sent count tasks.
	waiting int
	sent    int
	// touched tells whether a run has ended that may have done something.
	touched bool
	ended   bool
	callers int
}

// newJob returns a job, or the reason why the submission is not one.
func newJob(now clock.Millis, s lavendercourse.Submission, q route.Queue, id string, firstRun int) (*Job, string) {
	j := &Job{
		key: q.Host + q.Prefix + id, id: id, queue: q, payload: s.Payload, steps: s.Steps, arrived: now, callers: 1,
		left: make([]int, len(s.Steps)),
	}
	if len(s.Steps) == 0 {
		return nil, "job has no steps"
	}
	total := 0
	ends := make([]clock.Millis, len(s.Steps))
	for i, step := range s.Steps {
		total += step.Count
		if step.Count < 1 || total > lavendercourse.MaxTasks {
			return nil, fmt.Sprintf("step %d has %d tasks; a job has 1 to %d", i, step.Count, lavendercourse.MaxTasks)
		}
		if step.Need.CPU < 0 || step.Need.Memory < 0 || step.Need.Accelerators < 0 {
			return nil, fmt.Sprintf("step %d asks for less than nothing", i)
		}
		begin := clock.Millis(0)
		for _, before := range step.After {
			if before < 0 || before >= i {
				return nil, fmt.Sprintf("step %d follows step %d, which is not an earlier one", i, before)
			}
			begin = max(begin, ends[before])
		}
		ends[i] = begin + step.Estimate
		j.chain = max(j.chain, ends[i])
		j.left[i] = step.Count
		if i == 0 || step.Need.CPU < j.least {
			j.least = step.Need.CPU
		}
		for n := range step.Count {
			j.tasks = append(j.tasks, &task{job: j, step: i, index: n, run: firstRun})
		}
	}
	j.waiting = len(j.tasks)
	j.due = now + clock.Millis(q.Slack*float64(j.chain)) + q.Target
	if s.Patience > 0 {
		j.limit = now + s.Patience
	}
	return j, ""
}

// ID returns the id that the caller chose.
func (j *Job) ID() string { return j.id }

// Queue returns the queue of the job.
func (j *Job) Queue() route.Queue { return j.queue }

// Arrived returns the time of the submission.
func (j *Job) Arrived() clock.Millis { return j.arrived }

// Due returns the time by which the job should end.
func (j *Job) Due() clock.Millis { return j.due }

// Tasks returns the number of tasks.
func (j *Job) Tasks() int { return len(j.tasks) }

// Begun tells whether a task was sent.
func (j *Job) Begun() bool { return j.waiting < len(j.tasks) || j.touched }

// ready tells whether the tasks of a step may start.
func (j *Job) ready(step int) bool {
	for _, before := range j.steps[step].After {
		if j.left[before] > 0 {
			return false
		}
	}
	return true
}

// mayHaveRun tells whether something of the job has run or may be running.
func (j *Job) mayHaveRun() bool { return j.touched || j.sent > 0 }

// lastRun returns the highest run number in use.
func (j *Job) lastRun() int {
	n := 0
	for _, t := range j.tasks {
		n = max(n, t.run)
	}
	return n
}

// inTime tells whether the job can still end by the time it is due.
func (j *Job) inTime(now clock.Millis) bool { return now+j.chain <= j.due }

// before tells whether a job goes before another. Jobs that can still be in time go first, and with them those that
// have begun, since what they have used is lost otherwise. Among these, the one that must start earliest goes first;
// among late ones, the one with the higher priority.
func (j *Job) before(other *Job, now clock.Millis) bool {
	a, b := j.sent+j.waiting < len(j.tasks) || j.sent > 0 || j.inTime(now), other.sent+other.waiting < len(other.tasks) || other.sent > 0 || other.inTime(now)
	if a != b {
		return a
	}
	if a {
		return j.due-j.chain < other.due-other.chain
	}
	if j.queue.Priority != other.queue.Priority {
		return j.queue.Priority < other.queue.Priority
	}
	return j.arrived < other.arrived
}
