// Package proof runs the packages job and slot together over a simulated network, with injected faults, and checks the
// guarantees of the design page at every step.
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

// Durations in ms, and limits of each agent. The durations are shorter than the defaults but keep their order: an agent
// remembers a task for longer than the lifetime of its job.
const (
	jobLifetime         = 30 * clock.Second
	reservationTimeout  = 10 * clock.Second
	agentRetention      = jobLifetime + 30*clock.Second
	stampValidity       = slot.DefaultStampValidity
	lostLinkTimeout     = 10 * clock.Second
	slotsPerAgent       = 2
	connectionsPerAgent = 3
)

// rule is a rule of the protocol that a simulation violates on purpose.
type rule string

const (
	// ruleNone: no rule is violated.
	ruleNone rule = "none"
	// ruleTaskRetention: an agent forgets its tasks and keeps its incarnation.
	ruleTaskRetention rule = "agent remembers its tasks"
	// ruleStampValidity: an agent accepts a start of any age.
	ruleStampValidity rule = "agent refuses old stamps"
	// ruleAskBeforeRetry: when a link was lost, an owner moves its tasks to other agents without asking the agent.
	ruleAskBeforeRetry rule = "owner asks before a retry"
	// ruleSlotLimit: an agent accepts one task more than it has slots.
	ruleSlotLimit rule = "tasks fit the slots"
	// ruleConnectionLimit: an agent accepts one task or call more than it has connections.
	ruleConnectionLimit rule = "tasks and calls fit the connections"
	// ruleFailedNotDone: an owner counts a failed task as done.
	ruleFailedNotDone rule = "failed task is not done"
	// ruleReportRuns: an owner reports for every failed job that no task ran.
	ruleReportRuns rule = "owner reports that tasks ran"
	// ruleExpireRecords: an agent never removes records.
	ruleExpireRecords rule = "agent removes expired records"
	// ruleJobRetention: an owner forgets an ended job while its id can still be submitted, and adds the job again.
	ruleJobRetention rule = "owner remembers ended jobs"
	// ruleLeaseExpiry: an agent keeps running the tasks of an owner that does not renew its lease.
	ruleLeaseExpiry rule = "agent stops tasks without a lease"
	// ruleDrainedDomains: an owner assigns tasks to agents in drained failure domains.
	ruleDrainedDomains rule = "owner avoids drained domains"
)

// packet is a message in flight between an owner and an agent.
type packet struct {
	// owner and agent are indexes.
	owner, agent int
	toAgent      bool
	// generation is that of the link. A packet to the owner is lost if the link was replaced.
	generation int
	// incarnation is that of the agent when the packet was sent.
	incarnation lavendercourse.Incarnation
	body        any
}

// receivedStamp is the stamp of a heartbeat, in ms of the agent's clock, and when it was received, in ms of the owner's
// clock.
type receivedStamp struct{ receivedAt, stamp clock.Millis }

// connection is an owner's side of a link to an agent.
type connection struct {
	up          bool
	generation  int
	incarnation lavendercourse.Incarnation
	// lostAt is the time at which the link was lost, in ms of the owner's clock.
	lostAt clock.Millis
	// stamps are those received over the current link, oldest first.
	stamps []receivedStamp
}

// owner simulates an entry that owns jobs.
type owner struct {
	// incarnations counts the incarnations so far, the current one included.
	index, incarnations int
	// clockOffset is that of the owner's clock from the time of the simulation, in ms.
	clockOffset clock.Millis
	// paused is true while the process does not run, as during a VM pause.
	paused   bool
	table    *job.Table
	liveJobs []*job.Job
	// unfinished maps each unfinished attempt to the index of its agent.
	unfinished map[placement.Attempt]int
	// links has one element for each agent.
	links []connection
	// confirmedAt is the time at which the configuration was confirmed last, in ms of the owner's clock.
	confirmedAt    clock.Millis
	configVersion  uint64
	drainedDomains map[int]bool
}

