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
	// maxStamps is the number of stamps kept for each agent. A start carries the newest stamp received before the
	// configuration was last confirmed, which is at most 2 s ago.
	maxStamps = 16
	// minStampInterval is the minimum time in ms between two kept stamps.
	minStampInterval = 200 * clock.Millis(1)
	// maxStampAge is the age in ms above which a stamp is no longer used. Agents reject stamps older than 3 s; the
	// difference leaves time for the start to arrive and to wait briefly for a slot.
	maxStampAge = 2200 * clock.Millis(1)
	// linkIdleTimeout is the time in ms without a message after which the link to an agent with unfinished starts is
	// closed. Such an agent sends a heartbeat at least every 3 s.
	linkIdleTimeout = 8 * clock.Second
	// refusalWindow is the time in ms after a refusal during which starts may wait at an agent.
	refusalWindow = 100 * clock.Millis(1)
	// minProbeBacklog is the number of waiting tasks from which an agent is asked for its load before it gets tasks, if
	// its last load report is older than minProbeReportAge, in ms.
	minProbeBacklog   = 4
	minProbeReportAge = 50 * clock.Millis(1)
	// maxSkippedJobs limits how many jobs are skipped because no worker with free capacity meets their requirements.
	maxSkippedJobs = 16
	// minHeartbeatRequestInterval is the minimum time in ms between two requests for a heartbeat to the same agent.
	minHeartbeatRequestInterval = 500 * clock.Millis(1)
)

// core is the state of an entry that its services share. All of its mutable state is guarded by mu.
type core struct {
	cfg     Config
	clock   lavendercourse.Clock
	logger  zerolog.Logger
	metrics *entryMetrics

	mu          sync.Mutex
	jobs        *job.Table
	taskQueue   *admission.Queue
	callQueue   *admission.Queue
	fleet       *placement.Fleet
	members     *member.List
	quorum      *member.Quorum
	configState *config.State
	agents      map[string]*agentLink
	// replaced holds the agents whose successor has joined, by their open link.
	replaced    map[*link.Link]*replacedAgent
	peers       map[string]*link.Link
	queueItems  map[lavendercourse.JobID]*admission.Item
	inFlight    map[placement.Attempt]inFlightStart
	runTimes    *admission.RunTimes
	quotaShares *admission.Shares
	// waiters holds the channels that are closed when a job has ended.
	waiters map[lavendercourse.JobID]chan struct{}
	// pastIncarnations holds the time in ms at which each earlier incarnation of this process ended.
	pastIncarnations map[lavendercourse.Incarnation]clock.Millis
	// jobSpans holds the spans of the traced jobs.
	jobSpans map[lavendercourse.JobID]trace.Span
	// declaredGone holds the time in ms at which each owner was declared gone, so that each is logged once.
	declaredGone map[lavendercourse.Incarnation]clock.Millis
	// drainedDomains holds the failure domains that are out of service.
	drainedDomains map[string]bool

	// entryNames is the entries list, and listRevision the revision of the members that it was read from.
	// leaseStart, configConfirmedAt (times in ms), leaseHeld and startsSuspended are set by refreshQuorumState.
	entryNames        []string
	listRevision      int
	leaseStart        clock.Millis
	configConfirmedAt clock.Millis
	// lastRefusal is the time in ms at which an agent last refused a start.
	lastRefusal clock.Millis
	// domainsVersion is the configuration version of the newest change to a failure domain. Starts carry it.
	domainsVersion uint64
	// lastSweep is the time in ms of the last sweep.
	lastSweep clock.Millis
	// configOutdated wakes the log follower when an agent has a newer configuration than this entry.
	configOutdated  chan struct{}
	leaseHeld       bool
	startsSuspended bool
	stopping        bool
	announceDue     bool
}

