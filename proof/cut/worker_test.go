package cut_test

import (
	"cmp"
	"maps"
	"slices"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

const (
	// heartbeatPeriod is the time in ms between two heartbeats of a worker.
	heartbeatPeriod = clock.Second
	// maxStopTime is the longest time in ms that a worker takes to stop a run, maxLease the longest lease that it grants, and
	// maxSlowness how much slower its clock may run, in thousandths.
	maxStopTime = 50 * clock.Millis(1)
	maxLease    = clock.Second
	maxSlowness = 20
)

// workerRun is a run in progress on a worker.
type workerRun struct {
	id        lavendercourse.RunID
	worker    string
	gateway   string
	startedAt clock.Millis
	duration  clock.Millis
	stopping  bool
	// excluded is set for a run that is not checked, see startRun.
	excluded bool
}

// worker is one process of a worker. It implements the contract of the platform: fencing tokens, leases by its own clock, numbered
// ends.
type worker struct {
	*host
	m *machine
	// id is the instance id, incarnation identifies the process, and name stands for both in traces.
	id          string
	incarnation int64
	name        string
	bornAt      clock.Millis
	endedAt     clock.Millis
	// number counts the processes of the machine, from 0.
	number int
	// draining is set once heartbeats tell that the worker leaves, losing while starts may be carried out late, and listed once
	// the process has listed its runs.
	draining, losing, listed bool
	// slowness is how much slower its clock runs, in thousandths.
	slowness   clock.Millis
	token      int64
	leaseUntil clock.Millis
	// expiring is set while the end of the lease is awaited.
	expiring bool
	runs     map[lavendercourse.RunID]*workerRun
	// highest is the highest run of each task that has ended or was stopped.
	highest  map[taskKey]int
	ends     []lavendercourse.End
	lastEnd  int64
	sequence int64
	// polls holds the renewals that wait for the end of a run.
	polls []func()
}

func newWorker(m *machine, id string, incarnation int64) *worker {
	b := &worker{
		host: newHost(m.w), m: m, id: id, incarnation: incarnation, name: m.name, bornAt: m.w.now, slowness: m.w.between(0, maxSlowness), runs: map[lavendercourse.RunID]*workerRun{},
		highest: map[taskKey]int{},
	}
	b.every(heartbeatPeriod, b.heartbeat)
	return b
}

// clock is the reading of the worker's clock.
func (b *worker) clock() clock.Millis {
	elapsed := b.w.now - b.bornAt
	return 1 + elapsed - elapsed*b.slowness/1000
}

// heartbeat reports the worker to its runner, unless a cut separates them.
func (b *worker) heartbeat() {
	report := b.report()
	if r := b.m.runner; b.m.workerCut == 0 {
		r.after(b.w.between(0, maxDelay), func() { r.handleHeartbeat(report) })
	}
}

func (b *worker) report() lavendercourse.WorkerReport {
	b.sequence++
	return lavendercourse.WorkerReport{
		ID: b.id, Incarnation: b.incarnation, Service: service, Domain: b.m.name, Sequence: b.sequence, Clock: b.clock(),
		Capacity: lavendercourse.Resources{CPU: runsPerWorker * taskCPU, Memory: 1 << 20}, Draining: b.draining,
	}
}

// extendLease extends the lease.
func (b *worker) extendLease(until clock.Millis) {
	b.leaseUntil = max(b.leaseUntil, min(until, b.clock()+maxLease))
	if !b.expiring {
		b.expiring = true
		b.w.schedule(1, b.expire)
	}
}

// expire ends all runs once the lease has expired by the clock of the worker.
func (b *worker) expire() {
	if left := b.leaseUntil - b.clock(); left >= 0 {
		b.w.schedule(left+1, b.expire)
		return
	}
	b.expiring = false
	for _, id := range b.sorted() {
		b.endRun(id, lavendercourse.EndExpired)
	}
}

func (b *worker) sorted() []lavendercourse.RunID {
	return slices.SortedFunc(maps.Keys(b.runs), func(a, b lavendercourse.RunID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), a.Task-b.Task, a.Run-b.Run)
	})
}

