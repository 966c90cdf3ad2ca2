package bench

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Shapes are the names of the workload shapes. The first one is the default.
var Shapes = []string{"steady", "burst", "cancel", "fail", "straggle", "drain", "kill"}

const (
	teamCount = 5
	// burstShare of the arrivals come within burstLength of the duration.
	burstShare  = 0.3
	burstStart  = 0.4
	burstLength = 0.05
	// cancelAt is the share of the duration after which half of the jobs are cancelled.
	cancelAt = 0.5
	// longShare of the tasks take 2 to 5 s.
	longShare = 0.02
	// quickShare of the jobs of at most quickTasks tasks are of class quick.
	quickShare = 0.6
	quickTasks = 4
)

// arrival is one job or call of a trace.
type arrival struct {
	at    time.Duration
	call  bool
	team  int
	class lavendercourse.Class
	// runs are the real run times of the tasks, and declared those that the caller declares, in ms.
	runs     []clock.Millis
	declared []clock.Millis
	// cancel is the time at which the caller cancels the job, or 0.
	cancel time.Duration
	// entry is a random number that selects the entry when callers are pinned.
	entry int
}

// newTrace generates random jobs and calls until their work fills the given share of the slots for the whole duration,
// and spreads them over it uniformly. That is a Poisson process under the condition that its total work is the target,
// which keeps the heavy tail of the job sizes from moving the load between seeds.
func newTrace(cfg Config) ([]arrival, error) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 7))
	duration := time.Duration(cfg.Seconds) * time.Second
	budget := clock.Millis(float64(cfg.Workers*cfg.Slots) * float64(cfg.Load) / 100 * float64(duration.Milliseconds()))
	var trace []arrival
	if cfg.Calls >= 1 {
		// Calls use no slots, so their number is chosen instead: one call per second for each slot to be filled.
		for range int(budget / clock.Second) {
			trace = append(trace, newCall(rng))
		}
	} else {
		for left := budget; left > 0; {
			if rng.Float64() < cfg.Calls {
				trace = append(trace, newCall(rng))
				continue
			}
			a := newJob(rng)
			trace = append(trace, a)
			for _, run := range a.runs {
				left -= run
			}
		}
	}
	for i := range trace {
		a := &trace[i]
		u := rng.Float64()
		if cfg.Shape == "burst" && rng.Float64() < burstShare {
			u = burstStart + burstLength*u
		}
		a.at = time.Duration(u * float64(duration))
		cancelTime := time.Duration(cancelAt * float64(duration))
		if cfg.Shape == "cancel" && !a.call && a.at < cancelTime && rng.IntN(2) == 0 {
			a.cancel = cancelTime
		}
	}
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].at < trace[j].at })
	if len(trace) == 0 {
		return nil, eris.Wrap(ErrConfig, "the load and duration give no arrivals")
	}
	return trace, nil
}

func newCall(rng *rand.Rand) arrival {
	return arrival{
		call: true, team: newTeam(rng), class: lavendercourse.ClassQuick, entry: rng.Int(),
		runs: []clock.Millis{50 + clock.Millis(rng.IntN(151))},
	}
}

func newJob(rng *rand.Rand) arrival {
	// The size is Pareto distributed with exponent 1 between 1 and the largest job, so half of the jobs have one task
	// and each decade of sizes has the same total work.
	n := int(1 / (1 - rng.Float64()*(1-1/float64(lavendercourse.MaxTasks+1))))
	n = min(max(n, 1), lavendercourse.MaxTasks)
	a := arrival{team: newTeam(rng), class: lavendercourse.ClassBatch, entry: rng.Int()}
	if n <= quickTasks && rng.Float64() < quickShare {
		a.class = lavendercourse.ClassQuick
	}
	// The declared times of all tasks of a job are wrong by the same factor of 0.1 to 10, since independent errors would
	// cancel out and do no harm.
	factor := math.Pow(10, 2*rng.Float64()-1)
	for range n {
		run := 50 * math.Pow(20, rng.Float64())
		if rng.Float64() < longShare {
			run = 2000 + 3000*rng.Float64()
		}
		a.runs = append(a.runs, clock.Millis(run))
		a.declared = append(a.declared, max(clock.Millis(run*factor), 1))
	}
	return a
}

// newTeam returns a random team number. Lower numbers are more frequent.
func newTeam(rng *rand.Rand) int {
	return min(rng.IntN(teamCount), rng.IntN(teamCount))
}