// agent simulates an agent with its worker. Its failure domain is its index modulo 2.
type agent struct {
	index, incarnations int
	// clockOffset is that of the agent's clock from the time of the simulation, in ms.
	clockOffset clock.Millis
	incarnation lavendercourse.Incarnation
	table       *slot.Table
	// running has the running tasks and calls. The value is true for a call.
	running map[lavendercourse.TaskKey]bool
	// startOrder has the keys of running, in the order in which they started.
	startOrder   []lavendercourse.TaskKey
	runningCalls int
	// leaving is true once the agent refuses new work, until it restarts.
	leaving bool
	// stopped has the keys of the runs that the agent has ordered to stop.
	stopped map[lavendercourse.TaskKey]bool
	// lastRenewal is the time of the last message that renewed the lease of each owner, in ms of the agent's clock.
	lastRenewal map[lavendercourse.Incarnation]clock.Millis
}

// submission is a job as its caller submits it.
type submission struct {
	// owner is an index.
	owner int
	id    lavendercourse.JobID
	spec  job.Spec
	// reportedNotRun is true once the owner has answered that no task of the job ran.
	reportedNotRun bool
}

// simulation has the state of all owners and agents, the packets in flight, and the record of all runs that the checks
// use.
type simulation struct {
	t        *rapid.T
	violated rule
	// now is the time of the simulation, in ms.
	now      clock.Millis
	owners   []*owner
	agents   []*agent
	inFlight []packet
	// drainedDomains maps each drained failure domain to the time at which it was drained, in ms.
	drainedDomains map[int]clock.Millis
	configVersion  uint64
	// taskRuns and jobRuns count the runs started for each task and each job.
	taskRuns map[lavendercourse.TaskKey]int
	jobRuns  map[lavendercourse.JobID]int
	// startByPayload maps the payload of each start, which names the attempt, to the start.
	startByPayload map[string]message.Start
	submissions    []*submission
	submitted      map[lavendercourse.JobID]*submission
	// err is the first violated guarantee.
	err error
}

func newSimulation(t *rapid.T, violated rule) *simulation {
	sim := &simulation{
		t: t, violated: violated, now: 100 * clock.Second, drainedDomains: map[int]clock.Millis{},
		taskRuns: map[lavendercourse.TaskKey]int{}, jobRuns: map[lavendercourse.JobID]int{},
		startByPayload: map[string]message.Start{}, submitted: map[lavendercourse.JobID]*submission{},
	}
	agents := 2 + sim.pick("agents", 2)
	for i := range 1 + sim.pick("owners", 2) {
		o := &owner{index: i, clockOffset: clock.Millis(sim.pick("offset", 50_000)), links: make([]connection, agents)}
		sim.owners = append(sim.owners, o)
		sim.restartOwner(o)
	}
	for i := range agents {
		a := &agent{index: i, clockOffset: clock.Millis(sim.pick("offset", 50_000))}
		sim.agents = append(sim.agents, a)
		sim.restartAgent(a)
		for _, o := range sim.owners {
			sim.connect(o, a)
		}
	}
	return sim
}

// pick draws a number from 0 to n-1. Small ranges are drawn bit by bit, because rapid prefers the low end of an
// IntRange and would hardly ever choose the later kinds of step.
func (sim *simulation) pick(label string, n int) int {
	if n > 64 {
		return rapid.IntRange(0, n-1).Draw(sim.t, label)
	}
	value := 0
	for range bits.Len(uint(n-1)) + 2 {
		value <<= 1
		if rapid.Bool().Draw(sim.t, label) {
			value++
		}
	}
	return value % n
}

// fail records a violated guarantee. Only the first one is kept.
func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

// restartOwner gives an owner a new incarnation with an empty table.
func (sim *simulation) restartOwner(o *owner) {
	o.incarnations++
	cfg := job.Config{
		Incarnation:        lavendercourse.Incarnation(fmt.Sprintf("owner%dlife%d", o.index, o.incarnations)),
		ReservationTimeout: reservationTimeout, Lifetime: jobLifetime, Retention: reservationTimeout / 2, MaxResultBytes: 200,
	}
	o.table, o.liveJobs, o.unfinished, o.drainedDomains = job.New(cfg), nil, map[placement.Attempt]int{}, map[int]bool{}
	sim.confirmConfig(o)
}

