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
	// probeBacklog is the number of waiting tasks from which on agents are asked for their load before they get any, and
	// probeAge the age in ms of a report above which they are.
	probeBacklog = 4
	probeAge     = 50 * clock.Millis(1)
	// maxSkipped bounds the jobs that are passed over because no worker with room fits them.
	maxSkipped = 16
	// beatRequestPeriod is the least time in ms between two requests for a heartbeat.
	beatRequestPeriod = 500 * clock.Millis(1)
)

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
	// lastRefusal is the time at which an agent last refused a start.
	lastRefusal clock.Millis
	gate        uint64
	// swept is the time of the last sweep.
	swept clock.Millis
	// outdated wakes the follower when an agent knows a newer configuration.
	outdated chan struct{}
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
		outdated: make(chan struct{}, 1),
		parked:   true, announce: true, confirmed: -1,
	}
	m.Collect(c.collect)
	// While the log is down the entry cannot announce itself, but peers that link to it must count it.
	c.list.Learn(member.Announcement{
		Name: cfg.Name, Address: cfg.Advertise, Incarnation: string(cfg.Jobs.Incarnation), Region: cfg.Region, Domain: cfg.Domain,
	})
	return c
}

// mayAnswer tells whether the entry holds its quorum lease.
func (c *core) mayAnswer(now clock.Millis) bool {
	return c.held && now-c.leaseStart <= c.quorum.Lease()
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
	parked := !c.listedSelf() || !c.state.Based() || !c.quorum.Settled() || now-c.confirmed > c.quorum.FreshFor()
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

// tick does what is due by the time.
func (c *core) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.refresh(now)
	c.jobs.Expire(now)
	c.settle()
	if now-c.swept >= sweepPeriod {
		c.swept = now
		c.sweep(now)
	}
	c.pump(now)
}

// sweep looks through the agents for those that are gone, and forgets what is no longer needed.
func (c *core) sweep(now clock.Millis) {
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

func (c *core) queueOf(call bool) *admission.Queue {
	if call {
		return c.calls
	}
	return c.tasks
}

func (c *core) peersList() []message.Peer {
	entries := c.list.Entries()
	peers := make([]message.Peer, len(entries))
	for i, e := range entries {
		peers[i] = message.Peer{Name: e.Name, Address: e.Address, Incarnation: e.Incarnation}
	}
	return peers
}
