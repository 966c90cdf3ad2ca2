// Package peers provides stand-ins for agents and entries that use few resources. With many of them linked to one real
// process, the resource usage of that process can be measured.
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

// ErrStart is returned when a stand-in cannot listen or cannot be linked.
var ErrStart = eris.New("cannot start stand-in peers")

const (
	heartbeatPeriod = time.Second
	// activeHeartbeatPeriods and idleHeartbeatPeriods are the numbers of heartbeat periods between two heartbeats to an
	// entry that has work here and is not the agent's home, and on an idle link, as in a real agent.
	activeHeartbeatPeriods = 3
	idleHeartbeatPeriods   = 5
	// slots is the number of slots of an agent. It grants all of them to its entry, the only one that has work for it.
	slots = 8
)

// AgentsConfig describes a set of stand-in agents.
type AgentsConfig struct {
	// Count is the number of agents.
	Count int
	// EntryAddress is the address, host:port, where the measured entry accepts links.
	EntryAddress string
	// Domains is the number of failure domains that the agents are spread over.
	Domains int
	// RunTime is the time in ms after which a start is answered with a done message.
	RunTime clock.Millis
	// Counters counts the frames of all links together.
	Counters *link.Counters
}

// Agents is a set of stand-in agents that are linked to one entry.
type Agents struct {
	cfg        AgentsConfig
	clock      *clock.System
	cancel     context.CancelFunc
	links      []*link.Link
	startCount atomic.Uint64
}

// fakeAgent is one stand-in agent. It answers starts without running anything.
type fakeAgent struct {
	agents *Agents
	// running is the number of starts that are not answered yet.
	running atomic.Int64
	// home is set if the entry is the home of this agent, according to the last renew message.
	home atomic.Bool
	// doneSent is set if a done message was sent since the last check for a due heartbeat.
	doneSent atomic.Bool
}

// NewAgents links the agents to the measured entry. They send heartbeats until Close is called.
func NewAgents(cfg AgentsConfig) (*Agents, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Agents{cfg: cfg, clock: clock.NewSystem(), cancel: cancel}
	dialer := link.NewDialer(nil)
	for i := range cfg.Count {
		a := &fakeAgent{agents: s}
		l, err := dial(ctx, dialer, cfg.EntryAddress, link.Config{Handler: a, Counters: cfg.Counters})
		if err != nil {
			s.Close()
			return nil, eris.Wrapf(ErrStart, "agent %d: %v", i, err)
		}
		s.links = append(s.links, l)
		if err := l.Send(message.TypeHello, 0, s.hello(i)); err != nil {
			s.Close()
			return nil, eris.Wrapf(ErrStart, "agent %d: %v", i, err)
		}
		go func() {
			// Agents in separate processes do not send at the same time, so the heartbeats are spread evenly over the
			// period.
			time.Sleep(heartbeatPeriod * time.Duration(i) / time.Duration(cfg.Count))
			t := time.NewTicker(heartbeatPeriod)
			defer t.Stop()
			for n := 0; a.sendHeartbeatIfDue(l, n) == nil; n++ {
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

// StartCount returns the number of start messages that all agents together have received.
func (s *Agents) StartCount() uint64 { return s.startCount.Load() }

// Close closes all links.
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
		Slots: slots, Connections: 64,
	}
}

// sendHeartbeatIfDue sends the heartbeat of period n if it is due. No heartbeat is sent in a period with a done message,
// since that carries the load as well.
func (a *fakeAgent) sendHeartbeatIfDue(l *link.Link, n int) error {
	if a.doneSent.Swap(false) || n%a.heartbeatPeriods() != 0 {
		return nil
	}
	return l.Send(message.TypeHeartbeat, 0, a.load())
}

// heartbeatPeriods returns the number of heartbeat periods between two heartbeats.
func (a *fakeAgent) heartbeatPeriods() int {
	switch {
	case a.home.Load():
		return 1
	case a.running.Load() > 0:
		return activeHeartbeatPeriods
	default:
		return idleHeartbeatPeriods
	}
}

func (a *fakeAgent) load() message.Load {
	return message.Load{Stamp: a.agents.clock.Now(), Running: int(a.running.Load()), Window: slots}
}

// HandleFrame implements link.Handler. It answers a start with a done message after the run time, and a request for a
// heartbeat at once.
func (a *fakeAgent) HandleFrame(l *link.Link, f message.Frame) error {
	switch f.Type {
	case message.TypeRenew:
		return a.handleRenew(l, f)
	case message.TypeStart:
		return a.handleStart(l, f)
	}
	return nil
}

func (a *fakeAgent) handleRenew(l *link.Link, f message.Frame) error {
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

func (a *fakeAgent) handleStart(l *link.Link, f message.Frame) error {
	var s message.Start
	if err := f.DecodeBody(&s); err != nil {
		return err
	}
	a.agents.startCount.Add(1)
	a.running.Add(1)
	time.AfterFunc(a.agents.cfg.RunTime.Duration(), func() {
		a.running.Add(-1)
		a.doneSent.Store(true)
		// The error is ignored: the measured process detects a broken link itself.
		_ = l.Send(message.TypeDone, 0, message.Done{
			Job: s.Job, Task: s.Task, Attempt: s.Attempt, Status: message.StatusDone, Result: s.Payload,
			RunTime: a.agents.cfg.RunTime, Load: a.load(),
		})
	})
	return nil
}

// Closed implements link.Handler. It does nothing, since the measured process detects a broken link itself.
func (a *fakeAgent) Closed(*link.Link) {}
