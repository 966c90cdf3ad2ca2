// Package peers stands in for many agents or entries at little cost, to measure what one real process spends on them.
package peers

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
)

// ErrPeers is returned when the stand-ins cannot be linked.
var ErrPeers = eris.New("stand-in peers cannot be linked")

const (
	beatPeriod = time.Second
	// idleBeats is the number of periods between the heartbeats on a link that is not used.
	idleBeats = 5
)

// AgentsConfig describes a set of agents.
type AgentsConfig struct {
	// Count is the number of agents.
	Count int
	// Entry is the address of the links of the measured entry.
	Entry string
	// Domains is the number of failure domains that the agents are spread over.
	Domains int
	// Hold is the time in ms after which a start is answered as done.
	Hold     clock.Millis
	Counters *link.Counters
}

// Agents is a set of linked agents.
type Agents struct {
	cfg     AgentsConfig
	clock   *clock.System
	cancel  context.CancelFunc
	links   []*link.Link
	started atomic.Uint64
}

// fakeAgent answers the starts of one link without running anything.
type fakeAgent struct {
	set     *Agents
	running atomic.Int64
	// home is what the entry told last, and busy whether a done was sent since the last look.
	home atomic.Bool
	busy atomic.Bool
}

// NewAgents links the agents to the entry. They send heartbeats until Close is called.
func NewAgents(cfg AgentsConfig) (*Agents, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Agents{cfg: cfg, clock: clock.NewSystem(), cancel: cancel}
	dialer := link.NewDialer(nil)
	for i := range cfg.Count {
		a := &fakeAgent{set: s}
		l, err := dialer.Dial(ctx, cfg.Entry, link.Config{Handler: a, Counters: cfg.Counters})
		if err != nil {
			s.Close()
			return nil, eris.Wrapf(ErrPeers, "agent %d: %v", i, err)
		}
		s.links = append(s.links, l)
		if err := l.Send(message.TypeHello, 0, s.hello(i)); err != nil {
			s.Close()
			return nil, eris.Wrapf(ErrPeers, "agent %d: %v", i, err)
		}
		go func() {
			// Heartbeats of the agents are spread over the period, as those of separate processes are.
			time.Sleep(beatPeriod * time.Duration(i) / time.Duration(cfg.Count))
			t := time.NewTicker(beatPeriod)
			defer t.Stop()
			for n := 0; a.beat(l, n) == nil; n++ {
				select {
				case <-ctx.Done():
					return
				case <-t.C:
				}
			}
		}()
	}
	return s, nil
}

// Started returns the number of starts received.
func (s *Agents) Started() uint64 { return s.started.Load() }

// Close ends all links.
func (s *Agents) Close() {
	s.cancel()
	for _, l := range s.links {
		l.Close()
	}
}

func (s *Agents) hello(i int) message.Hello {
	return message.Hello{
		Kind: message.KindAgent, Name: fmt.Sprintf("agent-%04d", i), Incarnation: string(lavendercourse.NewIncarnation()),
		Region: "south", Domain: fmt.Sprintf("domain-%02d", i%max(s.cfg.Domains, 1)), Rack: fmt.Sprintf("rack-%03d", i/3),
		Slots: 8, Connections: 64,
	}
}

// beat sends a heartbeat when a real agent would: every second to the entry that prefers it, every five seconds on
// other links, and not where the answers to starts stand for it.
func (a *fakeAgent) beat(l *link.Link, n int) error {
	if a.busy.Swap(false) || (n%idleBeats != 0 && !a.home.Load() && a.running.Load() == 0) {
		return nil
	}
	return l.Send(message.TypeHeartbeat, 0, a.load())
}

func (a *fakeAgent) load() message.Load {
	return message.Load{Stamp: a.set.clock.Now(), Running: int(a.running.Load()), Window: 9}
}

// HandleFrame answers starts as done after the hold time, and requests for a heartbeat.
func (a *fakeAgent) HandleFrame(l *link.Link, f message.Frame) error {
	switch f.Type {
	case message.TypeRenew:
		return a.renewed(l, f)
	case message.TypeStart:
		return a.start(l, f)
	}
	return nil
}

func (a *fakeAgent) renewed(l *link.Link, f message.Frame) error {
	var r message.Renew
	if err := f.DecodeBody(&r); err != nil {
		return err
	}
	a.home.Store(r.Home)
	if r.RequestHeartbeat {
		return l.Send(message.TypeHeartbeat, 0, a.load())
	}
	return nil
}

func (a *fakeAgent) start(l *link.Link, f message.Frame) error {
	var s message.Start
	if err := f.DecodeBody(&s); err != nil {
		return err
	}
	a.set.started.Add(1)
	a.running.Add(1)
	time.AfterFunc(a.set.cfg.Hold.Duration(), func() {
		a.running.Add(-1)
		a.busy.Store(true)
		// The measured process sees a link that broke.
		_ = l.Send(message.TypeDone, 0, message.Done{
			Job: s.Job, Task: s.Task, Attempt: s.Attempt, Status: message.StatusDone, Result: s.Payload,
			RunTime: a.set.cfg.Hold, Load: a.load(),
		})
	})
	return nil
}

// Closed does nothing: the count of links shows it.
func (a *fakeAgent) Closed(*link.Link) {}
