// Package slot decides which proposed starts an agent accepts. The table remembers every task it was asked to start,
// so that none starts twice. It is pure: events with a time go in, actions come out.
package slot

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// Defaults of Config.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultValidity    = 3 * clock.Second
	DefaultLease       = 10 * clock.Second
	DefaultMemory      = 330 * clock.Second
	DefaultKeep        = 15 * clock.Second
	DefaultKeepBytes   = 16 << 20
)

// Config holds the limits of a table. Zero values select the defaults.
type Config struct {
	// Incarnation of the agent. Starts meant for another one are refused.
	Incarnation lavendercourse.Incarnation
	// Slots is the number of tasks that run at once.
	Slots int
	// Connections is the number of tasks and calls that run at once.
	Connections int
	// Validity is the age in ms above which the stamp of a start is refused.
	Validity clock.Millis
	// Lease is the time in ms after which a task that its owner does not renew is stopped.
	Lease clock.Millis
	// Memory is the time in ms for which ended and refused tasks are remembered.
	Memory clock.Millis
	// Keep is the time in ms for which results are kept for a resume.
	Keep clock.Millis
	// KeepBytes bounds the kept results, in bytes.
	KeepBytes int
}

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	if c.Validity == 0 {
		c.Validity = DefaultValidity
	}
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.Memory == 0 {
		c.Memory = DefaultMemory
	}
	if c.Keep == 0 {
		c.Keep = DefaultKeep
	}
	if c.KeepBytes == 0 {
		c.KeepBytes = DefaultKeepBytes
	}
	return c
}

// downText is the cause of refusals while the backend server does not answer.
const (
	downText = "backend server does not answer"
	// oldVersion is why a start is refused that was decided under an old failure domain state.
	oldVersion = "start was decided under an old failure domain state"
)

type state uint8

const (
	// statePending: accepted, waits for a slot.
	statePending state = iota
	stateRunning
	stateEnded
	// stateRefused: this attempt never started. Only a higher attempt may.
	stateRefused
)

type task struct {
	key      lavendercourse.TaskKey
	entry    string
	state    state
	stopping bool
	start    message.Start
	done     message.Done
	// kept tells whether done still has its result.
	kept  bool
	began clock.Millis
	ended clock.Millis
	order uint64
}

type entryUse struct {
	backlog int
	running int
	pending int
	calls   int
	// told is set when the entry was told of a free slot since it last reported its backlog.
	told bool
}

func (u entryUse) busy() int { return u.running + u.pending }

// Table is the state of an agent's slots.
type Table struct {
	cfg     Config
	tasks   map[lavendercourse.TaskKey]*task
	active  map[lavendercourse.TaskKey]*task
	past    []*task
	kept    []*task
	bytes   int
	entries map[string]*entryUse
	leases  map[lavendercourse.Incarnation]clock.Millis
	version uint64
	running int
	pending int
	calls   int
	order   uint64
	leaving bool
	down    bool
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:     cfg.withDefaults(),
		tasks:   map[lavendercourse.TaskKey]*task{},
		active:  map[lavendercourse.TaskKey]*task{},
		entries: map[string]*entryUse{},
		leases:  map[lavendercourse.Incarnation]clock.Millis{},
	}
}

// Start handles a proposed start from the named entry.
func (t *Table) Start(now clock.Millis, entry string, s message.Start) ([]Action, error) {
	key, err := parseKey(s.Job, s.Task)
	if err != nil {
		return nil, err
	}
	t.report(entry, s.Backlog)
	if s.Agent != string(t.cfg.Incarnation) {
		return []Action{t.unknown(entry, s, "start is meant for another incarnation of the agent")}, nil
	}
	if old := t.tasks[key]; old != nil && (old.state != stateRefused || old.start.Attempt >= s.Attempt) {
		return t.repeat(old, entry, s.Attempt), nil
	}
	t.forget(key)
	t.order++
	n := &task{key: key, entry: entry, start: s, order: t.order}
	t.tasks[key] = n
	if why := t.refusal(now, s); why != "" {
		return []Action{t.refuse(now, n, why)}, nil
	}
	if s.Version > t.version {
		t.version = s.Version
	}
	t.active[key] = n
	t.leases[key.Job().Incarnation()] = now
	if s.Call || t.free() {
		return []Action{t.begin(now, n)}, nil
	}
	n.state = statePending
	t.pending++
	t.use(entry).pending++
	return nil, nil
}

