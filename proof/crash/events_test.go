package crash_test

import (
	"github.com/lavendercourse/lavendercourse/clock"
)

// Causes of the end of a worker's process.
const (
	causeBad     = "bad task"
	causeEvent   = "event"
	causePower   = "power"
	causeReplace = "replacement"
	causeCut     = "behind a cut"
)

// lateStartShare is the share of the starts that are carried out late and not answered, if the scenario has such starts.
const lateStartShare = 0.04

// events selects the events beside the crashes by bad tasks.
type events struct {
	// singles are crashes of random workers, flapping those of two workers soon after each restart, mass those of a share of
	// all workers at once.
	singles, flapping, mass bool
	// power is a loss of power at single workers and at a share of them, replacement the announced end of workers.
	power, replacement bool
	// cuts separate workers from their runners, sometimes with a crash meanwhile.
	cuts bool
	// lateStarts leaves a share of the starts unanswered and carries them out later.
	lateStarts bool
	// kills replaces gateways, links cuts links, rolling restarts all gateways in turn.
	kills, links, rolling bool
}

// hidesCrashes reports whether gateways may not see all crashes of a task in time.
func (e events) hidesCrashes() bool {
	return e.cuts || e.power || e.lateStarts || e.kills || e.links || e.rolling
}

// lateStart returns the time in ms by which a start is late, or 0.
func (w *world) lateStart() clock.Millis {
	if !w.events.lateStarts || w.rng.Float64() >= lateStartShare {
		return 0
	}
	return w.between(2*clock.Second, 12*clock.Second)
}

func (w *world) randomRunner() *runner { return w.runners[w.rng.IntN(len(w.runners))] }

// repeat calls do until stop, with random pauses of the given mean in ms.
func (w *world) repeat(stop clock.Millis, mean float64, do func()) {
	w.schedule(w.pause(mean), func() {
		if w.now < stop {
			do()
			w.repeat(stop, mean, do)
		}
	})
}

// disturb schedules the events of the scenario.
func (w *world) disturb(stop clock.Millis) {
	e := w.events
	if e.singles {
		w.repeat(stop, 800, func() { b := w.randomRunner().worker; b.end(b.proc, causeEvent) })
	}
	for range 2 {
		if b := w.randomRunner().worker; e.flapping {
			b.flapping = true
			b.end(b.proc, causeEvent)
		}
	}
	if e.mass {
		w.repeat(stop, 5000, func() { w.endShare(causeEvent) })
	}
	if e.power {
		w.repeat(stop, 800, func() { b := w.randomRunner().worker; b.end(b.proc, causePower) })
		w.repeat(stop, 5000, func() { w.endShare(causePower) })
	}
	if e.replacement {
		w.repeat(stop, 700, func() { w.replace(w.randomRunner().worker) })
	}
	if e.cuts {
		w.repeat(stop, 700, func() { w.cut(w.randomRunner().worker) })
	}
	if e.kills {
		w.repeat(stop, 3000, func() { w.gateways[w.rng.IntN(len(w.gateways))].kill(w.between(500, 2000)) })
	}
	if e.links {
		w.repeat(stop, 300, func() { w.breakLink(w.randomRunner().links[w.rng.IntN(len(w.gateways))]) })
	}
	if e.rolling {
		for i := range w.gateways {
			w.schedule(clock.Millis(i+1)*2*clock.Second, func() { w.gateways[i].restart() })
		}
	}
}

// endShare ends a third to two thirds of the workers within 20 ms.
func (w *world) endShare(cause string) {
	share := 0.33 + w.rng.Float64()/3
	for _, r := range w.runners {
		if w.rng.Float64() < share {
			w.schedule(w.between(0, 20), func() { r.worker.end(r.worker.proc, cause) })
		}
	}
}

// replace lets a worker report that it is draining, and end some time later.
func (w *world) replace(b *worker) {
	p := b.proc
	if p == nil || p.draining {
		return
	}
	p.draining = true
	b.heartbeat()
	w.schedule(w.between(500, 3000), func() { b.end(p, causeReplace) })
}

// cut separates a worker from its runner for some seconds, with or without a crash meanwhile.
func (w *world) cut(b *worker) {
	if b.cut {
		return
	}
	b.cut = true
	length := w.between(300, 5000)
	if w.rng.IntN(5) < 2 {
		p := b.proc
		w.schedule(w.between(1, length), func() { b.end(p, causeCut) })
	}
	w.schedule(length, func() { b.cut = false })
}

// breakLink breaks a link. Both sides notice that at different times.
func (w *world) breakLink(l *gatewayLink) {
	if l == nil || l.broken {
		return
	}
	l.broken = true
	w.schedule(w.between(0, 800), l.closeAtRunner)
	w.schedule(w.between(0, 800), l.closeAtGateway)
}
