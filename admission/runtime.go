package admission

import "github.com/lavendercourse/lavendercourse/clock"

const (
	// runSamples is the number of measured run times from which on they are trusted more than declared ones.
	runSamples = 5
	// runWeight is the share of a new run time in the running mean: one of this many.
	runWeight = 16
	// maxKinds bounds the kinds that are remembered, since callers choose their names.
	maxKinds = 10_000
)

type runTime struct {
	mean    clock.Millis
	samples int
}

// RunTimes learns how long the tasks of each kind run. Declared run times are often far off.
type RunTimes struct {
	kinds map[string]*runTime
}

// NewRunTimes returns run times that know no kind.
func NewRunTimes() *RunTimes {
	return &RunTimes{kinds: map[string]*runTime{}}
}

// Observe takes note of the run time in ms of a task that ended well.
func (r *RunTimes) Observe(kind string, run clock.Millis) {
	k := r.kinds[kind]
	if k == nil {
		if len(r.kinds) >= maxKinds {
			return
		}
		k = &runTime{mean: run}
		r.kinds[kind] = k
	}
	k.samples++
	weight := clock.Millis(min(k.samples, runWeight))
	k.mean += (run - k.mean) / weight
}

// Expect returns the run time in ms to reckon with: the learned one, else the declared one, else DefaultRun.
func (r *RunTimes) Expect(kind string, declared clock.Millis) clock.Millis {
	if k := r.kinds[kind]; k != nil && k.samples >= runSamples {
		return max(k.mean, 1)
	}
	if declared > 0 {
		return declared
	}
	return DefaultRun
}

// Learned returns the learned run time in ms of a kind, and whether there are enough samples.
func (r *RunTimes) Learned(kind string) (clock.Millis, bool) {
	k := r.kinds[kind]
	if k == nil || k.samples < runSamples {
		return 0, false
	}
	return max(k.mean, 1), true
}
