package entry

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/config"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/member"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

const (
	// stampsKept is the number of stamps of an agent that are remembered. A start uses the newest one that came before
	// the configuration was last confirmed, which is at most two seconds ago.
	stampsKept = 16
	// stampSpacing is the least time in ms between two remembered stamps.
	stampSpacing = 200 * clock.Millis(1)
	// stampAge is the age in ms above which a stamp is not used any more. It leaves the start time to arrive, and to
	// wait a little for a slot, before the agent's bound of 3 s.
	stampAge = 2200 * clock.Millis(1)
	// silentAfter is the time in ms without a message after which the link to an agent with unfinished starts is
	// closed. Such an agent sends a heartbeat at least every 3 s.
	silentAfter = 8 * clock.Second
	// refusalMemory is the time in ms after a refusal for which starts may wait at an agent.
	refusalMemory = 100 * clock.Millis(1)
	// maxSkipped bounds the jobs that are passed over because no worker with room fits them.
	maxSkipped = 16
	// nudgePeriod is the least time in ms between two requests for a heartbeat.
	nudgePeriod = 500 * clock.Millis(1)
)

type stamped struct {
	received clock.Millis
	stamp    clock.Millis
}

// agentLink is the entry's side of a link to an agent.
type agentLink struct {
	link   *link.Link
	stamps []stamped
	// lost is the time at which the link broke, or 0.
	lost clock.Millis
	// home tells whether this entry prefers the agent.
	home bool
	// told counts the changes of the entries list that were sent.
	told int
	// incarnation is the one of this entry that was told last.
	incarnation lavendercourse.Incarnation
	// heard is the time of the last stamp, and nudged that of the last request for one.
	heard  clock.Millis
	nudged clock.Millis
	// ejected tells whether the worker was ejected when its health was last logged.
	ejected bool
}

// stamp takes note of a stamp of the agent. Stamps that follow each other closely are not all kept, so that those kept
// reach back far enough.
func (a *agentLink) stamp(now, stamp clock.Millis) {
	a.heard = now
	if n := len(a.stamps); n > 0 && now-a.stamps[n-1].received < stampSpacing {
		return
	}
	a.stamps = append(a.stamps, stamped{received: now, stamp: stamp})
	if len(a.stamps) > stampsKept {
		a.stamps = a.stamps[1:]
	}
}

// newest returns the newest stamp received at or before the given time, unless it is too old to be used now.
func (a *agentLink) newest(now, before clock.Millis) (clock.Millis, bool) {
	for i := len(a.stamps) - 1; i >= 0; i-- {
		if a.stamps[i].received <= before {
			return a.stamps[i].stamp, now-a.stamps[i].received <= stampAge
		}
	}
	return 0, false
}

// flight is a start that was sent and has not ended.
type flight struct {
	agent string
	item  *admission.Item
	call  bool
	team  string
	kind  string
	// span covers the start until it ended. It is nil if the job is not traced.
	span trace.Span
}

// core is the state of an entry. All of it is guarded by mu.
type core struct {
	cfg      Config
	clock    lavendercourse.Clock
	logger   zerolog.Logger
	measures *measures

	mu      sync.Mutex
	jobs    *job.Table
	tasks   *admission.Queue
	calls   *admission.Queue
	fleet   *placement.Fleet
	list    *member.List
	quorum  *member.Quorum
	state   *config.State
	agents  map[string]*agentLink
	peers   map[string]*link.Link
	items   map[lavendercourse.JobID]*admission.Item
	flights map[placement.Attempt]flight
	runs    *admission.RunTimes
	shares  *admission.Shares
	waiters map[lavendercourse.JobID]chan struct{}
	past    map[lavendercourse.Incarnation]clock.Millis
	// spans holds the spans of the jobs that are traced.
	spans map[lavendercourse.JobID]trace.Span
	// declared holds the owners that were declared gone, so that each is logged once.
	declared map[lavendercourse.Incarnation]clock.Millis
	// drained holds the failure domains that are out of service.
	drained map[string]bool

	// names is the entries list, and leaseStart and confirmed what follows from it; see refresh.
	names      []string
	listed     int
	leaseStart clock.Millis
	confirmed  clock.Millis
	// turned is the time at which an agent last refused a start.
	turned clock.Millis
	gate   uint64
	// behind wakes the follower when an agent knows a newer configuration.
	behind   chan struct{}
	held     bool
	parked   bool
	stopping bool
	announce bool
}

