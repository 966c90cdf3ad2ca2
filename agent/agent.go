// Package agent implements the daemon that runs beside a backend server. It manages the slots and connections of the
// server and runs the tasks and calls that entries start.
package agent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
	"github.com/lavendercourse/lavendercourse/telemetry"
	"github.com/lavendercourse/lavendercourse/worker"
)

// ErrStart is returned when an agent cannot start.
var ErrStart = eris.New("agent cannot start")

// errStopAnswered is the cause of a cancelled request if the backend server has answered the stop of its task.
var errStopAnswered = eris.New("backend server has stopped the task")

const (
	// heartbeatPeriod is the time between heartbeats on a link to the entry that is this agent's home.
	heartbeatPeriod = clock.Second
	// activeHeartbeatPeriod is the time between heartbeats to another entry that has work here or started some within
	// activeWindow. It is short enough to renew the leases in time.
	activeHeartbeatPeriod = 3 * clock.Second
	// idleHeartbeatPeriod is the time between heartbeats on all other links.
	idleHeartbeatPeriod = 5 * clock.Second
	// activeWindow is the time after the last start during which a link counts as active.
	activeWindow = 5 * clock.Second
	// heartbeatCheckPeriod is the time between checks for due heartbeats. It is much shorter than heartbeatPeriod,
	// since the next start carries an older stamp if a heartbeat is late.
	heartbeatCheckPeriod = 200 * clock.Millis(1)
	dialPeriod           = 500 * clock.Millis(1)
	expirePeriod         = clock.Second
	drainPollPeriod      = 20 * time.Millisecond
	// answerTimeout bounds the wait for heartbeat answers when the agent stops. It is shorter than the time without
	// incoming frames after which a link is closed.
	answerTimeout = 3 * clock.Second
	// maxEntryLinks is the number of entries that an agent keeps links to, so that the number of links per agent does
	// not grow with the number of entries.
	maxEntryLinks = 4
)

// Config holds the settings of an agent.
type Config struct {
	Name   string
	Region string
	Domain string
	Rack   string
	// Memory is the memory of the worker in MB. 0 means unknown.
	Memory int
	// Cores is the number of processor cores of the worker. 0 means unknown.
	Cores int
	// Seeds holds the seed addresses, host:port, from which the agent discovers all entries.
	Seeds   []string
	Backend lavendercourse.Backend
	Slots   slot.Config
	Clock   lavendercourse.Clock
	Logger  zerolog.Logger
	// Counters counts the frames of the agent's links. It may be shared to count those of several processes together.
	// If it is nil, the agent creates its own.
	Counters *link.Counters
	// Dialer opens the links to entries. If it is nil, a default dialer is used.
	Dialer *link.Dialer
	// Tracer traces the tasks whose start message carries a trace. It may be nil.
	Tracer *telemetry.Tracer
	// Metrics is the listener of the HTTP server for metrics and health. If it is nil, there is no such server.
	Metrics net.Listener
}

// Agent is one running agent.
type Agent struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	done   <-chan struct{}

	metrics *agentMetrics

	mu    sync.Mutex
	table *slot.Table
	// links holds the open links by the name of the entry.
	links map[string]*entryLink
	// entries holds the addresses of all known entries by name.
	entries map[string]string
	// running holds the functions that cancel the requests to the backend server.
	running map[lavendercourse.TaskKey]context.CancelCauseFunc
	// leaving is set once Stop was called.
	leaving bool
	// answerNumber is the frame number of the heartbeats that awaitHeartbeatAnswers sent last.
	answerNumber uint64
	backend      backendStatus
	// predecessorTasks holds the tasks of a predecessor that the backend server still runs. Each of them holds a slot.
	predecessorTasks map[lavendercourse.TaskKey]bool
	// failedDials holds the addresses whose last dial failed, so that each outage is logged once. Only dial uses it.
	failedDials map[string]bool
}

