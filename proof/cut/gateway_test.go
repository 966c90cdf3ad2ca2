package cut_test

import (
	"slices"
	"strings"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/queue"
)

// Periods and time-outs of package gateway, in ms.
const (
	gatewayTick       = 20 * clock.Millis(1)
	digestPeriod      = 500 * clock.Millis(1)
	dialPeriod        = 50 * clock.Millis(1)
	peerLinkTimeout   = 1800 * clock.Millis(1)
	runnerLinkTimeout = 1800 * clock.Millis(1)
)

// causeElsewhere is the cause of the answer to the callers of a job that is given up for another gateway.
const causeElsewhere = "the job was submitted to another entry later"

// gatewaySite is the place of a gateway, which stays when the gateway is restarted.
type gatewaySite struct {
	w     *world
	index int
	name  string
	// callersCut and linksCut count the cuts that hold the bytes of callers, and those of runners and other gateways.
	callersCut, linksCut int
	gateway              *gateway
	// busy is set while the gateway is paused or away, cut while it is cut off in any way.
	busy, cut bool
}

// gateway does what package gateway does with its scheduler, without I/O.
type gateway struct {
	*host
	site      *gatewaySite
	name      string
	scheduler *queue.Scheduler
	// runners and peers hold the links by name, dialing the gateways that are being dialed by index.
	runners map[string]*runnerLink
	peers   map[string]*peerLink
	dialing []bool
	pending map[*queue.Job][]*submission
}

// peerLink is a link between two gateways as one of them sees it.
type peerLink struct {
	*end
	remote *gateway
	// other is the link as the other gateway sees it.
	other *peerLink
}

func (s *gatewaySite) start() {
	w := s.w
	g := &gateway{
		host: newHost(w), site: s, name: s.name, scheduler: queue.New(queue.Config{Domain: s.name}), runners: map[string]*runnerLink{},
		peers: map[string]*peerLink{}, dialing: make([]bool, w.gateways), pending: map[*queue.Job][]*submission{},
	}
	s.gateway = g
	g.scheduler.RecordContact(w.now, "")
	g.every(gatewayTick, func() { g.perform(g.scheduler.Tick(w.now)) })
	g.every(dialPeriod, g.dial)
	g.every(digestPeriod, func() {
		for _, other := range w.sites {
			if p := g.peers[other.name]; p != nil {
				p.sendFrame(func(*peerLink) {})
			}
		}
	})
}

// kill ends the gateway, which is restarted after the given time in ms.
func (s *gatewaySite) kill(away clock.Millis) {
	s.gateway.kill()
	s.w.schedule(away, func() {
		s.start()
		s.busy = false
	})
}

// dial makes links to the other gateways without one.
func (g *gateway) dial() {
	for i, s := range g.w.sites {
		if s == g.site || g.peers[s.name] != nil || g.dialing[i] || !s.gateway.alive {
			continue
		}
		g.dialing[i] = true
		remote := s.gateway
		c := g.w.connect(g.host, remote.host, func() bool { return g.site.linksCut > 0 || s.linksCut > 0 })
		mine, theirs := &peerLink{end: &c.ends[0], remote: remote}, &peerLink{end: &c.ends[1], remote: g}
		mine.other, theirs.other = theirs, mine
		mine.onEnd = func() {
			g.dialing[i] = false
			g.peerClosed(mine)
		}
		theirs.onEnd = func() { remote.peerClosed(theirs) }
		mine.watch(handshakeTimeout)
		mine.send(func() {
			theirs.watch(peerLinkTimeout)
			theirs.send(func() {
				mine.timeout = peerLinkTimeout
				mine.send(func() { remote.handleHello(theirs) })
			})
		})
	}
}

// handleHello registers a link that another gateway has dialed, as gateway.handleHello does.
func (g *gateway) handleHello(l *peerLink) {
	g.scheduler.RecordContact(g.w.now, l.remote.name)
	dialer := l.remote
	if old := g.peers[dialer.name]; old != nil {
		if dialer.name > g.name {
			l.close()
			return
		}
		old.close()
	}
	g.peers[dialer.name] = l
	g.w.noteFault("%s is linked with %s", g.name, dialer.name)
	l.send(func() { dialer.handleWelcome(l.other) })
	g.perform(g.scheduler.PeerLinked(g.w.now, dialer.name))
}