func newCore(cfg Config) *core {
	now := cfg.Clock.Now()
	m := telemetry.NewMetrics(cfg.Counters)
	cfg.Log = newCountedLog(cfg.Log, m)
	cfg.Quorum.Name = cfg.Name
	cfg.Jobs.Incarnation = lavendercourse.NewIncarnation()
	c := &core{
		cfg: cfg, clock: cfg.Clock, logger: cfg.Logger, measures: newMeasures(m),
		jobs:     job.New(cfg.Jobs),
		tasks:    admission.New(cfg.Queue),
		calls:    admission.New(cfg.Queue),
		fleet:    placement.New(placement.Config{Policy: cfg.Policy, Entry: cfg.Name, Region: cfg.Region, Domain: cfg.Domain, Seed: cfg.Seed}),
		list:     member.NewList(),
		quorum:   member.NewQuorum(now, cfg.Quorum),
		state:    config.New(),
		agents:   map[string]*agentLink{},
		peers:    map[string]*link.Link{},
		items:    map[lavendercourse.JobID]*admission.Item{},
		flights:  map[placement.Attempt]flight{},
		runs:     admission.NewRunTimes(),
		shares:   admission.NewShares(),
		waiters:  map[lavendercourse.JobID]chan struct{}{},
		past:     map[lavendercourse.Incarnation]clock.Millis{},
		spans:    map[lavendercourse.JobID]trace.Span{},
		declared: map[lavendercourse.Incarnation]clock.Millis{},
		drained:  map[string]bool{},
		behind:   make(chan struct{}, 1),
		parked:   true, announce: true, confirmed: -1,
	}
	m.Collect(c.collect)
	// While the log is down the entry cannot announce itself, but peers that link to it must count it.
	c.list.Learn(member.Announcement{
		Name: cfg.Name, Address: cfg.Advertise, Incarnation: string(cfg.Jobs.Incarnation), Region: cfg.Region, Domain: cfg.Domain,
	})
	return c
}

func (c *core) quorumLease() clock.Millis {
	if c.cfg.Quorum.Lease > 0 {
		return c.cfg.Quorum.Lease
	}
	return member.DefaultLease
}

func (c *core) freshFor() clock.Millis {
	if c.cfg.Quorum.Fresh > 0 {
		return c.cfg.Quorum.Fresh
	}
	return member.DefaultFresh
}

// mayAnswer tells whether the entry holds its quorum lease.
func (c *core) mayAnswer(now clock.Millis) bool {
	return c.held && now-c.leaseStart <= c.quorumLease()
}

// listedSelf tells whether this entry is on the list that it knows. Before that, a majority of the list need not include
// any entry that knows of this one.
func (c *core) listedSelf() bool { return slices.Contains(c.names, c.cfg.Name) }

// refresh works out what depends on the list, the acknowledgements and the configuration.
func (c *core) refresh(now clock.Millis) {
	lapsed := c.quorum.Lapsed(now, c.names)
	c.leaseStart = c.quorum.Start()
	if c.listedSelf() && c.state.Based() {
		c.confirmed = max(c.confirmed, c.quorum.Confirmed(now, c.names, c.state.Version()))
	}
	if lapsed {
		c.endIncarnation(now)
	}
	c.held = c.listedSelf() && c.quorum.Held(now, c.names)
	parked := !c.listedSelf() || !c.state.Based() || !c.quorum.Settled() || now-c.confirmed > c.freshFor()
	if parked != c.parked {
		c.parked = parked
		if parked {
			event.Parked.On(c.logger).Send()
		} else {
			event.Unparked.On(c.logger).Send()
		}
	}
}

// endIncarnation fails all jobs and takes a new incarnation. The jobs of the old one get the same answer here as the
// other entries give once they declare it gone.
func (c *core) endIncarnation(now clock.Millis) {
	event.LeaseLost.On(c.logger).Str("incarnation", string(c.jobs.Incarnation())).Int("jobs", c.jobs.Live()).Send()
	c.jobs.FailAll(now, lavendercourse.ReasonOwner, "the entry that owned the job lost its quorum lease")
	c.settle()
	c.past[c.jobs.Incarnation()] = now
	c.cfg.Jobs.Incarnation = lavendercourse.NewIncarnation()
	c.jobs = job.New(c.cfg.Jobs)
	c.announce = true
}

