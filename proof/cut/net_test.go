package cut_test

import (
	"slices"

	"github.com/lavendercourse/lavendercourse/clock"
)

const (
	// maxDelay is the longest time in ms that a message takes between two machines.
	maxDelay = 2 * clock.Millis(1)
	// handshakeTimeout is the time in ms after which a dial fails, as in package link.
	handshakeTimeout = 3 * clock.Second
	// pruneLength is the number of connections from which on closed ones are removed from a list.
	pruneLength = 256
)

// host is a process. While it is paused, all that it has to handle waits. A restarted process is a new host.
type host struct {
	w      *world
	alive  bool
	paused bool
	// waiting holds what has to be handled when the pause ends.
	waiting []waitingEvent
	ends    []*end
	// pruneAt is the length of ends from which on closed ones are removed.
	pruneAt int
}

// waitingEvent is an event that waits in a paused process. Those of one source are handled in order.
type waitingEvent struct {
	source any
	do     func()
}

func newHost(w *world) *host { return &host{w: w, alive: true, pruneAt: pruneLength} }

// handle runs do in the process, at once or when its pause ends.
func (h *host) handle(source any, do func()) {
	switch {
	case !h.alive:
	case h.paused:
		h.waiting = append(h.waiting, waitingEvent{source, do})
	default:
		do()
	}
}

// after runs do in the process after the given time in ms.
func (h *host) after(d clock.Millis, do func()) {
	source := new(int)
	h.w.schedule(d, func() { h.handle(source, do) })
}

// every runs do in the process with the given period in ms, with a random phase.
func (h *host) every(period clock.Millis, do func()) {
	var step func()
	step = func() {
		do()
		h.after(period, step)
	}
	h.after(h.w.between(0, period), step)
}

// resume ends a pause. What has waited is handled in a random order that keeps the order of each source.
func (h *host) resume() {
	h.paused = false
	var sources []any
	bySource := map[any][]func(){}
	for _, e := range h.waiting {
		if bySource[e.source] == nil {
			sources = append(sources, e.source)
		}
		bySource[e.source] = append(bySource[e.source], e.do)
	}
	h.waiting = nil
	for len(sources) > 0 {
		i := h.w.rng.IntN(len(sources))
		events := bySource[sources[i]]
		h.handle(sources[i], events[0])
		bySource[sources[i]] = events[1:]
		if len(events) == 1 {
			sources = slices.Delete(sources, i, i+1)
		}
	}
}

// kill ends the process. The system closes its connections.
func (h *host) kill() {
	h.alive = false
	for _, e := range h.ends {
		e.close()
	}
}

// conn is a connection between two processes. While held returns true, its bytes are held.
type conn struct {
	w    *world
	held func() bool
	ends [2]end
}

// end is one side of a connection.
type end struct {
	c *conn
	h *host
	// peer is the other side.
	peer *end
	// wire holds what this side has sent and has not arrived, and lastAt the time of the last of it in ms.
	wire   []parcel
	lastAt clock.Millis
	closed bool
	// endArrived is set once the end of the connection has arrived in the buffer of this side.
	endArrived bool
	// heardAt is the time in ms of the last frame, and timeout the time without any after which this side closes the connection.
	heardAt clock.Millis
	timeout clock.Millis
	// onEnd is called when the connection ends, unless this side has closed it by close or reset.
	onEnd func()
}

// parcel is something that is sent on a connection: do is called at the other side, unless it is the end.
type parcel struct {
	at clock.Millis
	do func()
}

// connect opens a connection.
func (w *world) connect(from, to *host, held func() bool) *conn {
	c := &conn{w: w, held: held}
	for i, h := range []*host{from, to} {
		c.ends[i] = end{c: c, h: h, peer: &c.ends[1-i], heardAt: w.now, onEnd: func() {}}
		h.ends = append(h.ends, &c.ends[i])
		if len(h.ends) >= h.pruneAt {
			h.ends = slices.DeleteFunc(h.ends, func(e *end) bool { return e.closed })
			h.pruneAt = 2*len(h.ends) + pruneLength
		}
	}
	w.conns = append(w.conns, c)
	return c
}

// send sends something to the other side, where it is handled by do.
func (e *end) send(do func()) {
	if !e.closed {
		e.push(do)
	}
}

func (e *end) push(do func()) {
	e.lastAt = max(e.lastAt, e.c.w.now+e.c.w.between(0, maxDelay))
	e.wire = append(e.wire, parcel{e.lastAt, do})
	e.c.w.schedule(e.lastAt-e.c.w.now, e.pump)
}

// pump delivers what is due into the buffer of the other side, unless it is held. The other side handles it after that.
func (e *end) pump() {
	n := 0
	for n < len(e.wire) && e.wire[n].at <= e.c.w.now && !e.c.held() {
		n++
	}
	due := e.wire[:n]
	e.wire = e.wire[n:]
	for _, p := range due {
		e.peer.endArrived = e.peer.endArrived || p.do == nil
	}
	for _, p := range due {
		e.peer.h.handle(e.peer, func() { e.peer.receive(p) })
	}
}

// receive handles what has arrived in the buffer of this side.
func (e *end) receive(p parcel) {
	switch {
	case e.closed:
	case p.do == nil:
		e.closed = true
		e.onEnd()
	default:
		e.heardAt = e.c.w.now
		p.do()
	}
}

// close closes the connection: its end arrives behind what was sent.
func (e *end) close() {
	if !e.closed {
		e.closed = true
		e.push(nil)
	}
}

// reset resets the connection: if its bytes are held, they and its end are lost.
func (e *end) reset() {
	if e.c.held() {
		e.closed, e.wire = true, nil
		return
	}
	e.close()
}

// watch closes the connection at this side once nothing was heard for the given time in ms.
func (e *end) watch(timeout clock.Millis) {
	e.timeout = timeout
	var check func()
	check = func() {
		idle := e.c.w.now - e.heardAt
		switch {
		case e.closed:
		case idle >= e.timeout:
			e.close()
			e.onEnd()
		default:
			e.h.after(e.timeout-idle, check)
		}
	}
	check()
}

// release delivers in order what was held, at the end of a cut. What one side of a connection has sent arrives in one burst, or,
// if the scenario asks for it, spread over maxDelay.
func (w *world) release() {
	w.conns = slices.DeleteFunc(w.conns, func(c *conn) bool {
		return c.ends[0].closed && c.ends[1].closed && len(c.ends[0].wire)+len(c.ends[1].wire) == 0
	})
	for _, c := range w.conns {
		if c.held() {
			continue
		}
		for i := range c.ends {
			e := &c.ends[i]
			last := w.now + w.between(0, maxDelay)
			for k := range e.wire {
				if w.spreadBursts {
					last = max(last, w.now+w.between(0, maxDelay))
				}
				e.wire[k].at = last
				w.schedule(last-w.now, e.pump)
			}
			e.lastAt = last
		}
	}
}
