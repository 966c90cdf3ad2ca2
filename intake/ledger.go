// Package intake bounds what unfinished requests may use of a process: connections, and the memory of heads, bodies and
// what is kept of them. A Ledger decides; a Guard carries its decisions out on the listeners of a process.
package intake

import (
	"slices"
	"sync/atomic"

	"github.com/lavendercourse/lavendercourse/clock"
)

// Gate is a kind of listener. Each has its own bound of connections, so that a crowd on one does not close the others.
type Gate int

// The gates of a process.
const (
	Callers Gate = iota
	Links
	Reports
	Ready
	Metrics
	gateCount
)

// String returns the label of the gate in metrics.
func (g Gate) String() string {
	return [...]string{"callers", "links", "reports", "ready", "metrics"}[g]
}

const (
	// baseCost is the memory in bytes that is charged for each connection: two goroutines, two buffers of 4 KiB, the first
	// 4 KiB of a body, and headAllowance.
	baseCost = 24 << 10
	// headAllowance is the memory in bytes of a head that baseCost covers. The heads of ordinary submissions, which arrive
	// with bodies of up to 2,400 bytes, stay below it, so that they need no charge of their own.
	headAllowance = 10 << 10
	// keptAllowance is the memory in bytes of a submission in the works that baseCost covers.
	keptAllowance = 4 << 10
	// stepCost is the granularity of charges in bytes.
	stepCost = 8 << 10
	// minProgress is the number of bytes after which a connection counts as moving. One that sends fewer stands still, as
	// far as the choice of the connection to close is concerned, so that a trickle does not protect it.
	minProgress = 1024
	// maxStandstill is the time in ms without any byte after which a connection in the middle of a body is closed. It is
	// the published idle timeout.
	maxStandstill = 15 * clock.Second
	// ordinaryBonus is the time in ms by which connections that are charged nothing beyond baseCost count as having moved
	// later. Ordinary requests that are on their way are among them, and closing them frees little.
	ordinaryBonus = clock.Second
	// evictionDivisor is the part of a bound that is freed when the bound is reached, so that the search for connections
	// to close is not repeated for each byte.
	evictionDivisor = 16
)

// The states of a connection.
const (
	// stateReading is set while no request is complete. The connection may be closed to free what it uses.
	stateReading int32 = iota
	// stateServing is set from the end of a request to its answer, and on links.
	stateServing
	// stateClosed is set once the connection was given up or has ended.
	stateClosed
)

// Entry is the account of a connection. Its atomic fields are written by the goroutine that reads the connection, without
// the lock of the ledger.
type Entry struct {
	ledger *Ledger
	gate   Gate
	state  atomic.Int32
	// mark is the time in ms at which the connection last counted as moving, and touched that of the last byte.
	mark    atomic.Int64
	touched atomic.Int64
	// bodyPending is set while the body of a request is awaited.
	bodyPending atomic.Bool
	// fresh is the number of bytes since mark. Only the goroutine that reads uses it.
	fresh int
	// charged is the memory beyond baseCost, and kept the part of it that belongs to a complete request.
	charged, kept int64
	// index is the position in Ledger.entries.
	index int
}

// Gate returns the gate on which the connection was accepted.
func (e *Entry) Gate() Gate { return e.gate }

// Charged returns the memory in bytes that is charged for the connection beyond that of an empty one.
func (e *Entry) Charged() int64 { return e.charged }

// Move records that the connection has made progress.
func (e *Entry) Move(now clock.Millis) {
	e.mark.Store(int64(now))
	e.touched.Store(int64(now))
}

// Touch records that n bytes have arrived.
func (e *Entry) Touch(now clock.Millis, n int) {
	e.touched.Store(int64(now))
	if e.fresh += n; e.fresh >= minProgress {
		e.fresh = 0
		e.mark.Store(int64(now))
	}
}

// AwaitBody records that a body is being read. It lasts until EndBody, or until the request, or a later one, is complete.
func (e *Entry) AwaitBody() { e.bodyPending.Store(true) }

