package telemetry_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lavendercourse/lavendercourse/agent"
	"github.com/lavendercourse/lavendercourse/caller"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/entry"
	"github.com/lavendercourse/lavendercourse/logservice"
	"github.com/lavendercourse/lavendercourse/placement"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
	"github.com/lavendercourse/lavendercourse/slot"
	standinplatform "github.com/lavendercourse/lavendercourse/standin/platform"
	standinworker "github.com/lavendercourse/lavendercourse/standin/worker"
	"github.com/lavendercourse/lavendercourse/telemetry"
	"github.com/lavendercourse/lavendercourse/worker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// site is the log, two entries, one agent and one backend server in this process.
type site struct {
	*testing.T
	entries []*entry.Entry
	callers []string
	links   []string
	agent   *agent.Agent
	metrics string
	spans   *tracetest.InMemoryExporter
	lines   *lines
	log     *standinplatform.Log
	worker  *standinworker.Worker
	backend *httptest.Server
}

// newSite starts everything but the backend server.
func newSite(t *testing.T) *site {
	s := &site{T: t, spans: tracetest.NewInMemoryExporter(), lines: &lines{}, log: standinplatform.New(standinplatform.Config{})}
	s.worker = standinworker.New(standinworker.Config{Name: "worker-1", Tracer: s.tracer("worker-1")})
	log := s.serve(s.log, s.listen("127.0.0.1:0")).Listener.Addr().String()
	for _, name := range []string{"entry-1", "entry-2"} {
		policy, err := placement.NewPolicy("home")
		assert.NilError(t, err)
		callers, l := s.listen("127.0.0.1:0"), s.listen("127.0.0.1:0")
		e, err := entry.New(entry.Config{
			Name: name, Domain: "sapporo", Callers: callers, Links: l, Advertise: l.Addr().String(), Seeds: s.links,
			Log: logservice.New(logservice.Config{Address: log}), Policy: policy, Clock: clock.NewSystem(),
			Logger: zerolog.New(s.lines), Tracer: s.tracer(name),
		})
		assert.NilError(t, err)
		t.Cleanup(e.Kill)
		s.entries, s.callers, s.links = append(s.entries, e), append(s.callers, callers.Addr().String()), append(s.links, l.Addr().String())
	}
	metrics, free := s.listen("127.0.0.1:0"), s.listen("127.0.0.1:0")
	assert.NilError(t, free.Close())
	s.backend = &httptest.Server{Listener: free}
	s.agent, s.metrics = s.startAgent("agent-1", "sapporo", metrics), metrics.Addr().String()
	return s
}

// startAgent starts an agent beside the backend server.
func (s *site) startAgent(name, domain string, metrics net.Listener) *agent.Agent {
	a, err := agent.New(agent.Config{
		Name: name, Domain: domain, Entries: s.links, Clock: clock.NewSystem(), Metrics: metrics,
		Logger: zerolog.New(s.lines), Tracer: s.tracer(name), Slots: slot.Config{Slots: 2},
		Backend: worker.New(worker.Config{Address: s.backend.Listener.Addr().String(), Tracer: s.tracer(name)}),
	})
	assert.NilError(s, err)
	s.Cleanup(a.Kill)
	return a
}

// newReadySite starts everything and waits until an entry can forward to the other and the agent is linked to both.
func newReadySite(t *testing.T) *site {
	s := newSite(t)
	s.startBackend()
	s.await("entries and agent are linked", func() bool {
		for i := range s.callers {
			code, _ := s.get(s.callers[i], "/health")
			if code != http.StatusOK || s.workers(i) == 0 || !s.metric(s.callers[i], "peers 1") {
				return false
			}
		}
		return true
	})
	return s
}

func (s *site) startBackend() {
	s.backend = s.serve(s.worker, s.listen(s.backend.Listener.Addr().String()))
}

// await polls with a limit far above what any step needs, so that a busy machine does not fail a test.
func (s *site) await(what string, done func() bool) {
	s.Helper()
	poll.WaitOn(s, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
}

func (s *site) tracer(name string) *telemetry.Tracer {
	tracer, err := telemetry.NewTracer(s.Context(), telemetry.TraceConfig{Name: name, Share: 1, Spans: s.spans})
	assert.NilError(s, err)
	return tracer
}

func (s *site) client(i int, tracer *telemetry.Tracer) *caller.Client {
	return caller.New(caller.Config{Address: s.callers[i], HTTP: s.http(), Tracer: tracer})
}

func (s *site) operator(i int) dispatchv1connect.OperatorServiceClient {
	return dispatchv1connect.NewOperatorServiceClient(s.http(), "http://"+s.callers[i])
}

// workers returns the number of workers that take work from an entry.
func (s *site) workers(i int) int {
	resp, err := s.operator(i).ListWorkers(s.Context(), connect.NewRequest(&dispatchv1.ListWorkersRequest{}))
	n := 0
	for _, w := range resp.Msg.GetWorkers() {
		if w.GetHealth() != "leaving" {
			n++
		}
	}
	assert.NilError(s, err)
	return n
}

func (s *site) serve(service interface{ Register(r *mux.Router) }, l net.Listener) *httptest.Server {
	r := mux.NewRouter()
	service.Register(r)
	server := httptest.NewUnstartedServer(r)
	assert.NilError(s, server.Listener.Close())
	server.Listener = l
	server.Start()
	s.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

func (s *site) listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	assert.NilError(s, err)
	return l
}

func (s *site) http() *http.Client {
	transport := &http.Transport{}
	s.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (s *site) get(address, path string) (int, string) {
	req, err := http.NewRequestWithContext(s.Context(), http.MethodGet, "http://"+address+path, nil)
	assert.NilError(s, err)
	resp, err := s.http().Do(req)
	assert.NilError(s, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(s, err)
	return resp.StatusCode, string(b)
}

// metric tells whether a process serves the given line.
func (s *site) metric(address, line string) bool {
	_, text := s.get(address, telemetry.MetricsPath)
	return bytes.Contains([]byte("\n"+text), []byte("\nlavendercourse_"+line+"\n"))
}

func submit(ctx context.Context, c *caller.Client, id, kind, payload string, tasks int) (*dispatchv1.SubmitResponse, error) {
	req := &dispatchv1.SubmitRequest{Id: id, Team: "survey", DeadlineMs: 200_000}
	for range tasks {
		req.Tasks = append(req.Tasks, &dispatchv1.TaskSpec{Kind: kind, Payload: []byte(payload)})
	}
	return c.Submit(ctx, req)
}

// lines collects the log lines of several goroutines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) all() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Split(bytes.Clone(l.text.Bytes()), []byte("\n"))
}
