package crash_test

import (
	"cmp"
	"maps"
	"slices"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// workerRun is a run in progress on a worker.
type workerRun struct {
	id        lavendercourse.RunID
	startedAt clock.Millis
	duration  clock.Millis
}

// process is one incarnation of a worker. It implements the contract of the platform: fencing tokens, leases by its own
// clock, numbered ends.
type process struct {
	worker      *worker
	incarnation int64
	bornAt      clock.Millis
	token       int64
	leaseUntil  clock.Millis
	runs        map[lavendercourse.RunID]*workerRun
	// highest is the highest run of each task that has ended or was stopped.
	highest  map[taskKey]int
	ends     []lavendercourse.End
	lastEnd  int64
	draining bool
	sequence int64
	// polls holds the renewals that wait for the end of a run, resets the calls that fail when the process ends.
	polls  []*poll
	resets map[*call]bool
	// culprit is the bad task that ended the process.
	culprit taskKey
}

// poll is a renewal that waits for the end of a run.
type poll struct {
	acked  int64
	answer func()
}

// worker is a backend server. proc is nil while no process runs.
type worker struct {
	w      *world
	name   string
	runner *runner
	proc   *process
	// silent is set while the host is without power, cut while the runner cannot reach the worker.
	silent, cut bool
	flapping    bool
	restarts    int
}

func newWorker(w *world, name string, r *runner) *worker {
	b := &worker{w: w, name: name, runner: r}
	w.every(20, b.expire)
	w.every(clock.Second, b.heartbeat)
	w.schedule(w.between(0, 300), b.boot)
	return b
}

// boot starts a new process, unless one runs.
func (b *worker) boot() {
	if b.proc != nil {
		return
	}
	b.silent = false
	b.restarts++
	b.proc = &process{
		worker: b, incarnation: int64(1e9 + b.w.now), bornAt: b.w.now, runs: map[lavendercourse.RunID]*workerRun{},
		highest: map[taskKey]int{}, resets: map[*call]bool{},
	}
	b.heartbeat()
	if p := b.proc; b.flapping {
		b.w.schedule(b.w.between(300, 1500), func() { b.end(p, causeEvent) })
	}
}

// end ends a process, with all of its runs. It is back after restartTime.
func (b *worker) end(p *process, cause string) {
	if p == nil || b.proc != p {
		return
	}
	b.proc = nil
	b.w.recordCrash(b, p, cause)
	for id := range p.runs {
		delete(b.w.live, keyOf(id))
	}
	if cause == causePower {
		b.silent = true
		b.w.schedule(b.w.between(3*clock.Second, 8*clock.Second), b.boot)
		return
	}
	for _, c := range slices.SortedFunc(maps.Keys(p.resets), func(a, b *call) int { return a.number - b.number }) {
		b.w.schedule(messageDelay, func() { c.finish(errReset) })
	}
	b.w.schedule(restartTime, b.boot)
}

// reachable reports whether calls reach the host.
func (b *worker) reachable() bool { return !b.silent && !b.cut }

func (b *worker) heartbeat() {
	p := b.proc
	if p == nil || !b.reachable() {
		return
	}
	p.sequence++
	report := lavendercourse.WorkerReport{
		ID: b.name, Incarnation: p.incarnation, Service: service, Domain: b.runner.domain, Draining: p.draining, Sequence: p.sequence,
		Capacity: lavendercourse.Resources{CPU: runsPerWorker * meanCPU, Memory: 1 << 20}, Clock: p.clock(),
	}
	b.w.schedule(messageDelay, func() { b.runner.handleHeartbeat(report) })
}

// expire ends the runs whose lease has expired.
func (b *worker) expire() {
	p := b.proc
	if p == nil || p.clock() <= p.leaseUntil {
		return
	}
	for _, id := range p.sorted() {
		p.endRun(id, lavendercourse.EndExpired)
	}
}

// clock is the reading of the worker's clock, which starts anew with each process.
func (p *process) clock() clock.Millis { return p.worker.w.now - p.bornAt + 1 }

func (p *process) alive() bool { return p.worker.proc == p }

func (p *process) sorted() []lavendercourse.RunID {
	return slices.SortedFunc(maps.Keys(p.runs), func(a, b lavendercourse.RunID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), a.Task-b.Task, a.Run-b.Run)
	})
}

func (p *process) status(withIncarnation bool) lavendercourse.WorkerStatus {
	s := lavendercourse.WorkerStatus{Clock: p.clock()}
	if withIncarnation {
		s.Incarnation = p.incarnation
	}
	return s
}

