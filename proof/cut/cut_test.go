package cut_test

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/lavendercourse/lavendercourse/clock"
)

var (
	seeds     = flag.Int("cut.seeds", 2, "number of seeds of each simulation")
	seconds   = flag.Int("cut.seconds", 12, "time in s for which faults begin in each simulation")
	spread    = flag.Bool("cut.spread", false, "let the end of a held connection arrive up to 2 ms after its last data")
	firstSeed = flag.Uint64("cut.first", 1, "first seed of each simulation")
)

// claimSeedsFactor is the factor by which more seeds are played of the faults that have to exercise claims: about one seed in four
// does.
const claimSeedsFactor = 4

// maxShown is the number of violations of one simulation that are shown.
const maxShown = 2

// faultSet selects the kinds of faults of a simulation.
type faultSet struct {
	name  string
	kinds []int
	// longShare is the share of callers with a long time limit.
	longShare float64
	// exercisesClaims is set if jobs have to be given up for another gateway in these simulations.
	exercisesClaims bool
}

func faultSets() []faultSet {
	return []faultSet{
		{"none", nil, 0.4, false},
		{"cuts", []int{cutGateway, cutCallers, cutLinks}, 0.4, false},
		{"pauses", []int{pauseGateway, pauseRunner}, 0.4, false},
		{"kills", []int{killGateway, killRunner}, 0.4, false},
		{"workers", []int{cutGateway, cutWorker}, 0.4, false},
		{"patient", []int{cutGateway}, 1, true},
		{"all", []int{cutGateway, cutCallers, cutLinks, cutWorker, pauseGateway, pauseRunner, killGateway, killRunner}, 0.4, false},
	}
}

// minLoad and maxLoad bound the work submitted, as a share of the capacity. No job has to be refused for lack of room.
const (
	minLoad = 0.12
	maxLoad = 0.35
)

// newScenario draws the size, the load and the rate of faults of a deployment from the seed.
func newScenario(seed uint64, set faultSet) scenario {
	rng := rand.New(rand.NewPCG(seed, uint64(len(set.kinds))))
	s := scenario{
		gateways: 3 + rng.IntN(2), runners: 3 + rng.IntN(3), faultTime: clock.Millis(*seconds) * clock.Second,
		longShare: set.longShare, spreadBursts: *spread,
	}
	s.submitPause = s.meanWork() / float64(s.runners*runsPerWorker) / (minLoad + (maxLoad-minLoad)*rng.Float64())
	for _, kind := range set.kinds {
		s.faultPauses[kind] = (1000 + 3000*rng.Float64()) * float64(len(set.kinds)) / 2
	}
	return s
}

// Guards against a task that runs on two workers at once because two gateways have its job, and against gateways that keep
// this rule by serving nothing.
func TestNoTaskRunsTwice(t *testing.T) {
	for _, set := range faultSets() {
		t.Run(set.name, func(t *testing.T) {
			givenUp, n := 0, *seeds
			if set.exercisesClaims {
				n *= claimSeedsFactor
			}
			for seed := *firstSeed; seed < *firstSeed+uint64(n); seed++ {
				givenUp += simulate(t, seed, set)
			}
			if set.exercisesClaims && givenUp == 0 {
				t.Error("no job was given up for another gateway, so the simulation does not exercise claims")
			}
		})
	}
}

// simulate runs a scenario with one seed and returns the number of jobs given up for another gateway.
func simulate(t *testing.T, seed uint64, set faultSet) int {
	w := newWorld(seed, newScenario(seed, set))
	w.run()
	o := w.oracle
	t.Logf("seed %d: %d gateways, %d runners, %d jobs, %d completed, %d runs, %d claims, "+
		"%d waited for another gateway, %d given up, %d gone at arrival", seed, w.scenario.gateways, w.scenario.runners,
		len(w.allJobs), o.completed, o.starts, o.claims, o.awaited, o.givenUp, o.goneAtArrival)
	for i, v := range o.violations {
		if i == maxShown {
			t.Errorf("seed %d: %d more violations", seed, len(o.violations)-i)
			break
		}
		t.Errorf("seed %d: %s: %s", seed, v.check, v.text)
	}
	return o.givenUp
}
