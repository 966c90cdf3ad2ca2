package gateway

import (
	"net/http"
	"slices"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/queue"
)

// remoteID identifies the process at the other end of a link. It is the tag of the link after the hello or welcome.
type remoteID struct {
	// kind is KindEntry for a gateway and KindAgent for a runner.
	kind message.Kind
	name string
	// domain is its failure domain, or empty if that is not known.
	domain string
}

// runnerLink is a link to a runner.
type runnerLink struct {
	link *link.Link
	// rosterVersion is the version of the list of gateways that was last sent to the runner.
	rosterVersion int
	// domain is the failure domain of the runner, and drain what the runner was last told of it.
	domain string
	drain  message.Drain
	// failing tells whether the last logged health of the runner was failing.
	failing bool
}

// peerLink is a link to another gateway.
type peerLink struct {
	link *link.Link
	// rosterVersion is the version of the list of gateways that was last sent to the peer.
	rosterVersion int
}

func (g *Gateway) acceptLink(w http.ResponseWriter, r *http.Request) {
	// link.Accept answers the request itself if it fails.
	cfg := g.linkConfig(runnerLinkTimeout)
	cfg.UntaggedSize, cfg.TagTimeout = link.HelloSize, link.HelloTimeout
	_, _ = link.Accept(w, r, cfg)
}

func (g *Gateway) linkConfig(timeout clock.Millis) link.Config {
	return link.Config{Handler: g, Counters: g.cfg.Counters, ReadTimeout: timeout.Duration()}
}

// HandleFrame implements link.Handler.
func (g *Gateway) HandleFrame(l *link.Link, f message.Frame) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	remote, ok := l.Tag().(remoteID)
	g.recordContact(g.cfg.Clock.Now(), remote.domain)
	switch f.Type {
	case message.TypeHello:
		return g.handleHello(l, f)
	case message.TypeWelcome:
		return g.handleWelcome(l, f)
	}
	if !ok {
		return message.ErrFrame
	}
	if remote.kind == message.KindEntry {
		return g.handlePeerFrame(l, remote.name, f)
	}
	r := g.runners[remote.name]
	if r == nil || r.link != l {
		return nil
	}
	return g.handleRunnerFrame(r, remote.name, f)
}

// handleHello registers the runner or gateway that dialed this gateway, and answers with a welcome.
func (g *Gateway) handleHello(l *link.Link, f message.Frame) error {
	var h message.Hello
	if err := f.DecodeBody(&h); err != nil {
		return err
	}
	if h.Name == "" || (h.Kind != message.KindAgent && h.Kind != message.KindEntry) {
		return message.ErrBody
	}
	l.SetTag(remoteID{kind: h.Kind, name: h.Name, domain: h.Domain})
	if h.Kind == message.KindEntry {
		g.roster.Learn([]message.Peer{{Name: h.Name, Address: h.Address}})
		if !g.addPeerLink(l, h.Name) {
			return nil
		}
	} else if old := g.runners[h.Name]; old != nil {
		// The runner dialed again, so its old link is broken, even if this side has not detected that yet.
		old.link.Close()
		g.scheduler.Unlinked(h.Name)
		delete(g.runners, h.Name)
	}
	if h.Kind == message.KindAgent {
		g.runners[h.Name] = &runnerLink{link: l, rosterVersion: g.roster.Version(), domain: h.Domain}
	}
	if err := l.Send(message.TypeWelcome, 0, message.Welcome{Name: g.cfg.Name, Peers: g.roster.Peers(), Domain: g.cfg.Domain}); err != nil || h.Kind == message.KindAgent {
		return err
	}
	return g.sendShared(l, h.Name, h.Domain)
}

// sendShared sends the contained queues, the cancelled jobs and the claims to a gateway that has been linked. g.mu must be held.
func (g *Gateway) sendShared(l *link.Link, name, domain string) error {
	now := g.cfg.Clock.Now()
	for _, v := range g.scheduler.Verdicts() {
		if err := l.Send(message.TypeVerdict, 0, v); err != nil {
			return err
		}
	}
	for cancels := range slices.Chunk(g.scheduler.Cancels(now), maxCancelsPerFrame) {
		if err := l.Send(message.TypeCancel, 0, message.Cancel{Jobs: cancels}); err != nil {
			return err
		}
	}
	g.perform(g.scheduler.PeerLinked(now, name))
	g.scheduler.SetPeerDomain(name, domain)
	return nil
}

