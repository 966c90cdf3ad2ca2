package entry

import (
	"context"
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

// askTimeout bounds the wait for the answers to an ask.
const askTimeout = clock.Second

// server answers requests that other entries forward.
type server interface {
	forwarded(ctx context.Context, f message.Forward) message.Reply
}

type awaited struct {
	link  *link.Link
	frame chan message.Frame
}

// exchange is the traffic with the other entries.
type exchange struct {
	*core
	ctx    context.Context
	server server
	// forwards counts the forwarded requests that are being answered.
	forwards sync.WaitGroup
	// incarnations holds the one that each entry told last, and told the one of this entry that was told on a link.
	incarnations map[string]lavendercourse.Incarnation
	told         map[*link.Link]lavendercourse.Incarnation

	waitMu sync.Mutex
	number uint64
	waits  map[uint64]awaited
}

func newExchange(ctx context.Context, c *core) *exchange {
	return &exchange{
		core: c, ctx: ctx, waits: map[uint64]awaited{},
		incarnations: map[string]lavendercourse.Incarnation{}, told: map[*link.Link]lavendercourse.Incarnation{},
	}
}

// named returns the name of the entry on the other side of a link.
func (x *exchange) named(l *link.Link) string {
	who, _ := l.Tag().(remote)
	return who.name
}

// frame handles a frame from the named entry.
func (x *exchange) frame(l *link.Link, name string, f message.Frame) error {
	switch f.Type {
	case message.TypePulse:
		return x.pulse(l, name, f)
	case message.TypeAck:
		return x.ack(name, f)
	case message.TypeAsk:
		return x.ask(l, f)
	case message.TypeFetch:
		x.mu.Lock()
		defer x.mu.Unlock()
		if !x.state.Based() {
			return nil
		}
		return l.Send(message.TypeState, f.Number, x.state.Snapshot())
	case message.TypeState:
		return x.adopt(f)
	case message.TypeForward:
		var m message.Forward
		if err := f.DecodeBody(&m); err != nil {
			return err
		}
		x.forwards.Go(func() {
			// A link that broke meanwhile loses the reply; the caller asks again.
			_ = l.Send(message.TypeReply, f.Number, x.server.forwarded(x.ctx, m))
		})
	case message.TypeReply, message.TypeHeard:
		x.answered(f)
	}
	return nil
}

func (x *exchange) pulse(l *link.Link, name string, f message.Frame) error {
	var p message.Pulse
	if err := f.DecodeBody(&p); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	if p.Incarnation != "" {
		x.list.Observe(name, lavendercourse.Incarnation(p.Incarnation))
		x.incarnations[name] = lavendercourse.Incarnation(p.Incarnation)
	}
	x.quorum.Heard(now, x.incarnations[name])
	x.quorum.Told(name, p.Version)
	demand := make(map[string]int, len(p.Demand))
	for _, d := range p.Demand {
		demand[d.Team] = d.Tasks
	}
	x.shares.Report(now, name, demand)
	return l.Send(message.TypeAck, 0, message.Ack{Stamp: p.Stamp, Version: x.state.Version(), Vouched: x.quorum.Settled()})
}

func (x *exchange) ack(name string, f message.Frame) error {
	var a message.Ack
	if err := f.DecodeBody(&a); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	x.quorum.Acknowledged(name, a.Stamp, a.Version, a.Vouched)
	x.refresh(now)
	x.pump(now)
	return nil
}

func (x *exchange) ask(l *link.Link, f message.Frame) error {
	var a message.Ask
	if err := f.DecodeBody(&a); err != nil {
		return err
	}
	x.mu.Lock()
	s := x.quorum.Sighting(x.clock.Now(), lavendercourse.Incarnation(a.Incarnation))
	if a.Incarnation == string(x.jobs.Incarnation()) {
		s = member.Sighting{Known: true, Up: s.Up}
	}
	x.mu.Unlock()
	return l.Send(message.TypeHeard, f.Number, message.Heard{Incarnation: a.Incarnation, Known: s.Known, Age: s.Age, Up: s.Up})
}

// adopt takes over the configuration of a peer that has a newer one.
func (x *exchange) adopt(f message.Frame) error {
	var s config.Snapshot
	if err := f.DecodeBody(&s); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.state.Adopt(s) {
		return nil
	}
	event.ConfigAdopted.On(x.logger).Uint64("version", s.Version).Send()
	now := x.clock.Now()
	x.configured()
	x.refresh(now)
	x.pump(now)
	return nil
}

// beat sends a pulse to every linked entry, and asks for the configuration if one has a newer version.
func (x *exchange) beat() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	p := message.Pulse{Stamp: now, Version: x.state.Version(), Demand: x.limitedDemand()}
	inc := x.jobs.Incarnation()
	x.limit()
	x.pump(now)
	for _, l := range x.peers {
		p.Incarnation = ""
		if x.told[l] != inc {
			x.told[l] = inc
			p.Incarnation = string(inc)
		}
		// A link that cannot take the frame closes itself.
		_ = l.Send(message.TypePulse, 0, p)
	}
	for l := range x.told {
		if x.peers[x.named(l)] != l {
			delete(x.told, l)
		}
	}
	newest := x.quorum.Newest(x.names, x.state.Version())
	if newest == "" && !x.state.Based() {
		for name := range x.peers {
			newest = name
			break
		}
	}
	if l := x.peers[newest]; l != nil {
		_ = l.Send(message.TypeFetch, 0, message.Fetch{})
	}
}

