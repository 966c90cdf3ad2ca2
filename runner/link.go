package runner

import (
	"slices"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
)

// gatewayLink is the runner's side of a link to a gateway.
type gatewayLink struct {
	link *link.Link
	// enrolled is set once the worker's description has been sent on this link. That happens only after all runs that this
	// runner knows of the gateway from an earlier link have ended. early is set while runs of a killed predecessor may go on.
	enrolled bool
	early    bool
	// current is set while the gateway reads the store, by its last message.Drain.
	current bool
	// backlogged is set while the gateway has more tasks than the runners' free capacity can take.
	backlogged bool
	// runsOrdered is the number of runs that the gateway has ordered on this link.
	runsOrdered int
	// reportedAt is the time in ms at which the last report message was sent, loadSentAt that of the last message of any
	// type that held the load.
	reportedAt clock.Millis
	loadSentAt clock.Millis
	// retiringSince is the time in ms from which reports tell the gateway that no runs are accepted, because the link is
	// about to be closed, or 0. ackedAt is the timestamp of the newest report that the gateway has acknowledged.
	retiringSince clock.Millis
	ackedAt       clock.Millis
}

// HandleFrame handles a frame that has arrived on a link.
func (r *Runner) HandleFrame(l *link.Link, f message.Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Type == message.TypeWelcome {
		return r.welcome(l, f)
	}
	name, ok := l.Tag().(string)
	if !ok {
		return message.ErrFrame
	}
	g := r.gateways[name]
	if g == nil || g.link != l {
		return nil
	}
	return r.gatewayFrame(g, name, f)
}

func (r *Runner) welcome(l *link.Link, f message.Frame) error {
	var w message.Welcome
	if err := f.DecodeBody(&w); err != nil {
		return err
	}
	r.roster.Learn(w.Peers)
	if !r.roster.AddLink(w.Name) {
		l.Close()
		return nil
	}
	l.SetTag(w.Name)
	g := &gatewayLink{link: l}
	r.gateways[w.Name] = g
	r.log.On(event.EntryLinked).Str("entry", w.Name).Send()
	r.enrollIfReady(w.Name, g)
	return nil
}

// enrollIfReady sends the worker's description and the load to a gateway, if that has not been done on this link. It
// waits until the worker is known and all runs that the gateway ordered on an earlier link have ended. While only runs that a killed
// predecessor left on another worker may go on, it tells so: the worker may take new runs beside these.
func (r *Runner) enrollIfReady(name string, g *gatewayLink) {
	if _, known := r.table.Worker(); !known {
		return
	}
	if g.early && r.table.EarlierRunsEnded() {
		g.early = false
		r.sendEnroll(g, message.EnrollEnded)
		return
	}
	if g.enrolled || r.table.HasRuns(name) {
		return
	}
	g.enrolled, g.early = true, !r.table.EarlierRunsEnded()
	if g.early {
		r.sendEnroll(g, message.EnrollEarly)
	} else {
		r.sendEnroll(g, message.EnrollEnded)
	}
	for _, c := range r.crashes {
		c.crash.Ago = r.cfg.Clock.Now() - c.at
		_ = g.link.Send(message.TypeCrash, 0, c.crash)
	}
	r.report(r.cfg.Clock.Now(), g)
}

// sendEnroll sends the worker's description to a gateway, in a frame with the given number.
func (r *Runner) sendEnroll(g *gatewayLink, number uint64) {
	w, _ := r.table.Worker()
	_ = g.link.Send(message.TypeEnroll, number, r.enrollment(w))
}

// Closed removes a link that has ended, and stops the runs of its gateway.
func (r *Runner) Closed(l *link.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, ok := l.Tag().(string)
	if !ok {
		r.roster.EndDial(r.cfg.Clock.Now(), l.RemoteAddr().String())
		return
	}
	g := r.gateways[name]
	if g == nil || g.link != l {
		return
	}
	delete(r.gateways, name)
	r.roster.RemoveLink(name)
	l.LogEnd(r.cfg.Logger, name)
	now := r.cfg.Clock.Now()
	r.perform(now, r.table.EntryDisconnected(now, name))
}