// EndBody records that a body has been read to its end.
func (e *Entry) EndBody() { e.bodyPending.Store(false) }

// Serve records that the request is complete, so that the connection is not closed before its answer. It returns false
// if the connection was given up before.
func (e *Entry) Serve() bool {
	e.bodyPending.Store(false)
	if e.state.CompareAndSwap(stateReading, stateServing) {
		e.count(1)
		return true
	}
	return e.state.Load() == stateServing
}

// Crowded reports whether so many requests of callers are being served that another one must be refused. The rest of the
// bounds is left for the connections on which refusals are answered.
func (e *Entry) Crowded() bool {
	l := e.ledger
	if e.gate != Callers || e.state.Load() == stateServing {
		return false
	}
	bound, memory := int64(l.limits.Connections[Callers]), l.callerMemory()
	n := l.serving.Load()
	return n >= bound-bound/evictionDivisor || n*baseCost+l.kept.Load() >= memory-memory/evictionDivisor
}

// count adds n to the number of callers that are being served.
func (e *Entry) count(n int64) {
	if e.gate == Callers {
		e.ledger.serving.Add(n)
	}
}

// Answered records that the answer to a request is complete and the next request may arrive. It returns false if the
// connection has been given up, or was not being served.
func (e *Entry) Answered(now clock.Millis) bool {
	e.Move(now)
	if !e.state.CompareAndSwap(stateServing, stateReading) {
		return false
	}
	e.count(-1)
	return true
}

// Ledger decides which connections a process accepts and which it closes. It is not safe for concurrent use, except for
// the methods of Entry that say nothing else.
type Ledger struct {
	limits  Limits
	entries []*Entry
	open    [gateCount]int
	// used is the memory charged for all connections, and kept the part beyond baseCost that belongs to complete requests.
	used int64
	kept atomic.Int64
	// serving is the number of callers whose requests are complete and not answered.
	serving atomic.Int64
}

// NewLedger returns a Ledger without connections.
func NewLedger(limits Limits) *Ledger { return &Ledger{limits: limits} }

// Used returns the memory in bytes that is charged.
func (l *Ledger) Used() int64 { return l.used }

// Open returns the number of connections of a gate.
func (l *Ledger) Open(g Gate) int { return l.open[g] }

// callerMemory returns the memory in bytes that the connections of callers may use.
func (l *Ledger) callerMemory() int64 { return l.limits.Memory - l.limits.reserved() }

// unused returns the part of the reserved memory that no connection uses, in bytes.
func (l *Ledger) unused() int64 {
	others := len(l.entries) - l.open[Callers]
	return max(l.limits.reserved()-int64(others)*baseCost, 0)
}

// Add accounts for a new connection. It returns nil if the connection must be refused, and the connections to close for
// it.
func (l *Ledger) Add(now clock.Millis, g Gate) (*Entry, []*Entry) {
	var victims []*Entry
	if bound := l.limits.Connections[g]; l.open[g] >= bound {
		victims = l.evict(func(e *Entry) bool { return e.gate == g }, func() bool { return l.open[g] <= bound-1-bound/evictionDivisor })
		if l.open[g] >= bound {
			return nil, victims
		}
	}
	e := &Entry{ledger: l, gate: g}
	// Memory is reserved for the connections of the other gates.
	if g == Callers {
		ok, more := l.makeRoom(e, baseCost)
		victims = append(victims, more...)
		if !ok {
			return nil, victims
		}
	}
	e.index = len(l.entries)
	e.Move(now)
	l.entries = append(l.entries, e)
	l.open[g]++
	l.used += baseCost
	return e, victims
}

// Charge accounts for more memory of a connection. If there is no room even without all connections that could be closed,
// it returns false and the request must be refused.
func (l *Ledger) Charge(e *Entry, n int64) (bool, []*Entry) {
	if e.state.Load() == stateClosed {
		return false, nil
	}
	ok, victims := l.makeRoom(e, n)
	if ok {
		l.used += n
		e.charged += n
	}
	return ok, victims
}