// Ended handles the end of work that a Run action began.
func (t *Table) Ended(now clock.Millis, key lavendercourse.TaskKey, status message.Status, result []byte, failure string) []Action {
	n := t.active[key]
	if n == nil || n.state != stateRunning {
		return nil
	}
	if n.stopping && status != message.StatusDone {
		status = message.StatusStopped
	}
	if n.start.Call {
		t.calls--
		t.use(n.entry).calls--
	} else {
		t.running--
		t.use(n.entry).running--
	}
	n.state = stateEnded
	n.done = message.Done{
		Job: n.start.Job, Task: n.start.Task, Attempt: n.start.Attempt,
		Status: status, Result: result, Error: failure, Run: now - n.began,
	}
	t.retire(now, n)
	n.kept = true
	next := t.fill(now)
	reply := t.reply(n)
	// The result is told once even if it is too large to be kept.
	t.keep(n)
	actions := append([]Action{reply}, next...)
	return append(actions, t.offer(n.entry)...)
}

// Stop handles a request to stop tasks. Tasks not seen yet are barred from starting.
func (t *Table) Stop(now clock.Millis, entry string, tasks []message.Task) ([]Action, error) {
	var actions []Action
	for _, m := range tasks {
		n, err := t.lookup(now, entry, m)
		if err != nil {
			return actions, err
		}
		switch {
		case n.state == statePending:
			t.unqueue(n)
			actions = append(actions, t.refuse(now, n, "cancelled"))
		case n.state == stateRunning && !n.stopping:
			n.stopping = true
			actions = append(actions, Halt{Key: n.key})
		case n.state == stateRefused:
			actions = append(actions, t.reply(n))
		}
	}
	return append(actions, t.fill(now)...), nil
}

// Resume answers for the tasks of an entry that made its link again. Tasks that still run are answered when they end.
func (t *Table) Resume(now clock.Millis, entry string, tasks []message.Task) ([]Action, error) {
	var actions []Action
	for _, m := range tasks {
		n, err := t.lookup(now, entry, m)
		if err != nil {
			return actions, err
		}
		if n.state == stateEnded || n.state == stateRefused {
			actions = append(actions, t.reply(n))
		}
	}
	return actions, nil
}

// Renew handles the answer to a beat: it renews the leases of all tasks of the entry's incarnation.
func (t *Table) Renew(now clock.Millis, entry string, owner lavendercourse.Incarnation, r message.Renew) {
	t.report(entry, r.Backlog)
	t.leases[owner] = now
	if r.Version > t.version {
		t.version = r.Version
	}
}

// Unlinked forgets the backlog of an entry whose link broke. Its tasks stay until their lease ends.
func (t *Table) Unlinked(entry string) {
	if u := t.entries[entry]; u != nil {
		u.backlog = 0
	}
}

// Expire stops tasks whose lease has ended and forgets what was remembered long enough.
func (t *Table) Expire(now clock.Millis) []Action {
	var actions []Action
	expired := t.activeIf(func(n *task) bool {
		return now-t.leases[n.key.Job().Incarnation()] > t.cfg.Lease
	})
	for _, n := range expired {
		if n.state == statePending {
			t.unqueue(n)
			actions = append(actions, t.refuse(now, n, "lease ended"))
			continue
		}
		if !n.stopping {
			n.stopping = true
			actions = append(actions, Halt{Key: n.key})
		}
	}
	actions = append(actions, t.fill(now)...)
	t.trim(now)
	return actions
}

