// Package job is the owner's record of its jobs. It issues ids, recognises resubmissions, and decides when a job has
// its answer. It is pure: events with a time go in, what to do comes out.
package job

import (
	"sort"

	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Errors of this package.
var (
	// ErrOwner is returned for an id that another incarnation issued.
	ErrOwner = eris.New("job id belongs to another incarnation")
	// ErrBlock is returned when too many ids are reserved and not yet used.
	ErrBlock = eris.New("too many reserved job ids")
	// ErrUnknown is returned for a job that the table does not hold.
	ErrUnknown = eris.New("job is not known")
)

// Defaults of Config.
const (
	DefaultReserve  = 60 * clock.Second
	DefaultLifetime = 300 * clock.Second
	DefaultKeep     = 60 * clock.Second
	DefaultBytes    = 64 << 20
	DefaultBlocks   = 100_000
	MaxBlock        = 1000
)

// Config holds the limits of a table. Zero values select the defaults.
type Config struct {
	Incarnation lavendercourse.Incarnation
	// Reserve is the time in ms within which an id must be submitted.
	Reserve clock.Millis
	// Lifetime is the longest time in ms from submission to the end of a job.
	Lifetime clock.Millis
	// Keep is the time in ms for which an ended job can be asked for again. It is at least Reserve, so that an id is
	// never free to be submitted a second time.
	Keep clock.Millis
	// Bytes bounds the kept results of ended jobs.
	Bytes int
	// Blocks bounds the reserved blocks of ids.
	Blocks int
}

func (c Config) withDefaults() Config {
	if c.Reserve == 0 {
		c.Reserve = DefaultReserve
	}
	if c.Lifetime == 0 {
		c.Lifetime = DefaultLifetime
	}
	if c.Keep == 0 {
		c.Keep = DefaultKeep
	}
	if c.Bytes == 0 {
		c.Bytes = DefaultBytes
	}
	if c.Blocks == 0 {
		c.Blocks = DefaultBlocks
	}
	c.Keep = max(c.Keep, c.Reserve)
	return c
}

type block struct {
	first  uint64
	count  uint64
	tag    string
	issued clock.Millis
}

// Stop names an attempt that an agent should stop.
type Stop struct {
	Agent   string
	Key     lavendercourse.TaskKey
	Attempt uint32
}

// Assignment is a task that the caller of Take must send to an agent.
type Assignment struct {
	Key     lavendercourse.TaskKey
	Attempt uint32
	Task    Task
}

// Table holds the jobs of one incarnation.
type Table struct {
	cfg      Config
	sequence uint64
	blocks   []block
	jobs     map[lavendercourse.JobID]*Job
	ended    []*Job
	bytes    int
	stops    []Stop
	finished []*Job
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg.withDefaults(), jobs: map[lavendercourse.JobID]*Job{}}
}

// Incarnation returns the owner's incarnation.
func (t *Table) Incarnation() lavendercourse.Incarnation { return t.cfg.Incarnation }

// Reserve issues a block of ids, 1 to MaxBlock.
func (t *Table) Reserve(now clock.Millis, count int) ([]lavendercourse.JobID, error) {
	t.dropBlocks(now)
	if len(t.blocks) >= t.cfg.Blocks {
		return nil, eris.Wrapf(ErrBlock, "%d blocks are reserved", len(t.blocks))
	}
	count = min(max(count, 1), MaxBlock)
	b := block{first: t.sequence, count: uint64(count), tag: lavendercourse.NewTag(), issued: now}
	t.sequence += b.count
	t.blocks = append(t.blocks, b)
	ids := make([]lavendercourse.JobID, count)
	for i := range ids {
		ids[i] = lavendercourse.NewJobID(t.cfg.Incarnation, b.first+uint64(i), b.tag)
	}
	return ids, nil
}

// Internal returns a new id for work that the owner starts itself, such as a call.
func (t *Table) Internal() lavendercourse.JobID {
	id := lavendercourse.NewJobID(t.cfg.Incarnation, t.sequence, lavendercourse.NewTag())
	t.sequence++
	return id
}

// Find returns the job with the given id.
func (t *Table) Find(id lavendercourse.JobID) (*Job, error) {
	if id.Incarnation() != t.cfg.Incarnation {
		return nil, ErrOwner
	}
	j := t.jobs[id]
	if j == nil {
		return nil, ErrUnknown
	}
	return j, nil
}

