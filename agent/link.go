package agent

import (
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
)

// dial makes the missing links. The entries are those that rank highest for this agent.
func (a *Agent) dial() {
	for _, address := range a.missing() {
		l, err := a.cfg.Dialer.Dial(a.ctx, address, link.Config{Handler: a, Counters: a.cfg.Counters})
		if err != nil {
			continue
		}
		if l.Send(message.TypeHello, 0, a.hello()) != nil {
			l.Close()
		}
	}
}

// missing returns the addresses to dial.
func (a *Agent) missing() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
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
		addresses = append(addresses, a.cfg.Entries...)
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
	now := a.cfg.Clock.Now()
	switch f.Type {
	case message.TypeStart:
		var s message.Start
		if err := f.DecodeBody(&s); err != nil {
			return err
		}
		actions, err := a.table.Start(now, entry, s)
		a.perform(actions)
		return err
	case message.TypeStop:
		var s message.Stop
		if err := f.DecodeBody(&s); err != nil {
			return err
		}
		actions, err := a.table.Stop(now, entry, s.Tasks)
		a.perform(actions)
		return err
	case message.TypeResume:
		var r message.Resume
		if err := f.DecodeBody(&r); err != nil {
			return err
		}
		actions, err := a.table.Resume(now, entry, r.Tasks)
		a.perform(actions)
		return err
	case message.TypeRenew:
		var r message.Renew
		if err := f.DecodeBody(&r); err != nil {
			return err
		}
		a.table.Renew(now, entry, r)
		a.echoes[entry] = max(a.echoes[entry], r.Stamp)
		a.learn(r.Peers)
	}
	return nil
}

// Closed takes note that a link has ended.
func (a *Agent) Closed(l *link.Link) {
	entry, ok := l.Tag().(string)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.links[entry] == l {
		delete(a.links, entry)
		a.table.Unlinked(entry)
		event.LinkClosed.On(a.cfg.Logger).Str("peer", entry).Send()
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
	if old := a.links[w.Name]; old != nil {
		old.Close()
	}
	a.links[w.Name] = l
	a.learn(w.Peers)
	if a.entries[w.Name] == "" {
		a.entries[w.Name] = l.RemoteAddr().String()
	}
	event.EntryJoined.On(a.cfg.Logger).Str("entry", w.Name).Send()
	if a.leaving {
		// The link was dialed before the stop, so the entry does not know of it.
		_ = l.Send(message.TypeLeave, 0, message.Leave{})
	}
	a.beatOn(w.Name, l)
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
	for name, l := range a.links {
		if !wanted[name] && a.table.Idle(name) {
			l.Close()
		}
	}
}