func (b *worker) status(withIncarnation bool) lavendercourse.WorkerStatus {
	s := lavendercourse.WorkerStatus{Clock: b.clock()}
	if withIncarnation {
		s.Incarnation = b.incarnation
	}
	return s
}

// startRun carries out a start. gateway is the one that has ordered the run. A run that is excluded is not checked:
// docs/platform.md names its start as one that is not excluded.
func (b *worker) startRun(o lavendercourse.Order, gateway string, excluded bool) lavendercourse.Reply {
	w, id := b.w, o.Run
	switch {
	case o.Token < b.token:
		return lavendercourse.ReplyStaleToken
	case b.runs[id] != nil:
		return lavendercourse.ReplyAccepted
	case b.highest[keyOf(id)] >= id.Run:
		return lavendercourse.ReplyStaleRun
	case o.LeaseExpiry <= b.clock():
		return lavendercourse.ReplyLate
	}
	b.token = o.Token
	b.extendLease(o.LeaseExpiry)
	run := &workerRun{
		id: id, worker: b.name, gateway: gateway, startedAt: w.now, duration: w.jobs[id.Job].durations[id.Task], excluded: excluded,
	}
	b.runs[id] = run
	w.recordStart(run)
	w.schedule(run.duration, func() {
		if b.runs[id] == run {
			b.endRun(id, lavendercourse.EndDone)
		}
	})
	return lavendercourse.ReplyAccepted
}

// stopRun carries out a stop, which takes up to maxStopTime.
func (b *worker) stopRun(id lavendercourse.RunID, token int64) lavendercourse.Reply {
	if token < b.token {
		return lavendercourse.ReplyStaleToken
	}
	b.token = token
	b.highest[keyOf(id)] = max(b.highest[keyOf(id)], id.Run)
	if run := b.runs[id]; run != nil && !run.stopping {
		run.stopping = true
		b.w.schedule(b.w.between(0, maxStopTime), func() {
			if b.runs[id] == run {
				b.endRun(id, lavendercourse.EndStopped)
			}
		})
	}
	return lavendercourse.ReplyAccepted
}

// endRun ends a run, lists its end from now on and answers the renewals that wait.
func (b *worker) endRun(id lavendercourse.RunID, kind lavendercourse.EndKind) {
	b.w.recordEnd(b.runs[id], kind)
	delete(b.runs, id)
	b.highest[keyOf(id)] = max(b.highest[keyOf(id)], id.Run)
	b.lastEnd++
	b.ends = append(b.ends, lavendercourse.End{Number: b.lastEnd, Run: id, Kind: kind})
	polls := b.polls
	b.polls = nil
	for _, answer := range polls {
		answer()
	}
}

// renew carries out a renewal and calls answer with the list of the runs, if necessary after a run has ended.
func (b *worker) renew(renewal lavendercourse.Renewal, answer func(lavendercourse.WorkerRuns, lavendercourse.Reply)) {
	if renewal.Token < b.token {
		answer(lavendercourse.WorkerRuns{Status: b.status(true)}, lavendercourse.ReplyStaleToken)
		return
	}
	b.token = renewal.Token
	b.extendLease(renewal.LeaseExpiry)
	b.ends = slices.DeleteFunc(b.ends, func(e lavendercourse.End) bool { return e.Number <= renewal.AckedEnd })
	answered := false
	list := func() {
		if !answered {
			answered = true
			answer(b.list(), lavendercourse.ReplyAccepted)
		}
	}
	if len(b.ends) > 0 || renewal.MaxWait == 0 {
		list()
		return
	}
	b.polls = append(b.polls, list)
	b.w.schedule(renewal.MaxWait, list)
}

func (b *worker) list() lavendercourse.WorkerRuns {
	if !b.listed {
		b.listed, b.m.listedAt[b.number] = true, b.w.now
	}
	l := lavendercourse.WorkerRuns{Status: b.status(true), Ended: slices.Clone(b.ends)}
	for _, id := range b.sorted() {
		r := b.runs[id]
		percent := min(int((b.w.now-r.startedAt)*100/max(r.duration, 1)), 99)
		l.Running = append(l.Running, lavendercourse.Running{Run: id, Percent: percent})
	}
	return l
}
