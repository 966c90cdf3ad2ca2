package cut_test

import (
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/room"
)

const (
	// maxLeaving is the longest time in ms for which a worker that leaves goes on with its runs, maxNotice the longest time in ms
	// between its draining heartbeat and the first refused connection, and maxBeside the longest time in ms for which two workers
	// share an address.
	maxLeaving = 3 * clock.Second
	maxNotice  = 500 * clock.Millis(1)
	maxBeside  = 3 * clock.Second
	// maxCrashAway is the longest time in ms until a worker that has crashed is back.
	maxCrashAway = 3 * clock.Second
	// maxLosing is the longest time in ms before a crash in which starts are held, and minLate and maxLate bound the time in ms for
	// which they are.
	maxLosing = 300 * clock.Millis(1)
	minLate   = 100 * clock.Millis(1)
	maxLate   = 3 * clock.Second
	// maxStep is the largest deviation in ms of the time of day of a machine, and maxHeartbeatDelay the longest time in ms by
	// which the last heartbeat of a process is delayed.
	maxStep           = 3 * clock.Second
	maxHeartbeatDelay = 2 * clock.Second
	// maxStepPause is the longest time in ms between a step of the time of day and the restart that it has an effect on.
	maxStepPause = clock.Second
	// maxStepAway is the longest time in ms for which a worker that crashes after such a step is away, so that a process may
	// be born earlier, by the time of day, than the one before it.
	maxStepAway = clock.Second
	// maxRush is the longest time in ms after which held starts reach a process that has just started to accept connections.
	maxRush = 100 * clock.Millis(1)
	// doubtTime is the time in ms after the end of a process from which on the runs of unanswered starts may count as ended
	// although no later process has listed its runs, by docs/platform.md.
	doubtTime = 1900 * clock.Millis(1)
)

// causeUnknownRun is the cause that package room gives for a run that is not in its table.
const causeUnknownRun = "run was not ordered by this runner"

// workerState is the state of the worker of a machine that faults change.
type workerState struct {
	// kernel answers for the machine when a connection is refused.
	kernel *host
	// open is a process that does not accept connections but still answers some of those that openTo has, or nil.
	open   *worker
	openTo *runner
	// workerBusy is set while a fault of the worker lasts.
	workerBusy bool
	// processes counts the processes of the worker, and ids its instance ids.
	processes, ids int
	// held holds the starts that are carried out as soon as a new process accepts connections.
	held []heldStart
	// endedAt holds the times in ms at which the runner reported the ends of runs, and listedAt those at which each process first
	// listed its runs, by its number.
	endedAt  map[lavendercourse.RunID]clock.Millis
	listedAt map[int]clock.Millis
	// clockStep is how far the time of day is ahead, in ms.
	clockStep clock.Millis
}

// heldStart is a start on its way to a process since the given time in ms.
type heldStart struct {
	r      *runner
	start  room.StartRun
	sentTo *worker
	since  clock.Millis
}

// disturbWorker lets a fault of the worker begin, unless one lasts.
func (m *machine) disturbWorker(kind int) {
	if m.workerBusy {
		return
	}
	m.workerBusy = true
	switch kind {
	case refuseWorker:
		m.refuse()
	case leaveWorker:
		m.leave()
	case replaceWorker:
		m.replace()
	case crashWorker:
		m.crash(maxCrashAway)
	case stepClock:
		m.stepTime(m.w.between(-maxStep, maxStep), true)
	}
}

// coin is true in half of the cases.
func (w *world) coin() bool { return w.rng.IntN(2) == 0 }

// stopListening makes the address of the worker refuse connections. Open ones may still be answered if keepOpen is set.
func (m *machine) stopListening(keepOpen bool) {
	if keepOpen {
		m.open, m.openTo = m.worker, m.runner
	}
	m.worker = nil
}

// listen makes a process accept connections at the address of the worker.
func (m *machine) listen(b *worker) {
	m.worker, m.open, m.openTo = b, nil, nil
	held := m.held
	m.held = nil
	for _, h := range held {
		m.w.schedule(m.w.between(0, maxRush), h.arrive)
	}
}

