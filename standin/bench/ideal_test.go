package bench

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func jobOf(at int, class lavendercourse.Class, runs ...clock.Millis) arrival {
	return arrival{at: ms(at), class: class, runs: runs, declared: runs}
}

// Guards against a simulation that deviates from the ideal single queue. The expected ends are worked out by hand.
func TestIdeal(t *testing.T) {
	const quick, batch = lavendercourse.ClassQuick, lavendercourse.ClassBatch
	cancelled := jobOf(0, batch, 100, 100)
	cancelled.cancel = ms(50)
	for _, tc := range []struct {
		name   string
		trace  []arrival
		slots  []int
		outage *outage
		want   []int
	}{
		{"one job in parallel", []arrival{jobOf(0, batch, 100, 300)}, []int{2}, nil, []int{310}},
		{"one job in turn", []arrival{jobOf(0, batch, 100, 300)}, []int{1}, nil, []int{410}},
		{"slots of all groups are one", []arrival{jobOf(0, batch, 100, 300)}, []int{1, 1}, nil, []int{310}},
		{"quick goes first", []arrival{jobOf(0, batch, 100), jobOf(1, batch, 100), jobOf(2, quick, 100)}, []int{1}, nil, []int{110, 310, 210}},
		{"least work goes first", []arrival{jobOf(0, batch, 100), jobOf(1, batch, 500), jobOf(2, batch, 100)}, []int{1}, nil, []int{110, 710, 210}},
		{"old batch counts as quick", []arrival{jobOf(0, quick, 6000), jobOf(1, batch, 100), jobOf(5500, quick, 100)}, []int{1}, nil, []int{6010, 6110, 6210}},
		{"cancelled job frees its slots", []arrival{cancelled, jobOf(1, batch, 500)}, []int{1}, nil, []int{0, 560}},
		{"calls take no slot", []arrival{jobOf(0, batch, 100), {at: ms(1), call: true, runs: []clock.Millis{50}}}, []int{1}, nil, []int{110, 61}},
		{"drained group finishes", []arrival{jobOf(0, batch, 200, 200, 200, 200)}, []int{1, 1}, &outage{group: 1, leave: ms(100), back: ms(1000)}, []int{610}},
		{"returned group is used", []arrival{jobOf(0, batch, 200, 200, 200, 200)}, []int{1, 1}, &outage{group: 1, leave: ms(100), back: ms(250)}, []int{450}},
		{"killed group loses its task", []arrival{jobOf(0, batch, 200, 200), jobOf(300, batch, 50)}, []int{1, 1}, &outage{group: 1, leave: ms(100), back: ms(1000), kill: true}, []int{0, 360}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := simulateIdeal(tc.trace, tc.slots, ms(10), tc.outage)
			for i, want := range tc.want {
				assert.Equal(t, got.ends[i], ms(want), "arrival %d", i)
			}
		})
	}
}

// Guards against work that is counted in the wrong window, or for tasks that were aborted.
func TestIdealWork(t *testing.T) {
	got := simulateIdeal([]arrival{jobOf(0, lavendercourse.ClassBatch, 200, 200)}, []int{1, 1}, 0,
		&outage{group: 1, leave: ms(100), back: ms(1000), kill: true})
	assert.Equal(t, totalRunTime(got.runs, 0, ms(1000)), ms(200))
	assert.Equal(t, totalRunTime(got.runs, ms(50), ms(150)), ms(100))
}

// Guards against the return of a failure domain being counted as full use before the domain has its share of the slots
// in use.
func TestTimeToFullUse(t *testing.T) {
	o := outage{group: 1, leave: 0, back: ms(100)}
	runs := []run{
		{group: 0, begin: 0, end: ms(9000)},
		{group: 0, begin: 0, end: ms(9000)},
		{group: 1, begin: ms(120), end: ms(9000)},
		{group: 1, begin: ms(160), end: ms(9000)},
	}
	assert.Equal(t, timeToFullUse(runs, []int{2, 2}, o), ms(60))
	assert.Equal(t, timeToFullUse(runs[:2], []int{2, 2}, o), time.Duration(-1))
}

// Guards against traces that differ for the same seed, miss the target load, or leave the stated ranges.
func TestTrace(t *testing.T) {
	for _, shape := range Shapes {
		cfg := Default()
		cfg.Shape, cfg.Seed = shape, 11
		trace, err := newTrace(cfg)
		assert.NilError(t, err)
		again, err := newTrace(cfg)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(trace, again))
		var sum, largest clock.Millis
		for i, a := range trace {
			var own clock.Millis
			for _, run := range a.runs {
				assert.Assert(t, run >= 50 && run <= 5000)
				own += run
			}
			assert.Assert(t, len(a.runs) <= lavendercourse.MaxTasks)
			assert.Assert(t, i == 0 || trace[i-1].at <= a.at)
			if !a.call {
				sum += own
				largest = max(largest, own)
			}
		}
		budget := clock.Millis(cfg.Workers*cfg.Slots*cfg.Load*cfg.Seconds) * 10
		assert.Assert(t, sum >= budget && sum < budget+largest, "%s: %d ms of %d ms", shape, sum, budget)
	}
}
