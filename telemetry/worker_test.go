package telemetry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/event"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// Guards against an agent that joins or stays in service while its backend server is down, loses its pending tasks, or
// reports "not run" for tasks that ran.
func TestBackendServerOutage(t *testing.T) {
	s := newCluster(t)
	s.awaitEvent(event.WorkerDown, nil)
	assert.Equal(t, s.workerCount(0)+s.workerCount(1), 0)
	assert.Assert(t, !s.hasEvent(event.AgentJoined, nil), "the agent joined before the backend server answered")
	s.startBackend()
	s.await("the agent joins", func() bool { return s.workerCount(0) == 1 })

	// A worker gets more than two tasks at once only after some tasks have succeeded.
	c := s.client(0, nil)
	_, err := submit(t.Context(), c, "", "sleep", "1", 4)
	assert.NilError(t, err)
	startedBefore := len(s.worker.Journal())
	responses := make(chan *dispatchv1.SubmitResponse, 2)
	var waitingID string
	// An entry sends a task to wait at an agent only if the entry has no other task there. The second job therefore goes
	// through the other entry.
	for i, tasks := range []int{2, 1} {
		c = s.client(i, nil)
		waitingID, err = c.Reserve(t.Context())
		assert.NilError(t, err)
		id := waitingID
		go func() {
			resp, _ := submit(t.Context(), c, id, "hang", "", tasks)
			responses <- resp
		}()
		s.await("tasks are at the agent", func() bool {
			resp, err := c.Status(t.Context(), id)
			return err == nil && int(resp.GetRunning()) == tasks
		})
	}
	s.await("one task is pending", func() bool { return s.hasMetric(s.metrics, "pending 1") && s.hasMetric(s.metrics, "running 2") })
	s.await("both slots are in use", func() bool { return len(s.worker.Journal()) == startedBefore+2 })

	s.backend.Listener.Close()
	s.backend.CloseClientConnections()
	failed := (<-responses).GetVerdict()
	assert.Equal(t, failed.GetOutcome(), dispatchv1.Outcome_OUTCOME_FAILED)
	assert.Equal(t, failed.GetRan(), dispatchv1.Ran_RAN_SOME)
	s.await("the entry no longer lists the worker", func() bool { return s.workerCount(0) == 0 })
	assert.Assert(t, s.hasEvent(event.StartRefused, map[string]any{"job": waitingID, "cause": "backend server does not answer"}))
	assert.Equal(t, len(s.worker.Journal()), startedBefore+2)

	s.startBackend()
	s.await("the waiting task runs", func() bool { return len(s.worker.Journal()) == startedBefore+3 })
	s.awaitEvent(event.WorkerUp, nil)
	assert.Equal(t, s.worker.Journal()[startedBefore+2].Job, waitingID)
	_, err = c.Cancel(t.Context(), waitingID)
	assert.NilError(t, err)
	<-responses
	// The cleanup kills the agent a second time. That call must return too.
	s.agent.Kill()
}
