package crash_test

import (
	"errors"
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/room"
)

// Periods of package runner, in ms.
const (
	runnerTick       = 25 * clock.Millis(1)
	dialPeriod       = 50 * clock.Millis(1)
	reportPeriod     = 300 * clock.Millis(1)
	minOfferInterval = 15 * clock.Millis(1)
	retryPause       = 50 * clock.Millis(1)
	silentAfter      = 500 * clock.Millis(1)
	maxPastCrashes   = 8
	epoch            = 1_700_000_000_000 * clock.Millis(1)
)

var (
	errTimeout  = errors.New("worker did not answer in time")
	errNoAnswer = errors.New("no answer")
	errReset    = errors.New("connection was reset")
)

// runner does what package runner does with its table, without I/O.
type runner struct {
	w      *world
	name   string
	domain string
	table  *room.Table
	worker *worker
	// links holds the link to each gateway by its index, or nil.
	links     []*gatewayLink
	dialing   []bool
	runsEnded bool
	silent    bool
	crashes   []pastCrash
	calls     int
	// moreRenewals is set while a second loop of renewals runs.
	moreRenewals bool
	// owners holds the submission that each run was ordered for.
	owners map[lavendercourse.RunID]*submission
}

// gatewayLink is a link between a gateway and a runner. Messages are lost once it is broken.
type gatewayLink struct {
	g      *gateway
	r      *runner
	broken bool
	// closedByGateway and closedByRunner are set once that side has noticed the end of the link.
	closedByGateway, closedByRunner bool
	enrolled, backlogged            bool
	runsOrdered                     int
	reportedAt, loadSentAt          clock.Millis
}

type pastCrash struct {
	at    clock.Millis
	crash message.Crash
}

func newRunner(w *world, i int) *runner {
	r := &runner{
		w: w, name: fmt.Sprintf("r%02d", i), domain: fmt.Sprintf("d%d", i%w.scenario.gateways), table: room.New(room.Config{Epoch: epoch}),
		links: make([]*gatewayLink, w.scenario.gateways), dialing: make([]bool, w.scenario.gateways), owners: map[lavendercourse.RunID]*submission{},
	}
	r.worker = newWorker(w, fmt.Sprintf("w%02d", i), r)
	w.every(runnerTick, r.tick)
	w.every(dialPeriod, r.dial)
	w.schedule(0, func() { r.renew(0, func() bool { return true }) })
	return r
}

// call is a call to the worker.
type call struct {
	r           *runner
	number      int
	sentAt      clock.Millis
	maxWait     clock.Millis
	ended, late bool
	handle      func(err error)
}

// callWorker mirrors runner.callWorker. execute is called when the request arrives at a process; it calls answer with what
// has to be done with the answer.
func (r *runner) callWorker(maxWait, timeout clock.Millis, execute func(p *process, answer func(store func())), handle func(err error)) *call {
	r.calls++
	c := &call{r: r, number: r.calls, sentAt: r.w.now, maxWait: maxWait, handle: handle}
	if timeout < maxWait+room.MaxCallTimeout {
		r.w.schedule(timeout, func() {
			if !c.ended {
				c.late = true
				r.table.RecordLostAnswer()
				handle(errTimeout)
			}
		})
	}
	r.w.schedule(maxWait+room.MaxCallTimeout, func() { c.finish(errNoAnswer) })
	r.w.schedule(messageDelay, func() { c.arrive(execute) })
	return c
}

func (c *call) arrive(execute func(p *process, answer func(store func()))) {
	b := c.r.worker
	p := b.proc
	switch {
	case !b.reachable():
		return
	case p == nil:
		c.r.w.schedule(messageDelay, func() { c.finish(lavendercourse.ErrWorkerRefused) })
		return
	}
	p.resets[c] = true
	execute(p, func(store func()) {
		delete(p.resets, c)
		c.r.w.schedule(messageDelay, func() {
			if b.reachable() && !c.ended {
				store()
				c.finish(nil)
			}
		})
	})
}

// finish passes the result of a call to the table.
func (c *call) finish(err error) {
	if c.ended {
		return
	}
	c.ended = true
	r := c.r
	took := r.w.now - c.sentAt - c.maxWait
	down := errors.Is(err, lavendercourse.ErrWorkerRefused)
	switch {
	case err != nil && c.late && !down:
		return
	case err == nil && c.late:
		r.table.RecordLateAnswer(took)
	case err == nil && took >= 0:
		r.table.RecordAnswerTime(took)
	case down:
		before := r.table.Unreachable()
		r.perform(r.table.HandleRefusedConnection(r.w.now, c.sentAt))
		if !before && r.table.Unreachable() {
			r.reportToAll()
		}
	case err != nil:
		r.table.RecordLostAnswer()
	}
	c.handle(err)
}

// renew renews the lease of the worker in a loop while the condition holds.
func (r *runner) renew(refusals int, condition func() bool) {
	if !condition() {
		r.moreRenewals = false
		return
	}
	sentAt := r.w.now
	_, renewal, timeout := r.table.NextRenewal(sentAt)
	var runs lavendercourse.WorkerRuns
	var reply lavendercourse.Reply
	first := true
	r.callWorker(renewal.MaxWait, timeout, func(p *process, answer func(func())) {
		p.renew(renewal, func(l lavendercourse.WorkerRuns, code lavendercourse.Reply) {
			answer(func() { runs, reply = l, code })
		})
	}, func(err error) {
		if err == nil {
			r.perform(r.table.HandleRenewalReply(r.w.now, sentAt, renewal, runs, reply))
		}
		if !first {
			return
		}
		first = false
		r.w.schedule(r.renewalPause(err, reply, &refusals), func() { r.renew(refusals, condition) })
	})
}

