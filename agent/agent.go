// Package agent is the daemon beside a backend server. It owns the server's slots and connections and runs what
// entries propose.
package agent

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
)

// ErrStart is returned when an agent cannot start.
var ErrStart = eris.New("agent cannot start")

const (
	beatPeriod   = clock.Second
	dialPeriod   = 500 * clock.Millis(1)
	expirePeriod = clock.Second
	drainPoll    = 20 * time.Millisecond
	// settleTimeout bounds the wait for entries when the agent leaves. It is below the silence after which a link is
	// closed.
	settleTimeout = 3 * clock.Second
	// maxLinks is the number of entries that an agent keeps links with, so that links do not grow with the fleet.
	maxLinks = 4
	// maxResult bounds a result in bytes, so that it fits into a frame with the other fields of a done.
	maxResult = message.MaxSize - 64<<10
)

// Config holds the settings of an agent.
type Config struct {
	Name   string
	Region string
	Domain string
	Rack   string
	// Memory of the worker in MB, and its processor cores. 0 means not known.
	Memory int
	Cores  int
	// Entries are addresses of entries, used to find all others.
	Entries []string
	Backend lavendercourse.Backend
	Slots   slot.Config
	Clock   lavendercourse.Clock
	Logger  zerolog.Logger
	// Counters may be shared with others to count their messages together.
	Counters *link.Counters
	Dialer   *link.Dialer
}

// Agent is one running agent.
type Agent struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	done   <-chan error

	mu    sync.Mutex
	table *slot.Table
	links map[string]*link.Link
	// entries holds the addresses of the entries by name.
	entries map[string]string
	running map[lavendercourse.TaskKey]context.CancelFunc
	leaving bool
	// echoes holds the stamp of the newest beat that each entry has renewed.
	echoes map[string]clock.Millis
}

// New starts an agent. It runs until Stop or Kill is called.
func New(cfg Config) (*Agent, error) {
	if cfg.Name == "" || cfg.Backend == nil || cfg.Clock == nil || len(cfg.Entries) == 0 {
		return nil, eris.Wrap(ErrStart, "name, backend, clock and entries are needed")
	}
	if cfg.Counters == nil {
		cfg.Counters = link.NewCounters()
	}
	if cfg.Dialer == nil {
		cfg.Dialer = link.NewDialer(nil)
	}
	if cfg.Slots.Slots == 0 {
		cfg.Slots.Slots = slot.DefaultSlots
	}
	if cfg.Slots.Connections == 0 {
		cfg.Slots.Connections = slot.DefaultConnections
	}
	cfg.Slots.Incarnation = lavendercourse.NewIncarnation()
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, ctx: ctx, cancel: cancel, table: slot.New(cfg.Slots),
		links: map[string]*link.Link{}, entries: map[string]string{},
		running: map[lavendercourse.TaskKey]context.CancelFunc{}, echoes: map[string]clock.Millis{},
	}
	s := suture.New(cfg.Name, suture.Spec{EventHook: func(ev suture.Event) {
		event.Restart.On(cfg.Logger).Str("cause", ev.String()).Send()
	}})
	s.Add(periodic{name: "dial", period: dialPeriod, do: a.dial})
	s.Add(periodic{name: "beat", period: beatPeriod, do: a.beat})
	s.Add(periodic{name: "expire", period: expirePeriod, do: a.expire})
	a.done = s.ServeBackground(ctx)
	event.Started.On(cfg.Logger).Str("agent", cfg.Name).Send()
	return a, nil
}

// Counters returns the message counters of the agent's links.
func (a *Agent) Counters() *link.Counters { return a.cfg.Counters }

// Stop announces that the agent leaves, waits for the running work and ends the agent. It gives up when ctx ends.
func (a *Agent) Stop(ctx context.Context) error {
	event.Stopping.On(a.cfg.Logger).Send()
	a.mu.Lock()
	a.leaving = true
	actions := a.table.Leave(a.cfg.Clock.Now())
	for _, l := range a.links {
		_ = l.Send(message.TypeLeave, 0, message.Leave{})
	}
	a.perform(actions)
	a.mu.Unlock()
	// Starts that were on their way when the entries learned that the agent leaves have to be refused first.
	a.settle(ctx)
	for a.busy() > 0 {
		select {
		case <-ctx.Done():
			a.Kill()
			return eris.Wrap(ctx.Err(), "work was still running")
		case <-time.After(drainPoll):
		}
	}
	// The entries must have the last done messages before the links are closed.
	a.settle(ctx)
	a.Kill()
	event.Stopped.On(a.cfg.Logger).Send()
	return nil
}

