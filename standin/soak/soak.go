package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/standin/fleet"
)

const (
	// graceLimit is the time between SIGTERM and SIGKILL, as on the platform.
	graceLimit = 6 * time.Second
	// startLimit is the time after the start within which every gateway must complete a job.
	startLimit = 30 * time.Second
	// recoverLimit is the time after the last fault within which every gateway must complete a job again.
	recoverLimit = 12 * time.Second
	// maxFaultDuration is the upper bound of the duration of a fault.
	maxFaultDuration = 3 * time.Second
	// crashSpan is twice the time for which a worker is away after a task has crashed it.
	crashSpan = 3 * time.Second
)

// Config holds the settings of a soak.
type Config struct {
	// Program is the path of the program under test.
	Program string
	// Dir is the directory for settings and logs.
	Dir  string
	Seed uint64
	// Span is the time for which faults are injected.
	Span     time.Duration
	Gateways int
	Runners  int
	Callers  int
	// Crashes is the share of jobs with a task that crashes its workers. If it is not 0, capacities change, and there are more
	// kinds of faults.
	Crashes float64
	// Cuts adds cuts that hold data, of whole gateways and of workers from their runners, and long pauses of gateways.
	Cuts bool
	// Leaves adds workers that leave, are replaced or refuse connections while their runs go on, and restarts in turn.
	Leaves bool
	// Cancels lets each third caller cancel its jobs, and replaces the faults by those beside which cancels are checked: kills of all
	// gateways, removed queues, pauses, and cuts between gateways.
	Cancels bool
	Out     io.Writer
}

// proxyDelay returns the delay of the fault Delay.
func (c Config) proxyDelay() time.Duration {
	if c.Cuts {
		return cutDelay
	}
	return proxyDelay
}

// Report is the result of a soak.
type Report struct {
	Faults    int
	Jobs      int
	Completed int
	Failed    int
	Refused   int
	Unknown   int
	// Cancelled is the number of jobs whose cancel was acknowledged.
	Cancelled int
	// Crashes is the number of workers that were crashed by tasks.
	Crashes int
	// Violations describes each guarantee that was violated.
	Violations []string
}

// Run runs a soak and returns its counts and the violated guarantees.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s, err := newSite(cfg)
	if err != nil {
		return Report{}, err
	}
	defer s.stop()
	c := newCallers(s)
	if !c.waitServed(ctx, startLimit) {
		return Report{}, fmt.Errorf("no job was served within %s of the start", startLimit)
	}
	load, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range cfg.Callers {
		wg.Go(func() { c.submitAll(load, i) })
	}
	if cfg.Crashes > 0 {
		wg.Go(func() { s.resizeWorkers(load) })
	}
	if cfg.Cuts {
		wg.Go(func() { s.pauseGateways(load) })
	}
	if !cfg.Cancels {
		wg.Go(func() { s.silenceStore(load) })
	}
	faults := s.injectFaults(ctx)
	end()
	wg.Wait()
	if !c.waitServed(ctx, recoverLimit) {
		c.addViolation("no job was served within %s of the last fault", recoverLimit)
	}
	r := c.report()
	r.Faults, r.Crashes = faults, s.ledger.Crashes()
	r.Violations = append(r.Violations, s.ledger.Violations()...)
	r.Violations = append(r.Violations, lateStarts(c.cancelled, s.ledger.LastStart)...)
	r.Violations = append(r.Violations, excessiveCrashes(s.ledger.CrashTimes(), c.began, s.exceptions)...)
	return r, nil
}

// injectFaults injects overlapping faults until cfg.Span has passed, and returns their number.
func (s *site) injectFaults(ctx context.Context) int {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 1))
	began := time.Now()
	s.until = began.Add(s.cfg.Span)
	var wg sync.WaitGroup
	n := 0
	for time.Since(began) < s.cfg.Span && ctx.Err() == nil {
		fault := s.drawFault(rng)
		for range 1 + rng.IntN(2) {
			n++
			_, _ = fmt.Fprintf(s.cfg.Out, "%7.2f s  %s\n", time.Since(began).Seconds(), fault.name)
			wg.Go(func() { s.inject(fault) })
		}
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
	}
	wg.Wait()
	return n
}

type fault struct {
	name   string
	inject func()
	// exception is set if a task may crash more than maxCrashes workers beside the fault: gateways then do not learn of all
	// crashes, or do not know what has run.
	exception bool
}

// inject injects a fault and records its time if it is an exception.
func (s *site) inject(f fault) {
	from := time.Now()
	f.inject()
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.exception {
		s.exceptions = append(s.exceptions, interval{from, time.Now()})
	}
}

