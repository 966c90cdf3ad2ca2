package telemetry_test

import (
	"encoding/json"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lavendercourse/lavendercourse/event"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	standinplatform "github.com/lavendercourse/lavendercourse/standin/platform"
)

// has tells whether a line of the event holds all fields.
func (s *site) has(e event.Event, fields map[string]any) poll.Check {
	return func(poll.LogT) poll.Result {
		for _, line := range s.logged() {
			if line["event"] != float64(e.Number()) {
				continue
			}
			match := true
			for name, value := range fields {
				match = match && line[name] == value
			}
			if match {
				return poll.Success()
			}
		}
		return poll.Continue("no line of event %d with %v", e.Number(), fields)
	}
}

func (s *site) logged() []map[string]any {
	var lines []map[string]any
	for _, text := range strings.Split(s.lines.String(), "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against a failure that an operator cannot follow in the log.
func TestLogTellsFailures(t *testing.T) {
	s := newSite(t)
	_, err := s.operator(t, 0).SetDomain(t.Context(), connect.NewRequest(&dispatchv1.SetDomainRequest{Domain: "sapporo", Drained: true}))
	assert.NilError(t, err)
	poll.WaitOn(t, s.has(event.ConfigPublished, map[string]any{"key": "domain.sapporo", "value": "drained"}), patience...)
	poll.WaitOn(t, s.has(event.ConfigChanged, map[string]any{"key": "domain.sapporo", "value": "drained", "version": 1.0}), patience...)
	poll.WaitOn(t, s.has(event.DomainDrained, map[string]any{"domain": "sapporo"}), patience...)
	_, err = s.operator(t, 0).SetDomain(t.Context(), connect.NewRequest(&dispatchv1.SetDomainRequest{Domain: "sapporo"}))
	assert.NilError(t, err)
	poll.WaitOn(t, s.has(event.DomainRestored, map[string]any{"domain": "sapporo"}), patience...)

	_, err = s.operator(t, 0).PublishConfig(t.Context(), connect.NewRequest(&dispatchv1.PublishConfigRequest{Key: "team.survey.quota", Value: "3", Base: 7}))
	assert.NilError(t, err)
	poll.WaitOn(t, s.has(event.ConfigRefused, map[string]any{"key": "team.survey.quota"}), patience...)

	// Five failures in a row eject the worker; a task that ends well readmits it.
	c := s.client(t, 0, nil)
	for range 5 {
		_, err := submit(t.Context(), c, "", "fail", "", 1)
		assert.NilError(t, err)
	}
	poll.WaitOn(t, s.has(event.JobFailed, map[string]any{"team": "survey", "reason": "task"}), patience...)
	poll.WaitOn(t, s.has(event.WorkerEjected, map[string]any{"agent": "agent-1"}), patience...)
	_, err = submit(t.Context(), c, "", "sleep", "1", 1)
	assert.NilError(t, err)
	poll.WaitOn(t, s.has(event.WorkerReady, map[string]any{"agent": "agent-1"}), patience...)

	s.log.SetFaults(standinplatform.Faults{Down: true})
	poll.WaitOn(t, s.has(event.LogUnavailable, nil), patience...)
	poll.WaitOn(t, s.has(event.AppendFailed, map[string]any{"stream": "member"}), patience...)
	s.log.SetFaults(standinplatform.Faults{})
	poll.WaitOn(t, s.has(event.LogAvailable, nil), patience...)

	s.entries[1].Kill()
	poll.WaitOn(t, s.has(event.LinkClosed, map[string]any{"peer": "entry-2"}), patience...)
	poll.WaitOn(t, s.has(event.LinkFailed, nil), patience...)
}

// Guards against a log that grows with the number of tasks.
func TestNoLinePerTask(t *testing.T) {
	s := newSite(t)
	c := s.client(t, 0, nil)
	id, err := c.Reserve(t.Context())
	assert.NilError(t, err)
	resp, err := submit(t.Context(), c, id, "sleep", "1", 40)
	assert.NilError(t, err)
	assert.Equal(t, len(resp.GetResults()), 40)
	for _, line := range s.logged() {
		if line["level"] != "debug" {
			assert.Assert(t, line["job"] != id, "%v", line)
		}
	}
}
