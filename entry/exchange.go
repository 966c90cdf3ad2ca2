package entry

import (
	"context"
	"maps"
	"sync"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/config"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/member"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

const (
	// askTimeout limits how long ownerStatus waits for the other entries, in ms.
	askTimeout = clock.Second
	// leaveTimeout limits how long announceLeave waits for the other entries, in ms. Entries count on each other to answer
	// within the quorum lease.
	leaveTimeout = member.DefaultLease
)

// forwardHandler answers requests that other entries have forwarded.
type forwardHandler interface {
	handleForwarded(ctx context.Context, f message.Forward) message.Reply
}

type pendingRequest struct {
	number uint64
	link   *link.Link
	reply  chan message.Frame
}

// peerExchange sends requests to the other entries and handles the frames that arrive from them.
type peerExchange struct {
	*core
	ctx            context.Context
	forwardHandler forwardHandler
	// forwards counts the forwarded requests that are being answered.
	forwards sync.WaitGroup
	// peerIncarnations holds the incarnation of the other entry that was last received on each open link. It is kept by
	// link because two processes of one name may be linked, when one was replaced while it was paused or cut off.
	peerIncarnations map[*link.Link]lavendercourse.Incarnation
	// sentIncarnations holds the incarnation of this entry that was last sent on each link.
	sentIncarnations map[*link.Link]lavendercourse.Incarnation

	pendingMu         sync.Mutex
	lastRequestNumber uint64
	pending           map[uint64]pendingRequest
}

func newPeerExchange(ctx context.Context, c *core) *peerExchange {
	return &peerExchange{
		core: c, ctx: ctx, pending: map[uint64]pendingRequest{},
		peerIncarnations: map[*link.Link]lavendercourse.Incarnation{}, sentIncarnations: map[*link.Link]lavendercourse.Incarnation{},
	}
}

// peerName returns the name of the entry at the other end of a link.
func (x *peerExchange) peerName(l *link.Link) string {
	remote, _ := l.Tag().(remoteProcess)
	return remote.name
}

// handleFrame handles a frame from the named entry.
func (x *peerExchange) handleFrame(l *link.Link, name string, f message.Frame) error {
	switch f.Type {
	case message.TypePulse:
		return x.handlePulse(l, name, f)
	case message.TypeAck:
		return x.handleAck(name, f)
	case message.TypeAsk:
		return x.handleAsk(l, f)
	case message.TypeFetch:
		x.mu.Lock()
		defer x.mu.Unlock()
		if !x.configState.Complete() {
			return nil
		}
		return l.Send(message.TypeState, f.Number, x.configState.Snapshot())
	case message.TypeState:
		return x.adoptConfig(f)
	case message.TypeForward:
		var m message.Forward
		if err := f.DecodeBody(&m); err != nil {
			return err
		}
		x.forwards.Go(func() {
			// If the link has closed meanwhile the reply is lost, and the caller asks again.
			_ = l.Send(message.TypeReply, f.Number, x.forwardHandler.handleForwarded(x.ctx, m))
		})
	case message.TypeLeave:
		return x.handleLeave(l, name, f)
	case message.TypeReply, message.TypeHeard:
		x.deliverReply(f)
	}
	return nil
}

// handleLeave records that the entry at the other end of the link serves no more requests. Those that were sent to it
// before precede the reply on the link.
func (x *peerExchange) handleLeave(l *link.Link, name string, f message.Frame) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	l.SetTag(remoteProcess{kind: message.KindEntry, name: name, leaving: true})
	return l.Send(message.TypeReply, f.Number, message.Reply{})
}

// announceLeave sends a leave to every linked entry and waits for the replies, for up to leaveTimeout. An entry that has
// replied has handled all earlier frames of this entry, and the requests that it forwarded have arrived.
func (x *peerExchange) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	x.mu.Lock()
	links := maps.Clone(x.peers)
	x.mu.Unlock()
	var wg sync.WaitGroup
	for name, l := range links {
		wg.Go(func() {
			if _, err := x.request(ctx, l, message.TypeLeave, message.Leave{}); err != nil {
				event.LeaveUnanswered.On(x.logger).Str("peer", name).Err(err).Send()
			}
		})
	}
	wg.Wait()
}

