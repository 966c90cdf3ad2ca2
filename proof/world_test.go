// Package proof drives the decision packages together over a simulated network and checks the promises of the design
// page at every step.
package proof

import (
	"fmt"
	"math/bits"
	"slices"

	"pgregory.net/rapid"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/slot"
)

// The spans are shorter than the defaults but keep their order: the memory of an agent outlasts the lifetime of a job.
const (
	lifetime    = 30 * clock.Second
	keep        = 10 * clock.Second
	memory      = lifetime + 30*clock.Second
	validity    = slot.DefaultStampValidity
	gone        = 10 * clock.Second
	slots       = 2
	connections = 3
)

// variant is a deliberately broken rule. The sound variant has none.
type variant string

const (
	sound variant = "sound"
	// wiped: an agent forgets its tasks and keeps its incarnation.
	wiped variant = "wiped memory"
	// lax: an agent accepts a start of any age.
	lax variant = "no validity"
	// moved: an owner moves a task whose link broke without asking the agent.
	moved variant = "moved without an answer"
	// overbooked: an agent takes one task more than it has slots.
	overbooked variant = "one slot too many"
	// overcalled: an agent takes one call more than it has connections.
	overcalled variant = "one connection too many"
	// hollow: an owner counts a failed task as done.
	hollow variant = "failed task counted as done"
	// denied: an owner says of every failed job that nothing ran.
	denied variant = "failed job said not to have run"
	// hoarding: an agent never forgets.
	hoarding variant = "agent never forgets"
	// amnesic: an owner keeps an ended job for a shorter time than its id may be submitted.
	amnesic variant = "id free again"
	// lenient: an agent keeps the tasks of an owner that does not renew them.
	lenient variant = "lease never ends"
	// blind: an owner places tasks in drained failure domains.
	blind variant = "drain ignored"
)

type packet struct {
	owner, agent int
	toAgent      bool
	generation   int
	incarnation  lavendercourse.Incarnation
	body         any
}

type stamped struct{ received, stamp clock.Millis }

// connection is an owner's side of a link to an agent.
type connection struct {
	up          bool
	generation  int
	incarnation lavendercourse.Incarnation
	lost        clock.Millis
	stamps      []stamped
}

type owner struct {
	index, lives int
	offset       clock.Millis
	paused       bool
	table        *job.Table
	live         []*job.Job
	flights      map[placement.Attempt]int
	links        []connection
	confirmed    clock.Millis
	version      uint64
	drained      map[int]bool
}

type agent struct {
	index, lives int
	offset       clock.Millis
	incarnation  lavendercourse.Incarnation
	table        *slot.Table
	running      map[lavendercourse.TaskKey]bool
	order        []lavendercourse.TaskKey
	calls        int
	left         bool
	halted       map[lavendercourse.TaskKey]bool
	// renewed is the time at which each owner was heard last.
	renewed map[lavendercourse.Incarnation]clock.Millis
}

type submission struct {
	owner  int
	id     lavendercourse.JobID
	spec   job.Spec
	claims bool
}

// world is a number of owners and agents, the packets between them, and what an observer of everything has seen.
type world struct {
	t       *rapid.T
	broken  variant
	now     clock.Millis
	owners  []*owner
	agents  []*agent
	net     []packet
	drained map[int]clock.Millis
	version uint64
	runs    map[lavendercourse.TaskKey]int
	ran     map[lavendercourse.JobID]int
	starts  map[string]message.Start
	jobs    []*submission
	known   map[lavendercourse.JobID]*submission
	err     error
}

func newWorld(t *rapid.T, broken variant) *world {
	w := &world{
		t: t, broken: broken, now: 100 * clock.Second, drained: map[int]clock.Millis{},
		runs: map[lavendercourse.TaskKey]int{}, ran: map[lavendercourse.JobID]int{},
		starts: map[string]message.Start{}, known: map[lavendercourse.JobID]*submission{},
	}
	agents := 2 + w.pick("agents", 2)
	for i := range 1 + w.pick("owners", 2) {
		o := &owner{index: i, offset: clock.Millis(w.pick("offset", 50_000)), links: make([]connection, agents)}
		w.owners = append(w.owners, o)
		w.rebirth(o)
	}
	for i := range agents {
		a := &agent{index: i, offset: clock.Millis(w.pick("offset", 50_000))}
		w.agents = append(w.agents, a)
		w.restart(a)
		for _, o := range w.owners {
			w.connect(o, a)
		}
	}
	return w
}

