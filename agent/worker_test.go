package agent_test

import (
	"net/http"
	"testing"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lavendercourse/lavendercourse/agent"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
	standin "github.com/lavendercourse/lavendercourse/standin/worker"
	"github.com/lavendercourse/lavendercourse/worker"
)

// Guards against an agent that offers a worker whose backend server is gone, that loses its pending tasks to it, or
// that claims "not run" for tasks which ran there.
func TestWorkerGoesAwayAndReturns(t *testing.T) {
	e := &scriptedEntry{done: map[uint32]message.Done{}}
	links := listen(t, "127.0.0.1:0")
	serve(t, links, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = link.Accept(w, r, link.Config{Handler: e})
	}))
	reserved := listen(t, "127.0.0.1:0")
	address := reserved.Addr().String()
	assert.NilError(t, reserved.Close())
	log := &lines{}
	a, err := agent.New(agent.Config{
		Name: "agent-1", Entries: []string{links.Addr().String()}, Clock: clock.NewSystem(), Logger: zerolog.New(log),
		// A start must not expire on a busy machine.
		Slots:   slot.Config{Slots: 2, Validity: clock.Minute, Lease: clock.Minute},
		Backend: worker.New(worker.Config{Address: address, Connections: 64}),
	})
	assert.NilError(t, err)
	t.Cleanup(a.Kill)

	// No hello before the first answer.
	log.await(t, event.WorkerDown, 1)
	assert.Equal(t, e.count(message.TypeHello), 0)

	w := standin.New(standin.Config{Name: "worker-1"})
	routes := mux.NewRouter()
	w.Register(routes)
	server := serve(t, listen(t, address), routes)
	e.await(t, message.TypeBeat, 1)
	assert.Equal(t, e.hello.Connections, 62)
	for task := range uint32(3) {
		e.start(t, task, "hang")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(w.Journal()); n < 2 {
			return poll.Continue("%d tasks run, want 2", n)
		}
		return poll.Success()
	}, patience...)

	assert.NilError(t, server.Close())
	assert.Equal(t, e.ended(t, 0).Status, message.StatusFailed)
	assert.Equal(t, e.ended(t, 1).Status, message.StatusFailed)
	assert.Equal(t, e.ended(t, 2).Status, message.StatusRefused)
	e.await(t, message.TypeLeave, 1)
	log.await(t, event.WorkerDown, 2)
	e.start(t, 3, "sleep")
	assert.Equal(t, e.ended(t, 3).Status, message.StatusRefused)
	assert.Equal(t, len(w.Journal()), 2)

	// A link that is made again during the outage is told of it before the first beat.
	e.mu.Lock()
	e.frames = nil
	e.link.Close()
	e.mu.Unlock()
	e.await(t, message.TypeBeat, 1)
	e.mu.Lock()
	assert.DeepEqual(t, e.frames[:3], []message.Type{message.TypeHello, message.TypeLeave, message.TypeBeat})
	e.mu.Unlock()

	beats := e.count(message.TypeBeat)
	serve(t, listen(t, address), routes)
	e.await(t, message.TypeHello, 2)
	e.await(t, message.TypeBeat, beats+1)
	log.await(t, event.WorkerUp, 2)
	e.start(t, 4, "sleep")
	assert.Equal(t, e.ended(t, 4).Status, message.StatusDone)
	assert.Equal(t, e.count(message.TypeLeave), 1)
}