// New starts an agent. It runs until Stop or Kill is called.
func New(cfg Config) (*Agent, error) {
	if cfg.Name == "" || cfg.Backend == nil || cfg.Clock == nil || len(cfg.Seeds) == 0 {
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
	// Polls and stop requests need connections to the backend server too.
	cfg.Slots.Connections = max(cfg.Slots.Connections-worker.ControlConnections, 1)
	cfg.Slots.Incarnation = lavendercourse.NewIncarnation()
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, ctx: ctx, cancel: cancel, table: slot.New(cfg.Slots),
		links: map[string]*entryLink{}, entries: map[string]string{},
		running:     map[lavendercourse.TaskKey]context.CancelCauseFunc{},
		failedDials: map[string]bool{}, backend: newBackendStatus(), predecessorTasks: map[lavendercourse.TaskKey]bool{},
		metrics: newAgentMetrics(telemetry.NewMetrics(cfg.Counters)),
	}
	a.table.SetBackendUp(cfg.Clock.Now(), false)
	a.metrics.registry.Collect(a.collect)
	s := daemon.NewSupervisor(cfg.Name, cfg.Logger)
	s.Add(daemon.NewService("worker", a.pollBackend))
	s.Add(daemon.NewPeriodic("dial", dialPeriod, a.dial))
	s.Add(daemon.NewPeriodic("beat", heartbeatCheckPeriod, a.sendDueHeartbeats))
	s.Add(daemon.NewPeriodic("expire", expirePeriod, a.expire))
	if cfg.Metrics != nil {
		s.Add(daemon.NewHTTPService("web", a.httpServer(), cfg.Metrics))
	}
	a.done = daemon.Start(ctx, s)
	event.Started.On(cfg.Logger).Str("agent", cfg.Name).Send()
	return a, nil
}

// Counters returns the message counters of the agent's links.
func (a *Agent) Counters() *link.Counters { return a.cfg.Counters }

// Stop announces to the entries that the agent leaves, waits until running tasks and calls have ended, and ends the
// agent. When ctx ends first, it kills the agent and returns an error.
func (a *Agent) Stop(ctx context.Context) error {
	event.Stopping.On(a.cfg.Logger).Send()
	a.mu.Lock()
	a.leaving = true
	actions := a.table.Leave(a.cfg.Clock.Now())
	for _, s := range a.links {
		_ = s.link.Send(message.TypeLeave, 0, message.Leave{})
	}
	a.perform(actions)
	a.mu.Unlock()
	// Starts that entries sent before they received the leave must arrive and be refused first.
	a.awaitHeartbeatAnswers(ctx)
	for a.activeCount() > 0 {
		select {
		case <-ctx.Done():
			event.StoppedBusy.On(a.cfg.Logger).Int("tasks", a.activeCount()).Send()
			a.Kill()
			return eris.Wrap(ctx.Err(), "agent stopped while tasks or calls were still running")
		case <-time.After(drainPollPeriod):
		}
	}
	// Once the heartbeats are answered, the entries have received all done messages.
	a.awaitHeartbeatAnswers(ctx)
	a.Kill()
	event.Stopped.On(a.cfg.Logger).Send()
	return nil
}

// awaitHeartbeatAnswers sends a heartbeat to every linked entry and waits for the answers, for up to answerTimeout.
// Since a link keeps the order of its messages, an entry that has answered has handled all earlier messages, and its
// own earlier messages have arrived.
func (a *Agent) awaitHeartbeatAnswers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout.Duration())
	defer cancel()
	a.mu.Lock()
	a.answerNumber++
	number, links := a.answerNumber, maps.Clone(a.links)
	for name, s := range links {
		a.sendLoad(a.cfg.Clock.Now(), message.TypeHeartbeat, number, name, s)
	}
	a.mu.Unlock()
	for !a.allAnswered(number, links) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollPeriod):
		}
	}
}

// allAnswered tells whether all the given links that are still open have answered the heartbeat of the given number.
func (a *Agent) allAnswered(number uint64, links map[string]*entryLink) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, s := range links {
		if a.links[name] == s && s.answeredNumber < number {
			return false
		}
	}
	return true
}

