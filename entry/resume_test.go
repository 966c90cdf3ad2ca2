package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
)

// frameCollector passes on the frames received at the agent's end of a link.
type frameCollector struct{ frames chan message.Frame }

func (c frameCollector) HandleFrame(_ *link.Link, f message.Frame) error {
	c.frames <- f
	return nil
}

func (frameCollector) Closed(*link.Link) {}

// Guards against tasks of a cancelled job that keep running because the stop frame was lost when the link closed.
func TestResumeStopsTasksOfEndedJobs(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	c := newCore(Config{Name: "e", Clock: now})
	r := &linkHandler{core: c, exchange: newPeerExchange(t.Context(), c)}
	s := httptest.NewServer(http.HandlerFunc(r.serveLink))
	defer s.Close()
	c.fleet.Join(now.Now(), message.Hello{Name: "a", Incarnation: "inc", Slots: 8})
	c.agents["a"] = &agentLink{}
	ids, err := c.jobs.Reserve(now.Now(), 1)
	assert.NilError(t, err)
	j := c.jobs.Add(now.Now(), ids[0], job.Spec{Tasks: make([]job.Task, 1)})
	assigned, ok := c.jobs.AssignTask(now.Now(), j, "a")
	assert.Assert(t, ok)
	c.fleet.Sent(now.Now(), "a", placement.Attempt{Key: assigned.Key, Attempt: assigned.Attempt}, false)
	c.jobs.Fail(now.Now(), j, lavendercourse.ReasonCancelled, "")
	c.finishEndedJobs()

	agent := frameCollector{frames: make(chan message.Frame, 8)}
	l, err := link.NewDialer(nil).Dial(t.Context(), strings.TrimPrefix(s.URL, "http://"), link.Config{Handler: agent})
	assert.NilError(t, err)
	defer l.Close()
	assert.NilError(t, l.Send(message.TypeHello, 0, message.Hello{Kind: message.KindAgent, Name: "a", Incarnation: "inc", Slots: 8}))
	for _, want := range []message.Type{message.TypeWelcome, message.TypeStop, message.TypeResume} {
		assert.Equal(t, (<-agent.frames).Type, want)
	}
}
