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

const base = 100 * clock.Second

// pending describes a job as team, tasks, run time of a task in ms, and age in ms.
type pending struct {
	team  string
	class lavendercourse.Class
	tasks int
	run   clock.Millis
	age   clock.Millis
}

func jobID(n int) lavendercourse.JobID { return lavendercourse.NewJobID("own", uint64(n), "tag") }

func push(q *admission.Queue, n int, p pending) *admission.Item {
	i := admission.NewItem(base-p.age, jobID(n), p.team, p.class, p.tasks, p.run)
	q.Push(i)
	return i
}

// take sends up to n tasks and returns the numbers of their jobs.
func take(q *admission.Queue, n int) string {
	var order []string
	for range n {
		i := q.Next(base, nil)
		if i == nil {
			break
		}
		q.Took(i)
		order = append(order, fmt.Sprint(i.ID().Sequence()))
	}
	return strings.Join(order, " ")
}

// Guards against a wrong order of waiting tasks: by class, age, weight, remaining work and quota.
func TestQueueOrder(t *testing.T) {
	const quick, batch = lavendercourse.Quick, lavendercourse.Batch
	for _, tc := range []struct {
		name   string
		limits map[string]admission.Limits
		jobs   []pending
		want   string
	}{
		{"quick before batch in a team", nil, []pending{{"a", batch, 1, 10, 0}, {"a", quick, 1, 900, 0}}, "1 0"},
		{"quick before batch of another team", nil, []pending{{"a", batch, 1, 10, 0}, {"b", quick, 2, 900, 0}}, "1 1 0"},
		{"batch that waited long counts as quick", nil, []pending{{"a", quick, 2, 10, 0}, {"b", batch, 2, 10, 5001}}, "0 1 0 1"},
		{"batch that waited 5 s does not", nil, []pending{{"a", quick, 2, 10, 0}, {"b", batch, 2, 10, 5000}}, "0 0 1 1"},
		{"least remaining work first", nil, []pending{{"a", batch, 3, 100, 0}, {"a", batch, 2, 100, 0}}, "1 1 0 0 0"},
		{"run times count", nil, []pending{{"a", batch, 2, 400, 0}, {"a", batch, 3, 100, 0}}, "1 1 1 0 0"},
		{"waiting makes up for work", nil, []pending{{"a", batch, 1, 100, 0}, {"a", batch, 1, 1000, 91}}, "1 0"},
		{"equal weights take turns", nil, []pending{{"a", batch, 3, 1, 0}, {"b", batch, 3, 1, 0}}, "0 1 0 1 0 1"},
		{
			"weight three to one",
			map[string]admission.Limits{"a": {Weight: 3}},
			[]pending{{"a", batch, 6, 1, 0}, {"b", batch, 2, 1, 0}},
			"0 1 0 0 0 1 0 0",
		},
		{
			"the quota share bounds what runs at once",
			map[string]admission.Limits{"a": {Weight: 1, Share: 2}},
			[]pending{{"a", quick, 5, 1, 0}, {"b", batch, 1, 1, 0}},
			"0 0 1",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := admission.New(admission.Config{})
			for name, l := range tc.limits {
				q.SetLimits(name, l)
			}
			for n, p := range tc.jobs {
				push(q, n, p)
			}
			assert.Equal(t, take(q, 20), tc.want)
		})
	}
}

// Guards against a team that starves, or gets more than its weight, when fewer slots are free than teams compete.
func TestOneSlotIsSharedByWeight(t *testing.T) {
	q := admission.New(admission.Config{})
	q.SetLimits("c", admission.Limits{Weight: 3})
	for n, team := range []string{"a", "b", "c"} {
		push(q, n, pending{team, lavendercourse.Batch, 100, 1, 0})
	}
	count := map[string]int{}
	for range 50 {
		i := q.Next(base, nil)
		q.Took(i)
		count[i.Team()]++
		q.Freed(i.Team())
	}
	assert.DeepEqual(t, count, map[string]int{"a": 10, "b": 10, "c": 30})
	// A team that comes late does not make up for the time before.
	push(q, 3, pending{"d", lavendercourse.Batch, 100, 1, 0})
	for range 12 {
		i := q.Next(base, nil)
		q.Took(i)
		count[i.Team()]++
		q.Freed(i.Team())
	}
	assert.Assert(t, count["d"] == 2 || count["d"] == 3, "%v", count)
}

// Guards against queues without bound, and against a bound that keeps a large job out for ever.
func TestQueueBound(t *testing.T) {
	for _, tc := range []struct {
		name    string
		waiting int
		tasks   int
		admit   bool
	}{
		{"an empty queue takes a job of any size", 0, 50, true},
		{"up to the bound", 4, 6, true},
		{"above the bound", 4, 7, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := admission.New(admission.Config{Queue: 10})
			if tc.waiting > 0 {
				push(q, 0, pending{"a", lavendercourse.Batch, tc.waiting, 1, 0})
			}
			v := q.Admit("a", tc.tasks)
			assert.Equal(t, v == nil, tc.admit)
			if v != nil {
				assert.Equal(t, v.Outcome, lavendercourse.Refused)
				assert.Assert(t, !v.Ran && v.Retry > 0)
			}
			assert.Assert(t, q.Admit("b", tc.tasks) == nil, "another team has a bound of its own")
		})
	}
}

// Guards against counts that drift and teams that stay in memory when tasks are returned, freed and removed.
func TestQueueCounts(t *testing.T) {
	q := admission.New(admission.Config{})
	q.SetLimits("a", admission.Limits{Weight: 1, Share: 2})
	i := push(q, 0, pending{"a", lavendercourse.Batch, 3, 1, 0})
	assert.Equal(t, take(q, 5), "0 0")
	assert.DeepEqual(t, q.Demand(), map[string]int{"a": 3})
	q.Returned(i)
	assert.Equal(t, q.Waiting(), 2)
	assert.Equal(t, take(q, 5), "0")
	q.Freed("a")
	assert.Equal(t, take(q, 5), "0")
	assert.Assert(t, q.Next(base, nil) == nil)
	q.Returned(i)
	assert.Equal(t, q.Waiting(), 1, "the job waits again after its last task was returned")
	q.Remove(i.ID())
	q.Remove(i.ID())
	q.Freed("a")
	assert.Equal(t, q.Waiting(), 0)
	assert.Equal(t, len(q.Demand()), 0)
	for n := range 10 {
		team := fmt.Sprint("t", n)
		push(q, n, pending{team, lavendercourse.Batch, 1, 1, 0})
		take(q, 1)
		q.Freed(team)
	}
	assert.Equal(t, q.Teams(), 1, "only the team with limits of its own is remembered")
}