// pick returns 0 to n-1. Small ranges are drawn bit by bit, because rapid prefers the low end of an IntRange and would
// hardly ever choose the later kinds of step.
func (w *world) pick(label string, n int) int {
	if n > 64 {
		return rapid.IntRange(0, n-1).Draw(w.t, label)
	}
	value := 0
	for range bits.Len(uint(n-1)) + 2 {
		value <<= 1
		if rapid.Bool().Draw(w.t, label) {
			value++
		}
	}
	return value % n
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// rebirth gives an owner a new incarnation with an empty table.
func (w *world) rebirth(o *owner) {
	o.lives++
	cfg := job.Config{
		Incarnation:        lavendercourse.Incarnation(fmt.Sprintf("owner%dlife%d", o.index, o.lives)),
		ReservationTimeout: keep, Lifetime: lifetime, Retention: keep / 2, MaxResultBytes: 200,
	}
	o.table, o.live, o.flights, o.drained = job.New(cfg), nil, map[placement.Attempt]int{}, map[int]bool{}
	w.confirm(o)
}

// restart gives an agent a new incarnation with an empty table.
func (w *world) restart(a *agent) {
	a.lives++
	a.incarnation = lavendercourse.Incarnation(fmt.Sprintf("agent%dlife%d", a.index, a.lives))
	a.table, a.running, a.order, a.calls, a.left = w.newSlots(a), map[lavendercourse.TaskKey]bool{}, nil, 0, false
	a.halted, a.renewed = map[lavendercourse.TaskKey]bool{}, map[lavendercourse.Incarnation]clock.Millis{}
	for _, o := range w.owners {
		w.cut(o, a)
	}
}

func (w *world) newSlots(a *agent) *slot.Table {
	cfg := slot.Config{Incarnation: a.incarnation, Slots: slots, Connections: connections, Retention: memory, ResultRetention: 5 * clock.Second, MaxResultBytes: 60}
	switch w.broken {
	case lax:
		cfg.StampValidity = clock.Minute
	case lenient:
		cfg.Lease = memory
	case overbooked:
		cfg.Slots++
	case overcalled:
		cfg.Connections++
	}
	return slot.New(cfg)
}

func (w *world) ownerTime(o *owner) clock.Millis { return w.now + o.offset }
func (w *world) agentTime(a *agent) clock.Millis { return w.now + a.offset }

func (w *world) send(o *owner, a *agent, toAgent bool, body any) {
	if l := o.links[a.index]; l.up {
		w.net = append(w.net, packet{o.index, a.index, toAgent, l.generation, a.incarnation, body})
	}
}

// cut breaks a link. Packets that are under way to the owner are lost with it; those to the agent may still arrive.
func (w *world) cut(o *owner, a *agent) {
	if l := &o.links[a.index]; l.up {
		l.up, l.lost = false, w.ownerTime(o)
		a.table.LinkClosed(o.name())
	}
}

func (o *owner) name() string { return fmt.Sprintf("owner%d", o.index) }
func (a *agent) name() string { return fmt.Sprintf("agent%d", a.index) }

// connect makes a link and does what an entry does when an agent says hello.
func (w *world) connect(o *owner, a *agent) {
	l := &o.links[a.index]
	if l.up || o.paused {
		return
	}
	old := l.incarnation
	l.up, l.incarnation, l.stamps = true, a.incarnation, nil
	l.generation++
	attempts := o.sentTo(a.index)
	if old != a.incarnation {
		w.abandon(o, a.index, message.StatusUnknown)
		return
	}
	if w.broken == moved {
		w.abandon(o, a.index, message.StatusRefused)
		return
	}
	var tasks []message.Task
	for _, at := range attempts {
		tasks = append(tasks, message.Task{Job: at.Key.Job().String(), Task: at.Key.Task(), Attempt: at.Attempt})
	}
	w.send(o, a, true, message.Resume{Tasks: tasks})
}

func (o *owner) sentTo(index int) []placement.Attempt {
	var attempts []placement.Attempt
	for at, agent := range o.flights {
		if agent == index {
			attempts = append(attempts, at)
		}
	}
	slices.SortFunc(attempts, func(a, b placement.Attempt) int {
		return slices.Compare([]byte(a.Key.String()), []byte(b.Key.String()))
	})
	return attempts
}

func (w *world) abandon(o *owner, index int, status message.Status) {
	for _, at := range o.sentTo(index) {
		w.landed(o, w.agents[index], at, message.Done{Status: status})
	}
}

// confirm tells an owner the newest configuration.
func (w *world) confirm(o *owner) {
	o.confirmed, o.version, o.drained = w.ownerTime(o), w.version, map[int]bool{}
	for d := range w.drained {
		o.drained[d] = true
	}
}

func (w *world) submit(o *owner) {
	ids, err := o.table.Reserve(w.ownerTime(o), 1)
	if err != nil {
		return
	}
	s := &submission{owner: o.index, id: ids[0], spec: job.Spec{Call: w.pick("call", 3) == 0, Digest: uint64(len(w.jobs))}}
	tasks := 1
	if !s.spec.Call {
		tasks += w.pick("tasks", 4)
	}
	s.spec.Tasks = make([]job.Task, tasks)
	if w.pick("deadline", 6) == 0 {
		s.spec.Deadline = w.ownerTime(o) + clock.Millis(w.pick("span", int(lifetime)))
	}
	w.jobs = append(w.jobs, s)
	w.known[s.id] = s
	w.resubmit(s)
}

// resubmit sends a submission, possibly again.
func (w *world) resubmit(s *submission) {
	o := w.owners[s.owner]
	if o.paused {
		return
	}
	j, verdict, err := o.table.Check(w.ownerTime(o), s.id, s.spec.Digest)
	switch {
	case err != nil || verdict != nil:
	case j == nil:
		o.live = append(o.live, o.table.Add(w.ownerTime(o), s.id, s.spec))
	case j.Ended():
		w.judge(j)
	}
	if w.broken == amnesic && j != nil && j.Ended() {
		o.live = append(o.live, o.table.Add(w.ownerTime(o), s.id, s.spec))
	}
}

// place sends the next task of a job to an agent.
func (w *world) place(o *owner, j *job.Job, a *agent) {
	l := &o.links[a.index]
	if o.paused || !l.up || (o.drained[a.index%2] && w.broken != blind) || w.ownerTime(o)-o.confirmed > 2*clock.Second {
		return
	}
	stamp := clock.Millis(-1)
	for _, s := range l.stamps {
		if s.received <= o.confirmed {
			stamp = s.stamp
		}
	}
	if stamp < 0 {
		return
	}
	as, ok := o.table.Take(w.ownerTime(o), j, a.name())
	if !ok {
		return
	}
	o.flights[placement.Attempt{Key: as.Key, Attempt: as.Attempt}] = a.index
	payload := fmt.Sprintf("%s#%d", as.Key, as.Attempt)
	s := message.Start{
		Job: as.Key.Job().String(), Task: as.Key.Task(), Attempt: as.Attempt, Call: j.Spec().Call, Class: 1,
		Payload: []byte(payload), Stamp: stamp, Agent: string(l.incarnation), Version: o.version, Backlog: w.pick("backlog", 3), Wait: w.pick("wait", 2) == 0,
	}
	w.starts[payload] = s
	w.send(o, a, true, s)
}

func (w *world) beat(a *agent) {
	for _, o := range w.owners {
		load := a.table.Load(o.name())
		load.Stamp = w.agentTime(a)
		w.send(o, a, false, load)
	}
}

// deliver hands one packet to its receiver.
func (w *world) deliver(p packet) {
	o, a := w.owners[p.owner], w.agents[p.agent]
	if p.toAgent {
		w.toAgent(o, a, p)
		return
	}
	l := &o.links[p.agent]
	if !l.up || l.generation != p.generation {
		return
	}
	switch m := p.body.(type) {
	case message.Load:
		l.stamps = append(l.stamps, stamped{w.ownerTime(o), m.Stamp})
		w.send(o, a, true, message.Renew{Incarnation: string(o.table.Incarnation()), Version: o.version})
	case message.Done:
		id, err := lavendercourse.ParseJobID(m.Job)
		if err != nil {
			w.fail("done with job id %q", m.Job)
			return
		}
		w.landed(o, a, placement.Attempt{Key: lavendercourse.NewTaskKey(id, m.Task), Attempt: m.Attempt}, m)
	}
}

func (w *world) toAgent(o *owner, a *agent, p packet) {
	now, name := w.agentTime(a), o.name()
	var actions []slot.Action
	var err error
	if s, ok := p.body.(message.Start); ok {
		id, _ := lavendercourse.ParseJobID(s.Job)
		a.renewed[id.Incarnation()] = now
		actions, err = a.table.Start(now, name, s)
	} else if p.incarnation == a.incarnation {
		switch m := p.body.(type) {
		case message.Stop:
			actions, err = a.table.Stop(now, name, m.Tasks)
		case message.Resume:
			actions, err = a.table.Resume(now, name, m.Tasks)
		case message.Renew:
			a.renewed[lavendercourse.Incarnation(m.Incarnation)] = now
			a.table.Renew(now, name, lavendercourse.Incarnation(m.Incarnation), m)
		}
	}
	if err != nil {
		w.fail("agent: %v", err)
	}
	w.perform(a, actions)
	if !o.links[a.index].up {
		a.table.LinkClosed(name)
	}
}

func (w *world) landed(o *owner, a *agent, at placement.Attempt, d message.Done) {
	if index, ok := o.flights[at]; ok && index == a.index {
		delete(o.flights, at)
	}
	now, name := w.ownerTime(o), a.name()
	switch {
	case d.Status == message.StatusRefused:
		o.table.TaskRefused(at.Key, name, at.Attempt)
	case d.Status == message.StatusDone || (w.broken == hollow && d.Status == message.StatusFailed):
		o.table.TaskDone(now, at.Key, name, at.Attempt, d.Result)
	default:
		o.table.TaskFailed(now, at.Key, name, at.Attempt, lavendercourse.ReasonWorker, "not done")
	}
	w.settle(o)
}

// settle judges the jobs that have ended and sends the stops.
func (w *world) settle(o *owner) {
	for _, j := range o.table.TakeEnded() {
		w.judge(j)
		o.live = slices.DeleteFunc(o.live, func(other *job.Job) bool { return other == j })
	}
	for _, s := range o.table.TakeStops() {
		var index int
		_, _ = fmt.Sscanf(s.Agent, "agent%d", &index)
		w.send(o, w.agents[index], true, message.Stop{Tasks: []message.Task{
			{Job: s.Key.Job().String(), Task: s.Key.Task(), Attempt: s.Attempt},
		}})
	}
}

// judge checks what an owner says of an ended job.
func (w *world) judge(j *job.Job) {
	v, results, s := j.Verdict(), j.Results(), w.known[j.ID()]
	if w.broken == denied && v.Outcome == lavendercourse.OutcomeFailed {
		v.MayHaveRun = false
	}
	switch v.Outcome {
	case lavendercourse.OutcomeComplete:
		if len(results) != len(s.spec.Tasks) {
			w.fail("job %s is complete with %d of %d results", s.id, len(results), len(s.spec.Tasks))
		}
		for i, r := range results {
			if string(r) != lavendercourse.NewTaskKey(s.id, uint32(i)).String() {
				w.fail("job %s is complete but result %d is %q", s.id, i, r)
			}
		}
	case lavendercourse.OutcomeFailed, lavendercourse.OutcomeRefused, lavendercourse.OutcomeUnknown:
		if results != nil {
			w.fail("job %s has outcome %d and results", s.id, v.Outcome)
		}
	default:
		w.fail("job %s ended with outcome %d", s.id, v.Outcome)
	}
	if v.Outcome == lavendercourse.OutcomeRefused || (v.Outcome == lavendercourse.OutcomeFailed && !v.MayHaveRun) {
		s.claims = true
		if w.ran[s.id] > 0 {
			w.fail("job %s is said not to have run, but %d tasks ran", s.id, w.ran[s.id])
		}
	}
}

func (w *world) perform(a *agent, actions []slot.Action) {
	for _, action := range actions {
		switch v := action.(type) {
		case slot.Run:
			w.begin(a, v)
		case slot.Halt:
			if _, ok := a.running[v.Key]; !ok {
				w.fail("agent stops %s, which does not run", v.Key)
			}
			a.halted[v.Key] = true
		case slot.Reply:
			for _, o := range w.owners {
				if o.name() == v.Entry {
					w.send(o, a, false, v.Done)
				}
			}
		}
	}
}

// begin checks that a task may start.
func (w *world) begin(a *agent, r slot.Run) {
	s, now := w.starts[string(r.Payload)], w.agentTime(a)
	w.runs[r.Key]++
	w.ran[r.Key.Job()]++
	a.running[r.Key] = r.Call
	a.order = append(a.order, r.Key)
	if r.Call {
		a.calls++
	}
	if w.runs[r.Key] > 1 {
		w.fail("%s runs for the second time", r.Key)
	}
	if known := w.known[r.Key.Job()]; known.claims {
		w.fail("%s runs although its job is said not to have run", r.Key)
	}
	if since, ok := w.drained[a.index%2]; ok && w.now-since > validity {
		w.fail("%s starts %d ms after its failure domain was drained", r.Key, w.now-since)
	}
	if now-s.Stamp > validity {
		w.fail("%s starts with a stamp that is %d ms old", r.Key, now-s.Stamp)
	}
	if s.Agent != string(a.incarnation) {
		w.fail("%s was meant for %s and runs on %s", r.Key, s.Agent, a.incarnation)
	}
	if tasks := len(a.running) - a.calls; tasks > slots {
		w.fail("%d tasks run on %d slots", tasks, slots)
	}
	if len(a.running) > connections {
		w.fail("%d tasks and calls run on %d connections", len(a.running), connections)
	}
}

// finish ends the work that an agent runs longest, or another one.
func (w *world) finish(a *agent, index int, status message.Status) {
	key := a.order[index]
	a.order = slices.Delete(a.order, index, index+1)
	if a.running[key] {
		a.calls--
	}
	delete(a.running, key)
	var result []byte
	if status == message.StatusDone {
		result = []byte(key.String())
	}
	w.perform(a, a.table.TaskEnded(w.agentTime(a), key, status, result, ""))
}

// advance moves all clocks and does what is due.
func (w *world) advance(span clock.Millis) {
	w.now += span
	for _, a := range w.agents {
		if w.broken == wiped && w.pick("wipe", 4) == 0 {
			a.table = w.newSlots(a)
		}
		if w.broken != hoarding {
			w.perform(a, a.table.Expire(w.agentTime(a)))
			w.checkLeases(a)
		}
	}
	for _, o := range w.owners {
		w.tick(o)
	}
}

// checkLeases checks that what was not renewed for too long is being stopped.
func (w *world) checkLeases(a *agent) {
	for _, key := range a.order {
		age := w.agentTime(a) - a.renewed[key.Job().Incarnation()]
		if age > slot.DefaultLease && !a.halted[key] {
			w.fail("%s is not stopped after %d ms without its owner", key, age)
		}
	}
}

func (w *world) tick(o *owner) {
	if o.paused {
		return
	}
	now := w.ownerTime(o)
	o.table.Expire(now)
	w.settle(o)
	for i := range o.links {
		if l := &o.links[i]; !l.up && now-l.lost > gone {
			w.abandon(o, i, message.StatusUnknown)
		}
	}
}
