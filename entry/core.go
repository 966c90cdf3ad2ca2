package entry

import (
	"sync"

	"github.com/rs/zerolog"

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
)

// stampsKept is the number of heartbeats of an agent that are remembered. A start uses the newest one that came before
// the configuration was last confirmed, which is at most two seconds ago.
const stampsKept = 5

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
	// told counts the changes of the entries list that were sent.
	told int
}

// newest returns the newest stamp received at or before the given time.
func (a *agentLink) newest(before clock.Millis) (clock.Millis, bool) {
	for i := len(a.stamps) - 1; i >= 0; i-- {
		if a.stamps[i].received <= before {
			return a.stamps[i].stamp, true
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
}

// core is the state of an entry. All of it is guarded by mu.
type core struct {
	cfg    Config
	clock  lavendercourse.Clock
	logger zerolog.Logger

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
	waiters map[lavendercourse.JobID]chan struct{}
	past    map[lavendercourse.Incarnation]clock.Millis

	// names is the entries list, and leaseStart and confirmed what follows from it; see refresh.
	names      []string
	listed     int
	leaseStart clock.Millis
	confirmed  clock.Millis
	gate       uint64
	// behind wakes the follower when an agent knows a newer configuration.
	behind   chan struct{}
	held     bool
	parked   bool
	stopping bool
	announce bool
}

func newCore(cfg Config) *core {
	now := cfg.Clock.Now()
	cfg.Quorum.Name = cfg.Name
	cfg.Jobs.Incarnation = lavendercourse.NewIncarnation()
	c := &core{
		cfg: cfg, clock: cfg.Clock, logger: cfg.Logger,
		jobs:    job.New(cfg.Jobs),
		tasks:   admission.New(cfg.Queue),
		calls:   admission.New(cfg.Queue),
		fleet:   placement.New(placement.Config{Policy: cfg.Policy, Entry: cfg.Name, Region: cfg.Region, Domain: cfg.Domain, Seed: cfg.Seed}),
		list:    member.NewList(),
		quorum:  member.NewQuorum(now, cfg.Quorum),
		state:   config.New(),
		agents:  map[string]*agentLink{},
		peers:   map[string]*link.Link{},
		items:   map[lavendercourse.JobID]*admission.Item{},
		flights: map[placement.Attempt]flight{},
		waiters: map[lavendercourse.JobID]chan struct{}{},
		past:    map[lavendercourse.Incarnation]clock.Millis{},
		behind:  make(chan struct{}, 1),
		parked:  true, announce: true,
	}
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

// refresh works out what depends on the list, the acknowledgements and the configuration.
func (c *core) refresh(now clock.Millis) {
	c.leaseStart = c.quorum.LeaseStart(now, c.names)
	if c.state.Based() {
		c.confirmed = c.quorum.Confirmed(now, c.names, c.state.Version())
	}
	held := now-c.leaseStart <= c.quorumLease()
	if c.held && !held {
		c.endIncarnation(now)
	}
	c.held = held
	parked := !c.state.Based() || now-c.confirmed > c.freshFor()
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
	for _, j := range c.jobs.Ended() {
		delete(c.items, j.ID())
		c.tasks.Remove(j.ID())
		c.calls.Remove(j.ID())
		if v := j.Verdict(); v.Outcome == lavendercourse.Failed {
			event.JobFailed.On(c.logger).Str("job", j.ID().String()).Str("message", v.Message).Send()
		}
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
}

func (c *core) pumpQueue(now clock.Millis, q *admission.Queue, call bool) {
	for q.Waiting() > 0 {
		item := q.Next(now)
		if item == nil {
			return
		}
		j, err := c.jobs.Find(item.ID())
		if err != nil {
			q.Remove(item.ID())
			continue
		}
		if !c.place(now, q, item, j, call) {
			return
		}
	}
}

// place sends the next task of a job to an agent. It returns false if no agent has room.
func (c *core) place(now clock.Millis, q *admission.Queue, item *admission.Item, j *job.Job, call bool) bool {
	agent, ok := c.fleet.Pick(now, wantOf(j))
	if !ok {
		return false
	}
	a := c.agents[agent]
	stamp, ok := a.newest(c.confirmed)
	if !ok {
		return false
	}
	as, ok := c.jobs.Take(now, j, agent)
	if !ok {
		q.Remove(item.ID())
		return true
	}
	q.Took(item)
	at := placement.Attempt{Key: as.Key, Attempt: as.Attempt}
	c.flights[at] = flight{agent: agent, item: item, call: call, team: item.Team()}
	c.fleet.Sent(now, agent, at, call)
	c.send(agent, message.TypeStart, message.Start{
		Job: as.Key.Job().String(), Task: as.Key.Task(), Attempt: as.Attempt, Call: call,
		Kind: as.Task.Kind, Class: uint8(item.Class()), Payload: as.Task.Payload,
		Stamp: stamp, Agent: c.fleet.Agent(agent).Hello().Incarnation, Version: c.gate,
		Backlog: c.tasks.Waiting(), Declared: as.Task.Declared,
	})
	return true
}

// done handles the end of a start.
func (c *core) done(now clock.Millis, agent string, d message.Done) error {
	id, err := lavendercourse.ParseJobID(d.Job)
	if err != nil {
		return err
	}
	c.fleet.Report(agent, d.Load)
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
	c.fleet.Ended(now, agent, at, f.call, d.Status)
	c.landed(now, at, f, d)
	c.settle()
	c.pump(now)
	return nil
}

// landed applies the end of a start to its job.
func (c *core) landed(now clock.Millis, at placement.Attempt, f flight, d message.Done) {
	q := c.queueOf(f.call)
	if d.Status == message.StatusRefused && c.jobs.Returned(at.Key, f.agent, at.Attempt) {
		q.Returned(f.item)
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
		if a.lost > 0 && now-a.lost > goneAfter {
			delete(c.agents, name)
			lost := c.fleet.Leave(name)
			event.AgentLost.On(c.logger).Str("agent", name).Int("tasks", len(lost)).Send()
			c.abandon(now, name, lost)
			c.rehome()
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
	c.fleet.SetDrained(c.state.Domains())
	for name, t := range c.state.Teams() {
		l := admission.Limits{Weight: t.Weight, Share: c.shareOf(t.Quota)}
		c.tasks.SetLimits(name, l)
		c.calls.SetLimits(name, l)
	}
}

// shareOf splits a quota evenly over the entries, rounded up.
func (c *core) shareOf(quota int) int {
	n := max(len(c.names), 1)
	return (quota + n - 1) / n
}

// relisted applies a change of the entries list.
func (c *core) relisted() {
	c.names = c.list.Names()
	c.listed++
	c.configured()
	c.rehome()
}

func (c *core) rehome() {
	agents := make([]string, 0, len(c.agents))
	for _, a := range c.fleet.Agents() {
		agents = append(agents, a.Hello().Name)
	}
	c.fleet.SetHomes(placement.Homes(agents, c.names))
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

func (c *core) peersList() []message.Peer {
	entries := c.list.Entries()
	peers := make([]message.Peer, len(entries))
	for i, e := range entries {
		peers[i] = message.Peer{Name: e.Name, Address: e.Address, Incarnation: e.Incarnation}
	}
	return peers
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