// restartAgent gives an agent a new incarnation with an empty table and closes its links.
func (sim *simulation) restartAgent(a *agent) {
	a.incarnations++
	a.incarnation = lavendercourse.Incarnation(fmt.Sprintf("agent%dlife%d", a.index, a.incarnations))
	a.table, a.running, a.startOrder, a.runningCalls, a.leaving = sim.newSlotTable(a), map[lavendercourse.TaskKey]bool{}, nil, 0, false
	a.stopped, a.lastRenewal = map[lavendercourse.TaskKey]bool{}, map[lavendercourse.Incarnation]clock.Millis{}
	for _, o := range sim.owners {
		sim.disconnect(o, a)
	}
}

// newSlotTable returns an empty table for an agent, with the limits changed by the violated rule.
func (sim *simulation) newSlotTable(a *agent) *slot.Table {
	cfg := slot.Config{Incarnation: a.incarnation, Slots: slotsPerAgent, Connections: connectionsPerAgent, RecordRetention: agentRetention, ResultRetention: 5 * clock.Second, MaxResultBytes: 60}
	switch sim.violated {
	case ruleStampValidity:
		cfg.StampValidity = clock.Minute
	case ruleLeaseExpiry:
		cfg.Lease = agentRetention
	case ruleSlotLimit:
		cfg.Slots++
	case ruleConnectionLimit:
		cfg.Connections++
	}
	return slot.New(cfg)
}

func (sim *simulation) ownerTime(o *owner) clock.Millis { return sim.now + o.clockOffset }
func (sim *simulation) agentTime(a *agent) clock.Millis { return sim.now + a.clockOffset }

// send puts a message in flight if the link is up.
func (sim *simulation) send(o *owner, a *agent, toAgent bool, body any) {
	if l := o.links[a.index]; l.up {
		sim.inFlight = append(sim.inFlight, packet{o.index, a.index, toAgent, l.generation, a.incarnation, body})
	}
}

// disconnect closes a link. Packets in flight to the owner are lost with it; those to the agent may still arrive.
func (sim *simulation) disconnect(o *owner, a *agent) {
	if l := &o.links[a.index]; l.up {
		l.up, l.lostAt = false, sim.ownerTime(o)
		a.table.LinkClosed(o.name())
	}
}

func (o *owner) name() string { return fmt.Sprintf("owner%d", o.index) }
func (a *agent) name() string { return fmt.Sprintf("agent%d", a.index) }

// connect opens a link and handles it as an entry does when an agent sends hello: attempts sent to an earlier
// incarnation end with status unknown, and those of the same incarnation are resumed.
func (sim *simulation) connect(o *owner, a *agent) {
	l := &o.links[a.index]
	if l.up || o.paused {
		return
	}
	old := l.incarnation
	l.up, l.incarnation, l.stamps = true, a.incarnation, nil
	l.generation++
	attempts := o.unfinishedOn(a.index)
	if old != a.incarnation {
		sim.endAttempts(o, a.index, message.StatusUnknown)
		return
	}
	if sim.violated == ruleAskBeforeRetry {
		sim.endAttempts(o, a.index, message.StatusRefused)
		return
	}
	var tasks []message.Task
	for _, attempt := range attempts {
		tasks = append(tasks, message.Task{Job: attempt.Key.Job().String(), Task: attempt.Key.Task(), Attempt: attempt.Attempt})
	}
	sim.send(o, a, true, message.Resume{Tasks: tasks})
}

// unfinishedOn returns the unfinished attempts on the agent with this index, in a fixed order.
func (o *owner) unfinishedOn(index int) []placement.Attempt {
	var attempts []placement.Attempt
	for attempt, agent := range o.unfinished {
		if agent == index {
			attempts = append(attempts, attempt)
		}
	}
	slices.SortFunc(attempts, func(a, b placement.Attempt) int {
		return slices.Compare([]byte(a.Key.String()), []byte(b.Key.String()))
	})
	return attempts
}

// endAttempts ends all unfinished attempts on an agent with a status, without a message from the agent.
func (sim *simulation) endAttempts(o *owner, index int, status message.Status) {
	for _, attempt := range o.unfinishedOn(index) {
		sim.handleDone(o, sim.agents[index], attempt, message.Done{Status: status})
	}
}

// confirmConfig updates an owner to the latest configuration and records the time.
func (sim *simulation) confirmConfig(o *owner) {
	o.confirmedAt, o.configVersion, o.drainedDomains = sim.ownerTime(o), sim.configVersion, map[int]bool{}
	for d := range sim.drainedDomains {
		o.drainedDomains[d] = true
	}
}

