package queue

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/route"
)

const (
	// timeoutDecay is the part by which the usual time limit of a queue falls towards a lower one with each caller. It follows a
	// change of all callers within some hundred, and keeps its level while a part of them comes back with what is left of theirs.
	timeoutDecay = 1.0 / 256
	// maxTimeoutQueues is the number of queues whose usual time limit is kept, at about 100 bytes each.
	maxTimeoutQueues = 4096
)

// callerTimeouts holds the usual time limit in ms of the callers of each queue, by queue name: a maximum that falls slowly.
type callerTimeouts map[string]float64

// waited returns the time in ms that the caller of a submission has probably spent before, at an entry that it lost or looking for
// one: its time limit is shorter than the time-out of the queue and than the usual one of the queue's callers. Both count, since an
// operator may set the time-out above what callers allow, and an entry that has just started knows no callers. A caller with a short
// limit of its own is taken for one that has waited; that costs it its place among the waiting jobs, and nothing else. The time limit
// is recorded.
func (c callerTimeouts) waited(s lavendercourse.Submission, q route.Queue) clock.Millis {
	if s.CallerTimeout <= 0 || q.Timeout <= 0 {
		return 0
	}
	usual, known := c[q.Name]
	if !known && len(c) >= maxTimeoutQueues {
		// The limits of deleted queues would accumulate otherwise. Those of the other queues are learned anew.
		clear(c)
	}
	limit := float64(s.CallerTimeout)
	usual = max(usual+(limit-usual)*timeoutDecay, limit)
	c[q.Name] = usual
	return max(min(q.Timeout, clock.Millis(usual))-s.CallerTimeout, 0)
}