// limitedDemand returns the demand of the teams that have a quota. The others need no share.
func (x *exchange) limitedDemand() []message.Demand {
	var limited []message.Demand
	demand := x.demand()
	for name, t := range x.state.Teams() {
		if n := demand[name]; n > 0 && t.Quota > 0 {
			limited = append(limited, message.Demand{Team: name, Tasks: n})
		}
	}
	return limited
}

// request sends a frame and waits for the answer with the same number.
func (x *exchange) request(ctx context.Context, l *link.Link, t message.Type, body any) (message.Frame, error) {
	w := awaited{link: l, frame: make(chan message.Frame, 1)}
	x.waitMu.Lock()
	x.number++
	number := x.number
	x.waits[number] = w
	x.waitMu.Unlock()
	defer func() {
		x.waitMu.Lock()
		delete(x.waits, number)
		x.waitMu.Unlock()
	}()
	if err := l.Send(t, number, body); err != nil {
		return message.Frame{}, eris.Wrapf(errPeer, "send %s: %v", t, err)
	}
	select {
	case f := <-w.frame:
		return f, nil
	case <-l.Done():
		return message.Frame{}, eris.Wrapf(errPeer, "%s: link closed", t)
	case <-ctx.Done():
		return message.Frame{}, eris.Wrapf(errPeer, "%s: %v", t, ctx.Err())
	}
}

// answered hands an answer to whoever waits for its number. One for which nobody waits any more is dropped.
func (x *exchange) answered(f message.Frame) {
	x.waitMu.Lock()
	w, ok := x.waits[f.Number]
	x.waitMu.Unlock()
	if !ok {
		return
	}
	select {
	case w.frame <- f:
	default:
	}
}

// forward sends a request to the entry that owns a job.
func (x *exchange) forward(ctx context.Context, owner lavendercourse.Incarnation, m message.Forward) (message.Reply, error) {
	x.mu.Lock()
	name, _ := x.list.Owner(owner)
	l := x.peers[name]
	x.mu.Unlock()
	if l == nil {
		return message.Reply{}, eris.Wrapf(errUnsent, "no link to the owner %q", name)
	}
	ctx, span := x.cfg.Tracer.Child(ctx, trace.SpanKindClient, "forward "+m.Method)
	defer span.End()
	m.Trace = telemetry.Parent(span)
	f, err := x.request(ctx, l, message.TypeForward, m)
	if err != nil {
		telemetry.Fail(span, err.Error())
		return message.Reply{}, err
	}
	var r message.Reply
	if err := f.DecodeBody(&r); err != nil {
		return message.Reply{}, err
	}
	return r, nil
}

// fate asks the other entries what became of an incarnation. Known is false if no entry has ever heard of it.
func (x *exchange) fate(ctx context.Context, inc lavendercourse.Incarnation) (gone, known bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	x.mu.Lock()
	list := append([]string(nil), x.names...)
	asked := x.clock.Now()
	sightings := map[string]member.Sighting{x.cfg.Name: x.quorum.Sighting(asked, inc)}
	_, known = x.list.Owner(inc)
	links := map[string]*link.Link{}
	for name, l := range x.peers {
		links[name] = l
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
			sightings[name] = member.Sighting{Known: h.Known, Age: h.Age, Up: h.Up}
		})
	}
	wg.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range sightings {
		known = known || s.Known
	}
	return x.quorum.Gone(x.clock.Now(), asked, list, sightings), known
}
