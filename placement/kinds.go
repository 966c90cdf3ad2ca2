package placement

import (
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

const (
	// kindWorkers is the number of workers on which a kind must have failed, without any success, to be held
	// responsible for its failures.
	kindWorkers = 3
	// kindMemory is the time in ms after the last failure for which a kind is held responsible.
	kindMemory = 30 * clock.Second
	// maxKinds bounds the failing kinds that are remembered, since callers choose their names.
	maxKinds = 10_000
)

type kindFailures struct {
	workers map[string]bool
	last    clock.Millis
}

// kinds tells failures of a kind of task from failures of a worker. A kind that fails wherever it runs must not eject
// the workers one after the other.
type kinds map[string]*kindFailures

// ended takes note of the end of a task and tells whether a failure is the kind's own.
func (k kinds) ended(now clock.Millis, worker string, e Ending) bool {
	switch e.Status {
	case message.StatusDone:
		delete(k, e.Kind)
		return false
	case message.StatusFailed:
	default:
		return false
	}
	f := k[e.Kind]
	if f == nil || now-f.last > kindMemory {
		k.forget(now)
		if len(k) >= maxKinds {
			return false
		}
		f = &kindFailures{workers: map[string]bool{}}
		k[e.Kind] = f
	}
	f.last = now
	f.workers[worker] = true
	return len(f.workers) >= kindWorkers
}

func (k kinds) forget(now clock.Millis) {
	for kind, f := range k {
		if now-f.last > kindMemory {
			delete(k, kind)
		}
	}
}