// renewalPause returns the time in ms until the next renewal.
func (r *runner) renewalPause(err error, reply lavendercourse.Reply, refusals *int) clock.Millis {
	switch {
	case err != nil:
		if !errors.Is(err, errTimeout) || !r.table.AnsweredWithin(r.w.now, silentAfter) {
			return retryPause
		}
		return 0
	case reply == lavendercourse.ReplyAccepted:
		*refusals = 0
		return 0
	}
	*refusals++
	if *refusals > 1 || reply != lavendercourse.ReplyStaleToken {
		return retryPause
	}
	return 0
}

func (r *runner) handleHeartbeat(report lavendercourse.WorkerReport) {
	before, known := r.table.Worker()
	actions, changed := r.table.HandleHeartbeat(r.w.now, report)
	r.perform(actions)
	for _, l := range r.links {
		if changed && l != nil && l.enrolled {
			r.sendEnroll(l, true)
		}
	}
	if after, _ := r.table.Worker(); after.Draining && !(known && before.Draining) {
		r.reportToAll()
	}
	r.enrollReady()
}

// perform carries out the actions of the table and notifies the gateways of the ends, as runner.perform does.
func (r *runner) perform(actions []room.Action) {
	ends := map[string][]message.RunEnd{}
	for _, a := range actions {
		switch a := a.(type) {
		case room.StartRun:
			r.startRun(a)
		case room.StopRun:
			r.stopRun(a)
		case room.ReportCrash:
			if a.Observed {
				r.reportCrash(a.Crash)
			}
		case room.DescribeWorker:
			for _, l := range r.links {
				if l != nil && l.enrolled {
					r.sendEnroll(l, true)
				}
			}
		case room.ReportEnd:
			ends[a.Entry] = append(ends[a.Entry], message.RunEnd{Run: a.Run, Kind: a.Kind, Reason: a.Reason, Duration: a.Duration})
		}
	}
	r.runsEnded = r.runsEnded || len(ends) > 0
	for _, l := range r.links {
		if l == nil || !l.enrolled || len(ends[l.g.name]) == 0 {
			continue
		}
		l.loadSentAt = r.w.now
		e := message.Ended{Report: r.loadReport(l), Ends: ends[l.g.name]}
		l.toGateway(func() { l.g.perform(l.g.scheduler.HandleEnds(r.w.now, r.name, e)) })
	}
}

func (r *runner) reportCrash(c message.Crash) {
	r.crashes = append(r.crashes, pastCrash{r.w.now - c.Ago, c})
	if len(r.crashes) > maxPastCrashes {
		r.crashes = r.crashes[1:]
	}
	for _, l := range r.links {
		if l != nil && l.enrolled {
			l.toGateway(func() { l.g.handleCrash(r.name, c) })
		}
	}
}

func (r *runner) startRun(a room.StartRun) {
	var status lavendercourse.WorkerStatus
	var reply lavendercourse.Reply
	late := r.w.lateStart()
	r.callWorker(0, a.Timeout, func(p *process, answer func(func())) {
		if late > 0 {
			r.w.schedule(late, func() {
				if q := r.worker.proc; q != nil && r.worker.reachable() {
					q.start(a.Order)
				}
			})
			return
		}
		code := p.start(a.Order)
		if s := p.status(false); p.alive() {
			answer(func() { status, reply = s, code })
		}
	}, func(err error) {
		if err != nil {
			status, reply = lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther
		}
		r.perform(r.table.HandleStartReply(r.w.now, a.Order.Run, a.Order.Token, status, reply, err))
	})
}

func (r *runner) stopRun(a room.StopRun) {
	var status lavendercourse.WorkerStatus
	var reply lavendercourse.Reply
	r.callWorker(0, a.Timeout, func(p *process, answer func(func())) {
		code, s := p.stop(a.Run, a.Token), p.status(false)
		answer(func() { status, reply = s, code })
	}, func(err error) {
		if err != nil {
			status, reply = lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther
		}
		r.perform(r.table.HandleStopReply(r.w.now, a.Run, a.Token, status, reply, err))
	})
}

func (r *runner) tick() {
	now := r.w.now
	r.perform(r.table.Tick(now))
	if silent := !r.table.AnsweredWithin(now, silentAfter); silent != r.silent {
		r.silent = silent
		r.reportToAll()
	}
	if r.table.LosesAnswers() && !r.moreRenewals {
		r.moreRenewals = true
		r.renew(0, func() bool { return r.table.LosesAnswers() && r.table.AnsweredWithin(r.w.now, silentAfter) })
	}
	r.enrollReady()
	for _, l := range r.links {
		if l != nil && now-l.reportedAt >= reportPeriod {
			r.report(l)
		}
	}
	r.offerFreeCapacity()
}

// offerFreeCapacity mirrors runner.offerFreeCapacity.
func (r *runner) offerFreeCapacity() {
	if !r.runsEnded {
		return
	}
	r.runsEnded = false
	var next *gatewayLink
	for _, l := range r.links {
		if l != nil && l.enrolled && l.backlogged && r.w.now-l.loadSentAt >= minOfferInterval && (next == nil || l.loadSentAt < next.loadSentAt) {
			next = l
		}
	}
	if next == nil {
		return
	}
	next.loadSentAt = r.w.now
	e := message.Ended{Report: r.loadReport(next)}
	next.toGateway(func() { next.g.perform(next.g.scheduler.HandleEnds(r.w.now, r.name, e)) })
}