// settle waits until every linked entry has handled all that was sent to it so far, and all that it sent before has
// arrived: it renews a beat only after the frames ahead of it. An entry that does not answer is given up.
func (a *Agent) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
	defer cancel()
	a.mu.Lock()
	asked := a.cfg.Clock.Now()
	links := maps.Clone(a.links)
	for name, l := range links {
		a.beatOn(name, l)
	}
	a.mu.Unlock()
	for !a.settled(asked, links) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPoll):
		}
	}
}

func (a *Agent) settled(asked clock.Millis, links map[string]*link.Link) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, l := range links {
		if a.links[name] == l && a.echoes[name] < asked {
			return false
		}
	}
	return true
}

// Kill ends the agent at once.
func (a *Agent) Kill() {
	a.cancel()
	a.mu.Lock()
	for _, l := range a.links {
		l.Close()
	}
	a.mu.Unlock()
	<-a.done
}

func (a *Agent) busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Busy()
}

func (a *Agent) hello() message.Hello {
	return message.Hello{
		Kind: message.KindAgent, Name: a.cfg.Name, Incarnation: string(a.cfg.Slots.Incarnation),
		Region: a.cfg.Region, Domain: a.cfg.Domain, Rack: a.cfg.Rack,
		Slots: a.cfg.Slots.Slots, Connections: a.cfg.Slots.Connections, Memory: a.cfg.Memory, Cores: a.cfg.Cores,
	}
}

// beat sends a heartbeat on every link.
func (a *Agent) beat() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, l := range a.links {
		a.beatOn(name, l)
	}
}

func (a *Agent) beatOn(name string, l *link.Link) {
	// A link that cannot take the frame closes itself.
	_ = l.Send(message.TypeBeat, 0, message.Beat{Stamp: a.cfg.Clock.Now(), Load: a.table.Load(name)})
}

func (a *Agent) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.perform(a.table.Expire(a.cfg.Clock.Now()))
}

// perform carries out what the table decided.
func (a *Agent) perform(actions []slot.Action) {
	for _, action := range actions {
		switch v := action.(type) {
		case slot.Run:
			a.run(v)
		case slot.Halt:
			a.halt(v.Key)
		case slot.Reply:
			if l := a.links[v.Entry]; l != nil {
				_ = l.Send(message.TypeDone, 0, v.Done)
			}
		}
	}
}

// run starts work on the backend server.
func (a *Agent) run(r slot.Run) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.running[r.Key] = cancel
	w := lavendercourse.Work{Key: r.Key, Kind: r.Kind, Payload: r.Payload, Lease: a.lease()}
	go func() {
		defer cancel()
		status, result, failure := a.work(ctx, r.Call, w)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.running, r.Key)
		a.perform(a.table.Ended(a.cfg.Clock.Now(), r.Key, status, result, failure))
	}()
}

func (a *Agent) work(ctx context.Context, call bool, w lavendercourse.Work) (message.Status, []byte, string) {
	do := a.cfg.Backend.Run
	if call {
		do = a.cfg.Backend.Call
	}
	res, err := do(ctx, w)
	switch {
	case err != nil:
		return message.StatusFailed, nil, err.Error()
	case res.Failure != "":
		return message.StatusFailed, nil, res.Failure
	case len(res.Data) > maxResult:
		return message.StatusFailed, nil, fmt.Sprintf("result has %d bytes, want at most %d", len(res.Data), maxResult)
	default:
		return message.StatusDone, res.Data, ""
	}
}

// halt stops a running task. The backend server is asked first; the request to it is then given up.
func (a *Agent) halt(key lavendercourse.TaskKey) {
	cancel := a.running[key]
	if cancel == nil {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(a.ctx, beatPeriod.Duration())
		defer stop()
		// A backend server that does not answer loses its connection next, which ends the task too.
		_ = a.cfg.Backend.Stop(ctx, key)
		cancel()
	}()
}

func (a *Agent) lease() clock.Millis {
	if a.cfg.Slots.Lease > 0 {
		return a.cfg.Slots.Lease
	}
	return slot.DefaultLease
}

// periodic is a part of the agent in the supervisor tree.
type periodic struct {
	name   string
	period clock.Millis
	do     func()
}

// Serve implements suture.Service.
func (p periodic) Serve(ctx context.Context) error {
	t := time.NewTicker(p.period.Duration())
	defer t.Stop()
	for {
		p.do()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// String names the service in events.
func (p periodic) String() string { return p.name }
