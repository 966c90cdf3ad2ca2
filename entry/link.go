package entry

import (
	"net/http"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/member"
	"github.com/lavendercourse/lavendercourse/message"
)

// remote is what is known of the other side of a link once it has said hello.
type remote struct {
	kind message.Kind
	name string
}

// router handles the frames of all links of an entry.
type router struct {
	*core
	peer *exchange
}

// serveLink accepts a link of an agent or of another entry.
func (r *router) serveLink(w http.ResponseWriter, req *http.Request) {
	// The upgrader has answered the request if it failed.
	_, _ = link.Accept(w, req, link.Config{Handler: r, Counters: r.cfg.Counters})
}

// Frame handles one frame.
func (r *router) Frame(l *link.Link, f message.Frame) error {
	if f.Type == message.TypeHello {
		return r.hello(l, f)
	}
	if f.Type == message.TypeWelcome {
		return r.welcome(l, f)
	}
	who, ok := l.Tag().(remote)
	if !ok {
		return message.ErrFrame
	}
	if who.kind == message.KindAgent {
		return r.agentFrame(l, who.name, f)
	}
	return r.peer.frame(l, who.name, f)
}

// Closed takes note that a link has ended.
func (r *router) Closed(l *link.Link) {
	who, ok := l.Tag().(remote)
	l.LogEnd(r.logger, who.name)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if who.kind == message.KindEntry {
		if r.peers[who.name] == l {
			delete(r.peers, who.name)
		}
		return
	}
	a := r.agents[who.name]
	if a == nil || a.link != l {
		return
	}
	a.link, a.lost = nil, r.clock.Now()
	r.fleet.SetLeaving(who.name)
}

func (r *router) hello(l *link.Link, f message.Frame) error {
	var h message.Hello
	if err := f.DecodeBody(&h); err != nil {
		return err
	}
	if h.Name == "" || (h.Kind != message.KindAgent && h.Kind != message.KindEntry) {
		return message.ErrBody
	}
	l.SetTag(remote{kind: h.Kind, name: h.Name})
	event.LinkOpened.On(r.logger).Str("peer", h.Name).Send()
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := r.peersList()
	if h.Kind == message.KindAgent {
		peers = r.agentPeers()
	}
	err := l.Send(message.TypeWelcome, f.Number, message.Welcome{
		Name: r.cfg.Name, Incarnation: string(r.jobs.Incarnation()), Peers: peers,
	})
	if err != nil {
		return err
	}
	if h.Kind == message.KindEntry {
		r.linkPeer(l, member.Announcement{
			Name: h.Name, Address: h.Address, Incarnation: h.Incarnation, Region: h.Region, Domain: h.Domain,
		})
		return nil
	}
	r.join(l, h)
	return nil
}

// welcome completes a link that this entry dialed.
func (r *router) welcome(l *link.Link, f message.Frame) error {
	var w message.Welcome
	if err := f.DecodeBody(&w); err != nil {
		return err
	}
	if w.Name == "" || w.Name == r.cfg.Name {
		return message.ErrBody
	}
	l.SetTag(remote{kind: message.KindEntry, name: w.Name})
	event.LinkOpened.On(r.logger).Str("peer", w.Name).Send()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range w.Peers {
		r.list.Learn(member.Announcement{Name: p.Name, Address: p.Address, Incarnation: p.Incarnation})
	}
	r.linkPeer(l, member.Announcement{Name: w.Name, Address: l.RemoteAddr().String(), Incarnation: w.Incarnation})
	r.relisted()
	return nil
}

// linkPeer takes a link to another entry into use. If there was one, the new one replaces it.
func (r *router) linkPeer(l *link.Link, a member.Announcement) {
	r.peers[a.Name] = l
	r.list.Learn(a)
	inc := lavendercourse.Incarnation(a.Incarnation)
	r.peer.incarnations[a.Name] = inc
	r.quorum.Heard(r.clock.Now(), inc)
	r.relisted()
}

func (r *router) join(l *link.Link, h message.Hello) {
	now := r.clock.Now()
	a := r.agents[h.Name]
	if a == nil {
		a = &agentLink{}
		r.agents[h.Name] = a
	}
	if a.link != nil && a.link != l {
		a.link.Close()
	}
	a.link, a.lost, a.stamps, a.told, a.incarnation, a.heard = l, 0, nil, r.listed, r.jobs.Incarnation(), now
	event.AgentJoined.On(r.logger).Str("agent", h.Name).Str("domain", h.Domain).Int("slots", h.Slots).Send()
	if lost := r.fleet.Join(now, h); len(lost) > 0 {
		r.abandon(now, h.Name, lost)
	}
	r.rehome()
	r.resume(h.Name)
}

// resume asks an agent that came back about the starts that have not ended.
func (r *router) resume(name string) {
	attempts := r.fleet.Agent(name).Attempts()
	if len(attempts) == 0 {
		return
	}
	var stops []message.Task
	tasks := make([]message.Task, len(attempts))
	for i, at := range attempts {
		tasks[i] = message.Task{Job: at.Key.Job().String(), Task: at.Key.Task(), Attempt: at.Attempt}
		if j, err := r.jobs.Find(at.Key.Job()); err != nil || j.Ended() {
			stops = append(stops, tasks[i])
		}
	}
	if len(stops) > 0 {
		// The stop that was sent when the job ended may have been lost with the link.
		r.send(name, message.TypeStop, message.Stop{Tasks: stops})
	}
	event.AgentResumed.On(r.logger).Str("agent", name).Int("tasks", len(tasks)).Send()
	r.send(name, message.TypeResume, message.Resume{Tasks: tasks})
}

func (r *router) agentFrame(l *link.Link, name string, f message.Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[name]
	if a == nil || a.link != l {
		return nil
	}
	switch f.Type {
	case message.TypeBeat, message.TypeOffer:
		var load message.Load
		if err := f.DecodeBody(&load); err != nil {
			return err
		}
		r.beat(name, a, f, load)
	case message.TypeDone:
		var d message.Done
		if err := f.DecodeBody(&d); err != nil {
			return err
		}
		return r.done(r.clock.Now(), name, d)
	case message.TypeLeave:
		event.AgentLeaving.On(r.logger).Str("agent", name).Send()
		r.fleet.SetLeaving(name)
	}
	return nil
}

// beat handles a heartbeat, which is answered, or an offer of a free slot, which a start answers if there is one.
func (r *router) beat(name string, a *agentLink, f message.Frame, load message.Load) {
	now := r.clock.Now()
	a.stamp(now, load.Stamp)
	r.fleet.Report(now, name, load)
	if f.Type == message.TypeBeat {
		r.renew(a, f.Number, false)
	}
	r.pump(now)
}