func (r *Runner) gatewayFrame(g *gatewayLink, name string, f message.Frame) error {
	now := r.cfg.Clock.Now()
	switch f.Type {
	case message.TypeOrder, message.TypeIsolatedOrder:
		var o message.Order
		if err := f.DecodeBody(&o); err != nil {
			return err
		}
		g.backlogged = o.Backlogged
		o.Kind = uint32(f.Number)
		g.runsOrdered += len(o.Runs)
		if f.Type == message.TypeIsolatedOrder {
			r.perform(now, r.table.HandleIsolatedOrder(now, name, o))
			return nil
		}
		r.perform(now, r.table.HandleOrder(now, name, o))
	case message.TypeRecall:
		var c message.Recall
		if err := f.DecodeBody(&c); err != nil {
			return err
		}
		r.perform(now, r.table.HandleRecall(now, name, c.Stamp, c.Runs))
	case message.TypeReportAck:
		var ack message.ReportAck
		if err := f.DecodeBody(&ack); err != nil {
			return err
		}
		g.backlogged, g.ackedAt = ack.Backlogged, ack.Stamp
		r.table.RenewOwnerLease(name, ack.Stamp)
		r.roster.Learn(ack.Peers)
	case message.TypeDrain:
		var d message.Drain
		if err := f.DecodeBody(&d); err != nil {
			return err
		}
		r.handleDrain(now, g, name, d)
	}
	return nil
}

// loadReport returns the load report for one gateway.
func (r *Runner) loadReport(now clock.Millis, g *gatewayLink) message.Report {
	load := r.table.LoadReport(now)
	load.ReceivedRuns = g.runsOrdered
	load.AcceptsRuns = load.AcceptsRuns && g.retiringSince == 0
	return load
}

// report sends a load report to a gateway. The gateway's answer renews the lease of its runs.
func (r *Runner) report(now clock.Millis, g *gatewayLink) {
	g.reportedAt, g.loadSentAt = now, now
	_ = g.link.Send(message.TypeReport, 0, r.loadReport(now, g))
}

// retireSurplusLinks closes the links above the limit, in two stages so that no order is lost: the gateway is first told
// that no runs are accepted, and the link is closed once the gateway has acknowledged that and its last run has ended.
func (r *Runner) retireSurplusLinks(now clock.Millis) {
	surplus := r.roster.SurplusLinks()
	for name, g := range r.gateways {
		switch {
		case !slices.Contains(surplus, name):
			if g.retiringSince != 0 {
				g.retiringSince = 0
				r.report(now, g)
			}
		case !g.enrolled || (g.retiringSince != 0 && g.ackedAt >= g.retiringSince && !r.table.MayHaveRuns(name)):
			r.log.On(event.LinkRetired).Str("entry", name).Int("links", len(r.gateways)).Send()
			g.link.Close()
		case g.retiringSince == 0:
			g.retiringSince = now
			r.report(now, g)
		}
	}
}

// reportToAll sends a load report to every enrolled gateway immediately.
func (r *Runner) reportToAll(now clock.Millis) {
	for _, g := range r.gateways {
		if g.enrolled {
			r.report(now, g)
		}
	}
}

// sendMix sends all gateways what was measured of tasks that slow each other down, if that is due.
func (r *Runner) sendMix(now clock.Millis) {
	m, ok := r.table.TakeMix(now)
	if !ok {
		return
	}
	for _, g := range r.gateways {
		if g.enrolled {
			_ = g.link.Send(message.TypeMix, 0, m)
		}
	}
}

// offerFreeCapacity sends the load to the backlogged gateway that has waited longest for one, if runs have ended since
// the last offer. If all backlogged gateways got it, the number of messages would grow with the square of their number,
// and all but one of their orders would be refused.
func (r *Runner) offerFreeCapacity(now clock.Millis) {
	if !r.runsEnded {
		return
	}
	r.runsEnded = false
	var next *gatewayLink
	for _, g := range r.gateways {
		if g.enrolled && g.backlogged && now-g.loadSentAt >= minOfferInterval && (next == nil || g.loadSentAt < next.loadSentAt) {
			next = g
		}
	}
	if next == nil {
		return
	}
	next.loadSentAt = now
	_ = next.link.Send(message.TypeEnded, 0, message.Ended{Report: r.loadReport(now, next)})
}
