package placement

import (
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

const (
	// initialWindow is the number of unfinished tasks that a new worker may have at once.
	initialWindow = 2
	// consecutiveFailureLimit is the number of failures in a row at which a worker is ejected.
	consecutiveFailureLimit = 5
	// minEjectionTime is the duration of the first ejection in ms. Each failed trial doubles it, up to maxEjectionTime.
	minEjectionTime = clock.Second
	maxEjectionTime = 30 * clock.Second
	// maxSlowdown is the mean ratio of run time to expected run time above which a worker is ejected.
	maxSlowdown = 4
	// minSlowdownSamples is the number of run times needed before a worker may be ejected for its slowdown.
	minSlowdownSamples = 20
	// slowdownMeanSamples limits how many samples the mean slowdown averages over: a new one has at least the weight
	// 1/slowdownMeanSamples.
	slowdownMeanSamples = 16
	// maxEjectedDivisor limits how many workers may be ejected at once: one in maxEjectedDivisor, rounded down.
	maxEjectedDivisor = 3
)

// HealthNames lists the values that Agent.Health returns.
var HealthNames = []string{"ready", "trial", "ejected", "leaving"}

// health decides how many tasks an entry sends to a worker: few to a new one, twice as many after each success, and
// none but single trial tasks to one that is ejected because its tasks fail or run too long.
type health struct {
	// window is the number of unfinished tasks that the worker may have.
	window int
	// failures is the number of failures in a row.
	failures int
	ejected  bool
	// ejectedUntil is the time from which on an ejected worker gets trial tasks.
	ejectedUntil clock.Millis
	// ejectedAt is the time of the last ejection or failed trial.
	ejectedAt clock.Millis
	// ejectionTime is the duration of the last ejection in ms. A success resets it to 0.
	ejectionTime clock.Millis
	// slowdown is the running mean of the ratio of run time to expected run time.
	slowdown float64
	// samples is the number of ratios that went into slowdown.
	samples int
}

func newHealth(now clock.Millis) health {
	return health{window: initialWindow, ejectedUntil: now}
}

// String returns ready, trial or ejected. A worker is on trial until its window has doubled once.
func (h *health) String() string {
	switch {
	case h.ejected:
		return "ejected"
	case h.window < 2*initialWindow:
		return "trial"
	default:
		return "ready"
	}
}

// record updates the health with the end of an attempt. Refused and stopped attempts say nothing about the worker. An
// ejected worker is not judged by attempts that were sent before its ejection.
func (h *health) record(now clock.Millis, result AttemptResult) {
	if h.ejected && result.sentAt <= h.ejectedAt {
		return
	}
	switch result.Status {
	case message.StatusDone:
		h.observeRunTime(result)
		if h.samples >= minSlowdownSamples && h.slowdown > maxSlowdown {
			h.eject(now, result.mayEject)
			return
		}
		h.failures, h.ejectionTime = 0, 0
		if h.ejected {
			h.ejected, h.window = false, initialWindow
			return
		}
		h.window = min(h.window*2, 1<<16)
	case message.StatusFailed:
		if result.KindFault {
			return
		}
		h.failures++
		if h.failures >= consecutiveFailureLimit || h.ejected {
			h.eject(now, result.mayEject)
		}
	}
}

// observeRunTime updates the mean slowdown with the run time of an attempt. Without an expected run time it does
// nothing.
func (h *health) observeRunTime(result AttemptResult) {
	if result.Expected <= 0 {
		return
	}
	h.samples++
	ratio := float64(result.Run) / float64(result.Expected)
	if h.ejected {
		// The run time of a trial task replaces the mean, since the earlier ones may no longer hold.
		h.slowdown = ratio
		return
	}
	h.slowdown += (ratio - h.slowdown) / float64(min(h.samples, slowdownMeanSamples))
}

// eject ejects the worker, so that it gets nothing for the ejection time and single trial tasks after that. If no more
// workers may be ejected, it instead reduces the window to that of a new worker.
func (h *health) eject(now clock.Millis, mayEject bool) {
	if !h.ejected && !mayEject {
		h.window = initialWindow
		return
	}
	h.ejected, h.ejectedAt = true, now
	h.ejectionTime = min(max(h.ejectionTime*2, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now + h.ejectionTime
}

// allows reports whether the worker may get one more task while the given number of tasks is unfinished there. An
// ejected worker gets single trial tasks once its ejection time has passed. If more workers are ejected than the limit
// allows, because others have left, it is treated like a new one.
func (h *health) allows(now clock.Millis, unfinished, ejectionBudget int) bool {
	if !h.ejected {
		return unfinished < h.window
	}
	if ejectionBudget < 0 {
		return unfinished < initialWindow
	}
	return unfinished == 0 && now >= h.ejectedUntil
}

// ejectionBudget returns how many more workers may be ejected. It is negative if more are ejected than the limit
// allows.
func (f *Fleet) ejectionBudget() int {
	n := 0
	for _, a := range f.sorted {
		if a.health.ejected {
			n++
		}
	}
	return len(f.sorted)/maxEjectedDivisor - n
}