func (x *peerExchange) handlePulse(l *link.Link, name string, f message.Frame) error {
	var p message.Pulse
	if err := f.DecodeBody(&p); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	if p.Incarnation != "" {
		x.members.SetOwner(name, lavendercourse.Incarnation(p.Incarnation))
		x.peerIncarnations[l] = lavendercourse.Incarnation(p.Incarnation)
	}
	x.quorum.RecordContact(now, x.peerIncarnations[l])
	x.quorum.SetPeerVersion(name, p.Version)
	demand := make(map[string]int, len(p.Demand))
	for _, d := range p.Demand {
		demand[d.Team] = d.Tasks
	}
	x.quotaShares.Report(now, name, demand)
	return l.Send(message.TypeAck, 0, message.Ack{Stamp: p.Stamp, Version: x.configState.Version(), ConfigConfirmed: x.quorum.ConfirmedSinceStart()})
}

func (x *peerExchange) handleAck(name string, f message.Frame) error {
	var a message.Ack
	if err := f.DecodeBody(&a); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	x.quorum.Acknowledged(name, a.Stamp, a.Version, a.ConfigConfirmed)
	x.refreshQuorumState(now)
	x.startWaiting(now)
	return nil
}

func (x *peerExchange) handleAsk(l *link.Link, f message.Frame) error {
	var a message.Ask
	if err := f.DecodeBody(&a); err != nil {
		return err
	}
	x.mu.Lock()
	contact := x.quorum.LastContact(x.clock.Now(), lavendercourse.Incarnation(a.Incarnation))
	if a.Incarnation == string(x.jobs.Incarnation()) {
		contact = member.Contact{Known: true, Uptime: contact.Uptime}
	}
	x.mu.Unlock()
	return l.Send(message.TypeHeard, f.Number, message.Heard{Incarnation: a.Incarnation, Known: contact.Known, Age: contact.Age, Uptime: contact.Uptime})
}

// adoptConfig adopts the configuration of a peer if it is newer.
func (x *peerExchange) adoptConfig(f message.Frame) error {
	var s config.Snapshot
	if err := f.DecodeBody(&s); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.configState.Adopt(s) {
		return nil
	}
	event.ConfigAdopted.On(x.logger).Uint64("version", s.Version).Send()
	now := x.clock.Now()
	x.applyConfigChange()
	x.refreshQuorumState(now)
	x.startWaiting(now)
	return nil
}

// sendPulses sends a pulse to every linked entry, and requests the configuration from one that has a newer version.
func (x *peerExchange) sendPulses() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	p := message.Pulse{Stamp: now, Version: x.configState.Version(), Demand: x.quotaDemand()}
	inc := x.jobs.Incarnation()
	x.setTeamLimits()
	x.startWaiting(now)
	for _, l := range x.peers {
		p.Incarnation = ""
		if x.sentIncarnations[l] != inc {
			x.sentIncarnations[l] = inc
			p.Incarnation = string(inc)
		}
		// A link closes itself if it cannot queue the frame, so the error needs no handling.
		_ = l.Send(message.TypePulse, 0, p)
	}
	for l := range x.sentIncarnations {
		if x.peers[x.peerName(l)] != l {
			delete(x.sentIncarnations, l)
		}
	}
	newest := x.quorum.NewestPeer(x.entryNames, x.configState.Version())
	if newest == "" && !x.configState.Complete() {
		for name := range x.peers {
			newest = name
			break
		}
	}
	if l := x.peers[newest]; l != nil {
		_ = l.Send(message.TypeFetch, 0, message.Fetch{})
	}
}

// quotaDemand returns the demand of the teams that have a quota. Only these need a share of it at each entry.
func (x *peerExchange) quotaDemand() []message.Demand {
	var limited []message.Demand
	demand := x.demand()
	for name, t := range x.configState.Teams() {
		if n := demand[name]; n > 0 && t.Quota > 0 {
			limited = append(limited, message.Demand{Team: name, Tasks: n})
		}
	}
	return limited
}

// request sends a frame and waits for the reply, which carries the same frame number.
func (x *peerExchange) request(ctx context.Context, l *link.Link, t message.Type, body any) (message.Frame, error) {
	w, err := x.send(l, t, body)
	defer x.forget(w)
	if err != nil {
		return message.Frame{}, eris.Wrapf(errPeerNoAnswer, "send %s: %v", t, err)
	}
	return w.await(ctx, t)
}

