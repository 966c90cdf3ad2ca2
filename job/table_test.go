package job_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/message"
)

const (
	base = 100 * clock.Second
	end  = base + job.DefaultLifetime
)

// Guards against changes to individual rules by which the ends of its tasks give a job its verdict.
func TestVerdicts(t *testing.T) {
	type event struct {
		at     clock.Millis
		task   uint32
		status message.Status
	}
	// assign and cancel are not message statuses. An event with any other status (99 below) calls Expire.
	const (
		assign  = message.Status(0)
		cancel  = message.Status(100)
		refused = message.StatusRefused
		done    = message.StatusDone
		failed  = message.StatusFailed
	)
	for _, tc := range []struct {
		name   string
		events []event
		// want is the outcome, the reason and Ran of the verdict.
		want string
	}{
		{"all done", []event{{base, 0, assign}, {base, 1, assign}, {base, 1, done}, {base, 0, done}}, "1 0 true"},
		{"one done", []event{{base, 0, assign}, {base, 1, assign}, {base, 1, done}}, "0 0 false"},
		{"one failed", []event{{base, 0, assign}, {base, 1, assign}, {base, 1, done}, {base, 0, failed}}, "2 3 true"},
		{"cancelled before the first start", []event{{base, 0, cancel}}, "2 1 false"},
		{"cancelled after the first start", []event{{base, 0, assign}, {base, 0, cancel}}, "2 1 true"},
		{"cancelled when every start was refused", []event{{base, 0, assign}, {base, 0, refused}, {base, 0, cancel}}, "2 1 true"},
		{"deadline before the first start", []event{{end, 0, 99}}, "3 2 false"},
		{"deadline after the first start", []event{{base, 0, assign}, {end, 0, 99}}, "2 2 true"},
		{"no task is assigned after the deadline", []event{{end, 0, assign}, {end, 0, 99}}, "3 2 false"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := job.New(job.Config{Incarnation: "own"})
			ids, err := table.Reserve(base, 1)
			assert.NilError(t, err)
			j := table.Add(base, ids[0], job.Spec{Tasks: make([]job.Task, 2)})
			for _, e := range tc.events {
				key := lavendercourse.NewTaskKey(ids[0], e.task)
				switch e.status {
				case assign:
					table.AssignTask(e.at, j, "a")
				case done:
					table.TaskDone(e.at, key, "a", 1, []byte("r"))
				case refused:
					table.TaskRefused(key, "a", 1)
				case failed:
					table.TaskFailed(e.at, key, "a", 1, lavendercourse.ReasonTask, "")
				case cancel:
					table.Fail(e.at, j, lavendercourse.ReasonCancelled, "")
				default:
					table.Expire(e.at)
				}
			}
			v := j.Verdict()
			assert.Equal(t, fmt.Sprintf("%d %d %v", v.Outcome, v.Reason, v.MayHaveRun), tc.want)
			assert.Equal(t, len(j.Results()), map[bool]int{true: 2}[v.Outcome == lavendercourse.OutcomeComplete])
		})
	}
}

// Guards against a job that is changed by a reply of an earlier attempt, of another agent, or after its end.
func TestStaleRepliesAreIgnored(t *testing.T) {
	table := job.New(job.Config{Incarnation: "own"})
	ids, err := table.Reserve(base, 1)
	assert.NilError(t, err)
	j := table.Add(base, ids[0], job.Spec{Tasks: make([]job.Task, 1)})
	key := lavendercourse.NewTaskKey(ids[0], 0)
	table.AssignTask(base, j, "a")
	assert.Assert(t, table.TaskRefused(key, "a", 1))
	assignment, ok := table.AssignTask(base, j, "b")
	assert.Assert(t, ok && assignment.Attempt == 2)
	assert.Assert(t, !table.TaskRefused(key, "a", 1), "repeated refusal")
	assert.Assert(t, !table.TaskDone(base, key, "a", 2, nil), "another agent")
	assert.Assert(t, !table.TaskDone(base, key, "b", 1, nil), "earlier attempt")
	assert.Assert(t, !table.TaskDone(base, lavendercourse.NewTaskKey(ids[0], 9), "b", 2, nil), "no such task")
	assert.Assert(t, table.TaskDone(base, key, "b", 2, nil))
	assert.Assert(t, !table.TaskFailed(base, key, "b", 2, lavendercourse.ReasonWorker, ""), "after the end")
	assert.Equal(t, j.Verdict().Outcome, lavendercourse.OutcomeComplete)
}

