package job

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Task is one task of a submission. DeclaredRun, Memory and Cores are hints from the caller.
type Task struct {
	Kind    string
	Payload []byte
	// DeclaredRun is the run time that the caller expects, in ms.
	DeclaredRun clock.Millis
	// Memory is the memory that the task needs, in MB.
	Memory int
	// Cores is the number of processor cores that the task needs.
	Cores int
}

// Spec is the content of a submission.
type Spec struct {
	Team  string
	Class lavendercourse.Class
	// Call marks a single request to a backend server. It uses a connection but no slot.
	Call bool
	// Deadline is the time in ms by which the job must have ended. 0 selects the latest time that Config.Lifetime
	// allows.
	Deadline clock.Millis
	// Digest is a hash of the submission, to detect a different one with the same id.
	Digest uint64
	Tasks  []Task
}

type phase uint8

const (
	// phaseWaiting: not assigned to an agent, or refused by the last one.
	phaseWaiting phase = iota
	// phaseSent: assigned to an agent, which has not replied yet.
	phaseSent
	// phaseDone: ended, with a result or a failure.
	phaseDone
)

// taskProgress is the state of one task and its latest attempt.
type taskProgress struct {
	phase phase
	agent string
	// attempt is the number of the latest attempt. The first one is 1.
	attempt uint32
	result  []byte
}

// Job is one submission and the state of its tasks.
type Job struct {
	id    lavendercourse.JobID
	spec  Spec
	tasks []taskProgress
	// waiting is a stack of the indexes of tasks that are not assigned to an agent.
	waiting []uint32
	// sent and done count the tasks in phaseSent and those that ended successfully.
	sent int
	done int
	// started tells whether any task was assigned to an agent, even if that agent refused it.
	started bool
	ended   bool
	verdict lavendercourse.Verdict
	// arrivedAt and finished are the times of the first submission and of the end of the job, in ms.
	arrivedAt clock.Millis
	finished  clock.Millis
	// maxMemory and maxCores are the largest declared needs of any task, in MB and processor cores.
	maxMemory int
	maxCores  int
}

func newJob(now clock.Millis, id lavendercourse.JobID, spec Spec) *Job {
	j := &Job{id: id, spec: spec, tasks: make([]taskProgress, len(spec.Tasks)), arrivedAt: now}
	j.waiting = make([]uint32, len(spec.Tasks))
	for i := range j.waiting {
		// Take removes from the end, so the first task is last.
		j.waiting[i] = uint32(len(spec.Tasks) - 1 - i)
	}
	for _, t := range spec.Tasks {
		j.maxMemory, j.maxCores = max(j.maxMemory, t.Memory), max(j.maxCores, t.Cores)
	}
	return j
}

// ID returns the id of the job.
func (j *Job) ID() lavendercourse.JobID { return j.id }

// Spec returns the content of the submission. Its tasks are removed when the job ends.
func (j *Job) Spec() Spec { return j.spec }

// MaxMemory returns the largest declared memory of any task, in MB.
func (j *Job) MaxMemory() int { return j.maxMemory }

// MaxCores returns the largest declared number of processor cores of any task.
func (j *Job) MaxCores() int { return j.maxCores }

// Arrived returns the time of the first submission, in ms.
func (j *Job) Arrived() clock.Millis { return j.arrivedAt }

// Waiting returns the number of tasks that wait to be assigned to an agent.
func (j *Job) Waiting() int { return len(j.waiting) }

// Sent returns the number of tasks that are assigned to an agent and have not ended.
func (j *Job) Sent() int { return j.sent }

// Done returns the number of tasks that ended successfully.
func (j *Job) Done() int { return j.done }

// Ended tells whether the job has its verdict.
func (j *Job) Ended() bool { return j.ended }

// Verdict returns the outcome of the job. It is the zero Verdict until the job has ended.
func (j *Job) Verdict() lavendercourse.Verdict { return j.verdict }

// Results returns the results in the order of the tasks, or nil unless the job is complete.
func (j *Job) Results() [][]byte {
	if !j.ended || j.verdict.Outcome != lavendercourse.OutcomeComplete {
		return nil
	}
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].result
	}
	return results
}
