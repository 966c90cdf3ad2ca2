package room_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/room"
)

const (
	// resubmitDelay, in ms, is the time after which the users' callers submit a job again once their connection has broken.
	resubmitDelay = 1300 * clock.Millis(1)
	// stopDuration, in ms, is the longest time that a worker takes to stop a run, and leaseTicks and leaseReports are the
	// periods in ms of the runner's ticks and reports.
	stopDuration = 50 * clock.Millis(1)
	leaseTicks   = 25 * clock.Millis(1)
	leaseReports = 300 * clock.Millis(1)
	// leaseRetryPause, in ms, is the pause of the runner after a renewal that got no answer while the worker is silent.
	leaseRetryPause = 50 * clock.Millis(1)
	// leaseZero is the time at which a leaseSim begins, in ms by the runner's clock.
	leaseZero    = 10 * clock.Second
	silentEntry  = "silent"
	healthyEntry = "healthy"
)

// leaseCall is a call in flight to the worker of a leaseSim. It is answered at answerAt, or fails at failAt.
type leaseCall struct {
	start            *room.StartRun
	stop             *room.StopRun
	renewal          *lavendercourse.Renewal
	sent             clock.Millis
	answerAt, failAt clock.Millis
	// refused is set if the worker refused the start.
	refused bool
}

// leaseSim plays a table, its runner's loop of renewals, a worker and two entries, each with one run, in steps of 1 ms. The
// worker's lease follows from the calls alone.
type leaseSim struct {
	table *room.Table
	now   clock.Millis
	// clockPercent is the speed of the worker's clock.
	clockPercent clock.Millis
	leaseEnd     clock.Millis
	running      map[lavendercourse.RunID]bool
	stopping     map[lavendercourse.RunID]clock.Millis
	ends         []lavendercourse.End
	lastEnd      int64
	calls        []*leaseCall
	renewFrom    clock.Millis
	// unreachable tells whether the worker is cut off at the given time, lost whether a single call gets lost, and deaf
	// whether the worker ignores stops.
	unreachable func(now clock.Millis) bool
	lost        func() bool
	deaf        bool
	// reports tells whether the given entry answers reports at the given time.
	reports func(entry string, now clock.Millis) bool
	// lapsedAt holds the time at which each run was ended by the lease, endedAt that of any end.
	lapsedAt map[lavendercourse.RunID]clock.Millis
	endedAt  map[lavendercourse.RunID]clock.Millis
	// shortest is the shortest time in ms, by the worker's clock, that was left of its lease while it had runs.
	shortest clock.Millis
	// shortestStart is the shortest lease in ms that a start was sent with.
	shortestStart clock.Millis
}

var (
	silentRun  = lavendercourse.RunID{Job: silentEntry, Run: 1}
	healthyRun = lavendercourse.RunID{Job: healthyEntry, Run: 1}
)

// newLeaseSim returns a simulation of a worker that runs one task of each entry. It begins at the last stamp of the silent
// entry.
func newLeaseSim(t *testing.T, clockPercent clock.Millis) *leaseSim {
	s := &leaseSim{
		table: room.New(room.Config{Epoch: epoch}), now: leaseZero, clockPercent: clockPercent,
		running: map[lavendercourse.RunID]bool{}, stopping: map[lavendercourse.RunID]clock.Millis{},
		lapsedAt: map[lavendercourse.RunID]clock.Millis{}, endedAt: map[lavendercourse.RunID]clock.Millis{},
		unreachable: func(clock.Millis) bool { return false }, lost: func() bool { return false },
		reports:  func(entry string, _ clock.Millis) bool { return entry == healthyEntry },
		shortest: room.DefaultWorkerLease, shortestStart: room.DefaultWorkerLease,
	}
	report := lavendercourse.WorkerReport{
		ID: workerName, Incarnation: firstIncarnation, Service: "s", Domain: "d", Capacity: capacity, Sequence: 1,
	}
	s.table.InheritReport(s.now, lavendercourse.WorkerReport{ID: workerName, Incarnation: firstIncarnation})
	s.table.HandleHeartbeat(s.now, report)
	for range 2 {
		_, renewal, _ := s.table.NextRenewal(s.now)
		s.table.HandleRenewalReply(s.now, s.now, renewal, lavendercourse.WorkerRuns{Status: s.status()}, lavendercourse.ReplyAccepted)
	}
	s.order(silentEntry, silentRun)
	s.order(healthyEntry, healthyRun)
	assert.Equal(t, len(s.running), 2)
	return s
}

