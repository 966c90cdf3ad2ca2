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
	// home tells whether the entry is the home of this agent, see placement.Homes.
	home bool
	// lastLoadSent is the time when the agent last sent its load with a stamp.
	lastLoadSent clock.Millis
	// lastHeartbeat is the time of the last heartbeat.
	lastHeartbeat clock.Millis
	// lastRenewal is the time of the last renew from the entry, and lastStart that of the last start. Both renew the
	// leases of the entry's tasks.
	lastRenewal clock.Millis
	lastStart   clock.Millis
	// answeredNumber is the highest number of an answered heartbeat. Only the heartbeats sent by Stop are numbered.
	answeredNumber uint64
}

// due tells whether a heartbeat is due. The home of the agent needs a stamp every second. Any other entry with work
// here must renew the leases of its tasks, for which it needs a heartbeat to answer; it asks for further stamps itself.
// No heartbeat is needed while done messages carry stamps and starts renew the leases. Entries without work need
// heartbeats only to see that the agent is alive. Only the answers to heartbeats carry the list of entries, so that one
// is due every idleHeartbeatPeriod in any case: an agent under constant load would otherwise never link with an entry
// that has restarted.
func (s *entryLink) due(now clock.Millis, idle bool) bool {
	sinceExchange := now - min(s.lastLoadSent, max(s.lastRenewal, s.lastStart))
	switch {
	case now-max(s.lastHeartbeat, s.lastRenewal) >= idleHeartbeatPeriod:
		return true
	case s.home:
		return sinceExchange >= heartbeatPeriod
	case !idle || now-s.lastStart <= activeWindow:
		return sinceExchange >= activeHeartbeatPeriod
	default:
		return now-s.lastLoadSent >= idleHeartbeatPeriod
	}
}

// dial opens the missing links to the preferred entries.
func (a *Agent) dial() {
	for _, address := range a.dialAddresses() {
		l, err := a.cfg.Dialer.Dial(a.ctx, address, link.Config{Handler: a, Counters: a.cfg.Counters})
		if err != nil {
			if !a.failedDials[address] && a.ctx.Err() == nil {
				event.DialFailed.On(a.cfg.Logger).Str("address", address).Err(err).Send()
			}
			a.failedDials[address] = true
			continue
		}
		delete(a.failedDials, address)
		if l.Send(message.TypeHello, 0, a.hello()) != nil {
			l.Close()
		}
	}
}

// dialAddresses returns the addresses to which a link is missing.
func (a *Agent) dialAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || !a.backend.everAnswered {
		return nil
	}
	preferred := a.preferredEntries()
	var addresses []string
	for _, name := range preferred {
		if a.links[name] == nil {
			addresses = append(addresses, a.entries[name])
		}
	}
	if len(a.links) == 0 {
		// All known entries may be gone, so the seeds are tried too.
		for _, seed := range a.cfg.Seeds {
			if !slices.Contains(addresses, seed) {
				addresses = append(addresses, seed)
			}
		}
	}
	return addresses
}

// preferredEntries returns the names of the maxEntryLinks entries that rank highest for this agent.
func (a *Agent) preferredEntries() []string {
	names := make([]string, 0, len(a.entries))
	for name := range a.entries {
		names = append(names, name)
	}
	ranked := placement.Rank(a.cfg.Name, names)
	return ranked[:min(len(ranked), maxEntryLinks)]
}

// HandleFrame handles a frame from an entry. It implements link.Handler.
func (a *Agent) HandleFrame(l *link.Link, f message.Frame) error {
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
	actions, err := a.applyFrame(a.cfg.Clock.Now(), entry, f)
	a.perform(actions)
	return err
}

// applyFrame decodes a frame from the named entry, updates the table and returns the resulting actions. Frames of
// other types are ignored.
func (a *Agent) applyFrame(now clock.Millis, entry string, f message.Frame) ([]slot.Action, error) {
	switch f.Type {
	case message.TypeStart:
		var s message.Start
		if err := f.DecodeBody(&s); err != nil {
			return nil, err
		}
		a.links[entry].lastStart = now
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

// renew handles the answer of an entry to a heartbeat.
func (a *Agent) renew(now clock.Millis, entry string, number uint64, r message.Renew) {
	s := a.links[entry]
	s.answeredNumber = max(s.answeredNumber, number)
	if r.Incarnation != "" {
		s.incarnation = lavendercourse.Incarnation(r.Incarnation)
	}
	s.home, s.lastRenewal = r.Home, now
	a.table.Renew(now, entry, s.incarnation, r)
	a.setEntries(r.Peers)
	if r.RequestHeartbeat {
		a.sendHeartbeat(now, entry, s)
	}
}

// Closed removes a link that has ended. It implements link.Handler.
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
		a.table.LinkClosed(entry)
	}
}

// welcome handles the answer to a hello: from now on the link is the one to the named entry.
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
		// The entry answers each hello; after an outage of the backend server another one is sent on the same link.
		return nil
	}
	if old != nil {
		old.link.Close()
	}
	now := a.cfg.Clock.Now()
	s := &entryLink{link: l, incarnation: lavendercourse.Incarnation(w.Incarnation), lastRenewal: now}
	a.links[w.Name] = s
	a.setEntries(w.Peers)
	if a.entries[w.Name] == "" {
		a.entries[w.Name] = l.RemoteAddr().String()
	}
	event.EntryLinked.On(a.cfg.Logger).Str("entry", w.Name).Send()
	if a.leaving {
		// The link was dialed before Stop was called.
		_ = l.Send(message.TypeLeave, 0, message.Leave{})
	}
	a.announceOutage(l)
	a.sendHeartbeat(now, w.Name, s)
	return nil
}

// setEntries replaces the known entries by the list that an entry sent, and closes idle links to entries that are no
// longer preferred. An empty list means that the list has not changed.
func (a *Agent) setEntries(peers []message.Peer) {
	if len(peers) == 0 {
		return
	}
	a.entries = make(map[string]string, len(peers))
	for _, p := range peers {
		a.entries[p.Name] = p.Address
	}
	preferred := map[string]bool{}
	for _, name := range a.preferredEntries() {
		preferred[name] = true
	}
	for name, s := range a.links {
		if !preferred[name] && a.table.Idle(name) {
			s.link.Close()
		}
	}
}
