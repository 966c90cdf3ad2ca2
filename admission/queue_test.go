package admission_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
)

// now is the time in ms at which the tests read the queue.
const now = 100 * clock.Second

// testJob describes a job that waits in the queue.
type testJob struct {
	team  string
	class lavendercourse.Class
	tasks int
	// runTime is the expected run time of one task in ms.
	runTime clock.Millis
	// age is the time in ms for which the job has waited.
	age clock.Millis
}

func jobID(n int) lavendercourse.JobID { return lavendercourse.NewJobID("own", uint64(n), "tag") }

// push adds job number n to the queue.
func push(q *admission.Queue, n int, j testJob) *admission.Item {
	i := admission.NewItem(now-j.age, jobID(n), j.team, j.class, j.tasks, j.runTime)
	q.Push(i)
	return i
}

// sendTasks sends up to n tasks and returns the numbers of their jobs in the order of sending.
func sendTasks(q *admission.Queue, n int) string {
	var order []string
	for range n {
		i := q.Next(now, nil)
		if i == nil {
			break
		}
		q.TaskSent(i)
		order = append(order, fmt.Sprint(i.ID().Sequence()))
	}
	return strings.Join(order, " ")
}

// Guards against tasks that are sent in a wrong order. The order depends on class, waiting time, team weight, remaining
// work and quota.
func TestQueueOrder(t *testing.T) {
	const quick, batch = lavendercourse.ClassQuick, lavendercourse.ClassBatch
	for _, tc := range []struct {
		name   string
		limits map[string]admission.Limits
		jobs   []testJob
		want   string
	}{
		{"quick before batch in the same team", nil, []testJob{{"a", batch, 1, 10, 0}, {"a", quick, 1, 900, 0}}, "1 0"},
		{"quick before batch of another team", nil, []testJob{{"a", batch, 1, 10, 0}, {"b", quick, 2, 900, 0}}, "1 1 0"},
		{"a batch job that has waited more than 5 s counts as quick", nil, []testJob{{"a", quick, 2, 10, 0}, {"b", batch, 2, 10, 5001}}, "0 1 0 1"},
		{"a batch job that has waited 5 s does not count as quick", nil, []testJob{{"a", quick, 2, 10, 0}, {"b", batch, 2, 10, 5000}}, "0 0 1 1"},
		{"the job with the least remaining work first", nil, []testJob{{"a", batch, 3, 100, 0}, {"a", batch, 2, 100, 0}}, "1 1 0 0 0"},
		{"remaining work depends on the run time", nil, []testJob{{"a", batch, 2, 400, 0}, {"a", batch, 3, 100, 0}}, "1 1 1 0 0"},
		{"waiting time makes up for more remaining work", nil, []testJob{{"a", batch, 1, 100, 0}, {"a", batch, 1, 1000, 91}}, "1 0"},
		{"teams of equal weight alternate", nil, []testJob{{"a", batch, 3, 1, 0}, {"b", batch, 3, 1, 0}}, "0 1 0 1 0 1"},
		{
			"a team of weight 3 sends three tasks for each one of a team of weight 1",
			map[string]admission.Limits{"a": {Weight: 3}},
			[]testJob{{"a", batch, 6, 1, 0}, {"b", batch, 2, 1, 0}},
			"0 1 0 0 0 1 0 0",
		},
		{
			"the share of the quota limits the running tasks",
			map[string]admission.Limits{"a": {Weight: 1, MaxRunning: 2}},
			[]testJob{{"a", quick, 5, 1, 0}, {"b", batch, 1, 1, 0}},
			"0 0 1",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := admission.New(admission.Config{})
			for name, l := range tc.limits {
				q.SetLimits(name, l)
			}
			for n, j := range tc.jobs {
				push(q, n, j)
			}
			assert.Equal(t, sendTasks(q, 20), tc.want)
		})
	}
}

// Guards against a team that starves or gets more than its weight while fewer slots are free than teams compete for
// them.
func TestOneSlotIsSharedByWeight(t *testing.T) {
	q := admission.New(admission.Config{})
	q.SetLimits("c", admission.Limits{Weight: 3})
	for n, team := range []string{"a", "b", "c"} {
		push(q, n, testJob{team, lavendercourse.ClassBatch, 100, 1, 0})
	}
	count := map[string]int{}
	for range 50 {
		i := q.Next(now, nil)
		q.TaskSent(i)
		count[i.Team()]++
		q.TaskEnded(i.Team())
	}
	assert.DeepEqual(t, count, map[string]int{"a": 10, "b": 10, "c": 30})
	// A team that joins late gets no credit for the time before.
	push(q, 3, testJob{"d", lavendercourse.ClassBatch, 100, 1, 0})
	for range 12 {
		i := q.Next(now, nil)
		q.TaskSent(i)
		count[i.Team()]++
		q.TaskEnded(i.Team())
	}
	assert.Assert(t, count["d"] == 2 || count["d"] == 3, "%v", count)
}

// Guards against queues that grow without bound, and against a limit that refuses a job larger than the limit forever.
func TestAdmitLimitsWaitingTasks(t *testing.T) {
	for _, tc := range []struct {
		name    string
		waiting int
		tasks   int
		admit   bool
	}{
		{"an empty queue admits a job of any size", 0, 50, true},
		{"a job that fills the queue to the limit", 4, 6, true},
		{"a job that exceeds the limit", 4, 7, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := admission.New(admission.Config{MaxWaiting: 10})
			if tc.waiting > 0 {
				push(q, 0, testJob{"a", lavendercourse.ClassBatch, tc.waiting, 1, 0})
			}
			v := q.Admit("a", tc.tasks)
			assert.Equal(t, v == nil, tc.admit)
			if v != nil {
				assert.Equal(t, v.Outcome, lavendercourse.OutcomeRefused)
				assert.Assert(t, !v.MayHaveRun && v.RetryAfter > 0)
			}
			assert.Assert(t, q.Admit("b", tc.tasks) == nil, "the limit applies to each team separately")
		})
	}
}

// Guards against wrong counts of waiting and running tasks, and against idle teams that stay in memory, after tasks are
// returned, freed and removed.
func TestQueueCounts(t *testing.T) {
	q := admission.New(admission.Config{})
	q.SetLimits("a", admission.Limits{Weight: 1, MaxRunning: 2})
	i := push(q, 0, testJob{"a", lavendercourse.ClassBatch, 3, 1, 0})
	assert.Equal(t, sendTasks(q, 5), "0 0")
	assert.DeepEqual(t, q.Demand(), map[string]int{"a": 3})
	q.TaskReturned(i)
	assert.Equal(t, q.Waiting(), 2)
	assert.Equal(t, sendTasks(q, 5), "0")
	q.TaskEnded("a")
	assert.Equal(t, sendTasks(q, 5), "0")
	assert.Assert(t, q.Next(now, nil) == nil)
	q.TaskReturned(i)
	assert.Equal(t, q.Waiting(), 1, "a job with all tasks sent is queued again when one is returned")
	q.Remove(i.ID())
	q.Remove(i.ID())
	q.TaskEnded("a")
	assert.Equal(t, q.Waiting(), 0)
	assert.Equal(t, len(q.Demand()), 0)
	for n := range 10 {
		team := fmt.Sprint("t", n)
		push(q, n, testJob{team, lavendercourse.ClassBatch, 1, 1, 0})
		sendTasks(q, 1)
		q.TaskEnded(team)
	}
	assert.Equal(t, q.Teams(), 1, "only the team with limits of its own is kept")
}