// submit reserves an id and submits a random job under it.
func (sim *simulation) submit(o *owner) {
	ids, err := o.table.Reserve(sim.ownerTime(o), 1)
	if err != nil {
		return
	}
	s := &submission{owner: o.index, id: ids[0], spec: job.Spec{Call: sim.pick("call", 3) == 0, Digest: uint64(len(sim.submissions))}}
	tasks := 1
	if !s.spec.Call {
		tasks += sim.pick("tasks", 4)
	}
	s.spec.Tasks = make([]job.Task, tasks)
	if sim.pick("deadline", 6) == 0 {
		s.spec.Deadline = sim.ownerTime(o) + clock.Millis(sim.pick("time to deadline", int(jobLifetime)))
	}
	sim.submissions = append(sim.submissions, s)
	sim.submitted[s.id] = s
	sim.sendSubmission(s)
}

// sendSubmission sends a submission, for the first time or again.
func (sim *simulation) sendSubmission(s *submission) {
	o := sim.owners[s.owner]
	if o.paused {
		return
	}
	j, verdict, err := o.table.Check(sim.ownerTime(o), s.id, s.spec.Digest)
	switch {
	case err != nil || verdict != nil:
	case j == nil:
		o.liveJobs = append(o.liveJobs, o.table.Add(sim.ownerTime(o), s.id, s.spec))
	case j.Ended():
		sim.checkVerdict(j)
	}
	if sim.violated == ruleJobRetention && j != nil && j.Ended() {
		o.liveJobs = append(o.liveJobs, o.table.Add(sim.ownerTime(o), s.id, s.spec))
	}
}

// assignTask assigns the next task of a job to an agent and sends the start, unless the owner must not start tasks
// there at the moment.
func (sim *simulation) assignTask(o *owner, j *job.Job, a *agent) {
	l := &o.links[a.index]
	if o.paused || !l.up || (o.drainedDomains[a.index%2] && sim.violated != ruleDrainedDomains) || sim.ownerTime(o)-o.confirmedAt > 2*clock.Second {
		return
	}
	// The latest stamp that was received before the configuration was confirmed.
	stamp := clock.Millis(-1)
	for _, s := range l.stamps {
		if s.receivedAt <= o.confirmedAt {
			stamp = s.stamp
		}
	}
	if stamp < 0 {
		return
	}
	assigned, ok := o.table.AssignTask(sim.ownerTime(o), j, a.name())
	if !ok {
		return
	}
	o.unfinished[placement.Attempt{Key: assigned.Key, Attempt: assigned.Attempt}] = a.index
	payload := fmt.Sprintf("%s#%d", assigned.Key, assigned.Attempt)
	s := message.Start{
		Job: assigned.Key.Job().String(), Task: assigned.Key.Task(), Attempt: assigned.Attempt, Call: j.Spec().Call, Class: 1,
		Payload: []byte(payload), Stamp: stamp, Agent: string(l.incarnation), Version: o.configVersion, Backlog: sim.pick("backlog", 3), Wait: sim.pick("wait", 2) == 0,
	}
	sim.startByPayload[payload] = s
	sim.send(o, a, true, s)
}

// sendHeartbeat sends the load of an agent to all owners.
func (sim *simulation) sendHeartbeat(a *agent) {
	for _, o := range sim.owners {
		load := a.table.Load(o.name())
		load.Stamp = sim.agentTime(a)
		sim.send(o, a, false, load)
	}
}

// deliver hands one packet to its receiver.
func (sim *simulation) deliver(p packet) {
	o, a := sim.owners[p.owner], sim.agents[p.agent]
	if p.toAgent {
		sim.deliverToAgent(o, a, p)
		return
	}
	l := &o.links[p.agent]
	if !l.up || l.generation != p.generation {
		return
	}
	switch m := p.body.(type) {
	case message.Load:
		l.stamps = append(l.stamps, receivedStamp{sim.ownerTime(o), m.Stamp})
		sim.send(o, a, true, message.Renew{Incarnation: string(o.table.Incarnation()), Version: o.configVersion})
	case message.Done:
		id, err := lavendercourse.ParseJobID(m.Job)
		if err != nil {
			sim.fail("done message has invalid job id %q", m.Job)
			return
		}
		sim.handleDone(o, a, placement.Attempt{Key: lavendercourse.NewTaskKey(id, m.Task), Attempt: m.Attempt}, m)
	}
}

