// Package placement chooses the agent for the next task or call, from what an entry knows about the agents it is
// connected to. It does no I/O, and callers pass in the current time.
package placement

import (
	"math/rand/v2"
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// pauseDuration is the time in ms for which a paused agent gets no tasks or calls, see Pause.
const pauseDuration = 100 * clock.Millis(1)

// staleAfter is the age in ms above which the load report of an agent that runs no task of this entry is no longer a
// reliable count of its free slots. It is about the mean run time of a task.
const staleAfter = 300 * clock.Millis(1)

// Config describes the entry that a fleet belongs to.
type Config struct {
	// Policy chooses among the agents that can take the work.
	Policy lavendercourse.Policy
	// Entry is the name of the entry, Region and Domain are its region and failure domain.
	Entry  string
	Region string
	Domain string
	// Seed makes the random choices reproducible.
	Seed uint64
}

// Attempt identifies one attempt to run a task or call, for which one start message is sent to an agent.
type Attempt struct {
	Key     lavendercourse.TaskKey
	Attempt uint32
}

// Agent is the state that the entry keeps about one agent and its worker.
type Agent struct {
	hello message.Hello
	// sentAt holds the unfinished attempts of this entry with the time at which each was sent.
	sentAt map[Attempt]clock.Millis
	// calls is the number of unfinished attempts that are calls.
	calls int
	// load is the last report, with the attempts added that were sent since.
	load message.Load
	// home tells whether this entry is the agent's home, see Homes.
	home    bool
	leaving bool
	health  health
	// pausedUntil is the time before which the agent gets no tasks or calls, see Pause.
	pausedUntil clock.Millis
	// reportedAt is the time of the last load report.
	reportedAt clock.Millis
	// minVersion is the lowest configuration version of a start that the agent accepts.
	minVersion uint64
}

// Hello returns the description that the agent sent of itself and its worker.
func (a *Agent) Hello() message.Hello { return a.hello }

// Load returns the load that the agent last reported, with the attempts added that were sent since.
func (a *Agent) Load() message.Load { return a.load }

// Unfinished returns the number of unfinished attempts of this entry on the agent, tasks and calls.
func (a *Agent) Unfinished() int { return len(a.sentAt) }

// Leaving reports whether the agent gets no more work, see Fleet.SetLeaving.
func (a *Agent) Leaving() bool { return a.leaving }

// Health returns the worker's health, one of HealthNames.
func (a *Agent) Health() string {
	if a.leaving {
		return "leaving"
	}
	return a.health.String()
}

// tasks returns the number of unfinished tasks of this entry on the agent, without calls.
func (a *Agent) tasks() int { return len(a.sentAt) - a.calls }

// Fleet is the set of agents that an entry is connected to.
type Fleet struct {
	cfg    Config
	agents map[string]*Agent
	// sorted holds the agents in the order of their names.
	sorted []*Agent
	// candidates is the buffer that Pick reuses.
	candidates []lavendercourse.Candidate
	// drained holds the failure domains that are out of service.
	drained      map[string]bool
	failingKinds failingKinds
	// version is the configuration version of the entry, which every start carries.
	version uint64
	rng     *rand.Rand
}

// New returns an empty fleet.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:          cfg,
		agents:       map[string]*Agent{},
		drained:      map[string]bool{},
		failingKinds: failingKinds{},
		rng:          rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

// Join adds an agent that has connected, or updates it if the same incarnation has reconnected. If a new incarnation
// replaces an earlier one, Join returns the unfinished attempts of the earlier one, which the fleet forgets. They are not
// lost while the earlier one drains.
func (f *Fleet) Join(now clock.Millis, hello message.Hello) []Attempt {
	var lost []Attempt
	old := f.agents[hello.Name]
	if old != nil && old.hello.Incarnation == hello.Incarnation {
		old.hello, old.leaving = hello, false
		return nil
	}
	if old != nil {
		lost = f.Remove(hello.Name)
	}
	a := &Agent{hello: hello, sentAt: map[Attempt]clock.Millis{}, load: message.Load{Window: hello.Slots}, health: newHealth(now)}
	f.agents[hello.Name] = a
	f.sorted = append(f.sorted, a)
	sort.Slice(f.sorted, func(i, j int) bool { return f.sorted[i].hello.Name < f.sorted[j].hello.Name })
	return lost
}

// Remove removes an agent and returns its unfinished attempts.
func (f *Fleet) Remove(name string) []Attempt {
	a := f.agents[name]
	if a == nil {
		return nil
	}
	delete(f.agents, name)
	for i, other := range f.sorted {
		if other == a {
			f.sorted = append(f.sorted[:i], f.sorted[i+1:]...)
			break
		}
	}
	return a.Attempts()
}

// Attempts returns the unfinished attempts of this entry on the agent, in no particular order.
func (a *Agent) Attempts() []Attempt {
	attempts := make([]Attempt, 0, len(a.sentAt))
	for attempt := range a.sentAt {
		attempts = append(attempts, attempt)
	}
	return attempts
}

// Agent returns the agent with the given name, or nil.
func (f *Fleet) Agent(name string) *Agent { return f.agents[name] }

// Agents returns all agents in the order of their names. The caller must not modify the slice.
func (f *Fleet) Agents() []*Agent { return f.sorted }

// Pause makes Pick skip an agent for pauseDuration, or until it reports a free slot. Without a pause after a refusal,
// the same task would be sent to and refused by the same agent once per round trip.
func (f *Fleet) Pause(now clock.Millis, name string) {
	if a := f.agents[name]; a != nil {
		a.pausedUntil = now + pauseDuration
	}
}

// LoadOutdated reports whether the agent had free slots in its last load report but that report is older than maxAge,
// in ms. It returns false while a task of this entry runs there, because its end brings a new report.
func (f *Fleet) LoadOutdated(now clock.Millis, name string, maxAge clock.Millis) bool {
	a := f.agents[name]
	return a != nil && a.tasks() == 0 && now-a.reportedAt > maxAge && a.load.Running+a.load.Pending < a.hello.Slots
}

// SetLeaving marks an agent that gets no more work, because it is shutting down or has lost its connection. Join clears
// the mark.
func (f *Fleet) SetLeaving(name string) {
	if a := f.agents[name]; a != nil {
		a.leaving = true
	}
}

// SetDrained sets the failure domains that are out of service.
func (f *Fleet) SetDrained(domains map[string]bool) { f.drained = domains }

// SetDomainsVersion sets the configuration version that the entry puts into its starts.
func (f *Fleet) SetDomainsVersion(version uint64) { f.version = version }

// RequireVersion records that an agent refuses starts below a configuration version. Until the entry has that version,
// Pick skips the agent, since it would refuse every start.
func (f *Fleet) RequireVersion(name string, version uint64) {
	if a := f.agents[name]; a != nil {
		a.minVersion = max(a.minVersion, version)
	}
}

// SetHomes sets the home entry of each agent, by agent name, as returned by Homes.
func (f *Fleet) SetHomes(homes map[string]string) {
	for name, a := range f.agents {
		a.home = homes[name] == f.cfg.Entry
	}
}

// Report records the load that an agent reported. A report of a free slot ends a pause.
func (f *Fleet) Report(now clock.Millis, name string, load message.Load) {
	a := f.agents[name]
	if a == nil {
		return
	}
	a.load, a.reportedAt = load, now
	if load.Running < a.hello.Slots {
		a.pausedUntil = 0
	}
}

// Sent records an attempt whose start was sent to an agent. It adds the attempt to the agent's load, so that it counts
// before the next report.
func (f *Fleet) Sent(now clock.Millis, name string, attempt Attempt, call bool) {
	a := f.agents[name]
	if a == nil {
		return
	}
	a.sentAt[attempt] = now
	if call {
		a.calls++
		a.load.Calls++
		return
	}
	a.load.Running++
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Status message.Status
	Kind   string
	// Run is the measured run time in ms. Expected is the learned run time of the kind in ms, or 0 if there is none.
	Run      clock.Millis
	Expected clock.Millis
	// KindFault marks a failure that is blamed on the kind and not on the worker. Ended sets it.
	KindFault bool
	// sentAt is the time at which the start was sent. mayEject tells whether one more worker may be ejected.
	sentAt   clock.Millis
	mayEject bool
}

// Ended records that an attempt has ended and updates the health of the worker. It returns false if the attempt is not
// among the unfinished ones of the agent.
func (f *Fleet) Ended(now clock.Millis, name string, attempt Attempt, call bool, result AttemptResult) bool {
	a := f.agents[name]
	if a == nil {
		return false
	}
	sentAt, ok := a.sentAt[attempt]
	if !ok {
		return false
	}
	delete(a.sentAt, attempt)
	if call {
		a.calls--
	}
	result.sentAt, result.mayEject = sentAt, f.ejectionBudget() > 0
	result.KindFault = f.failingKinds.record(now, name, result)
	a.health.record(now, result)
	return true
}

// Choice is the agent chosen for a task or call.
type Choice struct {
	// Agent is the name of the agent.
	Agent string
	// Free tells whether, by the load known here, the agent has a free slot or connection. Otherwise the work has to
	// wait there.
	Free bool
}

// Pick returns the agent for the next task or call, or false if no agent can take it.
func (f *Fleet) Pick(now clock.Millis, req Requirements) (Choice, bool) {
	f.candidates = f.candidates[:0]
	budget := f.ejectionBudget()
	for i, a := range f.sorted {
		if !f.usable(now, a, req, budget) {
			continue
		}
		c := f.candidate(now, i, a, req)
		if !c.Free() && a.tasks() > 0 && !req.Call {
			// A task is sent to wait at a full agent only if no other task of this entry runs there, since the end of
			// that one would report the free slot.
			continue
		}
		f.candidates = append(f.candidates, c)
	}
	if len(f.candidates) == 0 {
		return Choice{}, false
	}
	chosen := f.candidates[f.cfg.Policy.Choose(f.candidates, f.rng.IntN)]
	return Choice{Agent: f.sorted[chosen.Index].hello.Name, Free: chosen.Free()}, true
}

// Fits reports whether the memory and cores of at least one worker are enough for the work. With no agent connected it
// returns true, because nothing is known then.
func (f *Fleet) Fits(req Requirements) bool {
	for _, a := range f.sorted {
		if req.fits(a.hello) {
			return true
		}
	}
	return len(f.sorted) == 0
}

// Capacity returns the total slots of all agents that are neither leaving nor in a drained failure domain.
func (f *Fleet) Capacity() int {
	n := 0
	for _, a := range f.sorted {
		if !a.leaving && !f.drained[a.hello.Domain] {
			n += a.hello.Slots
		}
	}
	return n
}

// usable reports whether the agent may get the work now. The budget is the result of ejectionBudget.
func (f *Fleet) usable(now clock.Millis, a *Agent, req Requirements, budget int) bool {
	if a.leaving || a.minVersion > f.version || now < a.pausedUntil || f.drained[a.hello.Domain] || !req.fits(a.hello) || a.hello.Name == req.Exclude {
		return false
	}
	if req.HasStamp != nil && !req.HasStamp(a.hello.Name) {
		return false
	}
	if req.Call {
		return a.load.Running+a.load.Calls < a.hello.Connections && a.health.allows(now, a.calls, budget)
	}
	return a.tasks() < a.load.Window && a.health.allows(now, a.tasks(), budget)
}

// candidate describes the agent with the given index to the policy.
func (f *Fleet) candidate(now clock.Millis, i int, a *Agent, req Requirements) lavendercourse.Candidate {
	c := lavendercourse.Candidate{Index: i, Home: a.home, Distance: f.distance(a)}
	if req.Call {
		c.Limit, c.Used = a.hello.Connections, a.load.Calls
		return c
	}
	c.Limit = a.hello.Slots
	// Sent has already added to Running the tasks of this entry that the last report did not count.
	c.Used = max(a.load.Running+a.load.Pending, a.tasks())
	c.Stale = a.tasks() == 0 && now-a.reportedAt > staleAfter
	return c
}

// distance returns 0 for an agent in the failure domain of the entry, 1 for one in its region and 2 for one in another
// region.
func (f *Fleet) distance(a *Agent) int {
	switch {
	case a.hello.Domain == f.cfg.Domain:
		return 0
	case a.hello.Region == f.cfg.Region:
		return 1
	default:
		return 2
	}
}
