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
	// ejectedShare bounds the ejected workers: at most one of this many.
	ejectedShare = 3
)

// health is how far an entry trusts a worker.
type health struct {
	window   int
	failures int
	ejected  bool
	until    clock.Millis
	// since is the time of the last ejection or failed trial.
	since clock.Millis
	pause clock.Millis
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

// ended takes note of the end of a task that was sent at the given time. A refusal or a stop says nothing about the
// worker, nor do tasks that were sent before the worker was ejected. Room tells whether one more worker may be ejected.
func (h *health) ended(now, sent clock.Millis, status message.Status, room bool) {
	if h.ejected && sent <= h.since {
		return
	}
	switch status {
	case message.StatusDone:
		h.failures, h.pause = 0, 0
		if h.ejected {
			h.ejected, h.window = false, firstWindow
			return
		}
		h.window = min(h.window*2, 1<<16)
	case message.StatusFailed:
		h.failures++
		if h.failures < failureLimit && !h.ejected {
			return
		}
		if !h.ejected && !room {
			h.window = firstWindow
			return
		}
		h.ejected, h.since = true, now
		h.pause = min(max(h.pause*2, firstPause), longestPause)
		h.until = now + h.pause
	}
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
