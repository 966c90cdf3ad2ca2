package queue

import (
	"fmt"
	"hash/fnv"
	"io"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/quarantine"
	"github.com/lavendercourse/lavendercourse/route"
)

type taskState uint8

const (
	taskWaiting taskState = iota
	// taskInFlight means that the task was ordered from a runner and the end of that run is not known yet.
	taskInFlight
	taskDone
)

type task struct {
	job   *Job
	step  int
	index int
	state taskState
	// runNumber is the number of the last run.
	runNumber int
	runner    *Runner
	// failures counts the runs that failed. avoidRunner names the runner that the next run should avoid: that of the last
	// run that was started and did not succeed, or that was refused with ReplyUnavailable.
	failures    int
	avoidRunner string
	// suspect is set once a worker has crashed while it ran the task.
	suspect bool
	// contained is set once the queue of the task was contained because of it.
	contained bool
}

func (t *task) id() lavendercourse.RunID {
	return lavendercourse.RunID{Job: t.job.id, Step: t.step, Task: t.index, Run: t.runNumber}
}

// scatterRank returns a sort key of a runner that differs from job to job, but not from entry to entry.
func (t *task) scatterRank(r *Runner) uint32 {
	h := fnv.New32a()
	// Writes to a hash never fail.
	_, _ = io.WriteString(h, t.job.id)
	_, _ = io.WriteString(h, r.Name())
	return h.Sum32()
}

// quarantineKey identifies the task among those that crashed workers ran.
func (t *task) quarantineKey() quarantine.Task {
	return quarantine.Task{Job: t.job.id, Step: t.step, Task: t.index}
}

// Job is a job that has not ended.
type Job struct {
	// key identifies the job: ids are unique within one queue, so the queue's host and path prefix precede the id.
	key     string
	id      string
	queue   route.Queue
	payload string
	// digest is that of the submission, see digestOf.
	digest uint64
	steps  []lavendercourse.Step
	tasks  []*task
	// remaining counts, for each step, the tasks that have not completed.
	remaining []int
	arrived   clock.Millis
	// submittedAt is the time in ms at which the last submission arrived.
	submittedAt clock.Millis
	// mayBeOld is set if a gap may have held up the submission.
	mayBeOld bool
	// claimedAt is the time in ms at which the job was last claimed at other entries, answeredAt that of the last answer, both 0
	// if there was none. unanswered holds the claims that are not answered, by entry.
	claimedAt  clock.Millis
	answeredAt clock.Millis
	unanswered map[string]claimWait
	// resubmitted is set while runs of an earlier submission of the job may not have ended.
	resubmitted bool
	// due is the time by which the job should end. callerDeadline is the time at which the last of its callers gives up; 0
	// means not known.
	due            clock.Millis
	callerDeadline clock.Millis
	// criticalPath is the estimated run time in ms of the longest chain of dependent steps. latestStart is the latest
	// time at which the job can start and still end by due if its estimates are too low by estimateMarginPercent, but
	// not before arrived.
	criticalPath clock.Millis
	latestStart  clock.Millis
	// refusableFrom is the time in ms from which the job may be refused because it will be late. Unlike latestStart it does not count
	// the time that the caller has waited elsewhere.
	refusableFrom clock.Millis
	// relativeSize is the work of the job as a multiple of the mean in its queue.
	relativeSize float64
	// minCPU is the smallest CPU need of any task, in thousandths of a core.
	minCPU int
	// waiting and inFlight count tasks.
	waiting  int
	inFlight int
	// idleSince is the time in ms of the end of the last run, or of the arrival. While nothing is in flight, nothing of the
	// job has run since.
	idleSince clock.Millis
	// waitingWork is the work of the waiting tasks, see work.
	waitingWork int64
	// hasEndedRun tells whether a run that may have executed has ended. Refused runs have not executed.
	hasEndedRun bool
	ended       bool
	callers     int
}

// newJob returns the job that s describes, or nil and the reason why s is invalid. lastRunNumber is the highest run
// number that an earlier submission of the job used, or 0.
func newJob(now clock.Millis, s lavendercourse.Submission, q route.Queue, id string, lastRunNumber int) (*Job, string) {
	j := &Job{
		key: q.Host + q.PathPrefix + id, id: id, queue: q, payload: s.Payload, digest: digestOf(s), steps: s.Steps, arrived: now, idleSince: now, callers: 1,
		remaining: make([]int, len(s.Steps)), submittedAt: now, unanswered: map[string]claimWait{},
	}
	if len(s.Steps) == 0 {
		return nil, "job has no steps"
	}
	total := 0
	stepEnds := make([]clock.Millis, len(s.Steps))
	for i, step := range s.Steps {
		total += step.Count
		if step.Count < 1 {
			return nil, fmt.Sprintf("step %d has %d tasks, want at least 1", i, step.Count)
		}
		if total > lavendercourse.MaxTasks {
			return nil, fmt.Sprintf("steps 0 to %d have %d tasks together; a job has at most %d", i, total, lavendercourse.MaxTasks)
		}
		if !step.Need.IsValid() {
			return nil, fmt.Sprintf("step %d asks for less than nothing", i)
		}
		begin := clock.Millis(0)
		for _, predecessor := range step.DependsOn {
			if predecessor < 0 || predecessor >= i {
				return nil, fmt.Sprintf("step %d follows step %d, which is not an earlier one", i, predecessor)
			}
			begin = max(begin, stepEnds[predecessor])
		}
		stepEnds[i] = begin + step.Estimate
		j.criticalPath = max(j.criticalPath, stepEnds[i])
		j.remaining[i] = step.Count
		if i == 0 || step.Need.CPU < j.minCPU {
			j.minCPU = step.Need.CPU
		}
		for n := range step.Count {
			t := &task{job: j, step: i, index: n, runNumber: lastRunNumber}
			j.tasks = append(j.tasks, t)
			j.waitingWork += t.work()
		}
	}
	j.waiting = len(j.tasks)
	j.due = now + clock.Millis(q.SlackFactor*float64(j.criticalPath)) + q.TargetLatency
	j.latestStart = max(j.due-j.criticalPath-j.criticalPath*estimateMarginPercent/100, now)
	j.refusableFrom = j.latestStart
	j.callerDeadline = deadlineOf(now, s)
	return j, ""
}

