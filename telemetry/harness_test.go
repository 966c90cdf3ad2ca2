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

// testCluster runs the platform log, two entries, one agent and one backend server in the test process.
type testCluster struct {
	*testing.T
	entries   []*entry.Entry
	callers   []string
	links     []string
	agent     *agent.Agent
	metrics   string
	spans     *tracetest.InMemoryExporter
	logBuffer *logBuffer
	log       *standinplatform.Log
	worker    *standinworker.Worker
	backend   *httptest.Server
}

// newCluster starts everything except the backend server.
func newCluster(t *testing.T) *testCluster {
	s := &testCluster{T: t, spans: tracetest.NewInMemoryExporter(), logBuffer: &logBuffer{}, log: standinplatform.New(standinplatform.Config{})}
	s.worker = standinworker.New(standinworker.Config{Name: "worker-1", Tracer: s.tracer("worker-1")})
	log := s.serve(s.log, s.listen("127.0.0.1:0")).Listener.Addr().String()
	for _, name := range []string{"entry-1", "entry-2"} {
		policy, err := placement.NewPolicy("home")
		assert.NilError(t, err)
		callers, l := s.listen("127.0.0.1:0"), s.listen("127.0.0.1:0")
		e, err := entry.New(entry.Config{
			Name: name, Domain: "sapporo", CallerListener: callers, LinkListener: l, Advertise: l.Addr().String(), SeedAddresses: s.links,
			Log: logservice.New(logservice.Config{Address: log}), Policy: policy, Clock: clock.NewSystem(),
			Logger: zerolog.New(s.logBuffer), Tracer: s.tracer(name),
		})
		assert.NilError(t, err)
		t.Cleanup(e.Kill)
		s.entries, s.callers, s.links = append(s.entries, e), append(s.callers, callers.Addr().String()), append(s.links, l.Addr().String())
	}
	metrics, backendListener := s.listen("127.0.0.1:0"), s.listen("127.0.0.1:0")
	// startBackend listens on this address again.
	assert.NilError(t, backendListener.Close())
	s.backend = &httptest.Server{Listener: backendListener}
	s.agent, s.metrics = s.startAgent("agent-1", "sapporo", metrics), metrics.Addr().String()
	return s
}

// startAgent starts an agent for the backend server, whether that runs or not.
func (s *testCluster) startAgent(name, domain string, metrics net.Listener) *agent.Agent {
	a, err := agent.New(agent.Config{
		Name: name, Domain: domain, Seeds: s.links, Clock: clock.NewSystem(), Metrics: metrics,
		Logger: zerolog.New(s.logBuffer), Tracer: s.tracer(name), Slots: slot.Config{Slots: 2},
		Backend: worker.New(worker.Config{Address: s.backend.Listener.Addr().String(), Tracer: s.tracer(name)}),
	})
	assert.NilError(s, err)
	s.Cleanup(a.Kill)
	return a
}

// newReadyCluster starts everything, and waits until each entry can forward to the other and the agent is linked to
// both.
func newReadyCluster(t *testing.T) *testCluster {
	s := newCluster(t)
	s.startBackend()
	s.await("the entries and the agent are linked", func() bool {
		for i := range s.callers {
			code, _ := s.get(s.callers[i], "/health")
			if code != http.StatusOK || s.workerCount(i) == 0 || !s.hasMetric(s.callers[i], "peers 1") {
				return false
			}
		}
		return true
	})
	return s
}

// startBackend starts the backend server on the address that newCluster chose.
func (s *testCluster) startBackend() {
	s.backend = s.serve(s.worker, s.listen(s.backend.Listener.Addr().String()))
}

// await polls until the condition holds. Its timeout is far longer than any step takes, so that a busy machine does not
// fail a test.
func (s *testCluster) await(condition string, holds func() bool) {
	s.Helper()
	poll.WaitOn(s, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", condition)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(20*time.Millisecond))
}

func (s *testCluster) tracer(name string) *telemetry.Tracer {
	tracer, err := telemetry.NewTracer(s.Context(), telemetry.TraceConfig{Name: name, SampleRatio: 1, CustomExporter: s.spans})
	assert.NilError(s, err)
	return tracer
}

func (s *testCluster) client(i int, tracer *telemetry.Tracer) *caller.Client {
	return caller.New(caller.Config{Address: s.callers[i], HTTP: s.http(), Tracer: tracer})
}

func (s *testCluster) operator(i int) dispatchv1connect.OperatorServiceClient {
	return dispatchv1connect.NewOperatorServiceClient(s.http(), "http://"+s.callers[i])
}

// workerCount returns the number of workers at an entry that are not leaving.
func (s *testCluster) workerCount(i int) int {
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

func (s *testCluster) serve(service interface{ Register(r *mux.Router) }, l net.Listener) *httptest.Server {
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

func (s *testCluster) listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	assert.NilError(s, err)
	return l
}

func (s *testCluster) http() *http.Client {
	transport := &http.Transport{}
	s.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (s *testCluster) get(address, path string) (int, string) {
	req, err := http.NewRequestWithContext(s.Context(), http.MethodGet, "http://"+address+path, nil)
	assert.NilError(s, err)
	resp, err := s.http().Do(req)
	assert.NilError(s, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(s, err)
	return resp.StatusCode, string(b)
}

// hasMetric returns whether the metrics of a process include the given line. The prefix of the name is omitted.
func (s *testCluster) hasMetric(address, line string) bool {
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

// logBuffer collects the log output of several goroutines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) lines() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Split(bytes.Clone(l.text.Bytes()), []byte("\n"))
}
