package crash_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/lavendercourse/lavendercourse/clock"
)

// rounds is the number of seeds of each simulation, firstSeed the first of them. By default only a part is run, since all
// simulations take more than a minute for each seed.
var (
	rounds    = flag.Int("crash.seeds", 0, "number of seeds of each simulation; 0 means one seed of every third simulation")
	seconds   = flag.Int("crash.seconds", 5, "time in s for which jobs are submitted in each simulation")
	firstSeed = flag.Uint64("crash.first", 1, "first seed of each simulation")
)

// maxShown is the number of violations of one simulation that are shown.
const maxShown = 6

// partDivisor selects the part of the simulations that is run by default.
const partDivisor = 3

// namedEvents are the combinations of events that are simulated.
func namedEvents() []struct {
	name   string
	events events
} {
	return []struct {
		name   string
		events events
	}{
		{"none", events{}},
		{"crashes", events{singles: true, flapping: true, mass: true}},
		{"ends", events{power: true, replacement: true}},
		{"cuts", events{cuts: true, lateStarts: true}},
		{"gateways", events{kills: true, links: true}},
		{"rolling", events{rolling: true, singles: true}},
		{"all", events{
			singles: true, flapping: true, mass: true, power: true, replacement: true, cuts: true, lateStarts: true, kills: true, links: true,
		}},
	}
}

// newScenario draws the size and the load of a deployment from the seed.
func newScenario(seed, combination uint64, share float64, delay crashDelay, e events) scenario {
	w := rand.New(rand.NewPCG(seed, combination))
	s := scenario{
		gateways: 3 + w.IntN(4), workers: 11 + w.IntN(30), load: 0.3 + 0.6*w.Float64(), badShare: share, badFirst: w.IntN(2) == 0,
		badQueues: []int{w.IntN(3)}, delay: delay, events: e, submitTime: clock.Millis(*seconds) * clock.Second,
	}
	if w.IntN(2) == 0 {
		s.badQueues = append(s.badQueues, (s.badQueues[0]+1)%3)
	}
	return s
}

// Guards against jobs answered as failed although none of their tasks is bad and none failed as often as its queue allows,
// and against the faults that a fix of that may introduce: bad tasks that crash worker after worker, tasks that run twice,
// jobs that are left waiting, and refusals after a start.
func TestNoInnocentJobFails(t *testing.T) {
	i := uint64(0)
	for _, share := range []float64{0, 0.005, 0.02, 0.05, 0.10} {
		for delay := delayFixed; delay <= delayEnd; delay++ {
			for _, e := range namedEvents() {
				if share == 0 && delay != delayFixed {
					continue
				}
				i++
				if *rounds == 0 && i%partDivisor != 0 {
					continue
				}
				combination := i
				t.Run(fmt.Sprintf("%g%%/%s/%s", share*100, delay, e.name), func(t *testing.T) { simulate(t, combination, share, delay, e.events) })
			}
		}
	}
}

// simulate runs a scenario with several seeds. The combination of share, delay and events is part of the seed, so that the
// deployments differ.
func simulate(t *testing.T, combination uint64, share float64, delay crashDelay, e events) {
	for seed := *firstSeed; seed < *firstSeed+uint64(max(*rounds, 1)); seed++ {
		w := newWorld(seed, newScenario(seed, combination, share, delay, e))
		w.run()
		t.Logf("seed %d: %d gateways, %d workers, load %.2f, queues %v: %+v ways %+v refusals %v", seed, w.scenario.gateways, w.workers, w.load, w.badQueues,
			w.oracle.count, w.oracle.ways, w.oracle.refusals)
		for i, v := range w.oracle.violations {
			if i == maxShown {
				t.Errorf("seed %d: %d more violations", seed, len(w.oracle.violations)-i)
				break
			}
			t.Errorf("seed %d: %s: %s", seed, v.check, v.text)
		}
	}
}
