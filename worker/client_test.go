package worker_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	standin "github.com/lavendercourse/lavendercourse/standin/worker"
	"github.com/lavendercourse/lavendercourse/worker"
)

// Guards against more connections than the backend server accepts, and against pings and stops that wait behind running
// tasks.
func TestConnectionsAreBounded(t *testing.T) {
	backend := standin.New(standin.Config{Name: "worker-1"})
	router := mux.NewRouter()
	backend.Register(router)
	var mu sync.Mutex
	open, maxOpen := 0, 0
	server := httptest.NewUnstartedServer(router)
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch s {
		case http.StateNew:
			open++
			maxOpen = max(maxOpen, open)
		case http.StateClosed, http.StateHijacked:
			open--
		}
	}
	server.Start()
	defer server.Close()
	c := worker.New(worker.Config{Address: server.Listener.Addr().String(), Connections: 64})
	ctx, cancel := context.WithCancel(t.Context())
	job := lavendercourse.NewJobID("owner", 1, "tag")
	var work sync.WaitGroup
	for task := range uint32(80) {
		work.Go(func() {
			_, _ = c.Run(ctx, lavendercourse.Work{Key: lavendercourse.NewTaskKey(job, task), Kind: "hang"})
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(backend.Journal()); n < 62 {
			return poll.Continue("%d tasks are running, want 62", n)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
	var control sync.WaitGroup
	for range 10 {
		control.Go(func() { assert.Check(t, c.Ping(t.Context())) })
		control.Go(func() { assert.Check(t, c.Stop(t.Context(), lavendercourse.NewTaskKey(job, 1000))) })
	}
	control.Wait()
	assert.Equal(t, len(backend.Journal()), 62)
	mu.Lock()
	assert.Equal(t, maxOpen, 64)
	mu.Unlock()
	cancel()
	work.Wait()
}