// handleWelcome registers a link that this gateway has dialed, as gateway.handleWelcome does.
func (g *gateway) handleWelcome(l *peerLink) {
	g.scheduler.RecordContact(g.w.now, l.remote.name)
	g.dialing[l.remote.site.index] = false
	if old := g.peers[l.remote.name]; old != nil {
		if l.remote.name < g.name {
			l.close()
			return
		}
		old.close()
	}
	g.peers[l.remote.name] = l
	g.w.noteFault("%s is linked with %s", g.name, l.remote.name)
	g.perform(g.scheduler.PeerLinked(g.w.now, l.remote.name))
}

// peerClosed handles the end of a link to another gateway, as gateway.Closed does.
func (g *gateway) peerClosed(l *peerLink) {
	if g.peers[l.remote.name] == l {
		delete(g.peers, l.remote.name)
		g.w.noteFault("%s is not linked with %s any more", g.name, l.remote.name)
		g.scheduler.PeerUnlinked(l.remote.name)
	}
}

// sendFrame sends a frame to the other gateway, which handles it at its side of the link.
func (l *peerLink) sendFrame(handle func(l *peerLink)) {
	remote := l.remote
	l.send(func() {
		remote.scheduler.RecordContact(remote.w.now, l.other.remote.name)
		remote.scheduler.PeerHeard(remote.w.now, l.other.remote.name)
		handle(l.other)
	})
}

// handleRunnerHello registers a runner that has dialed this gateway, as gateway.handleHello does.
func (g *gateway) handleRunnerHello(l *runnerLink) {
	g.scheduler.RecordContact(g.w.now, l.r.name)
	if old := g.runners[l.r.name]; old != nil {
		old.atGateway.close()
		g.scheduler.Unlinked(l.r.name)
	}
	g.runners[l.r.name] = l
	l.atGateway.send(func() { l.r.handleWelcome(l) })
}

// runnerClosed handles the end of a link to a runner, as gateway.Closed does.
func (g *gateway) runnerClosed(l *runnerLink) {
	if g.runners[l.r.name] == l {
		delete(g.runners, l.r.name)
		g.scheduler.Unlinked(l.r.name)
	}
}

func (g *gateway) handleReport(l *runnerLink, report message.Report) {
	actions := g.scheduler.HandleReport(g.w.now, l.r.name, report)
	ack := message.ReportAck{Stamp: report.Stamp, Backlogged: g.scheduler.Backlogged()}
	l.toRunner(func() {
		l.backlogged = ack.Backlogged
		l.r.table.RenewOwnerLease(g.name, ack.Stamp)
	})
	g.perform(actions)
}

// handleEnded passes the ends of runs to the scheduler.
func (g *gateway) handleEnded(l *runnerLink, e message.Ended) {
	for _, end := range e.Ends {
		g.w.note(end.Run.Job, "%s learns from %s: %v ended, %v %v", g.name, l.r.name, end.Run, end.Kind, end.Reason)
	}
	g.perform(g.scheduler.HandleEnds(g.w.now, l.r.name, e))
}

// submit handles a request of a caller, as jobService.Submit does.
func (g *gateway) submit(sub *submission) {
	w, id := g.w, sub.job.id
	if sub.atGateway.endArrived {
		// The gateway refuses a request whose caller has closed its connection already.
		w.note(id, "%s refuses submission %d, whose caller has left", g.name, sub.number)
		w.oracle.goneAtArrival++
		sub.atGateway.close()
		return
	}
	queued, answer, actions := g.scheduler.Submit(w.now, sub.job.submission, testQueue, id)
	if queued == nil {
		g.answer(sub, answer)
		return
	}
	w.note(id, "%s takes submission %d, out of contact %d ms ago, waits for %q", g.name, sub.number,
		g.scheduler.ContactAge(w.now), queued.AwaitedPeer())
	if queued.AwaitedPeer() != "" {
		w.oracle.awaited++
	}
	g.pending[queued] = append(g.pending[queued], sub)
	sub.atGateway.onEnd = func() {
		if sub.answered {
			return
		}
		w.note(id, "%s notices that the caller of submission %d has left", g.name, sub.number)
		sub.answered = true
		g.perform(g.scheduler.CallerLeft(w.now, queued))
	}
	g.perform(actions)
}