// deadlineOf returns the time at which the caller of a submission gives up, or 0 if that is not known.
func deadlineOf(now clock.Millis, s lavendercourse.Submission) clock.Millis {
	if s.CallerTimeout <= 0 {
		return 0
	}
	return now + s.CallerTimeout
}

// digestOf returns a hash of the content of a submission, which tells a repeated submission from another job with the
// same id.
func digestOf(s lavendercourse.Submission) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = io.WriteString(h, s.Payload)
	_, _ = fmt.Fprint(h, s.Steps)
	return h.Sum64()
}

// ID returns the id that the caller chose.
func (j *Job) ID() string { return j.id }

// Queue returns the queue of the job.
func (j *Job) Queue() route.Queue { return j.queue }

// Arrived returns the time of the submission in ms.
func (j *Job) Arrived() clock.Millis { return j.arrived }

// Due returns the time in ms by which the job should end.
func (j *Job) Due() clock.Millis { return j.due }

// subtractWaited lets the job start earlier by the time in ms that its caller has waited before. A job that cannot end in time any
// more is served after those that can.
func (j *Job) subtractWaited(waited clock.Millis) { j.latestStart -= waited }

// waitsForOtherRuns tells whether the job waits for another entry, or for runs of an earlier submission, and not for room.
func (j *Job) waitsForOtherRuns() bool { return len(j.unanswered) > 0 || j.resubmitted }

// addCaller adds a caller that has submitted the job again. The job is claimed anew, since its age and the time limit of its
// callers have changed.
func (j *Job) addCaller(now clock.Millis, s lavendercourse.Submission) {
	j.callers++
	j.submittedAt, j.claimedAt = now, 0
	deadline := deadlineOf(now, s)
	if j.callerDeadline == 0 || deadline == 0 {
		j.callerDeadline = 0
		return
	}
	j.callerDeadline = max(j.callerDeadline, deadline)
}

// callersGaveUp tells whether the time limits of all callers have passed. They may submit the job to another entry from
// then on.
func (j *Job) callersGaveUp(now clock.Millis) bool {
	return j.callerDeadline > 0 && now >= j.callerDeadline
}

// Tasks returns the number of tasks.
func (j *Job) Tasks() int { return len(j.tasks) }

// Started tells whether a task was ordered from a runner and may have executed. It is the same condition as mayHaveRun,
// for the entry's answers to callers that ask for the state of the job.
func (j *Job) Started() bool { return j.waiting < len(j.tasks) || j.hasEndedRun }

// ready tells whether all steps that the given step depends on have completed.
func (j *Job) ready(step int) bool {
	for _, predecessor := range j.steps[step].DependsOn {
		if j.remaining[predecessor] > 0 {
			return false
		}
	}
	return true
}

// mayHaveRun tells whether a task of the job has executed or may be executing. A job that may have run must not be
// refused. A done task implies hasEndedRun.
func (j *Job) mayHaveRun() bool { return j.hasEndedRun || j.inFlight > 0 }

// maxRunNumber returns the highest run number among the tasks, 0 if none has run.
func (j *Job) maxRunNumber() int {
	n := 0
	for _, t := range j.tasks {
		n = max(n, t.runNumber)
	}
	return n
}

// inTime tells whether the job can still be expected to end by its due time if it starts now.
func (j *Job) inTime(now clock.Millis) bool { return now <= j.latestStart }

// prioritized tells whether the job is served before late jobs: it can still end in time, or it has tasks in flight or
// done, whose work would be wasted otherwise. A job whose tasks all wait again after unsuccessful runs is treated as
// one that has not started.
func (j *Job) prioritized(now clock.Millis) bool {
	return j.waiting < len(j.tasks) || j.inTime(now)
}

// rank is the sort key in ms of prioritized jobs, lowest first: the latest start time plus a penalty for jobs that are
// large for their queue. Under overload, most callers are served in time if the large jobs wait. The penalty is
// bounded, so that large jobs wait longer but do not starve.
func (j *Job) rank() clock.Millis {
	waitingShare := float64(j.waiting) / float64(len(j.tasks))
	return j.latestStart + clock.Millis(float64(sizePenalty)*min(j.relativeSize, maxRelativeSize)*waitingShare)
}

// before tells whether j is served before other: prioritized jobs come first, by rank, then late ones by the priority
// of their queue and by arrival.
func (j *Job) before(other *Job, now clock.Millis) bool {
	a, b := j.prioritized(now), other.prioritized(now)
	if a != b {
		return a
	}
	if a {
		return j.rank() < other.rank()
	}
	if j.queue.Priority != other.queue.Priority {
		return j.queue.Priority < other.queue.Priority
	}
	return j.arrived < other.arrived
}
