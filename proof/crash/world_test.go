package crash_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/route"
)

const (
	service = "s"
	// meanCPU is the mean need of a task in thousandths of a core, runsPerWorker the number of such tasks that fit on a worker.
	meanCPU       = 5100
	runsPerWorker = 10
	// messageDelay is the time in ms that a message takes from sender to receiver.
	messageDelay = 1 * clock.Millis(1)
	// startTime is the simulated time of the first event, in ms. settleTime passes until jobs are submitted, and drainTime
	// after the last submission.
	startTime  = 10 * clock.Second
	settleTime = 1 * clock.Second
	drainTime  = 12 * clock.Second
	// restartTime is the time in ms after which a crashed worker is back.
	restartTime = 3 * clock.Second
)

// jobKind is a queue with its workload. tasks and duration (ms) are means of lognormal distributions, weight is the
// relative rate of submissions.
type jobKind struct {
	queue    route.Queue
	weight   float64
	tasks    float64
	duration float64
}

// jobKinds returns the queues of the simulation. Their relative rates are those of the users.
func jobKinds() []jobKind {
	q := func(name string, priority, attempts int) route.Queue {
		return route.Queue{
			Name: name, PathPrefix: "/" + name + "/", Service: service, MaxAttempts: attempts, SlackFactor: 1.6, TargetLatency: 60, Priority: priority,
		}
	}
	return []jobKind{{q("short", 0, 3), 206, 8, 60}, {q("middle", 1, 2), 600, 2, 200}, {q("long", 2, 2), 37.5, 4, 900}}
}

// scenario is the configuration of one simulation.
type scenario struct {
	gateways, workers int
	// load is the mean work submitted, as a share of the capacity.
	load float64
	// badShare is the share of the jobs of badQueues that hold a bad task: the first one if badFirst is set, else a random one.
	badShare  float64
	badQueues []int
	badFirst  bool
	delay     crashDelay
	events    events
	// submitTime is the time in ms for which jobs are submitted.
	submitTime clock.Millis
}

// crashDelay is the point of its run at which a bad task crashes its worker.
type crashDelay int

const (
	delayFixed crashDelay = iota
	delayNone
	delayRandom
	delayEnd
)

var delayNames = [...]string{"fixed", "none", "random", "end"}

func (d crashDelay) String() string { return delayNames[d] }

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
	kinds    []jobKind
	gateways []*gateway
	runners  []*runner
	agenda   agenda
	sequence int
	jobs     map[string]*simJob
	jobCount int
	// live holds the workers' runs in progress.
	live map[taskKey]*workerRun
	// open holds the submissions that are not answered, in the order of their arrival.
	open []*submission
	// resubmissions is the number of jobs that will be submitted again.
	resubmissions int
	oracle        oracle
}

func newWorld(seed uint64, s scenario) *world {
	w := &world{
		scenario: s, rng: rand.New(rand.NewPCG(seed, 7)), now: startTime, kinds: jobKinds(), jobs: map[string]*simJob{},
		live: map[taskKey]*workerRun{}, oracle: newOracle(),
	}
	for i := range s.gateways {
		w.gateways = append(w.gateways, newGateway(w, i))
	}
	for i := range s.workers {
		w.runners = append(w.runners, newRunner(w, i))
	}
	w.every(100, w.checkWaiting)
	return w
}

// run simulates the whole scenario.
func (w *world) run() {
	stop := startTime + settleTime + w.submitTime
	w.schedule(settleTime, func() { w.submitNext(stop) })
	w.schedule(settleTime, func() { w.disturb(stop) })
	for w.agenda[0].at <= stop || w.unsettled() && w.agenda[0].at <= stop+drainTime {
		e := heap.Pop(&w.agenda).(action)
		w.now = e.at
		e.do()
	}
	w.checkEnd()
}

// unsettled reports whether callers wait or will submit a job again, or starts may still be carried out late.
func (w *world) unsettled() bool {
	return len(w.open) > 0 || w.resubmissions > 0 || w.events.lateStarts
}

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

// every runs do with the given period in ms, with a random phase.
func (w *world) every(period clock.Millis, do func()) {
	var step func()
	step = func() {
		do()
		w.schedule(period, step)
	}
	w.schedule(w.between(0, period), step)
}

// between returns a random time from the range.
func (w *world) between(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(w.rng.Int64N(int64(high-low+1)))
}

// pause returns an exponentially distributed time with the given mean in ms.
func (w *world) pause(mean float64) clock.Millis {
	return clock.Millis(math.Round(w.rng.ExpFloat64() * mean))
}

// lognormal returns a lognormally distributed value with the given mean. sigma is the standard deviation of its logarithm.
func (w *world) lognormal(mean, sigma float64) float64 {
	return mean * math.Exp(w.rng.NormFloat64()*sigma-sigma*sigma/2)
}

func (w *world) violate(check, format string, args ...any) {
	w.oracle.violations = append(w.oracle.violations, violation{check, fmt.Sprintf("%d ms: ", w.now-startTime) + fmt.Sprintf(format, args...)})
}
