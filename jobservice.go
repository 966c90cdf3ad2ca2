package lavendercourse

import (
	"context"

	"github.com/lavendercourse/lavendercourse/clock"
)

// Step is a group of equal tasks of a submitted job.
type Step struct {
	// Count is the number of tasks, Need what each of them uses.
	Count int
	Need  Resources
	// Estimate is the run time of one task that the caller declares, in ms.
	Estimate clock.Millis
	// After lists the earlier steps that must have ended well before this one starts.
	After []int
	// Label is a label that the worker must have, or empty.
	Label string
	// PerWorker bounds the tasks of the step that run on one worker at once. 0 means no bound.
	PerWorker int
}

// Submission is a job as a caller hands it in.
type Submission struct {
	// Host and Path select the queue. What the queue's prefix leaves of the path is the id of the job.
	Host string
	Path string
	// Payload is handed to the worker with each task.
	Payload string
	Steps   []Step
	// Patience is the time in ms for which the caller waits. 0 means not known.
	Patience clock.Millis
	// Unsupported names what the job asks for that is not served, or is empty.
	Unsupported string
}

// JobResult is how a request about a job was answered.
type JobResult uint8

// The results.
const (
	// JobCompleted: every task has ended well.
	JobCompleted JobResult = 1
	// JobFailed: a task failed as often as its queue allows. This is final.
	JobFailed JobResult = 2
	// JobRefused: nothing of the job has run or will run.
	JobRefused JobResult = 3
	// JobInterrupted: the job ended without a result, and nothing of it runs any more. It may be submitted again.
	JobInterrupted JobResult = 4
	// JobNoQueue: no queue has this host and path.
	JobNoQueue JobResult = 5
	// JobUnknown: there is no job with this id here.
	JobUnknown JobResult = 6
	// JobCancelled: the job was cancelled by its caller.
	JobCancelled JobResult = 7
	// JobInvalid: the submission cannot be read as a job.
	JobInvalid JobResult = 8
	// JobQueued and JobRunning tell the state of a job that has not ended.
	JobQueued  JobResult = 9
	JobRunning JobResult = 10
)

var jobResultNames = [...]string{
	"none", "completed", "failed", "refused", "interrupted", "no-queue", "unknown", "cancelled", "invalid", "queued", "running",
}

// String returns the name of the result, as used in logs and metrics.
func (r JobResult) String() string {
	if int(r) >= len(jobResultNames) {
		return jobResultNames[0]
	}
	return jobResultNames[r]
}

// JobAnswer is the answer to a request about a job.
type JobAnswer struct {
	Result JobResult
	// Cause says why, in words for the caller.
	Cause string
	// Retry is the time in ms after which the same request may succeed, or 0.
	Retry clock.Millis
}

// JobService serves callers whose jobs are answered when they have ended.
type JobService interface {
	// Submit runs a job and returns when it has ended. The job is cancelled when ctx ends.
	Submit(ctx context.Context, s Submission) JobAnswer
	// State tells the state of a job.
	State(host, path string) JobAnswer
	// Cancel ends a job.
	Cancel(host, path string) JobAnswer
	// Pending returns the number of jobs of a queue of which nothing has started. Without such a queue the answer has a
	// result that says so.
	Pending(host, path string) (int, JobAnswer)
}