// addPeerLink registers a link that the named gateway dialed. Only one link is kept between two gateways: if both have
// dialed, the one from the gateway whose name sorts first. It returns false if it closed the new link.
func (g *Gateway) addPeerLink(l *link.Link, name string) bool {
	if old := g.peers[name]; old != nil {
		if name > g.cfg.Name {
			l.Close()
			return false
		}
		old.link.Close()
	}
	g.roster.AddLink(name)
	g.peers[name] = &peerLink{link: l, rosterVersion: g.roster.Version()}
	g.log.On(event.LinkOpened).Str("peer", name).Send()
	return true
}

// handleWelcome registers a link that this gateway dialed, under the same rule as addPeerLink, and requests the
// records that the peer has read beyond this gateway. A link to this gateway itself is closed.
func (g *Gateway) handleWelcome(l *link.Link, f message.Frame) error {
	var w message.Welcome
	if err := f.DecodeBody(&w); err != nil {
		return err
	}
	g.roster.Learn(w.Peers)
	if w.Name == g.cfg.Name {
		l.Close()
		return nil
	}
	l.SetTag(remoteID{kind: message.KindEntry, name: w.Name, domain: w.Domain})
	if g.peers[w.Name] != nil && w.Name < g.cfg.Name {
		l.Close()
		return nil
	}
	if old := g.peers[w.Name]; old != nil {
		old.link.Close()
	}
	g.roster.AddLink(w.Name)
	g.peers[w.Name] = &peerLink{link: l, rosterVersion: g.roster.Version()}
	g.log.On(event.LinkOpened).Str("peer", w.Name).Send()
	if err := g.sendShared(l, w.Name, w.Domain); err != nil {
		return err
	}
	return l.Send(message.TypePull, 0, message.Digest{NextOffset: g.routes.Next()})
}

// Closed implements link.Handler. It unregisters the runner or gateway if the link was its current one.
func (g *Gateway) Closed(l *link.Link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	remote, ok := l.Tag().(remoteID)
	if !ok {
		g.roster.EndDial(g.cfg.Clock.Now(), l.RemoteAddr().String())
		return
	}
	if remote.kind == message.KindEntry {
		if p := g.peers[remote.name]; p != nil && p.link == l {
			delete(g.peers, remote.name)
			g.roster.RemoveLink(remote.name)
			g.scheduler.PeerUnlinked(remote.name)
			l.LogEnd(g.cfg.Logger, remote.name)
		}
		return
	}
	if r := g.runners[remote.name]; r != nil && r.link == l {
		delete(g.runners, remote.name)
		g.scheduler.Unlinked(remote.name)
		g.log.On(event.RunnerLost).Str("runner", remote.name).Int("sent", g.scheduler.InFlightOn(remote.name)).Err(l.Err()).Send()
		g.updateReady()
	}
}

// handleRunnerFrame handles a frame from a runner. g.mu must be held.
func (g *Gateway) handleRunnerFrame(r *runnerLink, name string, f message.Frame) error {
	now := g.cfg.Clock.Now()
	switch f.Type {
	case message.TypeEnroll:
		var e message.Enroll
		if err := f.DecodeBody(&e); err != nil {
			return err
		}
		e.Name = name
		g.handleEnroll(now, e, f.Number)
	case message.TypeReport:
		var report message.Report
		if err := f.DecodeBody(&report); err != nil {
			return err
		}
		actions := g.scheduler.HandleReport(now, name, report)
		ack := message.ReportAck{Stamp: report.Stamp, Backlogged: g.scheduler.Backlogged()}
		if r.rosterVersion != g.roster.Version() {
			r.rosterVersion, ack.Peers = g.roster.Version(), g.roster.Peers()
		}
		_ = r.link.Send(message.TypeReportAck, 0, ack)
		g.sendDrain(r)
		g.perform(actions)
	case message.TypeCrash:
		var c message.Crash
		if err := f.DecodeBody(&c); err != nil {
			return err
		}
		if f.Number == message.CrashWithdrawn {
			g.scheduler.WithdrawCrash(name, c.Incarnation)
			break
		}
		g.perform(g.scheduler.HandleCrash(now, name, c))
	case message.TypeEnded:
		var e message.Ended
		if err := f.DecodeBody(&e); err != nil {
			return err
		}
		g.handleEnded(now, name, e)
	case message.TypeMix:
		if !g.cfg.Queue.Neighbours {
			break
		}
		var m message.Mix
		if err := f.DecodeBody(&m); err != nil {
			return err
		}
		if !g.scheduler.HandleMix(now, name, m) {
			g.metrics.mixInvalid()
		}
	}
	g.logHealthChange(r, name)
	return nil
}

