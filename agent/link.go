package agent

import (
	"slices"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/slot"
)

// entryLink is the agent's side of a link to an entry.
type entryLink struct {
	link        *link.Link
	incarnation lavendercourse.Incarnation
	// home tells whether the entry prefers this agent.
	home bool
	// told is the time of the last message that carried a stamp.
	told clock.Millis
	// renewed is the time of the last renew, and started that of the last start. Both renew the leases of the entry.
	renewed clock.Millis
	started clock.Millis
	// answered is the highest number of a heartbeat that was answered. Only the last heartbeat before a stop has one.
	answered uint64
}

// due tells whether a heartbeat is due. An entry that prefers this agent needs a stamp every second. One that uses it
// must renew the leases of its tasks; if it needs a stamp for more, it asks. Starts and dones do both without a
// heartbeat. The others need a sign of life.
func (s *entryLink) due(now clock.Millis, idle bool) bool {
	quiet := now - min(s.told, max(s.renewed, s.started))
	switch {
	case s.home:
		return quiet >= beatPeriod
	case !idle || now-s.started <= activeFor:
		return quiet >= usedPeriod
	default:
		return now-s.told >= idlePeriod
	}
}

// dial makes the missing links. The entries are those that rank highest for this agent.
func (a *Agent) dial() {
	for _, address := range a.missing() {
		l, err := a.cfg.Dialer.Dial(a.ctx, address, link.Config{Handler: a, Counters: a.cfg.Counters})
		if err != nil {
			if !a.failing[address] && a.ctx.Err() == nil {
				event.LinkFailed.On(a.cfg.Logger).Str("address", address).Err(err).Send()
			}
			a.failing[address] = true
			continue
		}
		delete(a.failing, address)
		if l.Send(message.TypeHello, 0, a.hello()) != nil {
			l.Close()
		}
	}
}

// missing returns the addresses to dial.
func (a *Agent) missing() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || !a.watch.seen {
		return nil
	}
	wanted := a.wanted()
	var addresses []string
	for _, name := range wanted {
		if a.links[name] == nil {
			addresses = append(addresses, a.entries[name])
		}
	}
	if len(a.links) == 0 {
		// None of the entries known may be left, so the seeds are tried too.
		for _, seed := range a.cfg.Entries {
			if !slices.Contains(addresses, seed) {
				addresses = append(addresses, seed)
			}
		}
	}
	return addresses
}

func (a *Agent) wanted() []string {
	names := make([]string, 0, len(a.entries))
	for name := range a.entries {
		names = append(names, name)
	}
	ranked := placement.Rank(a.cfg.Name, names)
	return ranked[:min(len(ranked), maxLinks)]
}

// Frame handles one frame.
func (a *Agent) Frame(l *link.Link, f message.Frame) error {
	if f.Type == message.TypeWelcome {
		return a.welcome(l, f)
	}
	entry, ok := l.Tag().(string)
	if !ok {
		return message.ErrFrame
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.links[entry]; s == nil || s.link != l {
		return nil
	}
	actions, err := a.decide(a.cfg.Clock.Now(), entry, f)
	a.perform(actions)
	return err
}

// decide hands a frame from the named entry to the table.
func (a *Agent) decide(now clock.Millis, entry string, f message.Frame) ([]slot.Action, error) {
	switch f.Type {
	case message.TypeStart:
		var s message.Start
		if err := f.DecodeBody(&s); err != nil {
			return nil, err
		}
		a.links[entry].started = now
		return a.table.Start(now, entry, s)
	case message.TypeStop:
		var s message.Stop
		if err := f.DecodeBody(&s); err != nil {
			return nil, err
		}
		return a.table.Stop(now, entry, s.Tasks)
	case message.TypeResume:
		var r message.Resume
		if err := f.DecodeBody(&r); err != nil {
			return nil, err
		}
		return a.table.Resume(now, entry, r.Tasks)
	case message.TypeRenew:
		var r message.Renew
		if err := f.DecodeBody(&r); err != nil {
			return nil, err
		}
		a.renew(now, entry, f.Number, r)
	}
	return nil, nil
}

func (a *Agent) renew(now clock.Millis, entry string, number uint64, r message.Renew) {
	s := a.links[entry]
	s.answered = max(s.answered, number)
	if r.Incarnation != "" {
		s.incarnation = lavendercourse.Incarnation(r.Incarnation)
	}
	s.home, s.renewed = r.Home, now
	a.table.Renew(now, entry, s.incarnation, r)
	a.learn(r.Peers)
	if r.Now {
		a.beatOn(now, entry, s)
	}
}

// Closed takes note that a link has ended.
func (a *Agent) Closed(l *link.Link) {
	entry, ok := l.Tag().(string)
	l.LogEnd(a.cfg.Logger, entry)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.links[entry]; s != nil && s.link == l {
		delete(a.links, entry)
		a.table.Unlinked(entry)
	}
}

func (a *Agent) welcome(l *link.Link, f message.Frame) error {
	var w message.Welcome
	if err := f.DecodeBody(&w); err != nil {
		return err
	}
	if w.Name == "" {
		return message.ErrBody
	}
	l.SetTag(w.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.links[w.Name]
	if old != nil && old.link == l {
		// A repeated welcome tells nothing new.
		return nil
	}
	if old != nil {
		old.link.Close()
	}
	now := a.cfg.Clock.Now()
	s := &entryLink{link: l, incarnation: lavendercourse.Incarnation(w.Incarnation), renewed: now}
	a.links[w.Name] = s
	a.learn(w.Peers)
	if a.entries[w.Name] == "" {
		a.entries[w.Name] = l.RemoteAddr().String()
	}
	event.EntryJoined.On(a.cfg.Logger).Str("entry", w.Name).Send()
	if a.leaving {
		// The link was dialed before the agent was told to stop.
		_ = l.Send(message.TypeLeave, 0, message.Leave{})
	}
	a.greet(l)
	a.beatOn(now, w.Name, s)
	return nil
}

// learn replaces the known entries by the list that an entry told, and gives up links to entries that are not wanted
// any more.
func (a *Agent) learn(peers []message.Peer) {
	if len(peers) == 0 {
		return
	}
	a.entries = make(map[string]string, len(peers))
	for _, p := range peers {
		a.entries[p.Name] = p.Address
	}
	wanted := map[string]bool{}
	for _, name := range a.wanted() {
		wanted[name] = true
	}
	for name, s := range a.links {
		if !wanted[name] && a.table.Idle(name) {
			s.link.Close()
		}
	}
}
