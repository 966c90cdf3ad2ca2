package cut_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/route"
)

const (
	service = "s"
	// taskCPU is the need of a task in thousandths of a core, runsPerWorker the number of tasks that fit on a worker.
	taskCPU       = 1000
	runsPerWorker = 24
	// startTime is the simulated time of the first event, in ms. settleTime passes until jobs are submitted.
	startTime  = 10 * clock.Second
	settleTime = 2 * clock.Second
	// recoveryTime is the time in ms after the last fault from which on all jobs have to be served: links are made again, the
	// links and runs of before expire, and callers come back.
	recoveryTime = 6 * clock.Second
	// quietTime is the time in ms for which jobs are submitted after that, quietJobs of them to each gateway, and drainTime what
	// passes after the last submission.
	quietTime = 2 * clock.Second
	quietJobs = 4
	drainTime = 9 * clock.Second
)

var testQueue = route.Queue{Name: "q", PathPrefix: "/q/", Service: service, MaxAttempts: 3, SlackFactor: 1.6, TargetLatency: 60}

// scenario is the configuration of one simulation.
type scenario struct {
	gateways, runners int
	// submitPause is the mean time in ms between two jobs.
	submitPause float64
	// longShare is the share of callers with a long time limit.
	longShare float64
	// faultPauses holds the mean time in ms between two faults of each kind; 0 means that there are none.
	faultPauses [faultKinds]float64
	// faultTime is the time in ms for which faults begin.
	faultTime clock.Millis
	// spreadBursts lets the end of a held connection arrive up to maxDelay after its last data.
	spreadBursts bool
}

type taskKey struct {
	job  string
	task int
}

func keyOf(id lavendercourse.RunID) taskKey { return taskKey{id.Job, id.Task} }

// world is the state of one simulation. All times are in ms of simulated time.
type world struct {
	scenario
	rng      *rand.Rand
	now      clock.Millis
	agenda   agenda
	sequence int
	// callers is the host of all callers, which is never paused.
	callers  *host
	sites    []*gatewaySite
	machines []*machine
	conns    []*conn
	jobs     map[string]*simJob
	allJobs  []*simJob
	// live holds the workers' runs in progress.
	live   map[taskKey][]*workerRun
	oracle oracle
	// lastFaultEnd is the time in ms at which the last fault has ended.
	lastFaultEnd clock.Millis
}

func newWorld(seed uint64, s scenario) *world {
	w := &world{
		scenario: s, rng: rand.New(rand.NewPCG(seed, 11)), now: startTime, jobs: map[string]*simJob{}, live: map[taskKey][]*workerRun{},
	}
	w.callers = newHost(w)
	for i := range s.gateways {
		w.sites = append(w.sites, &gatewaySite{w: w, index: i, name: fmt.Sprintf("g%d", i)})
	}
	for i := range s.runners {
		w.machines = append(w.machines, newMachine(w, i))
	}
	for _, s := range w.sites {
		s.start()
	}
	for _, m := range w.machines {
		m.start()
	}
	return w
}

// run simulates the whole scenario.
func (w *world) run() {
	w.schedule(settleTime, func() {
		w.submitNext()
		w.disturb(w.now + w.faultTime)
	})
	for {
		e := heap.Pop(&w.agenda).(action)
		if e.at > w.submitEnd()+drainTime {
			break
		}
		w.now = e.at
		e.do()
	}
	w.checkEnd()
}

// quietFrom returns the time in ms from which on all jobs have to be served, and submitEnd that of the last submission.
func (w *world) quietFrom() clock.Millis {
	return max(startTime+settleTime+w.faultTime, w.lastFaultEnd) + recoveryTime
}

func (w *world) submitEnd() clock.Millis { return w.quietFrom() + quietTime }

// action is scheduled for a simulated time. Actions of the same time run in the order of their scheduling.
type action struct {
	at       clock.Millis
	sequence int
	do       func()
}

type agenda []action

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(e any)   { *a = append(*a, e.(action)) }
func (a *agenda) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}

// schedule runs do after the given time in ms.
func (w *world) schedule(after clock.Millis, do func()) {
	w.sequence++
	heap.Push(&w.agenda, action{w.now + after, w.sequence, do})
}

// between returns a random time from the range.
func (w *world) between(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(w.rng.Int64N(int64(high-low+1)))
}

// pause returns an exponentially distributed time with the given mean in ms.
func (w *world) pause(mean float64) clock.Millis { return clock.Millis(w.rng.ExpFloat64() * mean) }
