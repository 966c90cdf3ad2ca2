// Package slot decides which of the starts that entries send an agent accepts. Its table remembers each task that it
// was asked to start for Config.RecordRetention, so that no task starts twice. An entry is identified by its name; the
// owner of a job is an incarnation of an entry, which is part of the job id, and leases are renewed for each owner.
//
// The package belongs to agents and entries. Packages room and queue, for runners and gateways, have terms of their
// own: here, Run and Reply are actions; there, a run is one execution of a task and a reply a result code. The package
// does no I/O and reads no clock: the agent passes in events with the current time and carries out the actions that are
// returned.
package slot

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// Defaults of Config.
const (
	DefaultSlots         = 8
	DefaultConnections   = 64
	DefaultStampValidity = 3 * clock.Second
	DefaultLease         = 10 * clock.Second
	// DefaultRecordRetention is the default lifetime of a job (job.DefaultLifetime, 300 s) and a margin.
	DefaultRecordRetention = 330 * clock.Second
	DefaultResultRetention = 15 * clock.Second
	DefaultMaxResultBytes  = 16 << 20
)

// Config holds the limits of a table. Zero values select the defaults.
type Config struct {
	// Incarnation is that of the agent. A start for another incarnation is answered with status unknown.
	Incarnation lavendercourse.Incarnation
	// Slots is the maximum number of tasks that run concurrently.
	Slots int
	// Connections is the maximum number of tasks and calls that run concurrently.
	Connections int
	// StampValidity is the maximum age of the stamp of a start, in ms. Older starts are refused. The stamp is a time of
	// the agent's own clock that the entry sends back.
	StampValidity clock.Millis
	// Lease is the time in ms without a renewal by the owner after which a task is stopped.
	Lease clock.Millis
	// RecordRetention is the time in ms for which the records of ended and refused tasks are kept.
	RecordRetention clock.Millis
	// ResultRetention is the time in ms for which results are kept so that a resume can be answered.
	ResultRetention clock.Millis
	// MaxResultBytes is the maximum total size of the kept results, in bytes.
	MaxResultBytes int
}

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	if c.StampValidity == 0 {
		c.StampValidity = DefaultStampValidity
	}
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.RecordRetention == 0 {
		c.RecordRetention = DefaultRecordRetention
	}
	if c.ResultRetention == 0 {
		c.ResultRetention = DefaultResultRetention
	}
	if c.MaxResultBytes == 0 {
		c.MaxResultBytes = DefaultMaxResultBytes
	}
	return c
}

// Causes of refusals that are used in more than one place.
const (
	// causeBackendDown applies while the backend server does not answer.
	causeBackendDown = "backend server does not answer"
	// causeOldDomainVersion is also compared: refuse adds the version that the entry needs to refusals with this cause.
	causeOldDomainVersion = "start was decided under an old failure domain state"
)

type state uint8

const (
	// statePending: accepted and waiting for a slot.
	statePending state = iota
	stateRunning
	stateEnded
	// stateRefused: this attempt never started and never will. A higher attempt may start.
	stateRefused
)

// taskRecord is the state of a task or call, from its first start, stop or resume until it is forgotten.
type taskRecord struct {
	key      lavendercourse.TaskKey
	entry    string
	state    state
	stopping bool
	start    message.Start
	done     message.Done
	// canResend tells whether done can be sent again. It is cleared when the result of a done task is dropped.
	canResend bool
	startedAt clock.Millis
	endedAt   clock.Millis
	// seq numbers the records in order of arrival.
	seq uint64
}

// entryUsage counts the work of one entry.
type entryUsage struct {
	// backlog is the number of tasks that wait at the entry.
	backlog int
	running int
	pending int
	calls   int
	// offered is set when a free slot was offered to the entry since it last reported its backlog.
	offered bool
}

func (u entryUsage) tasks() int { return u.running + u.pending }

