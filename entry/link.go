package entry

import (
	"net/http"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/member"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
)

// remoteProcess identifies the process at the other end of a link, known once it has sent a hello or welcome frame.
type remoteProcess struct {
	kind message.Kind
	name string
	// leaving is set once another entry has announced that it serves no more requests.
	leaving bool
}

// linkHandler implements link.Handler for all links of an entry.
type linkHandler struct {
	*core
	exchange *peerExchange
}

// serveLink accepts a link from an agent or from another entry.
func (r *linkHandler) serveLink(w http.ResponseWriter, req *http.Request) {
	// If the upgrade failed, link.Accept has already written the response.
	_, _ = link.Accept(w, req, link.Config{Handler: r, Counters: r.cfg.Counters, UntaggedSize: link.HelloSize})
}

// HandleFrame implements link.Handler.
func (r *linkHandler) HandleFrame(l *link.Link, f message.Frame) error {
	if f.Type == message.TypeHello {
		return r.handleHello(l, f)
	}
	if f.Type == message.TypeWelcome {
		return r.handleWelcome(l, f)
	}
	remote, ok := l.Tag().(remoteProcess)
	if !ok {
		return message.ErrFrame
	}
	if remote.kind == message.KindAgent {
		return r.handleAgentFrame(l, remote.name, f)
	}
	return r.exchange.handleFrame(l, remote.name, f)
}

// Closed implements link.Handler. It removes the link from the state of the agent or entry.
func (r *linkHandler) Closed(l *link.Link) {
	remote, ok := l.Tag().(remoteProcess)
	l.LogEnd(r.logger, remote.name)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if remote.kind == message.KindEntry {
		delete(r.exchange.peerIncarnations, l)
		if r.peers[remote.name] == l {
			delete(r.peers, remote.name)
		}
		return
	}
	if d := r.replaced[l]; d != nil {
		delete(r.replaced, l)
		r.failReplaced(r.clock.Now(), d)
		return
	}
	a := r.agents[remote.name]
	if a == nil || a.link != l {
		return
	}
	a.link, a.disconnectedAt = nil, r.clock.Now()
	r.fleet.SetLeaving(remote.name)
}

func (r *linkHandler) handleHello(l *link.Link, f message.Frame) error {
	var h message.Hello
	if err := f.DecodeBody(&h); err != nil {
		return err
	}
	if h.Name == "" || (h.Kind != message.KindAgent && h.Kind != message.KindEntry) {
		return message.ErrBody
	}
	l.SetTag(remoteProcess{kind: h.Kind, name: h.Name})
	event.LinkOpened.On(r.logger).Str("peer", h.Name).Send()
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := r.listPeers()
	if h.Kind == message.KindAgent {
		peers = r.peersForAgents()
	}
	err := l.Send(message.TypeWelcome, f.Number, message.Welcome{
		Name: r.cfg.Name, Incarnation: string(r.jobs.Incarnation()), Peers: peers,
	})
	if err != nil {
		return err
	}
	if h.Kind == message.KindEntry {
		r.addPeerLink(l, member.Announcement{
			Name: h.Name, Address: h.Address, Incarnation: h.Incarnation, Region: h.Region, Domain: h.Domain,
		})
		return nil
	}
	r.addAgent(l, h)
	return nil
}

// handleWelcome completes the handshake of a link that this entry dialed.
func (r *linkHandler) handleWelcome(l *link.Link, f message.Frame) error {
	var w message.Welcome
	if err := f.DecodeBody(&w); err != nil {
		return err
	}
	if w.Name == "" || w.Name == r.cfg.Name {
		return message.ErrBody
	}
	l.SetTag(remoteProcess{kind: message.KindEntry, name: w.Name})
	event.LinkOpened.On(r.logger).Str("peer", w.Name).Send()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range w.Peers {
		r.members.AddFromPeer(member.Announcement{Name: p.Name, Address: p.Address, Incarnation: p.Incarnation})
	}
	r.addPeerLink(l, member.Announcement{Name: w.Name, Address: l.RemoteAddr().String(), Incarnation: w.Incarnation})
	r.applyListChange()
	return nil
}