// drawFault chooses a random fault. All random choices of a fault are made here, so that a seed reproduces the series.
func (s *site) drawFault(rng *rand.Rand) fault {
	if s.cfg.Cancels {
		return s.drawCancelFault(rng)
	}
	span := time.Duration(rng.Int64N(int64(maxFaultDuration)))
	p := append(append([]*process(nil), s.gateways...), s.runners...)[rng.IntN(len(s.gateways)+len(s.runners))]
	proxy := append(append([]*Proxy(nil), s.callerProxies...), s.linkProxies...)[rng.IntN(len(s.callerProxies)+len(s.linkProxies))]
	w := s.workers[rng.IntN(len(s.workers))]
	domain := fmt.Sprintf("evacuate/d%d", rng.IntN(domains))
	broken := Fault(1 + rng.IntN(3))
	storeFault := []fleet.StoreFaults{{Down: true}, {Silent: true}, {Delay: 200 * time.Millisecond}, {Lose: true}}[rng.IntN(4)]
	workerFault := []fleet.WorkerFaults{{Fail: true}, {Hang: true}, {Unanswered: 0.3}, {Draining: true}}[rng.IntN(4)]
	kind := rng.IntN(10)
	if s.cfg.Crashes > 0 && rng.IntN(3) == 0 {
		return s.drawCrashFault(rng, span)
	}
	if s.cfg.Cuts && rng.IntN(2) == 0 {
		return s.drawCut(rng)
	}
	if s.cfg.Leaves && rng.IntN(2) == 0 {
		return s.drawLeave(rng)
	}
	isRunner := slices.Contains(s.runners, p)
	switch kind {
	case 0:
		return fault{"kill " + p.name, func() { s.restart(p, syscall.SIGKILL, span/4) }, true}
	case 1:
		return fault{"stop " + p.name, func() { s.restart(p, syscall.SIGTERM, span/4) }, isRunner}
	case 2, 3:
		return fault{fmt.Sprintf("pause %s for %s", p.name, span), func() { s.pause(p, span) }, true}
	case 4:
		return fault{"reset connections", proxy.Reset, false}
	case 5:
		return fault{fmt.Sprintf("break connections (%d) for %s", broken, span), func() {
			proxy.Set(broken)
			time.Sleep(span)
			proxy.Set(Pass)
		}, true}
	case 6:
		return fault{fmt.Sprintf("store %+v for %s", storeFault, span), func() {
			s.store.SetFaults(storeFault)
			time.Sleep(span)
			s.store.SetFaults(fleet.StoreFaults{})
		}, false}
	case 7:
		return s.workerFault(w, workerFault, span)
	case 8:
		return fault{"worker " + w.cfg.ID + " restarts", func() { s.restartWorker(w, span) }, false}
	default:
		return fault{"publish and " + domain, func() { s.drain(domain, span) }, false}
	}
}

// drawCrashFault chooses a random fault of those that only soaks with crashes have.
func (s *site) drawCrashFault(rng *rand.Rand, span time.Duration) fault {
	order := rng.Perm(len(s.workers))
	w := s.workers[order[0]]
	several := order[:min(2+rng.IntN(3), len(order))]
	sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[rng.IntN(2)]
	switch rng.IntN(4) {
	case 0:
		return fault{fmt.Sprintf("workers %v crash", several), func() {
			var wg sync.WaitGroup
			for _, i := range several {
				wg.Go(func() { s.restartWorker(s.workers[i], span) })
			}
			wg.Wait()
		}, false}
	case 1:
		return fault{fmt.Sprintf("worker %s restarts behind a cut of %s", w.cfg.ID, span), func() { s.restartBehindCut(w, span) }, true}
	case 2:
		return s.workerFault(w, fleet.WorkerFaults{LostAnswers: 0.3}, span)
	default:
		return fault{fmt.Sprintf("restart all gateways in turn (%v)", sig), func() {
			for _, p := range s.gateways {
				s.restart(p, sig, 0)
			}
		}, sig == syscall.SIGKILL}
	}
}

func (s *site) workerFault(w *workerSite, f fleet.WorkerFaults, span time.Duration) fault {
	return fault{fmt.Sprintf("worker %s %+v for %s", w.cfg.ID, f, span), func() {
		w.set(f)
		time.Sleep(span)
		w.set(fleet.WorkerFaults{})
	}, f.Unanswered+f.LostAnswers > 0}
}

// silenceStore makes the open connections to the store silent from time to time until ctx ends.
func (s *site) silenceStore(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 4))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1000+rng.IntN(4000)) * time.Millisecond)
		s.storeListener.Silence()
	}
}

// resizeWorkers changes the capacities of workers until ctx ends.
func (s *site) resizeWorkers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 3))
	for ctx.Err() == nil {
		w := s.workers[rng.IntN(len(s.workers))]
		w.resize([]int{8000, 16000, 32000}[rng.IntN(3)])
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
	}
}

func (s *site) pause(p *process, span time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(span)
	p.signal(syscall.SIGCONT)
}

func (s *site) restart(p *process, sig syscall.Signal, pause time.Duration) {
	p.signal(sig)
	// A process that another fault paused must continue to handle the signal.
	p.signal(syscall.SIGCONT)
	p.await(graceLimit)
	time.Sleep(pause)
	// Does nothing if an overlapping fault has restarted the process already.
	if err := p.start(); err != nil {
		s.ledger.AddViolation("%s cannot be restarted: %v", p.name, err)
	}
}

func (s *site) restartWorker(w *workerSite, span time.Duration) {
	w.stop()
	time.Sleep(span / 2)
	retry(func() bool { return w.start(s.ledger) == nil })
}

// retry repeats a change of a worker for a second until it succeeds: the port may still be in use for a moment, or an
// overlapping fault may have restarted the worker.
func retry(change func() bool) {
	for range 20 {
		if change() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// restartBehindCut makes a worker silent, ends its process while it is, and starts the next incarnation when span has passed.
func (s *site) restartBehindCut(w *workerSite, span time.Duration) {
	w.set(fleet.WorkerFaults{Silent: true})
	time.Sleep(span / 2)
	w.endProcess()
	time.Sleep(span / 2)
	s.restartWorker(w, 0)
}

func (s *site) drain(domain string, span time.Duration) {
	s.publish()
	s.store.Put(platform.ConfigStream, domain, "{}")
	time.Sleep(span)
	s.store.Put(platform.ConfigStream, domain, "")
}
