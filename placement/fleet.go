// Package placement decides which agent gets the next task. It keeps what an entry knows of the agents it is linked
// to. It is pure.
package placement

import (
	"math/rand/v2"
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// refusalPause is the time in ms for which an agent that refused a start gets nothing.
const refusalPause = 100 * clock.Millis(1)

// staleAfter is the age in ms above which the report of an agent that runs no task of this entry says little about its
// free slots. It is about the mean run time of a task.
const staleAfter = 300 * clock.Millis(1)

// Config holds what a fleet needs to know about its entry.
type Config struct {
	// Policy chooses among the agents with room.
	Policy lavendercourse.Policy
	// Entry, Region and Domain are those of the entry.
	Entry  string
	Region string
	Domain string
	// Seed makes random choices repeatable.
	Seed uint64
}

// Attempt names one start that was sent.
type Attempt struct {
	Key     lavendercourse.TaskKey
	Attempt uint32
}

// Agent is what the entry knows of an agent.
type Agent struct {
	hello   message.Hello
	sent    map[Attempt]clock.Millis
	calls   int
	load    message.Load
	home    bool
	leaving bool
	health  health
	// paused is the time until which the agent gets nothing, after it refused a start.
	paused clock.Millis
	// reported is the time of the last report of load.
	reported clock.Millis
	// need is the configuration version without which the agent refuses starts.
	need uint64
}

// Hello returns what the agent said of itself.
func (a *Agent) Hello() message.Hello { return a.hello }

// Load returns what the agent last reported.
func (a *Agent) Load() message.Load { return a.load }

// Sent returns the number of unfinished starts of this entry.
func (a *Agent) Sent() int { return len(a.sent) }

// Health returns one of ready, trial, ejected, leaving.
func (a *Agent) Health() string {
	if a.leaving {
		return "leaving"
	}
	return a.health.String()
}

// tasks returns the number of unfinished tasks, without calls.
func (a *Agent) tasks() int { return len(a.sent) - a.calls }

// Fleet is the set of agents that an entry is linked to.
type Fleet struct {
	cfg        Config
	agents     map[string]*Agent
	order      []*Agent
	candidates []lavendercourse.Candidate
	drained    map[string]bool
	kinds      kinds
	version    uint64
	rng        *rand.Rand
}

// New returns an empty fleet.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:     cfg,
		agents:  map[string]*Agent{},
		drained: map[string]bool{},
		kinds:   kinds{},
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

// Join adds an agent, or takes note that it is linked again. It returns the attempts that an earlier incarnation of
// the agent took with it.
func (f *Fleet) Join(now clock.Millis, hello message.Hello) []Attempt {
	var lost []Attempt
	old := f.agents[hello.Name]
	if old != nil && old.hello.Incarnation == hello.Incarnation {
		old.hello, old.leaving = hello, false
		return nil
	}
	if old != nil {
		lost = f.Leave(hello.Name)
	}
	a := &Agent{hello: hello, sent: map[Attempt]clock.Millis{}, load: message.Load{Window: hello.Slots}, health: newHealth(now)}
	f.agents[hello.Name] = a
	f.order = append(f.order, a)
	sort.Slice(f.order, func(i, j int) bool { return f.order[i].hello.Name < f.order[j].hello.Name })
	return lost
}

// Leave removes an agent and returns its unfinished attempts.
func (f *Fleet) Leave(name string) []Attempt {
	a := f.agents[name]
	if a == nil {
		return nil
	}
	delete(f.agents, name)
	for i, other := range f.order {
		if other == a {
			f.order = append(f.order[:i], f.order[i+1:]...)
			break
		}
	}
	return a.Attempts()
}

// Attempts returns the unfinished starts of this entry on the agent.
func (a *Agent) Attempts() []Attempt {
	attempts := make([]Attempt, 0, len(a.sent))
	for at := range a.sent {
		attempts = append(attempts, at)
	}
	return attempts
}

// Agent returns the agent with the given name, or nil.
func (f *Fleet) Agent(name string) *Agent { return f.agents[name] }

// Agents returns all agents in the order of their names.
func (f *Fleet) Agents() []*Agent { return f.order }

// Pause keeps an agent that refused a start from getting more for a moment. Otherwise the same task would be sent to
// and refused by the same agent once every round trip.
func (f *Fleet) Pause(now clock.Millis, name string) {
	if a := f.agents[name]; a != nil {
		a.paused = now + refusalPause
	}
}

// Doubtful tells whether the free slots of an agent were reported longer ago than the given span, and no task of this
// entry is there whose end would tell of them.
func (f *Fleet) Doubtful(now clock.Millis, name string, span clock.Millis) bool {
	a := f.agents[name]
	return a != nil && a.tasks() == 0 && now-a.reported > span && a.load.Running+a.load.Pending < a.hello.Slots
}

// SetLeaving takes note that an agent takes no more work.
func (f *Fleet) SetLeaving(name string) {
	if a := f.agents[name]; a != nil {
		a.leaving = true
	}
}

// SetDrained sets the failure domains that are out of service.
func (f *Fleet) SetDrained(domains map[string]bool) { f.drained = domains }

// SetVersion sets the configuration version that starts will carry.
func (f *Fleet) SetVersion(version uint64) { f.version = version }

// Need takes note that an agent refuses starts below a configuration version. Until the entry has that version, every
// start would be refused, so none is sent.
func (f *Fleet) Need(name string, version uint64) {
	if a := f.agents[name]; a != nil {
		a.need = max(a.need, version)
	}
}

// SetHomes sets the agents that prefer this entry.
func (f *Fleet) SetHomes(homes map[string]string) {
	for name, a := range f.agents {
		a.home = homes[name] == f.cfg.Entry
	}
}

// Report takes note of the load that an agent told.
func (f *Fleet) Report(now clock.Millis, name string, load message.Load) {
	a := f.agents[name]
	if a == nil {
		return
	}
	a.load, a.reported = load, now
	if load.Running < a.hello.Slots {
		a.paused = 0
	}
}

// Sent counts a start that was sent.
func (f *Fleet) Sent(now clock.Millis, name string, at Attempt, call bool) {
	a := f.agents[name]
	if a == nil {
		return
	}
	a.sent[at] = now
	if call {
		a.calls++
		a.load.Calls++
		return
	}
	a.load.Running++
}

// Ending tells how a start ended.
type Ending struct {
	Status message.Status
	Kind   string
	// Run is the run time in ms, and Expected the learned run time of the kind or 0.
	Run      clock.Millis
	Expected clock.Millis
	// Excused is set by the fleet for a failure that is the kind's and not the worker's.
	Excused bool
	// sent is the time at which the start was sent, and room tells whether one more worker may be ejected.
	sent clock.Millis
	room bool
}

// Ended counts a start that has ended. It returns false for one that is not counted.
func (f *Fleet) Ended(now clock.Millis, name string, at Attempt, call bool, e Ending) bool {
	a := f.agents[name]
	if a == nil {
		return false
	}
	sent, ok := a.sent[at]
	if !ok {
		return false
	}
	delete(a.sent, at)
	if call {
		a.calls--
	}
	e.sent, e.room = sent, f.ejectable() > 0
	e.Excused = f.kinds.ended(now, name, e)
	a.health.ended(now, e)
	return true
}

// Choice is the agent for a task or call.
type Choice struct {
	Agent string
	// Free tells whether the agent is believed to have a free slot or connection. Otherwise the work has to wait there.
	Free bool
}

// Pick returns the agent for the next task or call, or false if none has room.
func (f *Fleet) Pick(now clock.Millis, want Want) (Choice, bool) {
	f.candidates = f.candidates[:0]
	bound := f.ejectable()
	for i, a := range f.order {
		if !f.usable(now, a, want, bound) {
			continue
		}
		c := f.candidate(now, i, a, want)
		if !c.Free() && a.tasks() > 0 && !want.Call {
			// A task waits at an agent only where no other task of this entry would tell of a free slot.
			continue
		}
		f.candidates = append(f.candidates, c)
	}
	if len(f.candidates) == 0 {
		return Choice{}, false
	}
	chosen := f.candidates[f.cfg.Policy.Choose(f.candidates, f.rng.IntN)]
	return Choice{Agent: f.order[chosen.Index].hello.Name, Free: chosen.Free()}, true
}

// Fits tells whether any known worker could ever run the work.
func (f *Fleet) Fits(want Want) bool {
	for _, a := range f.order {
		if want.fits(a.hello) {
			return true
		}
	}
	return len(f.order) == 0
}

// Capacity returns the slots of all agents that are in service.
func (f *Fleet) Capacity() int {
	n := 0
	for _, a := range f.order {
		if !a.leaving && !f.drained[a.hello.Domain] {
			n += a.hello.Slots
		}
	}
	return n
}

func (f *Fleet) usable(now clock.Millis, a *Agent, want Want, bound int) bool {
	if a.leaving || a.need > f.version || now < a.paused || f.drained[a.hello.Domain] || !want.fits(a.hello) || a.hello.Name == want.Avoid {
		return false
	}
	if want.Stamped != nil && !want.Stamped(a.hello.Name) {
		return false
	}
	if want.Call {
		return a.load.Running+a.load.Calls < a.hello.Connections && a.health.open(now, a.calls, bound)
	}
	return a.tasks() < a.load.Window && a.health.open(now, a.tasks(), bound)
}

func (f *Fleet) candidate(now clock.Millis, i int, a *Agent, want Want) lavendercourse.Candidate {
	c := lavendercourse.Candidate{Index: i, Home: a.home, Near: f.near(a)}
	if want.Call {
		c.Limit, c.Used = a.hello.Connections, a.load.Calls
		return c
	}
	c.Limit = a.hello.Slots
	// Tasks of this entry that the last report did not count yet are in Running already, see Sent.
	c.Used = max(a.load.Running+a.load.Pending, a.tasks())
	c.Stale = a.tasks() == 0 && now-a.reported > staleAfter
	return c
}

func (f *Fleet) near(a *Agent) int {
	switch {
	case a.hello.Domain == f.cfg.Domain:
		return 0
	case a.hello.Region == f.cfg.Region:
		return 1
	default:
		return 2
	}
}