func newCore(cfg Config) *core {
	now := cfg.Clock.Now()
	m := telemetry.NewMetrics(cfg.Counters)
	cfg.Log = newCountedLog(cfg.Log, m)
	cfg.Quorum.Name = cfg.Name
	cfg.Jobs.Incarnation = lavendercourse.NewIncarnation()
	c := &core{
		cfg: cfg, clock: cfg.Clock, logger: cfg.Logger, metrics: newEntryMetrics(m),
		jobs:             job.New(cfg.Jobs),
		taskQueue:        admission.New(cfg.Queue),
		callQueue:        admission.New(cfg.Queue),
		fleet:            placement.New(placement.Config{Policy: cfg.Policy, Entry: cfg.Name, Region: cfg.Region, Domain: cfg.Domain, Seed: cfg.RandomSeed}),
		members:          member.NewList(),
		quorum:           member.NewQuorum(now, cfg.Quorum),
		configState:      config.New(),
		agents:           map[string]*agentLink{},
		replaced:         map[*link.Link]*replacedAgent{},
		peers:            map[string]*link.Link{},
		queueItems:       map[lavendercourse.JobID]*admission.Item{},
		inFlight:         map[placement.Attempt]inFlightStart{},
		runTimes:         admission.NewRunTimes(),
		quotaShares:      admission.NewShares(),
		waiters:          map[lavendercourse.JobID]chan struct{}{},
		pastIncarnations: map[lavendercourse.Incarnation]clock.Millis{},
		jobSpans:         map[lavendercourse.JobID]trace.Span{},
		declaredGone:     map[lavendercourse.Incarnation]clock.Millis{},
		drainedDomains:   map[string]bool{},
		configOutdated:   make(chan struct{}, 1),
		startsSuspended:  true, announceDue: true, configConfirmedAt: -1,
	}
	m.Collect(c.collect)
	// The entry cannot announce itself while the log is down, but peers that connect to it must count it as a member.
	c.members.AddFromPeer(member.Announcement{
		Name: cfg.Name, Address: cfg.Advertise, Incarnation: string(cfg.Jobs.Incarnation), Region: cfg.Region, Domain: cfg.Domain,
	})
	return c
}

// holdsLease reports whether the entry holds its quorum lease, without which it must not report results.
func (c *core) holdsLease(now clock.Millis) bool {
	return c.leaseHeld && now-c.leaseStart <= c.quorum.Lease()
}

// isListed reports whether this entry is on its own copy of the entries list. Until it is, a majority of the list need
// not include any entry that knows of this one.
func (c *core) isListed() bool { return slices.Contains(c.entryNames, c.cfg.Name) }

// refreshQuorumState updates the state that depends on the entries list, the acknowledgements and the configuration.
func (c *core) refreshQuorumState(now clock.Millis) {
	leaseExpired := c.quorum.RefreshLease(now, c.entryNames)
	c.leaseStart = c.quorum.LeaseStart()
	if c.isListed() && c.configState.Complete() {
		c.configConfirmedAt = max(c.configConfirmedAt, c.quorum.Confirmed(now, c.entryNames, c.configState.Version()))
	}
	if leaseExpired {
		c.endIncarnation(now)
	}
	c.leaseHeld = c.isListed() && c.quorum.Held(now, c.entryNames)
	suspended := !c.isListed() || !c.configState.Complete() || !c.quorum.ConfirmedSinceStart() || now-c.configConfirmedAt > c.quorum.ConfirmationTTL()
	if suspended != c.startsSuspended {
		c.startsSuspended = suspended
		if suspended {
			event.ConfigUnconfirmed.On(c.logger).Send()
		} else {
			event.ConfigConfirmed.On(c.logger).Send()
		}
	}
}

// endIncarnation fails all jobs and starts a new incarnation. Jobs of the old incarnation get the same verdict here as
// from the other entries once those have declared it gone.
func (c *core) endIncarnation(now clock.Millis) {
	event.LeaseLost.On(c.logger).Str("incarnation", string(c.jobs.Incarnation())).Int("jobs", c.jobs.LiveCount()).Send()
	c.jobs.FailAll(now, lavendercourse.ReasonOwner, "the entry that owned the job lost its quorum lease")
	c.finishEndedJobs()
	c.pastIncarnations[c.jobs.Incarnation()] = now
	c.cfg.Jobs.Incarnation = lavendercourse.NewIncarnation()
	c.jobs = job.New(c.cfg.Jobs)
	c.announceDue = true
}