// deliverToAgent delivers a packet to an agent. Packets for an earlier incarnation are dropped, except for starts,
// whose incarnation the agent checks itself.
func (sim *simulation) deliverToAgent(o *owner, a *agent, p packet) {
	now, name := sim.agentTime(a), o.name()
	var actions []slot.Action
	var err error
	if s, ok := p.body.(message.Start); ok {
		id, _ := lavendercourse.ParseJobID(s.Job)
		a.lastRenewal[id.Incarnation()] = now
		actions, err = a.table.Start(now, name, s)
	} else if p.incarnation == a.incarnation {
		switch m := p.body.(type) {
		case message.Stop:
			actions, err = a.table.Stop(now, name, m.Tasks)
		case message.Resume:
			actions, err = a.table.Resume(now, name, m.Tasks)
		case message.Renew:
			a.lastRenewal[lavendercourse.Incarnation(m.Incarnation)] = now
			a.table.Renew(now, name, lavendercourse.Incarnation(m.Incarnation), m)
		}
	}
	if err != nil {
		sim.fail("agent returned an error: %v", err)
	}
	sim.performActions(a, actions)
	if !o.links[a.index].up {
		a.table.LinkClosed(name)
	}
}

// handleDone ends an attempt with the result that an agent has reported.
func (sim *simulation) handleDone(o *owner, a *agent, attempt placement.Attempt, d message.Done) {
	if index, ok := o.unfinished[attempt]; ok && index == a.index {
		delete(o.unfinished, attempt)
	}
	now, name := sim.ownerTime(o), a.name()
	switch {
	case d.Status == message.StatusRefused:
		o.table.TaskRefused(attempt.Key, name, attempt.Attempt)
	case d.Status == message.StatusDone || (sim.violated == ruleFailedNotDone && d.Status == message.StatusFailed):
		o.table.TaskDone(now, attempt.Key, name, attempt.Attempt, d.Result)
	default:
		o.table.TaskFailed(now, attempt.Key, name, attempt.Attempt, lavendercourse.ReasonWorker, "not done")
	}
	sim.handleEnded(o)
}

// handleEnded checks the verdicts of the jobs that have ended and sends the stops of their tasks.
func (sim *simulation) handleEnded(o *owner) {
	for _, j := range o.table.TakeEnded() {
		sim.checkVerdict(j)
		o.liveJobs = slices.DeleteFunc(o.liveJobs, func(other *job.Job) bool { return other == j })
	}
	for _, s := range o.table.TakeStops() {
		var index int
		_, _ = fmt.Sscanf(s.Agent, "agent%d", &index)
		sim.send(o, sim.agents[index], true, message.Stop{Tasks: []message.Task{
			{Job: s.Key.Job().String(), Task: s.Key.Task(), Attempt: s.Attempt},
		}})
	}
}

// checkVerdict checks the verdict and the results of an ended job.
func (sim *simulation) checkVerdict(j *job.Job) {
	v, results, s := j.Verdict(), j.Results(), sim.submitted[j.ID()]
	if sim.violated == ruleReportRuns && v.Outcome == lavendercourse.OutcomeFailed {
		v.MayHaveRun = false
	}
	switch v.Outcome {
	case lavendercourse.OutcomeComplete:
		if len(results) != len(s.spec.Tasks) {
			sim.fail("job %s is complete with %d of %d results", s.id, len(results), len(s.spec.Tasks))
		}
		for i, r := range results {
			if string(r) != lavendercourse.NewTaskKey(s.id, uint32(i)).String() {
				sim.fail("job %s is complete but result %d is %q", s.id, i, r)
			}
		}
	case lavendercourse.OutcomeFailed, lavendercourse.OutcomeRefused, lavendercourse.OutcomeUnknown:
		if results != nil {
			sim.fail("job %s has outcome %d and results", s.id, v.Outcome)
		}
	default:
		sim.fail("job %s ended with outcome %d", s.id, v.Outcome)
	}
	if v.Outcome == lavendercourse.OutcomeRefused || (v.Outcome == lavendercourse.OutcomeFailed && !v.MayHaveRun) {
		s.reportedNotRun = true
		if sim.jobRuns[s.id] > 0 {
			sim.fail("job %s is reported not to have run, but %d tasks ran", s.id, sim.jobRuns[s.id])
		}
	}
}