// Leave refuses everything that has not started, from now on.
func (t *Table) Leave(now clock.Millis) []Action {
	t.leaving = true
	return t.refusePending(now, "agent is leaving")
}

// SetReady tells whether the backend server answers. While it does not, everything that has not started is refused.
// Running tasks are not touched: what becomes of them is told by Ended.
func (t *Table) SetReady(now clock.Millis, ready bool) []Action {
	t.down = !ready
	if ready {
		return nil
	}
	return t.refusePending(now, downText)
}

func (t *Table) refusePending(now clock.Millis, why string) []Action {
	var actions []Action
	for _, n := range t.activeIf(func(n *task) bool { return n.state == statePending }) {
		t.unqueue(n)
		actions = append(actions, t.refuse(now, n, why))
	}
	return actions
}

// activeIf returns the accepted tasks for which a condition holds, in the order of their arrival.
func (t *Table) activeIf(holds func(*task) bool) []*task {
	var tasks []*task
	for _, n := range t.active {
		if holds(n) {
			tasks = append(tasks, n)
		}
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].order < tasks[j].order })
	return tasks
}

// Busy returns the number of accepted tasks and calls that have not ended.
func (t *Table) Busy() int { return len(t.active) }

// Usage is the number of tasks and calls that an agent has, for all entries.
type Usage struct {
	Running int
	Pending int
	Calls   int
}

// Usage returns what the table has accepted.
func (t *Table) Usage() Usage {
	return Usage{Running: t.running, Pending: t.pending, Calls: t.calls}
}

// Remembered returns the number of tasks in memory.
func (t *Table) Remembered() int { return len(t.tasks) }

// Records returns the number of all records in memory: tasks, kept results, leases and entries.
func (t *Table) Records() int {
	return max(len(t.tasks), len(t.past)) + len(t.kept) + len(t.leases) + len(t.entries)
}

// Load returns what the table tells the named entry in beats and dones.
func (t *Table) Load(entry string) message.Load {
	return message.Load{Running: t.running, Pending: t.pending, Calls: t.calls, Window: t.window(entry)}
}

func (t *Table) refusal(now clock.Millis, s message.Start) string {
	switch {
	case t.leaving:
		return "agent is leaving"
	case t.down:
		return downText
	case s.Stamp > now || now-s.Stamp > t.cfg.Validity:
		return "start has expired"
	case s.Version < t.version:
		return oldVersion
	case t.running+t.calls >= t.cfg.Connections && s.Call:
		return "no connection is free"
	case !s.Call && !t.free() && (!s.Wait || t.pending >= t.cfg.Slots):
		return "no slot is free"
	}
	return ""
}

// free tells whether one more task can run. A task uses a connection as well as a slot.
func (t *Table) free() bool {
	return t.running < t.cfg.Slots && t.running+t.calls < t.cfg.Connections
}

// repeat answers a start for a task that is known already.
func (t *Table) repeat(old *task, entry string, attempt uint32) []Action {
	old.entry = t.move(old, entry)
	if attempt == old.start.Attempt && (old.state == stateEnded || old.state == stateRefused) {
		return []Action{t.reply(old)}
	}
	if attempt > old.start.Attempt {
		again := message.Start{Job: old.start.Job, Task: old.start.Task, Attempt: attempt}
		return []Action{t.unknown(entry, again, "another attempt of the task was accepted")}
	}
	return nil
}

// unknown answers a start about which the table can claim nothing.
func (t *Table) unknown(entry string, s message.Start, why string) Action {
	return Reply{Entry: entry, Done: message.Done{
		Job: s.Job, Task: s.Task, Attempt: s.Attempt,
		Status: message.StatusUnknown, Error: why, Load: t.Load(entry),
	}}
}

