package placement

import (
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

const (
	// firstWindow is the number of tasks that a new worker gets at once.
	firstWindow = 2
	// failureLimit is the number of failures in a row after which a worker is ejected.
	failureLimit = 5
	firstPause   = clock.Second
	longestPause = 30 * clock.Second
	// slowLimit is how many times longer than expected the tasks of a worker may run, on average, before it is ejected.
	slowLimit = 4
	// slowSamples is the number of tasks after which a worker can be called slow.
	slowSamples = 20
	// slowWeight is the share of a new sample in the running mean: one of this many.
	slowWeight = 16
	// ejectedShare bounds the ejected workers: at most one of this many.
	ejectedShare = 3
)

// HealthNames are the values of Agent.Health.
var HealthNames = []string{"ready", "trial", "ejected", "leaving"}

// health is how far an entry trusts a worker.
type health struct {
	window   int
	failures int
	ejected  bool
	until    clock.Millis
	// since is the time of the last ejection or failed trial.
	since clock.Millis
	pause clock.Millis
	// slowness is the running mean of run time over expected run time.
	slowness float64
	samples  int
}

func newHealth(now clock.Millis) health {
	return health{window: firstWindow, until: now}
}

// String returns ready, trial or ejected.
func (h *health) String() string {
	switch {
	case h.ejected:
		return "ejected"
	case h.window < 2*firstWindow:
		return "trial"
	default:
		return "ready"
	}
}

// ended takes note of the end of a task. A refusal or a stop says nothing about the worker, nor do tasks that were sent
// before the worker was ejected.
func (h *health) ended(now clock.Millis, e Ending) {
	if h.ejected && e.sent <= h.since {
		return
	}
	switch e.Status {
	case message.StatusDone:
		h.measure(e)
		if h.samples >= slowSamples && h.slowness > slowLimit {
			h.eject(now, e.room)
			return
		}
		h.failures, h.pause = 0, 0
		if h.ejected {
			h.ejected, h.window = false, firstWindow
			return
		}
		h.window = min(h.window*2, 1<<16)
	case message.StatusFailed:
		if e.Excused {
			return
		}
		h.failures++
		if h.failures >= failureLimit || h.ejected {
			h.eject(now, e.room)
		}
	}
}

// measure takes note of how much longer than expected a task ran.
func (h *health) measure(e Ending) {
	if e.Expected <= 0 {
		return
	}
	h.samples++
	ratio := float64(e.Run) / float64(e.Expected)
	if h.ejected {
		// A trial task tells more than the tasks from before the pause.
		h.slowness = ratio
		return
	}
	h.slowness += (ratio - h.slowness) / float64(min(h.samples, slowWeight))
}

// eject keeps the worker from getting more than trial tasks, or starts it again like a new one if no more workers may
// be ejected.
func (h *health) eject(now clock.Millis, room bool) {
	if !h.ejected && !room {
		h.window = firstWindow
		return
	}
	h.ejected, h.since = true, now
	h.pause = min(max(h.pause*2, firstPause), longestPause)
	h.until = now + h.pause
}

// open tells whether the worker may get one more task. An ejected worker gets single trial tasks; if too many workers
// are ejected, because others have left, it is treated like a new one.
func (h *health) open(now clock.Millis, sent, ejectable int) bool {
	if !h.ejected {
		return sent < h.window
	}
	if ejectable < 0 {
		return sent < firstWindow
	}
	return sent == 0 && now >= h.until
}

// ejectable returns how many more workers may be ejected. It is negative if too many are.
func (f *Fleet) ejectable() int {
	n := 0
	for _, a := range f.order {
		if a.health.ejected {
			n++
		}
	}
	return len(f.order)/ejectedShare - n
}