// newProcess starts a process, under the same instance id as the one before it or under another one. It does not accept
// connections yet.
func (m *machine) newProcess(before *worker, sameID bool) *worker {
	id := before.id
	if !sameID {
		m.ids++
		id = fmt.Sprintf("w%s.%d", m.name, m.ids)
	}
	m.processes++
	m.w.oracle.restarts++
	b := newWorker(m, id, int64(epoch+m.w.now+m.clockStep))
	b.number, b.name = m.processes, fmt.Sprintf("%s (%s, process %d)", m.name, id, m.processes)
	m.w.noteFault("a process of worker %s starts beside %s, number %d, born %d", id, m.name, m.processes, b.incarnation-int64(epoch))
	return b
}

// end ends a process with its runs. If times of day step, its last heartbeat may be delayed.
func (b *worker) end() {
	w := b.w
	if w.faultPauses[stepClock] > 0 && w.coin() {
		report, m := b.report(), b.m
		w.schedule(w.between(0, maxHeartbeatDelay), func() {
			m.runner.handle(new(int), func() { m.runner.handleHeartbeat(report) })
		})
	}
	w.noteFault("the process of %s ends", b.name)
	b.kill()
	b.endedAt = w.now
	for _, id := range b.sorted() {
		w.recordEnd(b.runs[id], lavendercourse.EndCrashed)
		delete(b.runs, id)
	}
}

// refuse lets the worker refuse connections for a random time.
func (m *machine) refuse() {
	w, b, d := m.w, m.worker, m.w.between(minFault, maxFault)
	keepOpen := w.coin()
	w.faultEnds(d)
	w.noteFault("%s refuses connections for %d ms, answers open ones: %t", b.name, d, keepOpen)
	m.stopListening(keepOpen)
	w.schedule(d, func() {
		w.noteFault("%s accepts connections again", b.name)
		m.listen(b)
		m.workerBusy = false
	})
}

// leave lets the worker leave gracefully: it refuses connections, ends later with its runs, and is replaced after that.
func (m *machine) leave() {
	w, b := m.w, m.worker
	var notice clock.Millis
	if w.coin() {
		b.draining = true
		b.heartbeat()
		notice = w.between(0, maxNotice)
	}
	left, away, sameID := w.between(0, maxLeaving), w.between(minAway, maxAway), w.coin()
	w.faultEnds(notice + left + away)
	w.noteFault("%s leaves, drains: %t, refuses connections in %d ms, ends %d ms later", b.name, b.draining, notice, left)
	w.schedule(notice, func() { m.stopListening(true) })
	w.schedule(notice+left, func() {
		b.end()
		w.schedule(away, func() {
			m.listen(m.newProcess(b, sameID))
			m.workerBusy = false
		})
	})
}

// replace starts another worker on the machine, which takes over the address at once or when the present one ends.
func (m *machine) replace() {
	w, old := m.w, m.worker
	takesOver, beside := w.coin(), w.between(0, maxBeside)
	if w.coin() {
		old.draining = true
		old.heartbeat()
	}
	w.faultEnds(beside)
	w.noteFault("%s is replaced in %d ms, drains: %t, address is taken over at once: %t", old.name, beside, old.draining, takesOver)
	b := m.newProcess(old, false)
	if takesOver {
		m.stopListening(true)
		m.worker = b
	}
	w.schedule(beside, func() {
		old.end()
		m.listen(b)
		m.workerBusy = false
	})
}

// crash ends the worker's process and starts another one after a random time. Shortly before, starts may be held, which are
// carried out late.
func (m *machine) crash(maxAway clock.Millis) {
	w, b := m.w, m.worker
	var notice clock.Millis
	if w.coin() {
		b.losing = true
		notice = w.between(0, maxLosing)
	}
	away, sameID := w.between(minAway, maxAway), w.coin()
	w.faultEnds(notice + max(away, maxLate))
	w.noteFault("%s crashes in %d ms and is away for %d ms", b.name, notice, away)
	w.schedule(notice, func() {
		m.stopListening(false)
		b.end()
		w.schedule(away, func() {
			m.listen(m.newProcess(b, sameID))
			m.workerBusy = false
		})
	})
}

