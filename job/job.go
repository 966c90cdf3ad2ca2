package job

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Task is what a caller asks for. Declared values are hints.
type Task struct {
	Kind    string
	Payload []byte
	// Declared is the run time in ms that the caller expects.
	Declared clock.Millis
	// Memory is in MB.
	Memory int
	Cores  int
}

// Spec is the body of a submission.
type Spec struct {
	Team  string
	Class lavendercourse.Class
	// Call marks a single request to a backend server, which uses a connection and not a slot.
	Call bool
	// Deadline is the time by which the job must have ended.
	Deadline clock.Millis
	// Digest tells two bodies apart.
	Digest uint64
	Tasks  []Task
}

type phase uint8

const (
	phaseWaiting phase = iota
	phaseSent
	phaseDone
)

type progress struct {
	phase   phase
	agent   string
	attempt uint32
	sent    clock.Millis
	result  []byte
}

// Job is one submission and what became of its tasks.
type Job struct {
	id       lavendercourse.JobID
	spec     Spec
	tasks    []progress
	waiting  []uint32
	sent     int
	done     int
	started  bool
	ended    bool
	verdict  lavendercourse.Verdict
	arrived  clock.Millis
	finished clock.Millis
	// memory and cores are the largest declared needs of a task.
	memory int
	cores  int
}

func newJob(now clock.Millis, id lavendercourse.JobID, spec Spec) *Job {
	j := &Job{id: id, spec: spec, tasks: make([]progress, len(spec.Tasks)), arrived: now}
	j.waiting = make([]uint32, len(spec.Tasks))
	for i := range j.waiting {
		// The last element is taken first.
		j.waiting[i] = uint32(len(spec.Tasks) - 1 - i)
	}
	for _, t := range spec.Tasks {
		j.memory, j.cores = max(j.memory, t.Memory), max(j.cores, t.Cores)
	}
	return j
}

// ID returns the id of the job.
func (j *Job) ID() lavendercourse.JobID { return j.id }

// Spec returns the body of the submission.
func (j *Job) Spec() Spec { return j.spec }

// Memory returns the largest declared memory of a task in MB.
func (j *Job) Memory() int { return j.memory }

// Cores returns the largest declared number of processor cores of a task.
func (j *Job) Cores() int { return j.cores }

// Arrived returns the time of the first submission.
func (j *Job) Arrived() clock.Millis { return j.arrived }

// Waiting returns the number of tasks that are not sent to an agent.
func (j *Job) Waiting() int { return len(j.waiting) }

// Sent returns the number of tasks that are at an agent.
func (j *Job) Sent() int { return j.sent }

// Done returns the number of tasks that ended well.
func (j *Job) Done() int { return j.done }

// Ended tells whether the job has its answer.
func (j *Job) Ended() bool { return j.ended }

// Verdict returns what became of the job. It is the zero Verdict until the job has ended.
func (j *Job) Verdict() lavendercourse.Verdict { return j.verdict }

// Results returns one result a task, or nil unless the job is complete.
func (j *Job) Results() [][]byte {
	if !j.ended || j.verdict.Outcome != lavendercourse.Complete {
		return nil
	}
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].result
	}
	return results
}
