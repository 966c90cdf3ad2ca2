package lavendercourse

import (
	"context"

	"github.com/lavendercourse/lavendercourse/clock"
)

// Step is a group of identical tasks of a submitted job.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Need is what each task requires of its worker.
	Need Resources
	// Estimate is the run time of one task as declared by the caller, in ms.
	Estimate clock.Millis
	// DependsOn lists the indices of the earlier steps that must have succeeded before this one starts.
	DependsOn []int
	// Label is a label that the worker must have. Empty means any worker.
	Label string
	// MaxPerWorker is the maximum number of tasks of the step that run on one worker at once. 0 means no limit.
	MaxPerWorker int
}

// Submission is a job as submitted by a caller.
type Submission struct {
	// Host and Path select the queue by its host and path prefix. The rest of the path is the id of the job.
	Host string
	Path string
	// Payload is sent to the worker with each task.
	Payload string
	Steps   []Step
	// CallerTimeout is the time in ms for which the caller waits for the answer. 0 means unknown.
	CallerTimeout clock.Millis
	// Unsupported describes a requested feature that is not supported. Empty means that there is none.
	Unsupported string
}

// JobResult is the result of a request about a job.
type JobResult uint8

// Values of JobResult.
const (
	// JobCompleted: every task has succeeded.
	JobCompleted JobResult = 1
	// JobFailed: a task has failed in all attempts that its queue allows. The result is final.
	JobFailed JobResult = 2
	// JobRefused: no task of the job has run or will run.
	JobRefused JobResult = 3
	// JobInterrupted: the job ended without a result and none of its tasks runs any more. It may be submitted again.
	JobInterrupted JobResult = 4
	// JobNoQueue: no queue matches the host and path.
	JobNoQueue JobResult = 5
	// JobUnknown: this gateway has no job with the id.
	JobUnknown JobResult = 6
	// JobCancelled: the job was cancelled by its caller.
	JobCancelled JobResult = 7
	// JobInvalid: the submission is malformed.
	JobInvalid JobResult = 8
	// JobQueued: no task of the job has started yet.
	JobQueued JobResult = 9
	// JobRunning: the job has started and has not ended.
	JobRunning JobResult = 10
	// JobUnconfirmed: the job is being cancelled, but the cancel may be forgotten if this gateway ends. It may be repeated.
	JobUnconfirmed JobResult = 11
)

var jobResultNames = [...]string{
	"none", "completed", "failed", "refused", "interrupted", "no-queue", "unknown", "cancelled", "invalid", "queued", "running",
	"unconfirmed",
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
	// Cause is an explanation for the caller.
	Cause string
	// RetryAfter is the time in ms after which the same request may succeed, or 0.
	RetryAfter clock.Millis
}

// JobService handles the requests of callers. A submission is answered when its job has ended.
type JobService interface {
	// Submit runs a job and returns when it has ended. The job is cancelled when ctx ends.
	Submit(ctx context.Context, s Submission) JobAnswer
	// State returns the state of a job.
	State(host, path string) JobAnswer
	// Cancel cancels a job, and returns when the cancel is certain to hold, when that has failed, or when ctx ends.
	Cancel(ctx context.Context, host, path string) JobAnswer
	// Pending returns the number of jobs of a queue that have not started. The JobAnswer is zero, or has the result
	// JobNoQueue if there is no such queue.
	Pending(host, path string) (int, JobAnswer)
}
