package telemetry_test

import (
	"encoding/json"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	standinplatform "github.com/lavendercourse/lavendercourse/standin/platform"
)

// hasEvent returns whether the log has a line of the event with all given fields.
func (s *testCluster) hasEvent(e event.Event, fields map[string]any) bool {
	for _, text := range s.logBuffer.lines() {
		var line map[string]any
		if json.Unmarshal(text, &line) != nil || line["event"] != float64(e.Number()) {
			continue
		}
		match := true
		for name, value := range fields {
			match = match && line[name] == value
		}
		if match {
			return true
		}
	}
	return false
}

func (s *testCluster) awaitEvent(e event.Event, fields map[string]any) {
	s.Helper()
	s.await(e.Text(), func() bool { return s.hasEvent(e, fields) })
}

type noopHandler struct{}

func (noopHandler) HandleFrame(*link.Link, message.Frame) error { return nil }
func (noopHandler) Closed(*link.Link)                           {}

// Guards against failures and configuration changes that are missing from the log.
func TestLogReportsFailures(t *testing.T) {
	s := newReadyCluster(t)
	for _, drained := range []bool{true, false} {
		_, err := s.operator(0).SetDomain(t.Context(), connect.NewRequest(&dispatchv1.SetDomainRequest{Domain: "sapporo", Drained: drained}))
		assert.NilError(t, err)
	}
	s.awaitEvent(event.ConfigPublished, map[string]any{"key": "domain.sapporo", "value": "drained"})
	s.awaitEvent(event.ConfigChanged, map[string]any{"key": "domain.sapporo", "value": "drained", "version": 1.0})
	s.awaitEvent(event.DomainDrained, map[string]any{"domain": "sapporo"})
	s.awaitEvent(event.DomainRestored, map[string]any{"domain": "sapporo"})
	_, err := s.operator(0).PublishConfig(t.Context(), connect.NewRequest(&dispatchv1.PublishConfigRequest{Key: "team.survey.quota", Value: "3", Base: 7}))
	assert.NilError(t, err)
	s.awaitEvent(event.ConfigRefused, map[string]any{"key": "team.survey.quota"})

	// Five failures in a row eject a worker, and a successful task readmits it. At most a third of the workers can be
	// ejected, so two more are started in a drained failure domain, where they get no tasks.
	_, err = s.operator(0).SetDomain(t.Context(), connect.NewRequest(&dispatchv1.SetDomainRequest{Domain: "asahikawa", Drained: true}))
	assert.NilError(t, err)
	s.startAgent("agent-2", "asahikawa", nil)
	s.startAgent("agent-3", "asahikawa", nil)
	s.await("three workers are linked to the entry", func() bool { return s.workerCount(0) == 3 })
	c := s.client(0, nil)
	for range 5 {
		_, err := submit(t.Context(), c, "", "fail", "", 1)
		assert.NilError(t, err)
	}
	s.awaitEvent(event.JobFailed, map[string]any{"team": "survey", "reason": "task"})
	s.awaitEvent(event.WorkerEjected, map[string]any{"agent": "agent-1"})
	id, err := c.Reserve(t.Context())
	assert.NilError(t, err)
	_, err = submit(t.Context(), c, id, "sleep", "1", 9)
	assert.NilError(t, err)
	s.awaitEvent(event.WorkerReadmitted, map[string]any{"agent": "agent-1"})
	assert.Assert(t, !s.hasEvent(event.StartRefused, map[string]any{"level": "info"}))
	assert.Assert(t, !s.hasEvent(event.JobFailed, map[string]any{"job": id}))

	s.log.SetFaults(standinplatform.Faults{Down: true})
	s.awaitEvent(event.LogUnavailable, nil)
	s.awaitEvent(event.AppendFailed, map[string]any{"stream": "member"})
	s.log.SetFaults(standinplatform.Faults{})
	s.awaitEvent(event.LogAvailable, nil)
	// The entry rejects a beat frame that arrives before the hello frame.
	l, err := link.NewDialer(nil).Dial(t.Context(), s.links[0], link.Config{Handler: noopHandler{}})
	assert.NilError(t, err)
	assert.NilError(t, l.Send(message.TypeHeartbeat, 0, message.Load{}))
	<-l.Done()
	s.awaitEvent(event.LinkRejected, map[string]any{"error": "beat: malformed frame: message was rejected"})
	// The cleanup kills the entry a second time. That call must return too.
	s.entries[1].Kill()
	s.awaitEvent(event.LinkClosed, map[string]any{"peer": "entry-2"})
	s.awaitEvent(event.DialFailed, nil)
}
