package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// Guards against an owner that was paused past the end of its lease and, before its first tick, reports the outcome of
// a job that the other entries have declared failed.
func TestNoOutcomeAfterLeaseExpiredDuringPause(t *testing.T) {
	scenarios := []struct {
		name    string
		verdict func(d *dispatchService, id lavendercourse.JobID) *dispatchv1.Verdict
	}{
		{"status", func(d *dispatchService, id lavendercourse.JobID) *dispatchv1.Verdict {
			return d.status(id).GetVerdict()
		}},
		{"cancel", func(d *dispatchService, id lavendercourse.JobID) *dispatchv1.Verdict {
			return d.cancel(id).GetVerdict()
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			now := clock.NewManual(clock.Minute)
			c := newCore(Config{Name: "a", Clock: now})
			c.entryNames = []string{"a", "b", "c"}
			c.quorum.Acknowledged("b", now.Now(), 0, true)
			c.refreshQuorumState(now.Now())
			ids, err := c.jobs.Reserve(now.Now(), 1)
			assert.NilError(t, err)
			j := c.jobs.Add(now.Now(), ids[0], job.Spec{Tasks: make([]job.Task, 1)})
			assigned, ok := c.jobs.AssignTask(now.Now(), j, "agent")
			assert.Assert(t, ok)
			c.jobs.TaskDone(now.Now(), assigned.Key, "agent", assigned.Attempt, nil)
			d := newDispatchService(c, nil)
			assert.Equal(t, s.verdict(d, ids[0]).GetOutcome(), dispatchv1.Outcome_OUTCOME_COMPLETE)
			now.Advance(c.quorum.Lease() + 1)
			assert.Equal(t, s.verdict(d, ids[0]).GetReason(), dispatchv1.Reason_REASON_OWNER)
		})
	}
}
