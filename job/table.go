// Package job is the owner's record of its jobs. It issues job ids, recognises resubmissions, and decides when a job
// ends and with which verdict. It does no I/O and reads no clock: the owner passes in events with the current time and
// carries out what the table returns.
package job

import (
	"sort"

	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Errors of this package.
var (
	// ErrOtherIncarnation is returned for an id that was issued by another incarnation.
	ErrOtherIncarnation = eris.New("job id belongs to another incarnation")
	// ErrTooManyBlocks is returned when Config.MaxBlocks blocks of ids are reserved and have not expired.
	ErrTooManyBlocks = eris.New("too many reserved job ids")
	// ErrUnknown is returned for a job that the table does not hold.
	ErrUnknown = eris.New("job is not known")
)

// Defaults and limits of Config.
const (
	DefaultReservationTimeout = 60 * clock.Second
	DefaultLifetime           = 300 * clock.Second
	DefaultRetention          = 60 * clock.Second
	DefaultMaxResultBytes     = 64 << 20
	DefaultMaxBlocks          = 100_000
	// MaxBlockSize is the maximum number of ids in a block. It is fixed.
	MaxBlockSize = 1000
)

// Config holds the limits of a table. Zero values select the defaults.
type Config struct {
	// Incarnation is that of the owner. It is part of each id that the table issues.
	Incarnation lavendercourse.Incarnation
	// ReservationTimeout is the time after which a reserved id that was not submitted expires, in ms.
	ReservationTimeout clock.Millis
	// Lifetime is the maximum time from submission to the end of a job, in ms.
	Lifetime clock.Millis
	// Retention is the retention time of ended jobs, in ms. It is at least ReservationTimeout, so that an id cannot be
	// submitted a second time after its job was forgotten.
	Retention clock.Millis
	// MaxResultBytes is the maximum total size of the kept results of ended jobs, in bytes. The results of the job that
	// ended last are kept even if they are larger.
	MaxResultBytes int
	// MaxBlocks is the maximum number of reserved blocks of ids.
	MaxBlocks int
}

func (c Config) withDefaults() Config {
	if c.ReservationTimeout == 0 {
		c.ReservationTimeout = DefaultReservationTimeout
	}
	if c.Lifetime == 0 {
		c.Lifetime = DefaultLifetime
	}
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxResultBytes == 0 {
		c.MaxResultBytes = DefaultMaxResultBytes
	}
	if c.MaxBlocks == 0 {
		c.MaxBlocks = DefaultMaxBlocks
	}
	c.Retention = max(c.Retention, c.ReservationTimeout)
	return c
}

// idBlock is a range of reserved job ids with consecutive sequence numbers.
type idBlock struct {
	first    uint64
	count    uint64
	tag      string
	issuedAt clock.Millis
}

// Stop identifies an attempt that an agent must stop.
type Stop struct {
	Agent   string
	Key     lavendercourse.TaskKey
	Attempt uint32
}

// Assignment is an attempt of a task that the caller of Take must send to an agent.
type Assignment struct {
	Key     lavendercourse.TaskKey
	Attempt uint32
	Task    Task
}

// Table holds the jobs of one incarnation.
type Table struct {
	cfg          Config
	nextSequence uint64
	// blocks holds the reserved blocks of ids, oldest first.
	blocks []idBlock
	// jobs holds all jobs, live and ended.
	jobs map[lavendercourse.JobID]*Job
	// ended holds the ended jobs, oldest first.
	ended []*Job
	// resultBytes is the total size of the kept results of ended jobs.
	resultBytes int
	// stops holds the stops that TakeStops has not returned yet.
	stops []Stop
	// finished holds the ended jobs that TakeEnded has not returned yet.
	finished []*Job
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg.withDefaults(), jobs: map[lavendercourse.JobID]*Job{}}
}

// Incarnation returns the owner's incarnation.
func (t *Table) Incarnation() lavendercourse.Incarnation { return t.cfg.Incarnation }

// Reserve issues a block of ids. A count outside 1 to MaxBlockSize is limited to that range.
func (t *Table) Reserve(now clock.Millis, count int) ([]lavendercourse.JobID, error) {
	t.dropExpiredBlocks(now)
	if len(t.blocks) >= t.cfg.MaxBlocks {
		return nil, eris.Wrapf(ErrTooManyBlocks, "%d blocks are reserved", len(t.blocks))
	}
	count = min(max(count, 1), MaxBlockSize)
	b := idBlock{first: t.nextSequence, count: uint64(count), tag: lavendercourse.NewTag(), issuedAt: now}
	t.nextSequence += b.count
	t.blocks = append(t.blocks, b)
	ids := make([]lavendercourse.JobID, count)
	for i := range ids {
		ids[i] = lavendercourse.NewJobID(t.cfg.Incarnation, b.first+uint64(i), b.tag)
	}
	return ids, nil
}