// age returns the time in ms since the last stamp of the silent entry.
func (s *leaseSim) age() clock.Millis { return s.now - leaseZero }

func (s *leaseSim) workerClock() clock.Millis {
	return 100*clock.Second + s.age()*s.clockPercent/100
}

func (s *leaseSim) status() lavendercourse.WorkerStatus {
	return lavendercourse.WorkerStatus{Clock: s.workerClock(), Incarnation: firstIncarnation}
}

func (s *leaseSim) order(entry string, id lavendercourse.RunID) {
	s.perform(s.table.HandleOrder(s.now, entry, message.Order{Stamp: s.now, Need: need, Runs: []lavendercourse.RunID{id}}))
}

func (s *leaseSim) extend(until clock.Millis) {
	s.leaseEnd = max(s.leaseEnd, min(until, s.workerClock()+clock.Second))
}

func (s *leaseSim) perform(actions []room.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case room.StartRun:
			s.shortestStart = min(s.shortestStart, a.Order.LeaseExpiry-s.workerClock())
			s.send(&leaseCall{start: &a, failAt: s.now + a.Timeout})
		case room.StopRun:
			s.send(&leaseCall{stop: &a, failAt: s.now + a.Timeout})
		}
	}
}

// send carries out a call at the worker unless it is unreachable.
func (s *leaseSim) send(c *leaseCall) {
	c.sent = s.now
	s.calls = append(s.calls, c)
	if s.unreachable(s.now) || s.lost() {
		return
	}
	c.answerAt = s.now + 1
	switch {
	case c.start != nil:
		c.refused = c.start.Order.LeaseExpiry < s.workerClock()
		if !c.refused {
			s.extend(c.start.Order.LeaseExpiry)
			s.running[c.start.Order.Run] = true
		}
	case c.stop != nil:
		if s.running[c.stop.Run] && s.stopping[c.stop.Run] == 0 && !s.deaf {
			s.stopping[c.stop.Run] = s.now + stopDuration
		}
	default:
		s.extend(c.renewal.LeaseExpiry)
		c.answerAt += c.renewal.MaxWait
	}
}

// end ends a run at the worker, which answers the waiting renewals.
func (s *leaseSim) end(id lavendercourse.RunID, kind lavendercourse.EndKind) {
	delete(s.running, id)
	s.endedAt[id] = s.now
	s.lastEnd++
	s.ends = append(s.ends, lavendercourse.End{Number: s.lastEnd, Run: id, Kind: kind})
	for _, c := range s.calls {
		if c.renewal != nil && c.answerAt > 0 {
			c.answerAt = s.now
		}
	}
}

// step advances the simulation by 1 ms.
func (s *leaseSim) step() {
	s.now++
	if len(s.running) > 0 {
		s.shortest = min(s.shortest, s.leaseEnd-s.workerClock())
	}
	for id := range s.running {
		switch {
		case s.workerClock() > s.leaseEnd:
			s.lapsedAt[id] = s.now
			s.end(id, lavendercourse.EndExpired)
		case s.stopping[id] > 0 && s.now >= s.stopping[id]:
			s.end(id, lavendercourse.EndStopped)
		}
	}
	calls := s.calls
	s.calls = nil
	for _, c := range calls {
		if c.answerAt > 0 && s.now >= c.answerAt && s.unreachable(s.now) {
			c.answerAt = 0
		}
		switch {
		case c.answerAt > 0 && s.now >= c.answerAt:
			s.answer(c)
		case s.now >= c.failAt:
			s.fail(c)
		default:
			s.calls = append(s.calls, c)
		}
	}
	if s.age()%leaseReports == 0 {
		for _, entry := range []string{silentEntry, healthyEntry} {
			if s.reports(entry, s.now) {
				s.table.RenewOwnerLease(entry, s.now)
			}
		}
	}
	if s.age()%leaseTicks == 0 {
		s.perform(s.table.Tick(s.now))
	}
	s.renew()
}

// renew sends a renewal if none is in flight, and a second one while the worker loses answers.
func (s *leaseSim) renew() {
	inFlight := 0
	for _, c := range s.calls {
		if c.renewal != nil {
			inFlight++
		}
	}
	if s.now < s.renewFrom || inFlight > 1 || (inFlight == 1 && !s.table.LosesAnswers()) {
		return
	}
	_, renewal, timeout := s.table.NextRenewal(s.now)
	s.send(&leaseCall{renewal: &renewal, failAt: s.now + timeout})
}

