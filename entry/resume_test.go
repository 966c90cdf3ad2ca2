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

// collected passes on the frames that an agent's side of a link receives.
type collected struct{ frames chan message.Frame }

func (c collected) Frame(_ *link.Link, f message.Frame) error {
	c.frames <- f
	return nil
}

func (collected) Closed(*link.Link) {}

// Guards against tasks of a cancelled job that run on because the stop was lost with the link.
func TestResumeStopsTasksOfEndedJobs(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	c := newCore(Config{Name: "e", Clock: now})
	r := &router{core: c, peer: newExchange(t.Context(), c)}
	s := httptest.NewServer(http.HandlerFunc(r.serveLink))
	defer s.Close()
	c.fleet.Join(now.Now(), message.Hello{Name: "a", Incarnation: "inc", Slots: 8})
	c.agents["a"] = &agentLink{}
	ids, err := c.jobs.Reserve(now.Now(), 1)
	assert.NilError(t, err)
	j := c.jobs.Add(now.Now(), ids[0], job.Spec{Tasks: make([]job.Task, 1)})
	as, ok := c.jobs.Take(now.Now(), j, "a")
	assert.Assert(t, ok)
	c.fleet.Sent(now.Now(), "a", placement.Attempt{Key: as.Key, Attempt: as.Attempt}, false)
	c.jobs.Fail(now.Now(), j, lavendercourse.ReasonCancelled, "")
	c.settle()

	agent := collected{frames: make(chan message.Frame, 8)}
	l, err := link.NewDialer(nil).Dial(t.Context(), strings.TrimPrefix(s.URL, "http://"), link.Config{Handler: agent})
	assert.NilError(t, err)
	defer l.Close()
	assert.NilError(t, l.Send(message.TypeHello, 0, message.Hello{Kind: message.KindAgent, Name: "a", Incarnation: "inc", Slots: 8}))
	for _, want := range []message.Type{message.TypeWelcome, message.TypeStop, message.TypeResume} {
		assert.Equal(t, (<-agent.frames).Type, want)
	}
}