// Table is the state of an agent's slots.
type Table struct {
	cfg Config
	// tasks holds all records, active and finished.
	tasks map[lavendercourse.TaskKey]*taskRecord
	// active holds the accepted tasks and calls that have not ended.
	active map[lavendercourse.TaskKey]*taskRecord
	// finished holds the ended and refused tasks, oldest first.
	finished []*taskRecord
	// keptResults holds the ended tasks whose results are kept, oldest first.
	keptResults []*taskRecord
	// resultBytes is the total size of the results in keptResults.
	resultBytes int
	// entries holds the usage of each entry by its name.
	entries map[string]*entryUsage
	// renewedAt is the time of the last lease renewal by each owner, an incarnation of an entry.
	renewedAt map[lavendercourse.Incarnation]clock.Millis
	// newestDomainVersion is the highest version of the failure domain states received from any entry.
	newestDomainVersion uint64
	running             int
	pending             int
	calls               int
	// held counts the slots of ended tasks that the backend server may still run.
	held int
	// seq is the number of the newest record.
	seq         uint64
	leaving     bool
	backendDown bool
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:       cfg.withDefaults(),
		tasks:     map[lavendercourse.TaskKey]*taskRecord{},
		active:    map[lavendercourse.TaskKey]*taskRecord{},
		entries:   map[string]*entryUsage{},
		renewedAt: map[lavendercourse.Incarnation]clock.Millis{},
	}
}

// Start handles a proposed start from the named entry. It returns an error if the job id is malformed.
func (t *Table) Start(now clock.Millis, entry string, s message.Start) ([]Action, error) {
	key, err := parseKey(s.Job, s.Task)
	if err != nil {
		return nil, err
	}
	t.recordBacklog(entry, s.Backlog)
	if s.Agent != string(t.cfg.Incarnation) {
		return []Action{t.unknownReply(entry, s, "start is meant for another incarnation of the agent")}, nil
	}
	if existing := t.tasks[key]; existing != nil && (existing.state != stateRefused || existing.start.Attempt >= s.Attempt) {
		return t.answerRepeated(existing, entry, s.Attempt), nil
	}
	t.forget(key)
	t.seq++
	rec := &taskRecord{key: key, entry: entry, start: s, seq: t.seq}
	t.tasks[key] = rec
	if cause := t.refusalCause(now, s); cause != "" {
		return []Action{t.refuse(now, rec, cause)}, nil
	}
	if s.Version > t.newestDomainVersion {
		t.newestDomainVersion = s.Version
	}
	t.active[key] = rec
	t.renewedAt[key.Job().Incarnation()] = now
	if s.Call || t.hasFreeSlot() {
		return []Action{t.startRun(now, rec)}, nil
	}
	rec.state = statePending
	t.pending++
	t.usageOf(entry).pending++
	return nil, nil
}

// TaskEnded handles the end of a task or call that was started by a Run action.
func (t *Table) TaskEnded(now clock.Millis, key lavendercourse.TaskKey, status message.Status, result []byte, failure string) []Action {
	rec := t.active[key]
	if rec == nil || rec.state != stateRunning {
		return nil
	}
	if rec.stopping && status != message.StatusDone {
		status = message.StatusStopped
	}
	if rec.start.Call {
		t.calls--
		t.usageOf(rec.entry).calls--
	} else {
		t.running--
		t.usageOf(rec.entry).running--
	}
	rec.state = stateEnded
	rec.done = message.Done{
		Job: rec.start.Job, Task: rec.start.Task, Attempt: rec.start.Attempt,
		Status: status, Result: result, Error: failure, RunTime: now - rec.startedAt,
	}
	t.finish(now, rec)
	rec.canResend = true
	next := t.startPending(now)
	reply := t.reply(rec)
	// The reply is built first, so that a result too large to be kept is still sent once.
	t.keepResult(rec)
	actions := append([]Action{reply}, next...)
	return append(actions, t.offerFreeSlot(rec.entry)...)
}

// HoldSlot keeps one slot occupied until ReleaseSlot is called. It is called before TaskEnded if the backend server may
// still run the task.
func (t *Table) HoldSlot() { t.held++ }