// Kill ends the agent without waiting for running tasks and calls. It may be called more than once.
func (a *Agent) Kill() {
	a.cancel()
	a.mu.Lock()
	for _, s := range a.links {
		s.link.Close()
	}
	a.mu.Unlock()
	<-a.done
}

// activeCount returns the number of accepted tasks and calls that have not ended.
func (a *Agent) activeCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.ActiveCount()
}

func (a *Agent) hello() message.Hello {
	return message.Hello{
		Kind: message.KindAgent, Name: a.cfg.Name, Incarnation: string(a.cfg.Slots.Incarnation),
		Region: a.cfg.Region, Domain: a.cfg.Domain, Rack: a.cfg.Rack,
		Slots: a.cfg.Slots.Slots, Connections: a.cfg.Slots.Connections, Memory: a.cfg.Memory, Cores: a.cfg.Cores,
	}
}

// sendDueHeartbeats sends a heartbeat on each link on which one is due.
func (a *Agent) sendDueHeartbeats() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Clock.Now()
	for name, s := range a.links {
		if s.due(now, a.table.Idle(name)) {
			a.sendHeartbeat(now, name, s)
		}
	}
}

func (a *Agent) sendHeartbeat(now clock.Millis, name string, s *entryLink) {
	s.lastHeartbeat = now
	a.sendLoad(now, message.TypeHeartbeat, 0, name, s)
}

// sendLoad sends the current load to the named entry, in a frame of the given type and number.
func (a *Agent) sendLoad(now clock.Millis, kind message.Type, number uint64, name string, s *entryLink) {
	load := a.table.Load(name)
	load.Stamp = now
	s.lastLoadSent = now
	// Send closes the link if its queue is full.
	_ = s.link.Send(kind, number, load)
}

// expire stops the tasks whose lease has expired.
func (a *Agent) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	actions := a.table.Expire(a.cfg.Clock.Now())
	stopped := 0
	for _, action := range actions {
		if _, ok := action.(slot.StopRun); ok {
			stopped++
		}
	}
	if stopped > 0 {
		event.LeasesExpired.On(a.cfg.Logger).Int("tasks", stopped).Send()
	}
	a.perform(actions)
}

// perform carries out actions that the table returned.
func (a *Agent) perform(actions []slot.Action) {
	for _, action := range actions {
		switch v := action.(type) {
		case slot.Run:
			a.metrics.started.Inc()
			a.startTask(v)
		case slot.StopRun:
			a.stopTask(v.Key)
		case slot.Offer:
			if s := a.links[v.Entry]; s != nil {
				a.sendLoad(a.cfg.Clock.Now(), message.TypeOffer, 0, v.Entry, s)
			}
		case slot.Reply:
			a.recordReply(v)
			a.reply(v)
		}
	}
}

// reply sends a done message. The message carries the load and its stamp, so it also serves as a heartbeat. An entry
// that is not linked asks for the result with a resume after it has reconnected.
func (a *Agent) reply(r slot.Reply) {
	s := a.links[r.Entry]
	if s == nil {
		return
	}
	s.lastLoadSent = a.cfg.Clock.Now()
	r.Done.Load.Stamp = s.lastLoadSent
	_ = s.link.Send(message.TypeDone, 0, r.Done)
}

// recordReply counts a reply, and logs it if the start was refused or its outcome is unknown.
func (a *Agent) recordReply(r slot.Reply) {
	a.metrics.countReply(r.Done.Status)
	if r.Done.Status != message.StatusRefused && r.Done.Status != message.StatusUnknown {
		return
	}
	event.StartRefused.On(a.cfg.Logger).Str("entry", r.Entry).Str("job", r.Done.Job).Uint32("task", r.Done.Task).
		Stringer("status", r.Done.Status).Str("cause", r.Done.Error).Send()
}