// answer sends an answer to a caller.
func (g *gateway) answer(sub *submission, a lavendercourse.JobAnswer) {
	g.w.note(sub.job.id, "%s answers submission %d: %v %s", g.name, sub.number, a.Result, a.Cause)
	sub.answered = true
	sub.atGateway.send(func() { sub.handleAnswer(a) })
}

// perform carries out the actions of the scheduler.
func (g *gateway) perform(actions []queue.Action) {
	w := g.w
	for _, a := range actions {
		switch a := a.(type) {
		case queue.SendOrder:
			if l := g.runners[a.Runner]; l != nil {
				a.Order.Backlogged = g.scheduler.Backlogged()
				w.note(a.Order.Job, "%s orders %v from %s", g.name, a.Order.Runs, a.Runner)
				l.toRunner(func() { l.r.handleOrder(l, a.Order) })
			}
		case queue.SendRecall:
			if l := g.runners[a.Runner]; l != nil {
				w.note(a.Recall.Runs[0].Job, "%s recalls %v from %s", g.name, a.Recall.Runs, a.Runner)
				l.toRunner(func() {
					w.note(a.Recall.Runs[0].Job, "%s gets the recall of %s", l.r.name, g.name)
					l.r.perform(l.r.table.HandleRecall(w.now, g.name, a.Recall.Stamp, a.Recall.Runs))
				})
			}
		case queue.ShareClaims:
			g.shareClaims(a)
		case queue.AnswerClaims:
			g.answerClaims(a)
		case queue.AnswerCallers:
			if a.Answer.Cause == causeElsewhere {
				w.oracle.givenUp++
			}
			w.note(a.Job.ID(), "%s ends the job: %v %s", g.name, a.Answer.Result, a.Answer.Cause)
			for _, sub := range g.pending[a.Job] {
				if !sub.answered {
					g.answer(sub, a.Answer)
				}
			}
			delete(g.pending, a.Job)
		}
	}
}

// jobOf returns the id of the job with the given key.
func jobOf(key string) string { return strings.TrimPrefix(key, testQueue.Host+testQueue.PathPrefix) }

func (g *gateway) shareClaims(a queue.ShareClaims) {
	w, p := g.w, g.peers[a.Peer]
	if p == nil {
		return
	}
	w.oracle.claims += len(a.Jobs)
	for _, c := range a.Jobs {
		w.note(jobOf(c.Key), "%s claims the job at %s, age %d", g.name, a.Peer, c.Age)
	}
	p.sendFrame(func(at *peerLink) {
		remote := p.remote
		for _, c := range a.Jobs {
			w.note(jobOf(c.Key), "%s gets the claim of %s", remote.name, g.name)
		}
		remote.perform(remote.scheduler.HandleClaims(w.now, at.remote.name, a.Jobs))
	})
}

func (g *gateway) answerClaims(a queue.AnswerClaims) {
	w, p := g.w, g.peers[a.Peer]
	if p == nil {
		return
	}
	for _, settled := range a.Answer.Free {
		w.note(jobOf(settled.Key), "%s tells %s that nothing of the job runs", g.name, a.Peer)
	}
	for _, settled := range a.Answer.Kept {
		w.note(jobOf(settled.Key), "%s tells %s that it keeps the job", g.name, a.Peer)
	}
	p.sendFrame(func(at *peerLink) {
		remote := p.remote
		for _, settled := range append(slices.Clone(a.Answer.Free), a.Answer.Kept...) {
			w.note(jobOf(settled.Key), "%s gets the answer of %s", remote.name, g.name)
		}
		remote.perform(remote.scheduler.HandleClaimAnswer(w.now, at.remote.name, a.Answer))
	})
}