// start carries out a start.
func (p *process) start(o lavendercourse.Order) lavendercourse.Reply {
	w, id := p.worker.w, o.Run
	switch {
	case o.Token < p.token:
		return lavendercourse.ReplyStaleToken
	case p.runs[id] != nil:
		return lavendercourse.ReplyAccepted
	case p.highest[keyOf(id)] >= id.Run:
		return lavendercourse.ReplyStaleRun
	case o.LeaseExpiry <= p.clock():
		return lavendercourse.ReplyLate
	}
	p.token = o.Token
	p.leaseUntil = max(p.leaseUntil, min(o.LeaseExpiry, p.clock()+clock.Second))
	task := w.jobs[id.Job].tasks[id.Task]
	run := &workerRun{id: id, startedAt: w.now, duration: task.duration}
	w.recordStart(p, run)
	p.runs[id] = run
	w.live[keyOf(id)] = run
	if task.bad {
		delay := w.drawDelay(task.duration)
		if delay == 0 {
			p.crash(id)
			return lavendercourse.ReplyOther
		}
		w.schedule(delay, func() {
			if p.runs[id] == run {
				p.crash(id)
			}
		})
		return lavendercourse.ReplyAccepted
	}
	kind := lavendercourse.EndDone
	if task.fails || w.rng.Float64() < failingRuns {
		kind = lavendercourse.EndFailed
	}
	w.schedule(task.duration, func() {
		if p.runs[id] == run && p.alive() {
			p.endRun(id, kind)
		}
	})
	return lavendercourse.ReplyAccepted
}

// crash ends the process because of a bad task.
func (p *process) crash(id lavendercourse.RunID) {
	if p.alive() {
		p.culprit = keyOf(id)
		p.worker.end(p, causeBad)
	}
}

// stop carries out a stop.
func (p *process) stop(id lavendercourse.RunID, token int64) lavendercourse.Reply {
	if token < p.token {
		return lavendercourse.ReplyStaleToken
	}
	p.token = token
	if p.runs[id] != nil {
		p.endRun(id, lavendercourse.EndStopped)
	}
	p.highest[keyOf(id)] = max(p.highest[keyOf(id)], id.Run)
	return lavendercourse.ReplyAccepted
}

// endRun ends a run, lists its end from now on and answers the renewals that wait.
func (p *process) endRun(id lavendercourse.RunID, kind lavendercourse.EndKind) {
	w := p.worker.w
	delete(p.runs, id)
	delete(w.live, keyOf(id))
	p.highest[keyOf(id)] = max(p.highest[keyOf(id)], id.Run)
	p.lastEnd++
	p.ends = append(p.ends, lavendercourse.End{Number: p.lastEnd, Run: id, Kind: kind})
	if kind == lavendercourse.EndFailed {
		w.oracle.failures[keyOf(id)]++
	}
	polls := p.polls
	p.polls = nil
	for _, q := range polls {
		q.answer()
	}
}

// renew carries out a renewal and calls answer with the list of the runs, if necessary after a run has ended.
func (p *process) renew(renewal lavendercourse.Renewal, answer func(lavendercourse.WorkerRuns, lavendercourse.Reply)) {
	if renewal.Token < p.token {
		answer(lavendercourse.WorkerRuns{Status: p.status(true)}, lavendercourse.ReplyStaleToken)
		return
	}
	p.token = renewal.Token
	p.leaseUntil = max(p.leaseUntil, min(renewal.LeaseExpiry, p.clock()+clock.Second))
	p.ends = slices.DeleteFunc(p.ends, func(e lavendercourse.End) bool { return e.Number <= renewal.AckedEnd })
	answered := false
	list := func() {
		if answered || !p.alive() {
			return
		}
		answered = true
		answer(p.list(), lavendercourse.ReplyAccepted)
	}
	if len(p.ends) > 0 || renewal.MaxWait == 0 {
		list()
		return
	}
	p.polls = append(p.polls, &poll{renewal.AckedEnd, list})
	p.worker.w.schedule(renewal.MaxWait, list)
}

func (p *process) list() lavendercourse.WorkerRuns {
	l := lavendercourse.WorkerRuns{Status: p.status(true), Ended: slices.Clone(p.ends)}
	for _, id := range p.sorted() {
		r := p.runs[id]
		percent := min(int((p.worker.w.now-r.startedAt)*100/max(r.duration, 1)), 99)
		l.Running = append(l.Running, lavendercourse.Running{Run: id, Percent: percent})
	}
	return l
}

// drawDelay returns the time in ms after which a bad task of the given duration crashes its worker.
func (w *world) drawDelay(duration clock.Millis) clock.Millis {
	switch w.delay {
	case delayNone:
		return 0
	case delayRandom:
		return w.between(1, max(duration, 1))
	case delayEnd:
		return max(duration, 1)
	}
	return w.between(62, 65)
}