// ReleaseSlot ends one HoldSlot.
func (t *Table) ReleaseSlot(now clock.Millis) []Action {
	t.held--
	return append(t.startPending(now), t.offerFreeSlot("")...)
}

// Stop handles a request to stop tasks. A task that was not received yet is recorded as refused, so that a start which
// arrives later cannot run.
func (t *Table) Stop(now clock.Millis, entry string, tasks []message.Task) ([]Action, error) {
	var actions []Action
	for _, m := range tasks {
		rec, err := t.lookupOrRefuse(now, entry, m)
		if err != nil {
			return actions, err
		}
		switch {
		case rec.state == statePending:
			t.dequeue(rec)
			actions = append(actions, t.refuse(now, rec, "cancelled"))
		case rec.state == stateRunning && !rec.stopping:
			rec.stopping = true
			actions = append(actions, StopRun{Key: rec.key})
		case rec.state == stateRefused:
			actions = append(actions, t.reply(rec))
		}
	}
	return append(actions, t.startPending(now)...), nil
}

// Resume reports on the tasks of an entry that has reconnected. Tasks that still run are answered when they end.
func (t *Table) Resume(now clock.Millis, entry string, tasks []message.Task) ([]Action, error) {
	var actions []Action
	for _, m := range tasks {
		rec, err := t.lookupOrRefuse(now, entry, m)
		if err != nil {
			return actions, err
		}
		if rec.state == stateEnded || rec.state == stateRefused {
			actions = append(actions, t.reply(rec))
		}
	}
	return actions, nil
}

// Renew handles an entry's answer to the agent's heartbeat. It renews the leases of all tasks of the given owner.
func (t *Table) Renew(now clock.Millis, entry string, owner lavendercourse.Incarnation, r message.Renew) {
	t.recordBacklog(entry, r.Backlog)
	t.renewedAt[owner] = now
	if r.Version > t.newestDomainVersion {
		t.newestDomainVersion = r.Version
	}
}

// LinkClosed clears the backlog of an entry whose link was lost. Its tasks continue until their lease expires.
func (t *Table) LinkClosed(entry string) {
	if u := t.entries[entry]; u != nil {
		u.backlog = 0
	}
}

// Expire stops tasks whose lease has expired and removes records whose retention time has passed.
func (t *Table) Expire(now clock.Millis) []Action {
	var actions []Action
	expired := t.activeWhere(func(rec *taskRecord) bool {
		return now-t.renewedAt[rec.key.Job().Incarnation()] > t.cfg.Lease
	})
	for _, rec := range expired {
		if rec.state == statePending {
			t.dequeue(rec)
			actions = append(actions, t.refuse(now, rec, "lease ended"))
			continue
		}
		if !rec.stopping {
			rec.stopping = true
			actions = append(actions, StopRun{Key: rec.key})
		}
	}
	actions = append(actions, t.startPending(now)...)
	t.evictExpired(now)
	return actions
}

// Leave refuses the pending tasks and every later start.
func (t *Table) Leave(now clock.Millis) []Action {
	t.leaving = true
	return t.refusePending(now, "agent is leaving")
}

// SetBackendUp sets whether the backend server answers. While it does not, pending tasks and new starts are refused.
// Running tasks are not changed: the agent reports their end with TaskEnded.
func (t *Table) SetBackendUp(now clock.Millis, up bool) []Action {
	t.backendDown = !up
	if up {
		return nil
	}
	return t.refusePending(now, causeBackendDown)
}

func (t *Table) refusePending(now clock.Millis, cause string) []Action {
	var actions []Action
	for _, rec := range t.activeWhere(func(rec *taskRecord) bool { return rec.state == statePending }) {
		t.dequeue(rec)
		actions = append(actions, t.refuse(now, rec, cause))
	}
	return actions
}

// activeWhere returns the active tasks that match a condition, in order of arrival.
func (t *Table) activeWhere(match func(*taskRecord) bool) []*taskRecord {
	var tasks []*taskRecord
	for _, rec := range t.active {
		if match(rec) {
			tasks = append(tasks, rec)
		}
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].seq < tasks[j].seq })
	return tasks
}

