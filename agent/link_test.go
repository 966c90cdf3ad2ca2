package agent_test

import (
	"net/http"
	"testing"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/agent"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	standin "github.com/lavendercourse/lavendercourse/standin/worker"
	"github.com/lavendercourse/lavendercourse/worker"
)

// Guards against two links to an entry that is both known and a seed: each side may keep another one of them.
func TestSeedIsDialedOnce(t *testing.T) {
	e := &scriptedEntry{done: map[uint32]message.Done{}}
	links := listen(t, "127.0.0.1:0")
	serve(t, links, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = link.Accept(w, r, link.Config{Handler: e})
	}))
	routes := mux.NewRouter()
	standin.New(standin.Config{}).Register(routes)
	l := listen(t, "127.0.0.1:0")
	serve(t, l, routes)
	a, err := agent.New(agent.Config{
		Name: "agent-1", Entries: []string{links.Addr().String()}, Clock: clock.NewSystem(), Logger: zerolog.Nop(),
		Backend: worker.New(worker.Config{Address: l.Addr().String()}),
	})
	assert.NilError(t, err)
	t.Cleanup(a.Kill)
	e.await(t, message.TypeBeat, 1)
	e.mu.Lock()
	e.frames = nil
	e.link.Close()
	e.mu.Unlock()
	// Two beats are more than one round of dials apart.
	e.await(t, message.TypeBeat, 2)
	assert.Equal(t, e.count(message.TypeHello), 1)
}