// Check looks for what an id can be used for. It returns the job if the id was submitted before, a verdict if the
// submission must be turned away, and neither if the id is free.
func (t *Table) Check(now clock.Millis, id lavendercourse.JobID, digest uint64) (*Job, *lavendercourse.Verdict, error) {
	j, err := t.Find(id)
	if eris.Is(err, ErrOwner) {
		return nil, nil, err
	}
	if j != nil {
		if j.spec.Digest == digest {
			return j, nil, nil
		}
		v := lavendercourse.Refusal(lavendercourse.ReasonConflict,
			"the id was submitted before with another body; this body was not run", 0)
		return nil, &v, nil
	}
	t.dropBlocks(now)
	if t.reserved(id) {
		return nil, nil, nil
	}
	v := lavendercourse.NoClaim(lavendercourse.ReasonExpired, "the id has expired or was never issued", 0)
	return nil, &v, nil
}

// Add starts a job. The id must be free.
func (t *Table) Add(now clock.Millis, id lavendercourse.JobID, spec Spec) *Job {
	latest := now + t.cfg.Lifetime
	if spec.Deadline == 0 || spec.Deadline > latest {
		spec.Deadline = latest
	}
	j := newJob(now, id, spec)
	t.jobs[id] = j
	return j
}

// Reject records a submission that was refused, so that the same id gets the same answer again.
func (t *Table) Reject(now clock.Millis, id lavendercourse.JobID, spec Spec, v lavendercourse.Verdict) *Job {
	spec.Tasks = nil
	j := newJob(now, id, spec)
	t.jobs[id] = j
	t.end(now, j, v)
	// Nobody waits for the job yet.
	t.finished = t.finished[:len(t.finished)-1]
	return j
}

// Take assigns the next waiting task of a job to an agent. It returns false after the deadline: agents remember a task
// only for the lifetime of its job and a margin, so a refusal that an owner reads later says nothing.
func (t *Table) Take(now clock.Millis, j *Job, agent string) (Assignment, bool) {
	if j.ended || len(j.waiting) == 0 || now >= j.spec.Deadline {
		return Assignment{}, false
	}
	index := j.waiting[len(j.waiting)-1]
	j.waiting = j.waiting[:len(j.waiting)-1]
	p := &j.tasks[index]
	p.phase, p.agent, p.sent = phaseSent, agent, now
	p.attempt++
	j.sent++
	j.started = true
	return Assignment{Key: lavendercourse.NewTaskKey(j.id, index), Attempt: p.attempt, Task: j.spec.Tasks[index]}, true
}

// Finished handles a task that ended well.
func (t *Table) Finished(now clock.Millis, key lavendercourse.TaskKey, agent string, attempt uint32, result []byte) bool {
	j, p := t.current(key, agent, attempt)
	if p == nil {
		return false
	}
	p.phase, p.result = phaseDone, result
	j.sent--
	j.done++
	if j.done == len(j.tasks) {
		t.end(now, j, lavendercourse.Verdict{Outcome: lavendercourse.Complete, Ran: true})
	}
	return true
}

// Returned handles a task that the agent refused: it never started and waits again.
func (t *Table) Returned(key lavendercourse.TaskKey, agent string, attempt uint32) bool {
	j, p := t.current(key, agent, attempt)
	if p == nil {
		return false
	}
	p.phase, p.agent = phaseWaiting, ""
	j.sent--
	j.waiting = append(j.waiting, key.Task())
	return true
}

// Broken handles a task that failed, or whose fate is unknown. The job fails.
func (t *Table) Broken(now clock.Millis, key lavendercourse.TaskKey, agent string, attempt uint32, reason lavendercourse.Reason, text string) bool {
	j, p := t.current(key, agent, attempt)
	if p == nil {
		return false
	}
	p.phase = phaseDone
	j.sent--
	t.end(now, j, lavendercourse.Verdict{Outcome: lavendercourse.Failed, Reason: reason, Ran: true, Message: text})
	return true
}

// Fail ends a job without a complete answer. It does nothing if the job has ended.
func (t *Table) Fail(now clock.Millis, j *Job, reason lavendercourse.Reason, text string) {
	if j.ended {
		return
	}
	v := lavendercourse.Verdict{Outcome: lavendercourse.Failed, Reason: reason, Ran: j.started, Message: text}
	if !j.started && reason != lavendercourse.ReasonCancelled {
		v = lavendercourse.Refusal(reason, text, 0)
	}
	t.end(now, j, v)
}

