package crash_test

import (
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/queue"
)

// gatewayTick is the period of Scheduler.Tick in package gateway, in ms.
const gatewayTick = 20 * clock.Millis(1)

// gateway does what package gateway does with its scheduler, without I/O. A restarted gateway is a new value.
type gateway struct {
	w         *world
	index     int
	name      string
	bornAt    clock.Millis
	scheduler *queue.Scheduler
	alive     bool
	// stopping is set once the gateway gets no new callers.
	stopping bool
	links    map[string]*gatewayLink
	// submissions holds the last submission of each job, pending those that wait for an answer.
	submissions map[string]*submission
	pending     map[*queue.Job]*submission
	// reports holds the crash reports received that name each task, for the description of a wrong answer.
	reports map[taskKey][]crashReport
}

// crashReport is a crash as reported to a gateway, with one of its runs.
type crashReport struct {
	runner      string
	incarnation int64
	at          clock.Millis
	run         message.CrashedRun
	all         []message.CrashedRun
}

func newGateway(w *world, i int) *gateway {
	g := &gateway{
		w: w, index: i, name: fmt.Sprintf("g%d", i), bornAt: w.now, scheduler: queue.New(queue.Config{Domain: fmt.Sprintf("d%d", i)}), alive: true,
		links: map[string]*gatewayLink{}, submissions: map[string]*submission{}, pending: map[*queue.Job]*submission{}, reports: map[taskKey][]crashReport{},
	}
	var tick func()
	tick = func() {
		if g.alive {
			g.perform(g.scheduler.Tick(w.now))
			w.schedule(gatewayTick, tick)
		}
	}
	w.schedule(w.between(0, gatewayTick), tick)
	return g
}

// ready reports whether the load balancer sends callers to the gateway.
func (g *gateway) ready() bool { return g.alive && !g.stopping && g.scheduler.LinkedRunners() > 0 }

func (g *gateway) handleHello(l *gatewayLink) {
	if old := g.links[l.r.name]; old != nil {
		old.broken = true
		old.closeAtGateway()
	}
	g.links[l.r.name] = l
}

func (g *gateway) handleReport(l *gatewayLink, report message.Report) {
	actions := g.scheduler.HandleReport(g.w.now, l.r.name, report)
	ack := message.ReportAck{Stamp: report.Stamp, Backlogged: g.scheduler.Backlogged()}
	l.toRunner(func() {
		l.backlogged = ack.Backlogged
		l.r.table.RenewOwnerLease(g.name, ack.Stamp)
	})
	g.perform(actions)
}

func (g *gateway) handleCrash(runner string, c message.Crash) {
	for _, run := range c.Runs {
		key := keyOf(run.Run)
		g.reports[key] = append(g.reports[key], crashReport{runner, c.Incarnation, g.w.now - c.Ago, run, c.Runs})
	}
	g.perform(g.scheduler.HandleCrash(g.w.now, runner, c))
}

// perform carries out the actions of the scheduler.
func (g *gateway) perform(actions []queue.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case queue.SendOrder:
			if l := g.links[a.Runner]; l != nil {
				a.Order.Backlogged = g.scheduler.Backlogged()
				l.toRunner(func() { l.r.handleOrder(l, a.Order, a.Isolated) })
			}
		case queue.SendRecall:
			if l := g.links[a.Runner]; l != nil {
				l.toRunner(func() { l.r.perform(l.r.table.HandleRecall(g.w.now, g.name, a.Recall.Stamp, a.Recall.Runs)) })
			}
		case queue.LogCrashingTask:
			g.w.recordCrashingTask(g, taskKey{a.Job.ID(), a.Task})
		case queue.ShareVerdict:
			for _, other := range g.w.gateways {
				if other != g {
					other.receiveVerdict(a.Verdict)
				}
			}
		case queue.AnswerCallers:
			if sub := g.pending[a.Job]; sub != nil {
				delete(g.pending, a.Job)
				g.w.schedule(0, func() { sub.answered(a.Answer) })
			}
		}
	}
}

func (g *gateway) receiveVerdict(v message.Verdict) {
	g.w.schedule(messageDelay, func() {
		if g.alive {
			g.scheduler.HandleVerdict(g.w.now, v)
		}
	})
}

// kill ends the gateway at once. Its callers lose their connections. A new gateway takes its place after some time.
func (g *gateway) kill(away clock.Millis) {
	if !g.alive {
		return
	}
	g.alive = false
	w := g.w
	for _, r := range w.runners {
		if l := r.links[g.index]; l != nil && l.g == g {
			w.schedule(messageDelay, l.closeAtRunner)
		}
	}
	for _, sub := range w.open {
		if sub.g == g && !sub.closed {
			sub.answered(lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: "connection was lost"})
		}
	}
	w.schedule(away, func() {
		w.gateways[g.index] = newGateway(w, g.index)
		for _, other := range w.gateways {
			if !other.alive || other.index == g.index {
				continue
			}
			for _, v := range other.scheduler.Verdicts() {
				w.gateways[g.index].receiveVerdict(v)
			}
		}
	})
}

// restart stops the gateway as gateway.Stop does, and replaces it.
func (g *gateway) restart() {
	if !g.alive || g.stopping {
		return
	}
	const stopTimeout = 4 * clock.Second
	g.stopping = true
	g.scheduler.Stop(g.w.now + stopTimeout)
	deadline := g.w.now + stopTimeout
	var wait func()
	wait = func() {
		if g.scheduler.Jobs() > 0 && g.w.now < deadline && g.alive {
			g.w.schedule(gatewayTick, wait)
			return
		}
		g.scheduler.Stop(0)
		g.perform(g.scheduler.Interrupt(g.w.now))
		g.w.schedule(10, func() { g.kill(500) })
	}
	wait()
}