// Complete records that the request of a connection is complete. It returns false if the request must be refused, since
// complete requests take too much; the connection can be closed to make room then.
func (l *Ledger) Complete(e *Entry) bool {
	if !l.fits(e.charged-e.kept) || !e.Serve() {
		return false
	}
	l.kept.Add(e.charged - e.kept)
	e.kept = e.charged
	return true
}

// fits reports whether complete requests may keep n more bytes.
func (l *Ledger) fits(n int64) bool {
	return l.kept.Load()+l.serving.Load()*baseCost+n <= l.callerMemory()/2
}

// Keep replaces what is charged for the body of a complete request by the memory that is kept until its answer. It
// returns false if complete requests keep too much; the request must be refused.
func (l *Ledger) Keep(e *Entry, n int64) (bool, []*Entry) {
	if e.state.Load() == stateClosed {
		return false, nil
	}
	l.Release(e)
	if !l.fits(n) {
		return false, nil
	}
	ok, victims := l.Charge(e, n)
	if ok {
		e.kept = n
		l.kept.Add(n)
	}
	return ok, victims
}

// Release frees what is charged for a connection beyond an empty one.
func (l *Ledger) Release(e *Entry) {
	l.used -= e.charged
	l.kept.Add(-e.kept)
	e.charged, e.kept = 0, 0
}

// Remove ends the account of a connection that has ended. Further calls do nothing.
func (l *Ledger) Remove(e *Entry) {
	if e.state.Swap(stateClosed) == stateServing {
		e.count(-1)
	}
	l.drop(e)
}

// Stalled returns the connections to close because nothing of a body has arrived for maxStandstill.
func (l *Ledger) Stalled(now clock.Millis) []*Entry {
	var stalled []*Entry
	for _, e := range slices.Clone(l.entries) {
		if e.bodyPending.Load() && now-clock.Millis(e.touched.Load()) >= maxStandstill && e.state.CompareAndSwap(stateReading, stateClosed) {
			l.drop(e)
			stalled = append(stalled, e)
		}
	}
	return stalled
}

// drop frees all that is charged for a connection.
func (l *Ledger) drop(e *Entry) {
	if e.index < 0 {
		return
	}
	l.Release(e)
	l.used -= baseCost
	l.open[e.gate]--
	last := l.entries[len(l.entries)-1]
	l.entries[e.index], last.index = last, e.index
	l.entries[len(l.entries)-1] = nil
	l.entries = l.entries[:len(l.entries)-1]
	e.index = -1
}

// makeRoom closes connections other than the given one until n bytes fit, and returns whether they do. They are callers, or
// of the same gate.
func (l *Ledger) makeRoom(e *Entry, n int64) (bool, []*Entry) {
	bound := l.limits.Memory
	if l.used+l.unused()+n <= bound {
		return true, nil
	}
	victims := l.evict(
		func(other *Entry) bool { return other != e && (other.gate == Callers || other.gate == e.gate) },
		func() bool { return l.used+l.unused()+n <= bound-bound/evictionDivisor })
	return l.used+l.unused()+n <= bound, victims
}

// evict gives up connections that are eligible and have no complete request, those that have stood still for the longest
// time first, until enough returns true.
func (l *Ledger) evict(eligible func(*Entry) bool, enough func() bool) []*Entry {
	type candidate struct {
		entry *Entry
		// mark is a copy, since connections move on while they are sorted, and includes ordinaryBonus.
		mark int64
	}
	var candidates []candidate
	for _, e := range l.entries {
		if !eligible(e) || e.state.Load() != stateReading {
			continue
		}
		c := candidate{e, e.mark.Load()}
		if e.charged == 0 {
			c.mark += int64(ordinaryBonus)
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return int(a.mark - b.mark) })
	var victims []*Entry
	for _, c := range candidates {
		if enough() {
			break
		}
		// The request may have become complete in the meantime.
		if c.entry.state.CompareAndSwap(stateReading, stateClosed) {
			l.drop(c.entry)
			victims = append(victims, c.entry)
		}
	}
	return victims
}