// settle hands out the answers of jobs that have ended and stops what still runs of them.
func (c *core) settle() {
	now := c.clock.Now()
	for _, j := range c.jobs.Ended() {
		delete(c.items, j.ID())
		c.endJob(j)
		c.measures.answered(j.Verdict())
		c.measures.took(j.Verdict().Outcome, now-j.Arrived())
		c.tasks.Remove(j.ID())
		c.calls.Remove(j.ID())
		c.logEnd(j)
		if ch := c.waiters[j.ID()]; ch != nil {
			close(ch)
			delete(c.waiters, j.ID())
		}
	}
	stops := map[string][]message.Task{}
	for _, s := range c.jobs.Stops() {
		stops[s.Agent] = append(stops[s.Agent], message.Task{Job: s.Key.Job().String(), Task: s.Key.Task(), Attempt: s.Attempt})
	}
	for agent, tasks := range stops {
		c.send(agent, message.TypeStop, message.Stop{Tasks: tasks})
	}
}

// pump starts waiting tasks and calls while there is room for them.
func (c *core) pump(now clock.Millis) {
	if c.parked || now-c.confirmed > c.freshFor() || !c.mayAnswer(now) {
		return
	}
	c.pumpQueue(now, c.calls, true)
	c.pumpQueue(now, c.tasks, false)
	if c.calls.Waiting()+c.tasks.Waiting() > 0 {
		c.nudge(now)
	}
}

// nudge asks the agents that have sent no stamp lately for one, so that they can get the tasks that wait.
func (c *core) nudge(now clock.Millis) {
	for _, a := range c.agents {
		if a.link == nil || now-a.heard < stampSpacing || now-a.nudged < nudgePeriod {
			continue
		}
		if _, ok := a.newest(now, c.confirmed); ok {
			continue
		}
		a.nudged = now
		c.renew(a, 0, true)
	}
}

func (c *core) pumpQueue(now clock.Millis, q *admission.Queue, call bool) {
	skipped := map[lavendercourse.JobID]bool{}
	for q.Waiting() > 0 && len(skipped) < maxSkipped {
		item := q.Next(now, skipped)
		if item == nil {
			return
		}
		j, err := c.jobs.Find(item.ID())
		if err != nil {
			q.Remove(item.ID())
			continue
		}
		if c.place(now, q, item, j, call) {
			continue
		}
		if w := wantOf(j); w.Memory == 0 && w.Cores == 0 {
			return
		}
		// Others with smaller needs may still find room.
		skipped[item.ID()] = true
	}
}

// place sends the next task of a job to an agent. It returns false if no agent has room.
func (c *core) place(now clock.Millis, q *admission.Queue, item *admission.Item, j *job.Job, call bool) bool {
	want := wantOf(j)
	want.Stamped = func(agent string) bool {
		_, ok := c.agents[agent].newest(now, c.confirmed)
		return ok
	}
	choice, ok := c.fleet.Pick(now, want)
	if !ok {
		return false
	}
	agent := choice.Agent
	stamp, _ := c.agents[agent].newest(now, c.confirmed)
	as, ok := c.jobs.Take(now, j, agent)
	if !ok {
		q.Remove(item.ID())
		return true
	}
	q.Took(item)
	at := placement.Attempt{Key: as.Key, Attempt: as.Attempt}
	span := c.beginTask(j.ID(), at, agent)
	c.flights[at] = flight{agent: agent, item: item, call: call, team: item.Team(), kind: as.Task.Kind, span: span}
	c.fleet.Sent(now, agent, at, call)
	c.measures.started(item.Class(), now-j.Arrived())
	c.send(agent, message.TypeStart, message.Start{
		Job: as.Key.Job().String(), Task: as.Key.Task(), Attempt: as.Attempt, Call: call,
		Kind: as.Task.Kind, Class: uint8(item.Class()), Payload: as.Task.Payload,
		Stamp: stamp, Agent: c.fleet.Agent(agent).Hello().Incarnation, Version: c.gate,
		Backlog: c.tasks.Waiting(), Wait: c.waits(now, choice, as.Attempt), Declared: as.Task.Declared,
		Trace: telemetry.Parent(span),
	})
	return true
}

