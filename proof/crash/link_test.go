package crash_test

import (
	"github.com/lavendercourse/lavendercourse/message"
)

// toGateway delivers a message to the gateway unless the link breaks before.
func (l *gatewayLink) toGateway(deliver func()) {
	l.r.w.schedule(messageDelay, func() {
		if !l.broken && !l.closedByGateway && l.g.alive {
			deliver()
		}
	})
}

// toRunner delivers a message to the runner unless the link breaks before.
func (l *gatewayLink) toRunner(deliver func()) {
	l.r.w.schedule(messageDelay, func() {
		if !l.broken && !l.closedByRunner {
			deliver()
		}
	})
}

// closeAtRunner handles the end of a link at the runner, as runner.Closed does.
func (l *gatewayLink) closeAtRunner() {
	if l.closedByRunner {
		return
	}
	l.closedByRunner = true
	if l.r.links[l.g.index] == l {
		l.r.links[l.g.index] = nil
		l.r.perform(l.r.table.EntryDisconnected(l.r.w.now, l.g.name))
	}
}

// closeAtGateway handles the end of a link at the gateway, as gateway.Closed does.
func (l *gatewayLink) closeAtGateway() {
	if l.closedByGateway {
		return
	}
	l.closedByGateway = true
	if l.g.links[l.r.name] == l {
		delete(l.g.links, l.r.name)
		l.g.scheduler.Unlinked(l.r.name)
	}
}

// dial makes links to the gateways without one.
func (r *runner) dial() {
	for i, g := range r.w.gateways {
		if r.links[i] != nil || r.dialing[i] || !g.alive {
			continue
		}
		r.dialing[i] = true
		l := &gatewayLink{g: g, r: r}
		r.w.schedule(messageDelay, func() {
			if g.alive {
				g.handleHello(l)
			}
		})
		r.w.schedule(2*messageDelay, func() {
			r.dialing[i] = false
			if g.alive && !l.broken {
				r.links[i] = l
				r.enrollReady()
			}
		})
	}
}

// enrollReady enrolls the worker at the gateways whose earlier runs have all ended.
func (r *runner) enrollReady() {
	for _, l := range r.links {
		if l == nil {
			continue
		}
		if _, known := r.table.Worker(); !known || l.enrolled || r.table.MayHaveRuns(l.g.name) {
			continue
		}
		l.enrolled = true
		r.sendEnroll(l, false)
		for _, p := range r.crashes {
			c := p.crash
			c.Ago = r.w.now - p.at
			l.toGateway(func() { l.g.handleCrash(r.name, c) })
		}
		r.report(l)
	}
}

func (r *runner) sendEnroll(l *gatewayLink, again bool) {
	b, _ := r.table.Worker()
	e := message.Enroll{Name: r.name, Domain: r.domain, Service: b.Service, Worker: b.ID, Incarnation: b.Incarnation, Capacity: b.Capacity, Isolates: true}
	l.toGateway(func() { l.g.perform(l.g.scheduler.Enroll(r.w.now, e, again)) })
}

func (r *runner) loadReport(l *gatewayLink) message.Report {
	load := r.table.LoadReport(r.w.now)
	load.ReceivedRuns = l.runsOrdered
	return load
}

func (r *runner) report(l *gatewayLink) {
	l.reportedAt, l.loadSentAt = r.w.now, r.w.now
	report := r.loadReport(l)
	l.toGateway(func() { l.g.handleReport(l, report) })
}

func (r *runner) reportToAll() {
	for _, l := range r.links {
		if l != nil && l.enrolled {
			r.report(l)
		}
	}
}

// handleOrder passes an order to the table.
func (r *runner) handleOrder(l *gatewayLink, o message.Order, isolated bool) {
	l.backlogged = o.Backlogged
	l.runsOrdered += len(o.Runs)
	for _, id := range o.Runs {
		r.owners[id] = l.g.submissions[o.Job]
	}
	if isolated {
		r.perform(r.table.HandleIsolatedOrder(r.w.now, l.g.name, o))
		return
	}
	r.perform(r.table.HandleOrder(r.w.now, l.g.name, o))
}
