package agent_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/agent"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
)

// lateStartEntry is an entry that handles the leave of an agent 200 ms late and then sends a start, as if it had been
// sent before the leave arrived.
type lateStartEntry struct {
	mu         sync.Mutex
	agent      string
	heartbeats int
	done       []message.Done
}

func (e *lateStartEntry) HandleFrame(l *link.Link, f message.Frame) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Type {
	case message.TypeHello:
		var h message.Hello
		err := f.DecodeBody(&h)
		e.agent = h.Incarnation
		return errors.Join(err, l.Send(message.TypeWelcome, 0, message.Welcome{Name: "e1", Incarnation: "inc"}))
	case message.TypeHeartbeat:
		e.heartbeats++
		return l.Send(message.TypeRenew, f.Number, message.Renew{Incarnation: "inc"})
	case message.TypeLeave:
		time.Sleep(200 * time.Millisecond)
		id := lavendercourse.NewJobID("inc", 0, "tag").String()
		return l.Send(message.TypeStart, 0, message.Start{Job: id, Attempt: 1, Agent: e.agent, Kind: "sleep"})
	case message.TypeDone:
		var d message.Done
		err := f.DecodeBody(&d)
		e.done = append(e.done, d)
		return err
	}
	return nil
}

func (e *lateStartEntry) Closed(*link.Link) {}

// healthyBackend answers polls and runs nothing.
type healthyBackend struct{ lavendercourse.Backend }

func (healthyBackend) Ping(context.Context) error { return nil }

func (healthyBackend) List(context.Context) ([]lavendercourse.TaskKey, error) { return nil, nil }

// Guards against closing the links in Stop while a start is in flight. The start would get no reply, so the entry could
// not tell that the task did not run and would fail the job.
func TestStopAnswersStartsInFlight(t *testing.T) {
	e := &lateStartEntry{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = link.Accept(w, req, link.Config{Handler: e})
	}))
	defer server.Close()
	a, err := agent.New(agent.Config{
		Name: "w1", Seeds: []string{strings.TrimPrefix(server.URL, "http://")},
		Backend: healthyBackend{}, Clock: clock.NewSystem(),
	})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.heartbeats > 0 {
			return poll.Success()
		}
		return poll.Continue("no heartbeat yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.NilError(t, a.Stop(ctx))
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, len(e.done), 1)
	assert.Equal(t, e.done[0].Status, message.StatusRefused)
}
