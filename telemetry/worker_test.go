package telemetry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/event"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// Guards against an agent that offers a worker whose backend server is gone, that loses its pending tasks to it, or
// that claims "not run" for tasks which ran there.
func TestWorkerGoesAwayAndReturns(t *testing.T) {
	s := newSite(t)
	s.awaitEvent(event.WorkerDown, nil)
	assert.Equal(t, s.workers(0)+s.workers(1), 0)
	assert.Assert(t, !s.lists(event.AgentJoined, nil), "hello before the first answer")
	s.startBackend()
	s.await("the agent joins", func() bool { return s.workers(0) == 1 })

	// A worker gets more than two tasks at once only after some have ended well.
	c := s.client(0, nil)
	_, err := submit(t.Context(), c, "", "sleep", "1", 4)
	assert.NilError(t, err)
	started := len(s.worker.Journal())
	ends := make(chan *dispatchv1.SubmitResponse, 2)
	var waiting string
	// An entry lets a task wait at an agent only if it has no other there, so the second job goes through the other entry.
	for i, tasks := range []int{2, 1} {
		c = s.client(i, nil)
		waiting, err = c.Reserve(t.Context())
		assert.NilError(t, err)
		id := waiting
		go func() {
			resp, _ := submit(t.Context(), c, id, "hang", "", tasks)
			ends <- resp
		}()
		s.await("tasks are at the agent", func() bool {
			resp, err := c.Status(t.Context(), id)
			return err == nil && int(resp.GetRunning()) == tasks
		})
	}
	s.await("one task is pending", func() bool { return s.metric(s.metrics, "pending 1") && s.metric(s.metrics, "running 2") })
	s.await("both slots are in use", func() bool { return len(s.worker.Journal()) == started+2 })

	s.backend.Listener.Close()
	s.backend.CloseClientConnections()
	failed := (<-ends).GetVerdict()
	assert.Equal(t, failed.GetOutcome(), dispatchv1.Outcome_OUTCOME_FAILED)
	assert.Equal(t, failed.GetRan(), dispatchv1.Ran_RAN_SOME)
	s.await("the entry is told", func() bool { return s.workers(0) == 0 })
	assert.Assert(t, s.lists(event.StartRefused, map[string]any{"job": waiting, "cause": "backend server does not answer"}))
	assert.Equal(t, len(s.worker.Journal()), started+2)

	s.startBackend()
	s.await("the waiting task runs", func() bool { return len(s.worker.Journal()) == started+3 })
	s.awaitEvent(event.WorkerUp, nil)
	assert.Equal(t, s.worker.Journal()[started+2].Job, waiting)
	_, err = c.Cancel(t.Context(), waiting)
	assert.NilError(t, err)
	<-ends
	// The cleanup kills the agent again, which must return too.
	s.agent.Kill()
}