// waits tells whether a start may wait at the agent for a slot. Otherwise the agent refuses it if no slot is free, and it
// is sent elsewhere. After one refusal the next attempt waits, since the other agents are probably full too and each
// refusal costs two messages.
func (c *core) waits(now clock.Millis, choice placement.Choice, attempt uint32) bool {
	return !choice.Free || attempt > 1 || now-c.turned < refusalMemory
}

// done handles the end of a start.
func (c *core) done(now clock.Millis, agent string, d message.Done) error {
	id, err := lavendercourse.ParseJobID(d.Job)
	if err != nil {
		return err
	}
	c.agents[agent].stamp(now, d.Load.Stamp)
	c.fleet.Report(now, agent, d.Load)
	if d.Version > c.gate {
		c.fleet.Need(agent, d.Version)
		select {
		case c.behind <- struct{}{}:
		default:
		}
	}
	at := placement.Attempt{Key: lavendercourse.NewTaskKey(id, d.Task), Attempt: d.Attempt}
	f, ok := c.flights[at]
	if !ok || f.agent != agent {
		return nil
	}
	delete(c.flights, at)
	expected, _ := c.runs.Learned(f.kind)
	c.fleet.Ended(now, agent, at, f.call, placement.Ending{Status: d.Status, Kind: f.kind, Run: d.Run, Expected: expected})
	if d.Status == message.StatusDone {
		c.runs.Observe(f.kind, d.Run)
	}
	c.landed(now, at, f, d)
	c.settle()
	c.pump(now)
	return nil
}

// landed applies the end of a start to its job.
func (c *core) landed(now clock.Millis, at placement.Attempt, f flight, d message.Done) {
	endTask(f.span, d)
	c.measures.landed(d.Status)
	q := c.queueOf(f.call)
	if d.Status == message.StatusRefused && c.jobs.Returned(at.Key, f.agent, at.Attempt) {
		q.Returned(f.item)
		c.fleet.Pause(now, f.agent)
		c.turned = now
		return
	}
	q.Freed(f.team)
	switch d.Status {
	case message.StatusDone:
		c.jobs.Finished(now, at.Key, f.agent, at.Attempt, d.Result)
	case message.StatusFailed:
		c.jobs.Broken(now, at.Key, f.agent, at.Attempt, lavendercourse.ReasonTask, "task "+at.Key.String()+" failed: "+d.Error)
	case message.StatusStopped:
		c.jobs.Broken(now, at.Key, f.agent, at.Attempt, lavendercourse.ReasonWorker, "task "+at.Key.String()+" was stopped: "+d.Error)
	case message.StatusUnknown:
		c.jobs.Broken(now, at.Key, f.agent, at.Attempt, lavendercourse.ReasonWorker, "it is not known whether task "+at.Key.String()+" ran: "+d.Error)
	}
}

// abandon fails the jobs of starts whose agent is gone.
func (c *core) abandon(now clock.Millis, agent string, attempts []placement.Attempt) {
	for _, at := range attempts {
		f, ok := c.flights[at]
		if !ok || f.agent != agent {
			continue
		}
		delete(c.flights, at)
		c.landed(now, at, f, message.Done{Status: message.StatusUnknown, Error: "agent " + agent + " is gone"})
	}
	c.settle()
}

// tick does what is due by the time.
func (c *core) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.refresh(now)
	c.jobs.Expire(now)
	c.settle()
	for name, a := range c.agents {
		if a.link != nil && now-a.heard > silentAfter && c.fleet.Agent(name).Sent() > 0 {
			a.link.Close()
		}
		if a.lost > 0 && now-a.lost > goneAfter {
			delete(c.agents, name)
			lost := c.fleet.Leave(name)
			event.AgentLost.On(c.logger).Str("agent", name).Int("tasks", len(lost)).Send()
			c.abandon(now, name, lost)
			c.rehome()
		}
	}
	c.quorum.Forget(now, 2*job.DefaultLifetime)
	c.logHealth()
	for inc, at := range c.declared {
		if now-at > 2*job.DefaultLifetime {
			delete(c.declared, inc)
		}
	}
	for inc, at := range c.past {
		if now-at > 2*job.DefaultLifetime {
			delete(c.past, inc)
		}
	}
	c.pump(now)
}