// performActions carries out the actions that an agent's table returned.
func (sim *simulation) performActions(a *agent, actions []slot.Action) {
	for _, action := range actions {
		switch v := action.(type) {
		case slot.Run:
			sim.startRun(a, v)
		case slot.StopRun:
			if _, ok := a.running[v.Key]; !ok {
				sim.fail("agent stops %s, which is not running", v.Key)
			}
			a.stopped[v.Key] = true
		case slot.Reply:
			for _, o := range sim.owners {
				if o.name() == v.Entry {
					sim.send(o, a, false, v.Done)
				}
			}
		}
	}
}

// startRun records the start of a run and checks that the task may start.
func (sim *simulation) startRun(a *agent, r slot.Run) {
	s, now := sim.startByPayload[string(r.Payload)], sim.agentTime(a)
	sim.taskRuns[r.Key]++
	sim.jobRuns[r.Key.Job()]++
	a.running[r.Key] = r.Call
	a.startOrder = append(a.startOrder, r.Key)
	if r.Call {
		a.runningCalls++
	}
	if sim.taskRuns[r.Key] > 1 {
		sim.fail("%s runs for the second time", r.Key)
	}
	if submitted := sim.submitted[r.Key.Job()]; submitted.reportedNotRun {
		sim.fail("%s runs although its job was reported not to have run", r.Key)
	}
	if since, ok := sim.drainedDomains[a.index%2]; ok && sim.now-since > stampValidity {
		sim.fail("%s starts %d ms after its failure domain was drained", r.Key, sim.now-since)
	}
	if now-s.Stamp > stampValidity {
		sim.fail("%s starts with a stamp that is %d ms old", r.Key, now-s.Stamp)
	}
	if s.Agent != string(a.incarnation) {
		sim.fail("%s was meant for %s and runs on %s", r.Key, s.Agent, a.incarnation)
	}
	if tasks := len(a.running) - a.runningCalls; tasks > slotsPerAgent {
		sim.fail("%d tasks run on %d slots", tasks, slotsPerAgent)
	}
	if len(a.running) > connectionsPerAgent {
		sim.fail("%d tasks and calls run on %d connections", len(a.running), connectionsPerAgent)
	}
}

// finishRun ends one run of an agent, given by its place in startOrder.
func (sim *simulation) finishRun(a *agent, index int, status message.Status) {
	key := a.startOrder[index]
	a.startOrder = slices.Delete(a.startOrder, index, index+1)
	if a.running[key] {
		a.runningCalls--
	}
	delete(a.running, key)
	var result []byte
	if status == message.StatusDone {
		result = []byte(key.String())
	}
	sim.performActions(a, a.table.TaskEnded(sim.agentTime(a), key, status, result, ""))
}

// advanceClock moves all clocks forward by some ms and runs what has become due.
func (sim *simulation) advanceClock(duration clock.Millis) {
	sim.now += duration
	for _, a := range sim.agents {
		if sim.violated == ruleTaskRetention && sim.pick("forget", 4) == 0 {
			a.table = sim.newSlotTable(a)
		}
		if sim.violated != ruleExpireRecords {
			sim.performActions(a, a.table.Expire(sim.agentTime(a)))
			sim.checkLeases(a)
		}
	}
	for _, o := range sim.owners {
		sim.tick(o)
	}
}

// checkLeases checks that the runs of owners whose lease has expired have been ordered to stop.
func (sim *simulation) checkLeases(a *agent) {
	for _, key := range a.startOrder {
		age := sim.agentTime(a) - a.lastRenewal[key.Job().Incarnation()]
		if age > slot.DefaultLease && !a.stopped[key] {
			sim.fail("%s is not stopped %d ms after the last renewal by its owner", key, age)
		}
	}
}

// tick ends jobs of an owner whose time is over, and attempts on agents whose link was lost too long ago.
func (sim *simulation) tick(o *owner) {
	if o.paused {
		return
	}
	now := sim.ownerTime(o)
	o.table.Expire(now)
	sim.handleEnded(o)
	for i := range o.links {
		if l := &o.links[i]; !l.up && now-l.lostAt > lostLinkTimeout {
			sim.endAttempts(o, i, message.StatusUnknown)
		}
	}
}