// send queues the frame of a new request, which the caller passes to forget once it has ended.
func (x *peerExchange) send(l *link.Link, t message.Type, body any) (pendingRequest, error) {
	x.pendingMu.Lock()
	x.lastRequestNumber++
	w := pendingRequest{number: x.lastRequestNumber, link: l, reply: make(chan message.Frame, 1)}
	x.pending[w.number] = w
	x.pendingMu.Unlock()
	return w, l.Send(t, w.number, body)
}

// forget drops a request, whose reply is then ignored.
func (x *peerExchange) forget(w pendingRequest) {
	x.pendingMu.Lock()
	defer x.pendingMu.Unlock()
	delete(x.pending, w.number)
}

// await waits for the reply. A reply that arrived before the link closed or ctx ended is returned in any case.
func (w pendingRequest) await(ctx context.Context, t message.Type) (message.Frame, error) {
	var cause string
	select {
	case f := <-w.reply:
		return f, nil
	case <-w.link.Done():
		cause = "link closed"
	case <-ctx.Done():
		cause = ctx.Err().Error()
	}
	select {
	case f := <-w.reply:
		return f, nil
	default:
		return message.Frame{}, eris.Wrapf(errPeerNoAnswer, "%s: %s", t, cause)
	}
}

// deliverReply passes a reply to the request with its frame number, and drops it if that request is no longer pending.
func (x *peerExchange) deliverReply(f message.Frame) {
	x.pendingMu.Lock()
	w, ok := x.pending[f.Number]
	x.pendingMu.Unlock()
	if !ok {
		return
	}
	select {
	case w.reply <- f:
	default:
	}
}

// forward sends a request to the entry that owns the job and returns its reply.
func (x *peerExchange) forward(ctx context.Context, owner lavendercourse.Incarnation, m message.Forward) (message.Reply, error) {
	ctx, span := x.cfg.Tracer.StartChild(ctx, trace.SpanKindClient, "forward "+m.Method)
	defer span.End()
	m.Trace = telemetry.Traceparent(span)
	w, err := x.sendForward(owner, m)
	defer x.forget(w)
	if err != nil {
		telemetry.SetError(span, err.Error())
		return message.Reply{}, err
	}
	f, err := w.await(ctx, message.TypeForward)
	if err != nil {
		telemetry.SetError(span, err.Error())
		return message.Reply{}, err
	}
	var r message.Reply
	if err := f.DecodeBody(&r); err != nil {
		return message.Reply{}, err
	}
	return r, nil
}

// sendForward queues a request on the link to the owner of the job. Nothing is sent to an entry that leaves: x.mu is held
// until the frame is queued, so that no request follows the reply to the leave.
func (x *peerExchange) sendForward(owner lavendercourse.Incarnation, m message.Forward) (pendingRequest, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	name, _ := x.members.Owner(owner)
	l := x.peers[name]
	if l == nil {
		return pendingRequest{}, eris.Wrapf(errNotSent, "no link to the owner %q", name)
	}
	if remote, _ := l.Tag().(remoteProcess); remote.leaving {
		return pendingRequest{}, eris.Wrapf(errNotSent, "the owner %q is leaving", name)
	}
	w, err := x.send(l, message.TypeForward, m)
	if err != nil {
		return w, eris.Wrapf(errNotSent, "forward to %q: %v", name, err)
	}
	return w, nil
}

// ownerStatus asks the other entries whether an incarnation is gone. The entry of the owner's name is asked only if
// another process has replaced the owner there: otherwise it has just failed to answer and would only delay the result.
// Known is false if no entry has ever heard of the incarnation.
func (x *peerExchange) ownerStatus(ctx context.Context, inc lavendercourse.Incarnation, replaced bool) (gone, known bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	x.mu.Lock()
	list := append([]string(nil), x.entryNames...)
	askedAt := x.clock.Now()
	contacts := map[string]member.Contact{x.cfg.Name: x.quorum.LastContact(askedAt, inc)}
	owner, known := x.members.Owner(inc)
	links := maps.Clone(x.peers)
	if !replaced {
		delete(links, owner)
	}
	x.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for name, l := range links {
		wg.Go(func() {
			f, err := x.request(ctx, l, message.TypeAsk, message.Ask{Incarnation: string(inc)})
			if err != nil {
				return
			}
			var h message.Heard
			if f.DecodeBody(&h) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			contacts[name] = member.Contact{Known: h.Known, Age: h.Age, Uptime: h.Uptime}
		})
	}
	wg.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range contacts {
		known = known || c.Known
	}
	return x.quorum.Gone(x.clock.Now(), askedAt, list, contacts), known
}