func (s *leaseSim) answer(c *leaseCall) {
	switch {
	case c.start != nil:
		s.table.RecordAnswerTime(s.now - c.sent)
		reply := lavendercourse.ReplyAccepted
		if c.refused {
			reply = lavendercourse.ReplyLate
		}
		s.perform(s.table.HandleStartReply(s.now, c.start.Order.Run, c.start.Order.Token, s.status(), reply, nil))
	case c.stop != nil:
		s.table.RecordAnswerTime(s.now - c.sent)
		s.perform(s.table.HandleStopReply(s.now, c.stop.Run, c.stop.Token, s.status(), lavendercourse.ReplyAccepted, nil))
	default:
		if took := s.now - c.sent - c.renewal.MaxWait; took >= 0 {
			s.table.RecordAnswerTime(took)
		}
		list := lavendercourse.WorkerRuns{Status: s.status()}
		for id := range s.running {
			list.Running = append(list.Running, lavendercourse.Running{Run: id})
		}
		for _, e := range s.ends {
			if e.Number > c.renewal.AckedEnd {
				list.Ended = append(list.Ended, e)
			}
		}
		s.perform(s.table.HandleRenewalReply(s.now, c.sent, *c.renewal, list, lavendercourse.ReplyAccepted))
	}
}

func (s *leaseSim) fail(c *leaseCall) {
	s.table.RecordLostAnswer()
	none := lavendercourse.WorkerStatus{}
	switch {
	case c.start != nil:
		s.perform(s.table.HandleStartReply(s.now, c.start.Order.Run, c.start.Order.Token, none, lavendercourse.ReplyOther, errNoAnswer))
	case c.stop != nil:
		s.perform(s.table.HandleStopReply(s.now, c.stop.Run, c.stop.Token, none, lavendercourse.ReplyOther, errNoAnswer))
	case !s.table.AnsweredWithin(s.now, 500):
		s.renewFrom = s.now + leaseRetryPause
	}
}

// playUntil advances the simulation to the given time in ms after the last stamp of the silent entry.
func (s *leaseSim) playUntil(age clock.Millis) {
	for s.age() < age {
		s.step()
	}
}

// Guards against two runs of a task at once: a caller submits its job again, at any entry, resubmitDelay after its connection
// has broken, so that the runs of an entry that is cut off must have ended by then even if the worker falls silent too.
func TestRunsOfSilentEntryEndBeforeItsCallersComeBack(t *testing.T) {
	for _, clockPercent := range []clock.Millis{98, 100} {
		for silentAt := clock.Millis(0); silentAt <= 1400; silentAt += 50 {
			t.Run(fmt.Sprintf("worker is silent after %d ms, clock at %d percent", silentAt, clockPercent), func(t *testing.T) {
				s := newLeaseSim(t, clockPercent)
				s.unreachable = func(clock.Millis) bool { return s.age() >= silentAt }
				s.playUntil(4 * clock.Second)
				endedAt := s.endedAt[silentRun] - leaseZero
				assert.Assert(t, s.lapsedAt[silentRun] == 0 || endedAt <= resubmitDelay-stopDuration, "the run went on for %d ms", endedAt)
				assert.Assert(t, endedAt <= resubmitDelay, "the run went on for %d ms", endedAt)
			})
		}
	}
}

// Guards against runs that go on after the link to their entry has ended: if the worker does not end them when it is told to,
// neither the end of the link nor the stamps of the entry's next link, which does not know their callers, may extend its lease.
func TestRunsOfEndedLinkEndBeforeItsCallersComeBack(t *testing.T) {
	for linkEndsAt := clock.Millis(0); linkEndsAt <= 1200; linkEndsAt += 100 {
		t.Run(fmt.Sprintf("link ends after %d ms", linkEndsAt), func(t *testing.T) {
			s := newLeaseSim(t, 98)
			s.deaf = true
			s.reports = func(entry string, _ clock.Millis) bool { return entry == healthyEntry || s.age() > linkEndsAt }
			s.playUntil(linkEndsAt)
			s.perform(s.table.EntryDisconnected(s.now, silentEntry))
			s.playUntil(4 * clock.Second)
			assert.Assert(t, s.lapsedAt[silentRun] > 0)
			endedAt := s.endedAt[silentRun] - leaseZero
			assert.Assert(t, endedAt <= resubmitDelay-stopDuration, "the run went on for %d ms", endedAt)
			assert.Assert(t, endedAt > room.DefaultWorkerLease, "the run was lost after %d ms", endedAt)
		})
	}
}

