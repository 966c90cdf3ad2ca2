package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// drainTime is the minimum time for which a worker serves after it reports draining, and maxDrainExcess the upper bound of
	// what it serves longer.
	drainTime      = 2 * time.Second
	maxDrainExcess = 300 * time.Millisecond
	// maxOpenTime is the upper bound of the time for which a worker that leaves serves open connections after it has closed its
	// listener.
	maxOpenTime = 3 * time.Second
	// maxAwayTime is the upper bound of the pause between two processes of a worker.
	maxAwayTime = 1500 * time.Millisecond
	// maxRefusal is the upper bound of the time for which an address refuses connections of a process that goes on.
	maxRefusal = 5 * time.Second
	// maxClockStep is the upper bound of the time by which the time of day of a worker is set back, and maxLate that of the
	// delay of a heartbeat.
	maxClockStep = 10 * time.Minute
	maxLate      = 3 * time.Second
	// maxSeries is the number of overlapping series of restarts, maxSeriesOffset the upper bound of the time between their starts.
	maxSeries       = 3
	maxSeriesOffset = 2 * time.Second
)

// departure holds the random choices of a worker that leaves.
type departure struct {
	// drain is the time between the first report of draining and the close of the listener, or 0 if the worker does not report
	// it. open is the time from that close to the end of the process.
	drain, open time.Duration
}

func drawDeparture(rng *rand.Rand) departure {
	d := departure{drain: drainTime + upTo(rng, maxDrainExcess), open: upTo(rng, maxOpenTime)}
	if rng.IntN(2) == 0 {
		d.drain = 0
	}
	return d
}

func (d departure) String() string {
	return fmt.Sprintf("draining for %s, listener closed for %s", d.drain, d.open)
}

// upTo draws a time below limit.
func upTo(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// drawLeave chooses a random fault of those that only soaks with leaving workers have.
func (s *site) drawLeave(rng *rand.Rand) fault {
	w := s.workers[rng.IntN(len(s.workers))]
	d := drawDeparture(rng)
	away, span, late, step := upTo(rng, maxAwayTime), upTo(rng, maxRefusal), upTo(rng, maxLate), upTo(rng, maxClockStep)
	first := rng.IntN(2) == 0
	// A fault may be injected twice at once. Only one of the two gets hold of the process and uses the id.
	s.ids++
	id := fmt.Sprintf("%s-%d", w.cfg.ID, s.ids)
	var starts []time.Duration
	for range 1 + rng.IntN(maxSeries) {
		starts = append(starts, upTo(rng, maxSeriesOffset))
	}
	switch kind := rng.IntN(8); kind {
	case 0, 1:
		if first {
			id = ""
		}
		return fault{fmt.Sprintf("worker %s leaves (%s) and is back after %s as %q", w.cfg.ID, d, away, id), func() {
			s.replaceAfterEnd(w, d, away, id)
		}, true}
	case 2, 3:
		return fault{fmt.Sprintf("worker %s refuses connections for %s, open ones reset: %t", w.cfg.ID, span, first), func() {
			s.refuse(w, span, first)
		}, true}
	case 4, 5:
		return fault{fmt.Sprintf("worker %s is replaced by %s (%s), listener at once: %t", w.cfg.ID, id, d, first), func() {
			s.replaceBeforeEnd(w, d, span, id, first)
		}, true}
	case 6:
		return fault{fmt.Sprintf("worker %s restarts after %s, born %s earlier, heartbeat %s late", w.cfg.ID, away, step, late), func() {
			s.restartEarlier(w, away, step, late)
		}, true}
	default:
		all, name := s.gateways, "gateways"
		if first {
			all, name = s.runners, "runners"
		}
		return fault{fmt.Sprintf("restart all %s in turn, in series that start after %s", name, starts), func() {
			s.restartInSeries(all, starts)
		}, first}
	}
}

// leave lets a process report that it leaves and close its listener.
func (s *site) leave(w *workerSite, p *workerProcess, drain time.Duration) {
	if drain > 0 {
		p.worker.Leave()
		time.Sleep(drain)
	}
	w.refuse(p)
}

// end lets a process that has closed its listener go on for a time, and ends it.
func (s *site) end(w *workerSite, p *workerProcess, d departure) {
	time.Sleep(d.open)
	if d.drain > 0 {
		p.worker.Deregister()
	}
	w.end(p)
}

// replaceAfterEnd lets a worker leave, and starts the next process away later, under the same id if id is empty.
func (s *site) replaceAfterEnd(w *workerSite, d departure, away time.Duration, id string) {
	p := w.present()
	if p == nil || !p.leave() {
		return
	}
	s.leave(w, p, d.drain)
	s.end(w, p, d)
	time.Sleep(away)
	if id == "" {
		id = p.id
	}
	retry(func() bool { return w.startAs(id, 0, s.ledger) == nil })
}

// replaceBeforeEnd starts another process, which reports to the same runner, beside one that leaves. It takes over the address
// when the old one has ended, or at once, as soon as the old one has closed its listener.
func (s *site) replaceBeforeEnd(w *workerSite, d departure, beside time.Duration, id string, atOnce bool) {
	p := w.present()
	if p == nil || !p.leave() {
		return
	}
	next := newWorkerProcess(w.config(id, 0), s.ledger)
	if !atOnce && d.drain == 0 {
		time.Sleep(beside)
	}
	s.leave(w, p, d.drain)
	taken := false
	takeOver := func() {
		retry(func() bool {
			ok, err := w.hand(p, next)
			taken = ok
			return err == nil
		})
	}
	if atOnce {
		takeOver()
	}
	s.end(w, p, d)
	if !atOnce {
		takeOver()
	}
	if !taken {
		next.end()
	}
}

// refuse lets the address of a worker refuse connections for a time, while its process goes on.
func (s *site) refuse(w *workerSite, span time.Duration, reset bool) {
	p := w.present()
	if p == nil || !p.leave() {
		return
	}
	w.refuse(p)
	if reset {
		p.reset()
	}
	time.Sleep(span)
	retry(func() bool { return w.accept(p) == nil })
	p.stay()
}

// restartEarlier restarts a worker whose time of day has been set back by step. A heartbeat of the old process arrives late.
func (s *site) restartEarlier(w *workerSite, away, step, late time.Duration) {
	p := w.present()
	if p == nil || !p.leave() {
		return
	}
	send := p.worker.PrepareHeartbeat()
	w.refuse(p)
	w.end(p)
	time.Sleep(away)
	retry(func() bool { return w.startAs(p.id, p.worker.Born()-step.Milliseconds(), s.ledger) == nil })
	time.Sleep(late)
	send()
}

// restartInSeries stops and restarts processes in turn until the last fault, in overlapping series.
func (s *site) restartInSeries(all []*process, starts []time.Duration) {
	var wg sync.WaitGroup
	for _, start := range starts {
		wg.Go(func() {
			time.Sleep(start)
			for _, p := range all {
				if time.Now().After(s.until) {
					return
				}
				s.restart(p, syscall.SIGTERM, 0)
			}
		})
	}
	wg.Wait()
}