// handleEnroll registers a runner or updates what it offers. number is that of the frame.
func (g *Gateway) handleEnroll(now clock.Millis, e message.Enroll, number uint64) {
	g.log.On(event.RunnerEnrolled).Str("runner", e.Name).Str("worker", e.Worker).Str("domain", e.Domain).
		Int("cpu", e.Capacity.CPU).Bool("again", number == message.EnrollAgain).Bool("early", number == message.EnrollEarly).Send()
	if number == message.EnrollEarly {
		g.perform(g.scheduler.EnrollEarly(now, e))
	} else {
		g.perform(g.scheduler.Enroll(now, e, number != message.EnrollEnded))
	}
	g.updateReady()
}

// sendDrain tells a runner whether its failure domain is out of service, unless it was told the same before. The runner
// refuses the orders of gateways that know less. g.mu must be held.
func (g *Gateway) sendDrain(r *runnerLink) {
	d := message.Drain{NextOffset: g.routes.Next(), Drained: g.routes.Drained(r.domain), Current: g.storeAnswers}
	if d == r.drain {
		return
	}
	r.drain = d
	// The error is ignored: the runner is told again on its next link.
	_ = r.link.Send(message.TypeDrain, 0, d)
}

// handleEnded logs and counts ended runs and passes them to the scheduler.
func (g *Gateway) handleEnded(now clock.Millis, name string, e message.Ended) {
	for _, end := range e.Ends {
		g.metrics.runEnded(end)
		if end.Kind.Succeeded() {
			continue
		}
		g.log.On(event.RunUnsuccessful).Str("job", end.Run.Job).Int("step", end.Run.Step).Int("task", end.Run.Task).
			Int("run", end.Run.Run).Str("runner", name).Stringer("kind", end.Kind).Stringer("reason", end.Reason).
			Int64("took", int64(end.Duration)).Int("free", e.Report.Free.CPU).Send()
	}
	g.perform(g.scheduler.HandleEnds(now, name, e))
}

// logHealthChange logs when the runner starts or stops failing.
func (g *Gateway) logHealthChange(r *runnerLink, name string) {
	failing := g.scheduler.Failing(name)
	if failing == r.failing {
		return
	}
	r.failing = failing
	e := event.RunnerHealthy
	if failing {
		e = event.RunnerFailing
	}
	g.log.On(e).Str("runner", name).Send()
}

// logContainedQueues logs which queues have been contained or released since the last call. g.mu must be held.
func (g *Gateway) logContainedQueues() {
	before, now := g.contained, g.scheduler.Verdicts()
	g.contained = now
	logMissing := func(e event.Event, list, other []message.Verdict) {
		for _, v := range list {
			if !slices.ContainsFunc(other, func(o message.Verdict) bool { return o.Service == v.Service && o.Queue == v.Queue }) {
				g.log.On(e).Str("queue", v.Queue).Str("service", v.Service).Send()
			}
		}
	}
	logMissing(event.QueueContained, now, before)
	logMissing(event.QueueReleased, before, now)
}

func (g *Gateway) sendOrder(a queue.SendOrder) {
	r := g.runners[a.Runner]
	if r == nil {
		return
	}
	a.Order.Backlogged = g.scheduler.Backlogged()
	first := a.Order.Runs[0]
	g.log.On(event.RunsOrdered).Str("job", a.Order.Job).Int("step", first.Step).Int("task", first.Task).Int("run", first.Run).
		Int("runs", len(a.Order.Runs)).Str("runner", a.Runner).Int("need", a.Order.Need.CPU).Int("free", a.Free.CPU).
		Int64("age", int64(a.Age)).Bool("isolated", a.Isolated).Send()
	g.metrics.runsOrdered(len(a.Order.Runs))
	// If the link has closed, the runs are void: their tasks are queued again when the runner reconnects or the runs
	// expire.
	orderType := message.TypeOrder
	if a.Isolated {
		orderType = message.TypeIsolatedOrder
	}
	_ = r.link.Send(orderType, uint64(a.Order.Kind), a.Order)
}

func (g *Gateway) sendRecall(a queue.SendRecall) {
	r := g.runners[a.Runner]
	if r == nil {
		return
	}
	g.log.On(event.RunsRecalled).Str("job", a.Recall.Runs[0].Job).Int("runs", len(a.Recall.Runs)).Str("runner", a.Runner).Send()
	_ = r.link.Send(message.TypeRecall, 0, a.Recall)
}
