package cut_test

import "github.com/lavendercourse/lavendercourse/clock"

// Kinds of faults.
const (
	// cutGateway cuts a gateway off from all, cutCallers from its callers, cutLinks from runners and other gateways.
	cutGateway = iota
	cutCallers
	cutLinks
	// cutWorker cuts a worker off from its runner.
	cutWorker
	pauseGateway
	pauseRunner
	killGateway
	killRunner
	// refuseWorker lets a worker refuse connections, leaveWorker lets it leave gracefully, replaceWorker starts another one
	// beside it, crashWorker ends its process at once, and stepClock sets the time of day of a machine.
	refuseWorker
	leaveWorker
	replaceWorker
	crashWorker
	stepClock
	faultKinds
)

const (
	// minFault and maxFault bound the time in ms of a cut or a pause.
	minFault = 50 * clock.Millis(1)
	maxFault = 5 * clock.Second
	// minAway and maxAway bound the time in ms for which a killed process is away.
	minAway = 200 * clock.Millis(1)
	maxAway = 2 * clock.Second
	// maxGap is the longest time in ms between two cuts in a row.
	maxGap = 1200 * clock.Millis(1)
)

// disturb lets faults begin until the given time in ms.
func (w *world) disturb(stop clock.Millis) {
	for kind, mean := range w.faultPauses {
		if mean > 0 {
			w.disturbWith(stop, kind, mean)
		}
	}
}

func (w *world) disturbWith(stop clock.Millis, kind int, mean float64) {
	w.schedule(w.pause(mean), func() {
		if w.now < stop {
			w.fault(kind)
			w.disturbWith(stop, kind, mean)
		}
	})
}

// fault lets a fault of the given kind begin at a random process.
func (w *world) fault(kind int) {
	s, m := w.sites[w.rng.IntN(len(w.sites))], w.machines[w.rng.IntN(len(w.machines))]
	switch kind {
	case cutGateway:
		w.cut(&s.cut, true, s.name+" from all", func(n int) { s.callersCut, s.linksCut = s.callersCut+n, s.linksCut+n })
	case cutCallers:
		w.cut(&s.cut, true, s.name+" from callers", func(n int) { s.callersCut += n })
	case cutLinks:
		w.cut(&s.cut, true, s.name+" from runners and gateways", func(n int) { s.linksCut += n })
	case cutWorker:
		w.cut(&m.cut, true, m.name+" from its worker", func(n int) { m.workerCut += n })
	case pauseGateway:
		w.pauseHost(s.name, s.gateway.host, &s.busy)
	case pauseRunner:
		w.pauseHost(m.name, m.runner.host, &m.busy)
	case killGateway:
		if !s.busy {
			s.busy = true
			s.kill(w.away(s.name))
		}
	case killRunner:
		if !m.busy {
			m.busy = true
			m.kill(w.away(m.name))
		}
	default:
		m.disturbWorker(kind)
	}
}

// faultEnds records that a fault ends after the given time in ms.
func (w *world) faultEnds(after clock.Millis) { w.lastFaultEnd = max(w.lastFaultEnd, w.now+after) }

// away returns the time in ms for which a killed process is away.
func (w *world) away(name string) clock.Millis {
	d := w.between(minAway, maxAway)
	w.noteFault("%s is killed and away for %d ms", name, d)
	w.faultEnds(d)
	return d
}

// cut adds a cut by change(1) and removes it by change(-1) after a random time, unless there is one already. A second one often
// follows.
func (w *world) cut(cut *bool, again bool, what string, change func(n int)) {
	if *cut {
		return
	}
	*cut = true
	d := w.between(minFault, maxFault)
	w.faultEnds(d)
	w.noteFault("cut of %s for %d ms", what, d)
	change(1)
	w.schedule(d, func() {
		w.noteFault("end of a cut of %s", what)
		*cut = false
		change(-1)
		w.release()
		if again && w.rng.IntN(2) == 0 {
			w.schedule(w.between(0, maxGap), func() { w.cut(cut, false, what, change) })
			w.faultEnds(maxGap + maxFault)
		}
	})
}

// pauseHost pauses a process for a random time, unless it is paused or away.
func (w *world) pauseHost(name string, h *host, busy *bool) {
	if *busy {
		return
	}
	*busy = true
	d := w.between(minFault, maxFault)
	w.faultEnds(d)
	w.noteFault("pause of %s for %d ms", name, d)
	h.paused = true
	w.schedule(d, func() {
		w.noteFault("end of the pause of %s", name)
		*busy = false
		h.resume()
	})
}