// NewInternalID returns a new id, without a reservation, for work that the owner starts itself, such as a call.
func (t *Table) NewInternalID() lavendercourse.JobID {
	id := lavendercourse.NewJobID(t.cfg.Incarnation, t.nextSequence, lavendercourse.NewTag())
	t.nextSequence++
	return id
}

// Find returns the job with the given id, ErrOtherIncarnation or ErrUnknown.
func (t *Table) Find(id lavendercourse.JobID) (*Job, error) {
	if id.Incarnation() != t.cfg.Incarnation {
		return nil, ErrOtherIncarnation
	}
	j := t.jobs[id]
	if j == nil {
		return nil, ErrUnknown
	}
	return j, nil
}

// Check decides whether an id can be used for a submission. It returns the job if the same body was submitted with the
// id before, a verdict if the submission must be rejected, and neither if the id is free.
func (t *Table) Check(now clock.Millis, id lavendercourse.JobID, digest uint64) (*Job, *lavendercourse.Verdict, error) {
	j, err := t.Find(id)
	if eris.Is(err, ErrOtherIncarnation) {
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
	t.dropExpiredBlocks(now)
	if t.reserved(id) {
		return nil, nil, nil
	}
	v := lavendercourse.UnknownVerdict(lavendercourse.ReasonExpired, "the id has expired or was never issued", 0)
	return nil, &v, nil
}

// Add records a new job, whose id Check has found to be free or NewInternalID has issued. It limits the deadline to
// Config.Lifetime.
func (t *Table) Add(now clock.Millis, id lavendercourse.JobID, spec Spec) *Job {
	latest := now + t.cfg.Lifetime
	if spec.Deadline == 0 || spec.Deadline > latest {
		spec.Deadline = latest
	}
	j := newJob(now, id, spec)
	t.jobs[id] = j
	return j
}

// Reject records a submission that was refused, so that a repeated submission gets the same verdict.
func (t *Table) Reject(now clock.Millis, id lavendercourse.JobID, spec Spec, v lavendercourse.Verdict) *Job {
	spec.Tasks = nil
	j := newJob(now, id, spec)
	t.jobs[id] = j
	t.end(now, j, v)
	// The caller gets the verdict directly, so TakeEnded must not report the job.
	t.finished = t.finished[:len(t.finished)-1]
	return j
}

// AssignTask assigns the next waiting task of a job to an agent. It returns false if there is none, and from the
// deadline on: agents remember a task only for the lifetime of its job and a margin, so a refusal that the owner reads
// later does not prove that the task never ran.
func (t *Table) AssignTask(now clock.Millis, j *Job, agent string) (Assignment, bool) {
	if j.ended || len(j.waiting) == 0 || now >= j.spec.Deadline {
		return Assignment{}, false
	}
	index := j.waiting[len(j.waiting)-1]
	j.waiting = j.waiting[:len(j.waiting)-1]
	p := &j.tasks[index]
	p.phase, p.agent = phaseSent, agent
	p.attempt++
	j.sent++
	j.started = true
	return Assignment{Key: lavendercourse.NewTaskKey(j.id, index), Attempt: p.attempt, Task: j.spec.Tasks[index]}, true
}

// TaskDone handles a task that ended successfully. It returns false if the reply does not belong to the current
// attempt.
func (t *Table) TaskDone(now clock.Millis, key lavendercourse.TaskKey, agent string, attempt uint32, result []byte) bool {
	j, p := t.currentAttempt(key, agent, attempt)
	if p == nil {
		return false
	}
	p.phase, p.result = phaseDone, result
	j.sent--
	j.done++
	if j.done == len(j.tasks) {
		t.end(now, j, lavendercourse.Verdict{Outcome: lavendercourse.OutcomeComplete, MayHaveRun: true})
	}
	return true
}

// TaskRefused handles a task that the agent refused: this attempt never started, and the task waits again. It returns
// false if the reply does not belong to the current attempt.
func (t *Table) TaskRefused(key lavendercourse.TaskKey, agent string, attempt uint32) bool {
	j, p := t.currentAttempt(key, agent, attempt)
	if p == nil {
		return false
	}
	p.phase, p.agent = phaseWaiting, ""
	j.sent--
	j.waiting = append(j.waiting, key.Task())
	return true
}

// TaskFailed handles a task that failed, or of which it is not known whether it ran. The job fails. TaskFailed returns
// false if the reply does not belong to the current attempt.
func (t *Table) TaskFailed(now clock.Millis, key lavendercourse.TaskKey, agent string, attempt uint32, reason lavendercourse.Reason, text string) bool {
	j, p := t.currentAttempt(key, agent, attempt)
	if p == nil {
		return false
	}
	p.phase = phaseDone
	j.sent--
	t.end(now, j, lavendercourse.Verdict{Outcome: lavendercourse.OutcomeFailed, Reason: reason, MayHaveRun: true, Message: text})
	return true
}

// Fail ends a job without results. It does nothing if the job has ended.
func (t *Table) Fail(now clock.Millis, j *Job, reason lavendercourse.Reason, text string) {
	if j.ended {
		return
	}
	v := lavendercourse.Verdict{Outcome: lavendercourse.OutcomeFailed, Reason: reason, MayHaveRun: j.started, Message: text}
	if !j.started && reason != lavendercourse.ReasonCancelled {
		v = lavendercourse.Refusal(reason, text, 0)
	}
	t.end(now, j, v)
}

// FailAll ends every live job. It is called when the incarnation ends.
func (t *Table) FailAll(now clock.Millis, reason lavendercourse.Reason, text string) {
	for _, j := range t.liveWhere(func(*Job) bool { return true }) {
		t.Fail(now, j, reason, text)
	}
}

// Expire fails the jobs whose deadline has passed, and removes ended jobs and reserved blocks whose retention time has
// passed.
func (t *Table) Expire(now clock.Millis) {
	for _, j := range t.liveWhere(func(j *Job) bool { return now >= j.spec.Deadline }) {
		t.Fail(now, j, lavendercourse.ReasonDeadline, "the deadline passed")
	}
	for len(t.ended) > 0 && now-t.ended[0].finished > t.cfg.Retention {
		t.forgetOldest()
	}
	t.dropExpiredBlocks(now)
}

// TakeStops returns the attempts that have to be stopped since its last call.
func (t *Table) TakeStops() []Stop {
	stops := t.stops
	t.stops = nil
	return stops
}

// TakeEnded returns the jobs that ended since its last call, without those recorded by Reject.
func (t *Table) TakeEnded() []*Job {
	jobs := t.finished
	t.finished = nil
	return jobs
}

// LiveCount returns the number of jobs that have not ended.
func (t *Table) LiveCount() int { return len(t.jobs) - len(t.ended) }

// RecordCount returns the number of jobs and reserved blocks in memory.
func (t *Table) RecordCount() int { return len(t.jobs) + len(t.blocks) }

// liveWhere returns the live jobs that match a condition, in order of their ids.
func (t *Table) liveWhere(match func(*Job) bool) []*Job {
	var jobs []*Job
	for _, j := range t.jobs {
		if !j.ended && match(j) {
			jobs = append(jobs, j)
		}
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].id.Sequence() < jobs[b].id.Sequence() })
	return jobs
}