// Guards against an id that can start a second job: with another body, after its job was forgotten, after its
// reservation expired, or when it was never issued.
func TestJobIDIsUsedOnce(t *testing.T) {
	table := job.New(job.Config{Incarnation: "own"})
	ids, err := table.Reserve(base, 2)
	assert.NilError(t, err)
	late := base + job.DefaultReservationTimeout + 1
	table.Add(base, ids[0], job.Spec{Digest: 1, Tasks: make([]job.Task, 1)})
	for _, tc := range []struct {
		name   string
		at     clock.Millis
		id     lavendercourse.JobID
		digest uint64
		want   string
	}{
		{"same body returns the job", base, ids[0], 1, "job"},
		{"other body", base, ids[0], 2, "refused"},
		{"unused id", base, ids[1], 1, "free"},
		{"another incarnation", base, lavendercourse.NewJobID("x", 0, ids[0].Tag()), 1, "job id belongs to another incarnation"},
		{"guessed tag", base, lavendercourse.NewJobID("own", 1, "guess"), 1, "unknown"},
		{"never issued", base, lavendercourse.NewJobID("own", 2, ids[0].Tag()), 1, "unknown"},
		{"unused id after its reservation", late, ids[1], 1, "unknown"},
		{"forgotten job", end + job.DefaultRetention + 1, ids[0], 1, "unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table.Expire(tc.at)
			if tc.at > end {
				table.Expire(tc.at + job.DefaultRetention + 1)
			}
			j, v, err := table.Check(tc.at, tc.id, tc.digest)
			got := "free"
			switch {
			case err != nil:
				got = err.Error()
			case j != nil:
				got = "job"
			case v != nil && v.Outcome == lavendercourse.OutcomeRefused:
				got = "refused"
			case v != nil && v.Outcome == lavendercourse.OutcomeUnknown:
				got = "unknown"
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

// Guards against kept results that grow without limit, and against a job that stays complete after its results were
// dropped.
func TestJobWithDroppedResultsIsNotComplete(t *testing.T) {
	table := job.New(job.Config{Incarnation: "own", MaxResultBytes: 10})
	ids, err := table.Reserve(base, 3)
	assert.NilError(t, err)
	var jobs []*job.Job
	for _, id := range ids {
		j := table.Add(base, id, job.Spec{Tasks: make([]job.Task, 1)})
		table.AssignTask(base, j, "a")
		table.TaskDone(base, lavendercourse.NewTaskKey(id, 0), "a", 1, []byte("123456"))
		jobs = append(jobs, j)
	}
	for i, j := range jobs {
		last := i == len(jobs)-1
		assert.Equal(t, j.Verdict().Outcome == lavendercourse.OutcomeComplete, last)
		assert.Equal(t, j.Results() != nil, last)
	}
}

// Guards against jobs that end in map iteration order: replaying recorded events would then give different actions.
func TestJobsEndInOrderOfIDs(t *testing.T) {
	for _, endAll := range []func(table *job.Table){
		func(table *job.Table) { table.Expire(end) },
		func(table *job.Table) { table.FailAll(base, lavendercourse.ReasonOwner, "") },
	} {
		table := job.New(job.Config{Incarnation: "own"})
		ids, err := table.Reserve(base, 20)
		assert.NilError(t, err)
		for _, id := range ids {
			table.Add(base, id, job.Spec{Tasks: make([]job.Task, 1)})
		}
		endAll(table)
		for i, j := range table.TakeEnded() {
			assert.Equal(t, j.ID(), ids[i])
		}
	}
}