// finishEndedJobs cleans up jobs that have ended: it wakes their callers and stops the tasks that still run.
func (c *core) finishEndedJobs() {
	now := c.clock.Now()
	for _, j := range c.jobs.TakeEnded() {
		delete(c.queueItems, j.ID())
		c.endJobSpan(j)
		c.metrics.countVerdict(j.Verdict())
		c.metrics.observeJobTime(j.Verdict().Outcome, now-j.Arrived())
		c.taskQueue.Remove(j.ID())
		c.callQueue.Remove(j.ID())
		c.logUnsuccessfulJob(j)
		if ch := c.waiters[j.ID()]; ch != nil {
			close(ch)
			delete(c.waiters, j.ID())
		}
	}
	stops := map[*agentLink][]message.Task{}
	for _, s := range c.jobs.TakeStops() {
		a := c.agentOf(s.Agent, placement.Attempt{Key: s.Key, Attempt: s.Attempt})
		stops[a] = append(stops[a], message.Task{Job: s.Key.Job().String(), Task: s.Key.Task(), Attempt: s.Attempt})
	}
	for a, tasks := range stops {
		c.sendToAgent(a, message.TypeStop, message.Stop{Tasks: tasks})
	}
}

// tick does the work that depends on the passing of time. It is called every tickPeriod.
func (c *core) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.refreshQuorumState(now)
	c.jobs.Expire(now)
	c.finishEndedJobs()
	if now-c.lastSweep >= sweepPeriod {
		c.lastSweep = now
		c.sweep(now)
	}
	c.startWaiting(now)
}

// sweep closes silent links, removes lost agents and deletes expired records.
func (c *core) sweep(now clock.Millis) {
	for name, a := range c.agents {
		if a.link != nil && now-a.lastStampAt > linkIdleTimeout && c.fleet.Agent(name).Unfinished() > 0 {
			a.link.Close()
		}
		if a.disconnectedAt > 0 && now-a.disconnectedAt > agentLostAfter {
			delete(c.agents, name)
			lost := c.fleet.Remove(name)
			event.AgentLost.On(c.logger).Str("agent", name).Int("tasks", len(lost)).Send()
			c.failLostStarts(now, name, lost)
			c.promoteReplaced(name)
			c.assignHomes()
		}
	}
	for l, d := range c.replaced {
		if now-d.lastStampAt > linkIdleTimeout && len(d.attempts) > 0 {
			l.Close()
		}
	}
	c.quorum.PruneContacts(now, 2*job.DefaultLifetime)
	c.logHealthChanges()
	for inc, at := range c.declaredGone {
		if now-at > 2*job.DefaultLifetime {
			delete(c.declaredGone, inc)
		}
	}
	for inc, at := range c.pastIncarnations {
		if now-at > 2*job.DefaultLifetime {
			delete(c.pastIncarnations, inc)
		}
	}
}

// applyListChange applies a change of the entries list, if there was one.
func (c *core) applyListChange() {
	if c.listRevision == c.members.Revision() {
		return
	}
	c.listRevision = c.members.Revision()
	names := c.members.Names()
	if !slices.Equal(names, c.entryNames) {
		event.EntriesChanged.On(c.logger).Strs("entries", names).Send()
	}
	c.entryNames = names
	c.applyConfigChange()
	c.assignHomes()
}

func (c *core) queueFor(call bool) *admission.Queue {
	if call {
		return c.callQueue
	}
	return c.taskQueue
}

func (c *core) listPeers() []message.Peer {
	entries := c.members.Entries()
	peers := make([]message.Peer, len(entries))
	for i, e := range entries {
		peers[i] = message.Peer{Name: e.Name, Address: e.Address, Incarnation: e.Incarnation}
	}
	return peers
}