// Guards against runs of other entries that are lost with those of a silent entry, since the worker's lease is one for all:
// as long as the worker is reached now and then, and stops runs in time, its lease must last for three more renewals.
func TestSilentEntryCostsOthersNoRuns(t *testing.T) {
	pause := func(from, to clock.Millis) func(entry string, now clock.Millis) bool {
		return func(entry string, now clock.Millis) bool {
			return entry == healthyEntry || now-leaseZero < from || now-leaseZero >= to
		}
	}
	cut := func(from, length clock.Millis) func(now clock.Millis) bool {
		return func(now clock.Millis) bool { return now-leaseZero >= from && now-leaseZero < from+length }
	}
	for _, c := range []struct {
		name        string
		reports     func(entry string, now clock.Millis) bool
		unreachable func(now clock.Millis) bool
		// ends is set if the silent entry's run is to be stopped, and minLease is the shortest lease in ms allowed.
		ends     bool
		minLease clock.Millis
	}{
		{"entry is silent for good", pause(1, 1e6), nil, true, 200},
		{"entry is silent for 0.9 s", pause(1, 900), nil, false, 250},
		{"entry is silent for 0.6 s", pause(1, 600), nil, false, 500},
		{"worker is cut off before the stop", pause(1, 1e6), cut(600, 300), true, 200},
		{"worker is cut off during the stop", pause(1, 1e6), cut(880, 200), true, 20},
		{"worker is cut off after the stop", pause(1, 1e6), cut(1000, 600), true, 100},
		{"no entry is silent", pause(0, 0), nil, false, 650},
		{"no entry is silent, worker is cut off", pause(0, 0), cut(1000, 600), false, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newLeaseSim(t, 100)
			s.reports = c.reports
			if c.unreachable != nil {
				s.unreachable = c.unreachable
			}
			s.playUntil(4 * clock.Second)
			assert.Equal(t, len(s.lapsedAt), 0, "%v", s.lapsedAt)
			assert.Equal(t, s.endedAt[silentRun] > 0, c.ends)
			assert.Assert(t, s.shortest >= c.minLease, "%d ms are left of the lease", s.shortest)
		})
	}
}

// Guards against the same on a worker that leaves a share of the calls unanswered. Where half of them are lost, all stops
// until the lease ends may be among them.
func TestSilentEntryCostsOthersNoRunsOnLossyWorker(t *testing.T) {
	const seeds = 500
	for _, c := range []struct{ lostPercent, maxLapsed int }{{10, 0}, {30, 0}, {50, seeds / 100}} {
		t.Run(fmt.Sprintf("%d percent are lost", c.lostPercent), func(t *testing.T) {
			lapsed := 0
			for seed := range uint64(seeds) {
				s := newLeaseSim(t, 100)
				rnd := rand.New(rand.NewPCG(seed, 1))
				s.lost = func() bool { return rnd.IntN(100) < c.lostPercent }
				// The worker has lost answers for a while.
				for range 64 {
					s.table.RecordAnswerTime(1)
					if s.lost() {
						s.table.RecordLostAnswer()
					}
				}
				s.playUntil(2 * clock.Second)
				assert.Assert(t, s.endedAt[silentRun]-leaseZero <= resubmitDelay, "seed %d", seed)
				if s.lapsedAt[healthyRun] > 0 {
					lapsed++
				}
			}
			assert.Assert(t, lapsed <= c.maxLapsed, "%d of %d leases have ended", lapsed, seeds)
		})
	}
}

// Guards against starts that the worker would refuse or lose at once, since a silent entry's run that does not end leaves
// no time to extend the lease: they have to go to another worker.
func TestNoStartBesideRunThatDoesNotEnd(t *testing.T) {
	s := newLeaseSim(t, 100)
	s.deaf = true
	refused := 0
	for number := range 60 {
		s.playUntil(clock.Millis(20 * (number + 1)))
		id := lavendercourse.RunID{Job: "later", Task: number, Run: 1}
		for _, a := range s.table.HandleOrder(s.now, healthyEntry, message.Order{Stamp: s.now, Runs: []lavendercourse.RunID{id}}) {
			s.perform([]room.Action{a})
			if end, ok := a.(room.ReportEnd); ok {
				assert.Equal(t, end.Kind, lavendercourse.EndRefused)
				assert.Equal(t, end.Reason, lavendercourse.ReplyUnavailable)
				refused++
			}
		}
	}
	assert.Assert(t, s.shortestStart >= 150, "a start was sent with a lease of %d ms", s.shortestStart)
	assert.Assert(t, refused > 0 && refused < 10, "%d orders were refused", refused)
	s.playUntil(2 * clock.Second)
	assert.Assert(t, s.endedAt[silentRun] <= leaseZero+resubmitDelay-stopDuration)
}