// startTask runs a task or call on the backend server in its own goroutine and reports its end to the table.
func (a *Agent) startTask(r slot.Run) {
	ctx, cancel := context.WithCancelCause(a.ctx)
	a.running[r.Key] = cancel
	w := lavendercourse.Work{Key: r.Key, Kind: r.Kind, Payload: r.Payload, Lease: a.leaseDuration()}
	go func() {
		defer cancel(nil)
		ctx, span := a.cfg.Tracer.StartFromRemote(ctx, r.Trace, trace.SpanKindServer, "agent run")
		status, result, failure, answered := a.execute(ctx, r.Call, w)
		telemetry.SetError(span, failure)
		span.End()
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.running, r.Key)
		if !answered && ctx.Err() == nil {
			a.handleNoAnswer()
		}
		if !answered && !r.Call && !errors.Is(context.Cause(ctx), errStopAnswered) {
			a.holdSlot(r.Key)
		}
		a.perform(a.table.TaskEnded(a.cfg.Clock.Now(), r.Key, status, result, failure))
	}()
}

// execute runs one task or call on the backend server. Answered is false if the server did not answer. The status is
// then failed, since the task or call may have run.
func (a *Agent) execute(ctx context.Context, call bool, w lavendercourse.Work) (status message.Status, result []byte, failure string, answered bool) {
	do := a.cfg.Backend.Run
	if call {
		do = a.cfg.Backend.Call
	}
	res, err := do(ctx, w)
	if n := len(res.Data) + len(res.Failure); n > message.MaxPayloadSize {
		return message.StatusFailed, nil, fmt.Sprintf("result of %d bytes is larger than %d bytes", n, message.MaxPayloadSize), true
	}
	switch {
	case err != nil:
		return message.StatusFailed, nil, err.Error(), false
	case res.Failure != "":
		return message.StatusFailed, nil, res.Failure, true
	default:
		return message.StatusDone, res.Data, "", true
	}
}

// holdSlot keeps the slot of a task whose request got no answer: a broken connection does not prove that the task has
// ended. The slot is released once the backend server has answered a stop of the task. If it answers none within the
// lease, the slot is released nevertheless, since the task got no renewal and no other proof of its end can come.
func (a *Agent) holdSlot(key lavendercourse.TaskKey) {
	a.table.HoldSlot()
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, a.leaseDuration().Duration())
		defer cancel()
		err := a.requestStop(ctx, key)
		for err != nil && ctx.Err() == nil {
			daemon.Sleep(ctx, pollPeriod)
			if ctx.Err() == nil {
				err = a.requestStop(ctx, key)
			}
		}
		if err != nil && a.ctx.Err() == nil {
			event.SlotReleased.On(a.cfg.Logger).Stringer("task", key).Int64("held", int64(a.leaseDuration())).Err(err).Send()
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.perform(a.table.ReleaseSlot(a.cfg.Clock.Now()))
	}()
}

// stopTask stops a running task or call. It first asks the backend server to stop it and then cancels the request.
func (a *Agent) stopTask(key lavendercourse.TaskKey) {
	cancel := a.running[key]
	if cancel == nil {
		return
	}
	go func() {
		if err := a.requestStop(a.ctx, key); err != nil {
			if a.ctx.Err() == nil {
				event.StopUnanswered.On(a.cfg.Logger).Stringer("task", key).Err(err).Send()
			}
			// The server does not answer. Closing the connection of the request is all that is left; see holdSlot.
			cancel(nil)
			return
		}
		cancel(errStopAnswered)
	}()
}

// requestStop asks the backend server to stop a task, for at most heartbeatPeriod.
func (a *Agent) requestStop(ctx context.Context, key lavendercourse.TaskKey) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatPeriod.Duration())
	defer cancel()
	return a.cfg.Backend.Stop(ctx, key)
}

// leaseDuration returns the lease of a task in ms.
func (a *Agent) leaseDuration() clock.Millis {
	if a.cfg.Slots.Lease > 0 {
		return a.cfg.Slots.Lease
	}
	return slot.DefaultLease
}