// ActiveCount returns the number of active tasks and calls: accepted and not ended.
func (t *Table) ActiveCount() int { return len(t.active) }

// Usage is the number of active tasks and calls of an agent, for all entries.
type Usage struct {
	Running int
	Pending int
	Calls   int
}

// Usage returns the numbers of active tasks and calls.
func (t *Table) Usage() Usage {
	return Usage{Running: t.running, Pending: t.pending, Calls: t.calls}
}

// TaskRecordCount returns the number of task records in memory, active and finished.
func (t *Table) TaskRecordCount() int { return len(t.tasks) }

// RecordCount returns the number of all records in memory: tasks, kept results, leases and entries. A finished record
// stays in finished after a later attempt has replaced it in tasks. Tests check with it that records are removed.
func (t *Table) RecordCount() int {
	return max(len(t.tasks), len(t.finished)) + len(t.keptResults) + len(t.renewedAt) + len(t.entries)
}

// Load returns the load that is sent to the named entry in heartbeats and done messages.
func (t *Table) Load(entry string) message.Load {
	return message.Load{Running: t.running + t.held, Pending: t.pending, Calls: t.calls, Window: t.window(entry)}
}

// refusalCause returns why a start must be refused now, or "" if it can be accepted.
func (t *Table) refusalCause(now clock.Millis, s message.Start) string {
	switch {
	case t.leaving:
		return "agent is leaving"
	case t.backendDown:
		return causeBackendDown
	case s.Stamp > now:
		return "stamp of the start is later than the agent's clock"
	case now-s.Stamp > t.cfg.StampValidity:
		return "start has expired"
	case s.Version < t.newestDomainVersion:
		return causeOldDomainVersion
	case t.running+t.calls >= t.cfg.Connections && s.Call:
		return "no connection is free"
	case !s.Call && !t.hasFreeSlot() && (!s.Wait || t.pending >= t.cfg.Slots):
		return "no slot is free"
	}
	return ""
}

// hasFreeSlot tells whether one more task can run. A task uses both a slot and a connection.
func (t *Table) hasFreeSlot() bool {
	return t.running+t.held < t.cfg.Slots && t.running+t.calls < t.cfg.Connections
}

// answerRepeated answers a start for a task that already has a record.
func (t *Table) answerRepeated(existing *taskRecord, entry string, attempt uint32) []Action {
	existing.entry = t.reassign(existing, entry)
	if attempt == existing.start.Attempt && (existing.state == stateEnded || existing.state == stateRefused) {
		return []Action{t.reply(existing)}
	}
	if attempt > existing.start.Attempt {
		again := message.Start{Job: existing.start.Job, Task: existing.start.Task, Attempt: attempt}
		return []Action{t.unknownReply(entry, again, "another attempt of the task was accepted")}
	}
	return nil
}

// unknownReply answers a start for which the table cannot say whether the task ran.
func (t *Table) unknownReply(entry string, s message.Start, cause string) Action {
	return Reply{Entry: entry, Done: message.Done{
		Job: s.Job, Task: s.Task, Attempt: s.Attempt,
		Status: message.StatusUnknown, Error: cause, Load: t.Load(entry),
	}}
}

// lookupOrRefuse returns the task that a stop or resume names. An attempt that was not received yet is recorded as
// refused, so that a start which arrives later cannot run.
func (t *Table) lookupOrRefuse(now clock.Millis, entry string, m message.Task) (*taskRecord, error) {
	key, err := parseKey(m.Job, m.Task)
	if err != nil {
		return nil, err
	}
	rec := t.tasks[key]
	if rec == nil || (rec.state == stateRefused && rec.start.Attempt < m.Attempt) {
		t.forget(key)
		rec = &taskRecord{key: key, entry: entry, start: message.Start{Job: m.Job, Task: m.Task, Attempt: m.Attempt}}
		t.tasks[key] = rec
		t.refuse(now, rec, "never received")
		return rec, nil
	}
	rec.entry = t.reassign(rec, entry)
	return rec, nil
}