// lookup finds the task that a stop or resume names. One that was not seen is recorded as refused, so that a start
// which arrives later cannot run.
func (t *Table) lookup(now clock.Millis, entry string, m message.Task) (*task, error) {
	key, err := parseKey(m.Job, m.Task)
	if err != nil {
		return nil, err
	}
	n := t.tasks[key]
	if n == nil || (n.state == stateRefused && n.start.Attempt < m.Attempt) {
		t.forget(key)
		n = &task{key: key, entry: entry, start: message.Start{Job: m.Job, Task: m.Task, Attempt: m.Attempt}}
		t.tasks[key] = n
		t.refuse(now, n, "never received")
		return n, nil
	}
	n.entry = t.move(n, entry)
	return n, nil
}

// move charges an active task to the entry that asks about it now.
func (t *Table) move(n *task, entry string) string {
	if n.entry == entry || t.active[n.key] == nil {
		return entry
	}
	from, to := t.use(n.entry), t.use(entry)
	switch {
	case n.state == statePending:
		from.pending--
		to.pending++
	case n.start.Call:
		from.calls--
		to.calls++
	default:
		from.running--
		to.running++
	}
	return entry
}

func (t *Table) begin(now clock.Millis, n *task) Action {
	n.state = stateRunning
	n.began = now
	if n.start.Call {
		t.calls++
		t.use(n.entry).calls++
	} else {
		t.running++
		t.use(n.entry).running++
	}
	return Run{Key: n.key, Call: n.start.Call, Kind: n.start.Kind, Payload: n.start.Payload, Trace: n.start.Trace}
}

// fill starts pending tasks while slots are free. The validity of a start is checked again, since it may have waited.
func (t *Table) fill(now clock.Millis) []Action {
	var actions []Action
	for t.free() && t.pending > 0 {
		n := t.nextPending()
		t.unqueue(n)
		if why := t.refusal(now, n.start); why != "" {
			actions = append(actions, t.refuse(now, n, why))
			continue
		}
		actions = append(actions, t.begin(now, n))
	}
	return actions
}

// nextPending returns the pending task of the highest class; among those, of the entry with the fewest running tasks;
// among those, the oldest.
func (t *Table) nextPending() *task {
	var best *task
	for _, n := range t.active {
		if n.state == statePending && (best == nil || t.before(n, best)) {
			best = n
		}
	}
	return best
}

func (t *Table) before(a, b *task) bool {
	if a.start.Class != b.start.Class {
		return a.start.Class < b.start.Class
	}
	if x, y := t.use(a.entry).running, t.use(b.entry).running; x != y {
		return x < y
	}
	return a.order < b.order
}

func (t *Table) unqueue(n *task) {
	t.pending--
	t.use(n.entry).pending--
}

func (t *Table) refuse(now clock.Millis, n *task, why string) Action {
	n.state = stateRefused
	n.done = message.Done{
		Job: n.start.Job, Task: n.start.Task, Attempt: n.start.Attempt,
		Status: message.StatusRefused, Error: why,
	}
	if why == oldVersion {
		n.done.Version = t.version
	}
	n.kept = true
	t.retire(now, n)
	return t.reply(n)
}

func (t *Table) reply(n *task) Action {
	done := n.done
	if !n.kept {
		done.Status = message.StatusUnknown
		done.Error = "result is no longer kept"
	}
	done.Load = t.Load(n.entry)
	return Reply{Entry: n.entry, Done: done}
}

// report takes note of the number of tasks that wait at an entry.
func (t *Table) report(entry string, backlog int) {
	u := t.use(entry)
	u.backlog, u.told = backlog, false
}

func (t *Table) use(entry string) *entryUse {
	u := t.entries[entry]
	if u == nil {
		u = &entryUse{}
		t.entries[entry] = u
	}
	return u
}

func parseKey(job string, index uint32) (lavendercourse.TaskKey, error) {
	id, err := lavendercourse.ParseJobID(job)
	if err != nil {
		return lavendercourse.TaskKey{}, err
	}
	return lavendercourse.NewTaskKey(id, index), nil
}

// Idle tells whether the named entry has no accepted task or call that has not ended.
func (t *Table) Idle(entry string) bool {
	u := t.entries[entry]
	return u == nil || u.busy()+u.calls == 0
}