// addPeerLink registers a link to another entry, in place of the earlier one if there is one.
func (r *linkHandler) addPeerLink(l *link.Link, a member.Announcement) {
	r.peers[a.Name] = l
	r.members.AddFromPeer(a)
	inc := lavendercourse.Incarnation(a.Incarnation)
	r.exchange.peerIncarnations[l] = inc
	r.quorum.RecordContact(r.clock.Now(), inc)
	r.applyListChange()
}

func (c *core) addAgent(l *link.Link, h message.Hello) {
	if d := c.findReplaced(h); d != nil {
		c.relinkReplaced(l, d)
		return
	}
	now := c.clock.Now()
	a, earlier := c.agents[h.Name], c.fleet.Agent(h.Name)
	var predecessor *agentLink
	if a != nil && earlier != nil && earlier.Hello().Incarnation != h.Incarnation {
		predecessor, a = a, nil
		if predecessor.link == l {
			// The process at the other end of the link is the successor now.
			predecessor.link = nil
		}
	}
	if a == nil {
		a = &agentLink{}
		c.agents[h.Name] = a
	}
	if a.link != nil && a.link != l {
		a.link.Close()
	}
	a.link, a.disconnectedAt, a.stamps, a.sentListRevision, a.sentIncarnation, a.lastStampAt = l, 0, nil, c.listRevision, c.jobs.Incarnation(), now
	event.AgentJoined.On(c.logger).Str("agent", h.Name).Str("domain", h.Domain).Int("slots", h.Slots).Send()
	unfinished := c.fleet.Join(now, h)
	if predecessor != nil {
		c.replaceAgent(now, predecessor, earlier, unfinished)
	}
	c.assignHomes()
	c.sendResume(a, h.Name, c.fleet.Agent(h.Name).Attempts())
}

// sendResume asks an agent that has reconnected about the attempts, which have not ended.
func (c *core) sendResume(a *agentLink, name string, attempts []placement.Attempt) {
	if len(attempts) == 0 {
		return
	}
	var stops []message.Task
	tasks := make([]message.Task, len(attempts))
	for i, attempt := range attempts {
		tasks[i] = message.Task{Job: attempt.Key.Job().String(), Task: attempt.Key.Task(), Attempt: attempt.Attempt}
		if j, err := c.jobs.Find(attempt.Key.Job()); err != nil || j.Ended() {
			stops = append(stops, tasks[i])
		}
	}
	if len(stops) > 0 {
		// The stop that was sent when the job ended may have been lost with the earlier link.
		c.sendToAgent(a, message.TypeStop, message.Stop{Tasks: stops})
	}
	event.AgentResumed.On(c.logger).Str("agent", name).Int("tasks", len(tasks)).Send()
	c.sendToAgent(a, message.TypeResume, message.Resume{Tasks: tasks})
}

func (r *linkHandler) handleAgentFrame(l *link.Link, name string, f message.Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.replaced[l]; d != nil {
		return r.handleReplacedFrame(d, f)
	}
	a := r.agents[name]
	if a == nil || a.link != l {
		return nil
	}
	switch f.Type {
	case message.TypeHeartbeat, message.TypeOffer:
		var load message.Load
		if err := f.DecodeBody(&load); err != nil {
			return err
		}
		r.handleLoad(name, a, f, load)
	case message.TypeDone:
		var d message.Done
		if err := f.DecodeBody(&d); err != nil {
			return err
		}
		return r.handleDone(r.clock.Now(), name, d)
	case message.TypeLeave:
		event.AgentLeaving.On(r.logger).Str("agent", name).Send()
		r.fleet.SetLeaving(name)
		r.promoteReplaced(name)
	}
	return nil
}

// handleLoad handles the load report in a heartbeat, which gets a reply, or in an offer of a free slot, which gets a
// start if a task is waiting.
func (r *linkHandler) handleLoad(name string, a *agentLink, f message.Frame, load message.Load) {
	now := r.clock.Now()
	a.recordStamp(now, load.Stamp)
	r.fleet.Report(now, name, load)
	if f.Type == message.TypeHeartbeat {
		r.sendRenew(a, f.Number, false)
	}
	r.startWaiting(now)
}
