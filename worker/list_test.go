package worker_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/schema/worker/v1/workerv1connect"
	standin "github.com/lavendercourse/lavendercourse/standin/worker"
	"github.com/lavendercourse/lavendercourse/worker"
)

func newTestClient(t *testing.T, h http.Handler) *worker.Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return worker.New(worker.Config{Address: strings.TrimPrefix(server.URL, "http://")})
}

// Guards against a running task that the list leaves out, and against one that it holds after its end.
func TestListHoldsRunningTasks(t *testing.T) {
	router := mux.NewRouter()
	standin.New(standin.Config{Name: "worker-1"}).Register(router)
	c := newTestClient(t, router)
	key := lavendercourse.NewTaskKey(lavendercourse.NewJobID("owner", 1, "tag"), 3)
	awaitList := func(want ...lavendercourse.TaskKey) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			got, err := c.List(t.Context())
			if err != nil {
				return poll.Error(err)
			}
			if len(got) != len(want) || len(got) == 1 && got[0] != want[0] {
				return poll.Continue("the list is %v, want %v", got, want)
			}
			return poll.Success()
		}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
	}
	awaitList()
	ended := make(chan error, 1)
	go func() {
		_, err := c.Run(t.Context(), lavendercourse.Work{Key: key, Kind: "hang"})
		ended <- err
	}()
	awaitList(key)
	assert.NilError(t, c.Stop(t.Context(), key))
	assert.NilError(t, <-ended)
	awaitList()
}

// Guards against a backend server without the list that is taken for one that does not answer, and the other way round.
func TestListThatIsNotOffered(t *testing.T) {
	_, unimplemented := workerv1connect.NewWorkerServiceHandler(workerv1connect.UnimplementedWorkerServiceHandler{})
	for _, tc := range []struct {
		name    string
		handler http.Handler
		want    error
	}{
		{"not implemented", unimplemented, lavendercourse.ErrNoList},
		{"not found", http.NotFoundHandler(), lavendercourse.ErrNoList},
		{"unavailable", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}), worker.ErrUnanswered},
		{"internal error", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}), worker.ErrUnanswered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := newTestClient(t, tc.handler).List(t.Context())
			assert.Assert(t, eris.Is(err, tc.want), "%v", err)
		})
	}
}
