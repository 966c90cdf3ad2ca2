package placement

import (
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

const (
	// minFailedWorkers is the number of workers on which a kind must have failed, with no success in between, for its
	// failures to be blamed on the kind.
	minFailedWorkers = 3
	// failureRetention is the time in ms after which a failing kind is forgotten if it has not failed again.
	failureRetention = 30 * clock.Second
	// maxFailingKinds bounds the memory for failing kinds, since callers choose the names of kinds freely.
	maxFailingKinds = 10_000
)

// kindFailures holds the failures of one kind since its last success.
type kindFailures struct {
	// workers holds the names of the agents whose workers failed a task of the kind.
	workers map[string]bool
	// lastAt is the time of the last failure.
	lastAt clock.Millis
}

// failingKinds holds the kinds of task that have failed since their last success. It tells failures of a kind from
// failures of a worker, so that a kind that fails wherever it runs does not get one worker after the other ejected.
type failingKinds map[string]*kindFailures

// record updates the failures of a kind with the end of an attempt. It reports whether the attempt failed and the
// failure is blamed on the kind.
func (k failingKinds) record(now clock.Millis, worker string, result AttemptResult) bool {
	switch result.Status {
	case message.StatusDone:
		delete(k, result.Kind)
		return false
	case message.StatusFailed:
	default:
		return false
	}
	f := k[result.Kind]
	if f == nil || now-f.lastAt > failureRetention {
		k.expire(now)
		if len(k) >= maxFailingKinds {
			return false
		}
		f = &kindFailures{workers: map[string]bool{}}
		k[result.Kind] = f
	}
	f.lastAt = now
	f.workers[worker] = true
	return len(f.workers) >= minFailedWorkers
}

// expire removes the kinds that have not failed for failureRetention.
func (k failingKinds) expire(now clock.Millis) {
	for kind, f := range k {
		if now-f.lastAt > failureRetention {
			delete(k, kind)
		}
	}
}
