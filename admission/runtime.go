package admission

import "github.com/lavendercourse/lavendercourse/clock"

const (
	// minSamples is the number of measured run times of a kind from which on their mean replaces declared ones.
	minSamples = 5
	// meanSamples limits how many samples the running mean averages over: a new one has at least the weight
	// 1/meanSamples.
	meanSamples = 16
	// maxKinds bounds the memory for kinds, since callers choose their names freely.
	maxKinds = 10_000
)

// meanRunTime is the running mean of the run times of one kind.
type meanRunTime struct {
	// mean is in ms.
	mean    clock.Millis
	samples int
}

// RunTimes learns the mean run time of each kind of task from finished tasks, since declared run times are often far
// off.
type RunTimes struct {
	kinds map[string]*meanRunTime
}

// NewRunTimes returns run times without any kind.
func NewRunTimes() *RunTimes {
	return &RunTimes{kinds: map[string]*meanRunTime{}}
}

// Observe adds the run time in ms of a task that succeeded. It ignores new kinds once there are maxKinds of them.
func (r *RunTimes) Observe(kind string, runTime clock.Millis) {
	k := r.kinds[kind]
	if k == nil {
		if len(r.kinds) >= maxKinds {
			return
		}
		k = &meanRunTime{mean: runTime}
		r.kinds[kind] = k
	}
	k.samples++
	weight := clock.Millis(min(k.samples, meanSamples))
	k.mean += (runTime - k.mean) / weight
}

// Expect returns the expected run time of a task in ms: the learned one of its kind if there are enough samples, else
// the declared one if it is positive, else DefaultRunTime.
func (r *RunTimes) Expect(kind string, declared clock.Millis) clock.Millis {
	if k := r.kinds[kind]; k != nil && k.samples >= minSamples {
		return max(k.mean, 1)
	}
	if declared > 0 {
		return declared
	}
	return DefaultRunTime
}

// Learned returns the learned run time of a kind in ms, or false if there are not enough samples.
func (r *RunTimes) Learned(kind string) (clock.Millis, bool) {
	k := r.kinds[kind]
	if k == nil || k.samples < minSamples {
		return 0, false
	}
	return max(k.mean, 1), true
}