// currentAttempt returns the job and the progress of a task, or nil unless the given attempt is at the given agent and
// the job is live. It filters out late and repeated replies.
func (t *Table) currentAttempt(key lavendercourse.TaskKey, agent string, attempt uint32) (*Job, *taskProgress) {
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

// end records the verdict of a job, requests the stop of its running attempts and releases what is no longer needed.
func (t *Table) end(now clock.Millis, j *Job, v lavendercourse.Verdict) {
	j.ended, j.verdict, j.finished = true, v, now
	for i := range j.tasks {
		p := &j.tasks[i]
		if p.phase == phaseSent {
			t.stops = append(t.stops, Stop{Agent: p.agent, Key: lavendercourse.NewTaskKey(j.id, uint32(i)), Attempt: p.attempt})
		}
		if v.Outcome != lavendercourse.OutcomeComplete {
			p.result = nil
		}
		t.resultBytes += len(p.result)
	}
	j.waiting, j.sent = nil, 0
	j.spec.Tasks = nil
	t.ended = append(t.ended, j)
	t.finished = append(t.finished, j)
	t.trimResults()
}

// trimResults drops the results of the oldest complete jobs while Config.MaxResultBytes is exceeded, except those of
// the job that ended last. The verdict of a job without its results becomes unknown.
func (t *Table) trimResults() {
	for i := 0; t.resultBytes > t.cfg.MaxResultBytes && i < len(t.ended)-1; i++ {
		j := t.ended[i]
		if j.verdict.Outcome != lavendercourse.OutcomeComplete {
			continue
		}
		t.resultBytes -= j.resultSize()
		j.verdict = lavendercourse.UnknownVerdict(lavendercourse.ReasonExpired, "the results are no longer kept", 0)
		j.tasks = nil
	}
}

func (t *Table) forgetOldest() {
	j := t.ended[0]
	t.ended = t.ended[1:]
	t.resultBytes -= j.resultSize()
	delete(t.jobs, j.id)
}

func (t *Table) dropExpiredBlocks(now clock.Millis) {
	for len(t.blocks) > 0 && now-t.blocks[0].issuedAt > t.cfg.ReservationTimeout {
		t.blocks = t.blocks[1:]
	}
}

// reserved tells whether an id belongs to a reserved block. The tag is compared, so that a guessed id is not accepted.
func (t *Table) reserved(id lavendercourse.JobID) bool {
	for _, b := range t.blocks {
		if id.Sequence() >= b.first && id.Sequence() < b.first+b.count {
			return id.Tag() == b.tag
		}
	}
	return false
}

// resultSize returns the total size of the results in bytes.
func (j *Job) resultSize() int {
	n := 0
	for i := range j.tasks {
		n += len(j.tasks[i].result)
	}
	return n
}
