package process

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

const (
	complete = dispatchv1.Outcome_OUTCOME_COMPLETE
	failed   = dispatchv1.Outcome_OUTCOME_FAILED
	refused  = dispatchv1.Outcome_OUTCOME_REFUSED
	unknown  = dispatchv1.Outcome_OUTCOME_UNKNOWN
)

// TestResubmission guards against tasks that start again, and contradictory answers, when the same id is submitted more
// than once (promises 1, 2 and 5).
func TestResubmission(t *testing.T) {
	c := newCluster(t)
	l := &ledger{}

	t.Log("the same id to three entries at once")
	req := newJob(50, 50)
	c.reserveID(0, req)
	parallel(entryCount, func(i int) {
		assert.Check(t, c.submit(l, i, req).GetOutcome() == complete)
	})
	assert.Equal(t, c.journal().startCount(req.GetId()), 50)

	t.Log("the same id with another body")
	other := newJob(50, 10)
	other.Id = req.GetId()
	for i := range entryCount {
		resp, err := c.dispatchClient(i).Submit(context.Background(), connect.NewRequest(other))
		assert.NilError(t, err)
		assert.Equal(t, resp.Msg.GetVerdict().GetReason(), dispatchv1.Reason_REASON_CONFLICT)
		l.add(answer{request: other, id: other.GetId(), verdict: resp.Msg.GetVerdict(), results: resp.Msg.GetResults(), conflicting: true})
	}
	assert.Equal(t, c.journal().startCount(req.GetId()), 50)

	t.Log("the same id after the caller missed the first answer")
	req = newJob(50, 100)
	c.reserveID(0, req)
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	lost, err := c.dispatchClient(0).Submit(ctx, connect.NewRequest(req))
	cancel()
	// The entry knows the caller's deadline and may answer just before it that the outcome is unknown.
	assert.Check(t, err != nil || lost.Msg.GetVerdict().GetOutcome() == unknown, "the job was answered before the caller's deadline of 150 ms: %v", lost)
	assert.Equal(t, c.submit(l, 1, req).GetOutcome(), complete)

	t.Log("the same id while the owner is paused for less than its quorum lease")
	req = newJob(200, 100)
	c.reserveID(0, req)
	parallel(entryCount, func(i int) {
		if i == 0 {
			time.Sleep(300 * time.Millisecond)
			c.entries[0].pause()
			time.Sleep(2 * time.Second)
			c.entries[0].resume()
			return
		}
		assert.Check(t, c.submit(l, i, req).GetOutcome() == complete)
	})
	checkNoFindings(t, l.verify(c.journal()))
}

// TestOwnerPaused guards against an owner that is paused, declared gone by the other entries and then resumed, and
// still answers for its jobs (promises 1, 2 and 5).
func TestOwnerPaused(t *testing.T) {
	c := newCluster(t)
	l := &ledger{}
	ended, running := newJob(20, 10), newJob(400, 100)
	c.reserveID(0, ended)
	c.reserveID(0, running)
	assert.Equal(t, c.submit(&ledger{}, 0, ended).GetOutcome(), complete)
	go func() { _, _ = c.dispatchClient(0).Submit(context.Background(), connect.NewRequest(running)) }()
	c.eventually(c.anyStarted(running))
	c.entries[0].pause()
	parallel(4, func(i int) {
		v := c.submit(l, 1+i%2, []*dispatchv1.SubmitRequest{ended, running}[i/2])
		assert.Check(t, v.GetOutcome() == failed, "%v", v)
	})
	// These requests wait in the socket of the paused owner, so it reads them first once it resumes.
	go func() {
		time.Sleep(time.Second)
		c.entries[0].resume()
	}()
	parallel(40, func(i int) {
		req := []*dispatchv1.SubmitRequest{ended, running}[i%2]
		switch i % 4 {
		case 0, 1:
			c.submit(l, 0, req)
		default:
			resp, err := c.dispatchClient(0).Status(context.Background(), connect.NewRequest(&dispatchv1.StatusRequest{Id: req.GetId()}))
			if err == nil {
				l.add(answer{id: req.GetId(), verdict: resp.Msg.GetVerdict()})
			}
		}
	})
	c.waitReady()
	c.waitJobsComplete(l)
	checkNoFindings(t, l.verify(c.journal()))
}

// TestOwnerKilled guards against tasks that start again after the owner of their job was killed and replaced
// (promises 1, 2 and 5).
func TestOwnerKilled(t *testing.T) {
	c := newCluster(t)
	l := &ledger{}
	req := newJob(1100, 100)
	c.reserveID(0, req)
	go func() { _, _ = c.dispatchClient(0).Submit(context.Background(), connect.NewRequest(req)) }()
	c.eventually(c.anyStarted(req))
	c.entries[0].kill()
	parallel(2, func(i int) {
		if i == 0 {
			time.Sleep(2 * time.Second)
			c.entries[0].start(t)
		}
		v := c.submit(l, 1+i, req)
		assert.Check(t, v.GetOutcome() == failed && v.GetRan() == dispatchv1.Ran_RAN_SOME, "%v", v)
	})
	assert.Check(t, c.submit(l, 0, req).GetOutcome() != complete)
	c.waitReady()
	// Agents stop the tasks of the killed owner when their lease ends.
	c.waitJobsComplete(l)
	checkNoFindings(t, l.verify(c.journal()))
}

// anyStarted returns a check that a task of one of the jobs has started.
func (c *cluster) anyStarted(reqs ...*dispatchv1.SubmitRequest) func() error {
	return func() error {
		j := c.journal()
		for _, req := range reqs {
			if j.startCount(req.GetId()) > 0 {
				return nil
			}
		}
		return context.DeadlineExceeded
	}
}

// waitJobsComplete submits jobs through each entry in turn until one through it completes.
func (c *cluster) waitJobsComplete(l *ledger) {
	c.t.Helper()
	for i := range entryCount {
		c.eventually(func() error {
			req := newJob(40, 10)
			c.reserveID(i, req)
			if v := c.submit(l, i, req); v.GetOutcome() != complete {
				return context.DeadlineExceeded
			}
			return nil
		})
	}
}