// stepTime sets the time of day of the machine, and then lets the worker crash or the runner be killed, since only new processes
// read it. A step in the other direction may follow.
func (m *machine) stepTime(step clock.Millis, again bool) {
	w := m.w
	m.clockStep = min(max(m.clockStep+step, -maxStep), maxStep)
	w.noteFault("time of day of %s is %d ms ahead", m.name, m.clockStep)
	killsRunner, pause := w.coin(), w.between(0, maxStepPause)
	w.faultEnds(pause)
	w.schedule(pause, func() {
		switch {
		case !killsRunner:
			m.crash(maxStepAway)
		case m.busy:
			m.workerBusy = false
			return
		default:
			m.workerBusy, m.busy = false, true
			m.kill(w.away(m.name))
		}
		if again && w.coin() {
			m.stepBack(-step)
		}
	})
}

// updateRecord stores the report of the worker for a successor of the runner. That of a draining worker is removed.
func (r *runner) updateRecord(report lavendercourse.WorkerReport) {
	if report.Draining {
		report = lavendercourse.WorkerReport{}
	}
	r.m.record = report
}

// hasEnded reports whether the runner does not hold a run any more that it has ordered.
func (r *runner) hasEnded(id lavendercourse.RunID) bool {
	return r.table.StopCause(id) == causeUnknownRun
}

// stepBack sets the time of day once the machine has no other fault any more.
func (m *machine) stepBack(step clock.Millis) {
	w := m.w
	w.faultEnds(runnerTick)
	w.schedule(runnerTick, func() {
		if m.busy || m.workerBusy {
			m.stepBack(step)
			return
		}
		m.workerBusy = true
		m.stepTime(step, false)
	})
}

// calledProcess returns the process that gets a call of the runner and its host. If the connection is refused, the process is nil.
func (r *runner) calledProcess() (*worker, *host) {
	m := r.m
	if b := m.open; b != nil && b.alive && m.openTo == r && r.w.coin() {
		return b, b.host
	}
	if m.worker == nil {
		return nil, m.kernel
	}
	return m.worker, m.worker.host
}

// isOther reports whether a call is meant for another worker. The first calls of a runner name none.
func (b *worker) isOther(id string) bool {
	if id == "" || id == b.id {
		return false
	}
	b.w.oracle.others++
	return true
}

// holdStart reports whether a start is held on its way to a process. It is carried out later by the process that the address then
// belongs to.
func (r *runner) holdStart(a room.StartRun, b *worker) bool {
	if !b.losing || !r.w.coin() {
		return false
	}
	w, h := r.w, heldStart{r, a, b, r.w.now}
	w.note(a.Order.Run.Job, "start of %v is held", a.Order.Run)
	if w.coin() {
		r.m.held = append(r.m.held, h)
		return true
	}
	w.schedule(w.between(minLate, maxLate), h.arrive)
	return true
}

// arrive carries out the start at the process that accepts connections now.
func (h heldStart) arrive() {
	m, id := h.r.m, h.start.Order.Run
	w, p := m.w, m.worker
	if p == nil || m.workerCut > 0 || w.now-h.since > maxLate || p.isOther(h.start.Worker) {
		return
	}
	w.oracle.late++
	w.note(id.Job, "start of %v is carried out late: %v", id, p.startRun(h.start.Order, h.start.Entry, h.isExcluded(p)))
}

// isExcluded reports whether a start is one that docs/platform.md names as not excluded: it reaches a later process before that has
// listed its runs, after its run has ended.
func (h heldStart) isExcluded(p *worker) bool {
	b, m, id := h.sentTo, h.r.m, h.start.Order.Run
	if p == b || p.listed || !h.r.hasEnded(id) {
		return false
	}
	endedAt, reported := m.endedAt[id]
	if !reported || endedAt <= b.endedAt || endedAt-b.endedAt >= doubtTime {
		return true
	}
	for number, listedAt := range m.listedAt {
		if number > b.number && listedAt <= endedAt {
			return true
		}
	}
	return false
}