// configured applies a change of the configuration.
func (c *core) configured() {
	c.gate = c.state.Gate()
	c.fleet.SetVersion(c.gate)
	drained := c.state.Domains()
	c.logDomains(drained)
	c.drained = drained
	c.fleet.SetDrained(drained)
	c.limit()
}

// limit sets the limits of the teams from the configuration and the demand at the other entries.
func (c *core) limit() {
	now := c.clock.Now()
	c.shares.Forget(now)
	others := make([]string, 0, len(c.names))
	for _, name := range c.names {
		if name != c.cfg.Name {
			others = append(others, name)
		}
	}
	demand := c.demand()
	for name, t := range c.state.Teams() {
		l := admission.Limits{Weight: t.Weight, Share: c.shares.Of(now, name, t.Quota, demand[name], others)}
		c.tasks.SetLimits(name, l)
		c.calls.SetLimits(name, l)
	}
}

// demand returns the tasks and calls that wait or run here, by team.
func (c *core) demand() map[string]int {
	demand := c.tasks.Demand()
	for name, n := range c.calls.Demand() {
		demand[name] += n
	}
	return demand
}

// relisted applies a change of the entries list, if there is one.
func (c *core) relisted() {
	if c.listed == c.list.Revision() {
		return
	}
	c.listed = c.list.Revision()
	names := c.list.Names()
	if !slices.Equal(names, c.names) {
		event.EntriesChanged.On(c.logger).Strs("entries", names).Send()
	}
	c.names = names
	c.configured()
	c.rehome()
}

func (c *core) rehome() {
	agents := make([]string, 0, len(c.agents))
	for _, a := range c.fleet.Agents() {
		agents = append(agents, a.Hello().Name)
	}
	homes := placement.Homes(agents, c.names)
	c.fleet.SetHomes(homes)
	for name, a := range c.agents {
		a.home = homes[name] == c.cfg.Name
	}
}

func (c *core) queueOf(call bool) *admission.Queue {
	if call {
		return c.calls
	}
	return c.tasks
}

func (c *core) send(agent string, t message.Type, body any) {
	a := c.agents[agent]
	if a == nil || a.link == nil {
		return
	}
	if err := a.link.Send(t, 0, body); err != nil {
		a.link.Close()
	}
}

// renew answers the heartbeat with the given number, or asks for one.
func (c *core) renew(a *agentLink, number uint64, nudge bool) {
	r := message.Renew{Version: c.gate, Backlog: c.tasks.Waiting(), Home: a.home, Now: nudge}
	if inc := c.jobs.Incarnation(); a.incarnation != inc {
		a.incarnation = inc
		r.Incarnation = string(inc)
	}
	if a.told != c.listed {
		a.told = c.listed
		r.Peers = c.agentPeers()
	}
	if err := a.link.Send(message.TypeRenew, number, r); err != nil {
		a.link.Close()
	}
}

func (c *core) peersList() []message.Peer {
	entries := c.list.Entries()
	peers := make([]message.Peer, len(entries))
	for i, e := range entries {
		peers[i] = message.Peer{Name: e.Name, Address: e.Address, Incarnation: e.Incarnation}
	}
	return peers
}

// agentPeers returns the list that agents are told. Agents give up links to entries that are not on it, so an entry that
// has not read the list from the log tells them none.
func (c *core) agentPeers() []message.Peer {
	if c.list.Offset() == 0 {
		return nil
	}
	return c.peersList()
}

// wantOf returns the largest declared needs among the tasks of a job.
func wantOf(j *job.Job) placement.Want {
	w := placement.Want{Call: j.Spec().Call}
	for _, t := range j.Spec().Tasks {
		w.Memory, w.Cores = max(w.Memory, t.Memory), max(w.Cores, t.Cores)
	}
	return w
}

func wantOfTask(t job.Task) placement.Want {
	return placement.Want{Memory: t.Memory, Cores: t.Cores}
}