// FailAll ends every job. It is called when the incarnation ends.
func (t *Table) FailAll(now clock.Millis, reason lavendercourse.Reason, text string) {
	for _, j := range t.openIf(func(*Job) bool { return true }) {
		t.Fail(now, j, reason, text)
	}
}

// Expire fails the jobs whose deadline has passed and forgets those that were kept long enough.
func (t *Table) Expire(now clock.Millis) {
	for _, j := range t.openIf(func(j *Job) bool { return now >= j.spec.Deadline }) {
		t.Fail(now, j, lavendercourse.ReasonDeadline, "the deadline passed")
	}
	for len(t.ended) > 0 && now-t.ended[0].finished > t.cfg.Keep {
		t.forgetOldest()
	}
	t.dropBlocks(now)
}

// Stops returns the attempts to stop since the last call.
func (t *Table) Stops() []Stop {
	stops := t.stops
	t.stops = nil
	return stops
}

// Ended returns the jobs that ended since the last call.
func (t *Table) Ended() []*Job {
	jobs := t.finished
	t.finished = nil
	return jobs
}

// Live returns the number of jobs without an answer.
func (t *Table) Live() int { return len(t.jobs) - len(t.ended) }

// Remembered returns the number of jobs and reserved blocks in memory.
func (t *Table) Remembered() int { return len(t.jobs) + len(t.blocks) }

// openIf returns the jobs without an answer for which a condition holds, in the order of their ids.
func (t *Table) openIf(holds func(*Job) bool) []*Job {
	var jobs []*Job
	for _, j := range t.jobs {
		if !j.ended && holds(j) {
			jobs = append(jobs, j)
		}
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].id.Sequence() < jobs[b].id.Sequence() })
	return jobs
}

func (t *Table) current(key lavendercourse.TaskKey, agent string, attempt uint32) (*Job, *progress) {
	j := t.jobs[key.Job()]
	if j == nil || j.ended || int(key.Task()) >= len(j.tasks) {
		return nil, nil
	}
	p := &j.tasks[key.Task()]
	if p.phase != phaseSent || p.agent != agent || p.attempt != attempt {
		return nil, nil
	}
	return j, p
}

func (t *Table) end(now clock.Millis, j *Job, v lavendercourse.Verdict) {
	j.ended, j.verdict, j.finished = true, v, now
	for i := range j.tasks {
		p := &j.tasks[i]
		if p.phase == phaseSent {
			t.stops = append(t.stops, Stop{Agent: p.agent, Key: lavendercourse.NewTaskKey(j.id, uint32(i)), Attempt: p.attempt})
		}
		if v.Outcome != lavendercourse.Complete {
			p.result = nil
		}
		t.bytes += len(p.result)
	}
	j.waiting, j.sent = nil, 0
	j.spec.Tasks = nil
	t.ended = append(t.ended, j)
	t.finished = append(t.finished, j)
	t.dropResults()
}

// dropResults keeps the results of ended jobs within the bound. A job without its results can no longer be answered.
func (t *Table) dropResults() {
	for i := 0; t.bytes > t.cfg.Bytes && i < len(t.ended)-1; i++ {
		j := t.ended[i]
		if j.verdict.Outcome != lavendercourse.Complete {
			continue
		}
		t.bytes -= j.size()
		j.verdict = lavendercourse.NoClaim(lavendercourse.ReasonExpired, "the results are no longer kept", 0)
		j.tasks = nil
	}
}

func (t *Table) forgetOldest() {
	j := t.ended[0]
	t.ended = t.ended[1:]
	t.bytes -= j.size()
	delete(t.jobs, j.id)
}

func (t *Table) dropBlocks(now clock.Millis) {
	for len(t.blocks) > 0 && now-t.blocks[0].issued > t.cfg.Reserve {
		t.blocks = t.blocks[1:]
	}
}

func (t *Table) reserved(id lavendercourse.JobID) bool {
	for _, b := range t.blocks {
		if id.Sequence() >= b.first && id.Sequence() < b.first+b.count {
			return id.Tag() == b.tag
		}
	}
	return false
}

func (j *Job) size() int {
	n := 0
	for i := range j.tasks {
		n += len(j.tasks[i].result)
	}
	return n
}