// reassign counts an active task for the entry that asks about it now. It returns that entry, which the caller sets in
// the record.
func (t *Table) reassign(rec *taskRecord, entry string) string {
	if rec.entry == entry || t.active[rec.key] == nil {
		return entry
	}
	from, to := t.usageOf(rec.entry), t.usageOf(entry)
	switch {
	case rec.state == statePending:
		from.pending--
		to.pending++
	case rec.start.Call:
		from.calls--
		to.calls++
	default:
		from.running--
		to.running++
	}
	return entry
}

func (t *Table) startRun(now clock.Millis, rec *taskRecord) Action {
	rec.state = stateRunning
	rec.startedAt = now
	if rec.start.Call {
		t.calls++
		t.usageOf(rec.entry).calls++
	} else {
		t.running++
		t.usageOf(rec.entry).running++
	}
	return Run{Key: rec.key, Call: rec.start.Call, Kind: rec.start.Kind, Payload: rec.start.Payload, Trace: rec.start.Trace}
}

// startPending starts pending tasks while slots are free. Each start is checked again, since its stamp may have expired
// while it waited.
func (t *Table) startPending(now clock.Millis) []Action {
	var actions []Action
	for t.hasFreeSlot() && t.pending > 0 {
		rec := t.nextPending()
		t.dequeue(rec)
		if cause := t.refusalCause(now, rec.start); cause != "" {
			actions = append(actions, t.refuse(now, rec, cause))
			continue
		}
		actions = append(actions, t.startRun(now, rec))
	}
	return actions
}

// nextPending returns the pending task of the lowest class number, which is the most urgent; among those, of the entry
// with the fewest running tasks; among those, the oldest.
func (t *Table) nextPending() *taskRecord {
	var best *taskRecord
	for _, rec := range t.active {
		if rec.state == statePending && (best == nil || t.runsBefore(rec, best)) {
			best = rec
		}
	}
	return best
}

// runsBefore tells whether pending task a is started before b.
func (t *Table) runsBefore(a, b *taskRecord) bool {
	if a.start.Class != b.start.Class {
		return a.start.Class < b.start.Class
	}
	if x, y := t.usageOf(a.entry).running, t.usageOf(b.entry).running; x != y {
		return x < y
	}
	return a.seq < b.seq
}

// dequeue removes a task from the pending counts.
func (t *Table) dequeue(rec *taskRecord) {
	t.pending--
	t.usageOf(rec.entry).pending--
}

func (t *Table) refuse(now clock.Millis, rec *taskRecord, cause string) Action {
	rec.state = stateRefused
	rec.done = message.Done{
		Job: rec.start.Job, Task: rec.start.Task, Attempt: rec.start.Attempt,
		Status: message.StatusRefused, Error: cause,
	}
	if cause == causeOldDomainVersion {
		rec.done.Version = t.newestDomainVersion
	}
	rec.canResend = true
	t.finish(now, rec)
	return t.reply(rec)
}

// reply returns the done message of an ended or refused task. If its result was dropped, the status is unknown.
func (t *Table) reply(rec *taskRecord) Action {
	done := rec.done
	if !rec.canResend {
		done.Status = message.StatusUnknown
		done.Error = "result is no longer kept"
	}
	done.Load = t.Load(rec.entry)
	return Reply{Entry: rec.entry, Done: done}
}

// recordBacklog records the number of tasks that wait at an entry.
func (t *Table) recordBacklog(entry string, backlog int) {
	u := t.usageOf(entry)
	u.backlog, u.offered = backlog, false
}

// usageOf returns the counts of an entry and adds it if it is new.
func (t *Table) usageOf(entry string) *entryUsage {
	u := t.entries[entry]
	if u == nil {
		u = &entryUsage{}
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

// Idle tells whether the named entry has no active task or call.
func (t *Table) Idle(entry string) bool {
	u := t.entries[entry]
	return u == nil || u.tasks()+u.calls == 0
}
