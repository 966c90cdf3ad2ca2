package telemetry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
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
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/platform"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
	standinplatform "github.com/lavendercourse/lavendercourse/standin/platform"
	standinworker "github.com/lavendercourse/lavendercourse/standin/worker"
	"github.com/lavendercourse/lavendercourse/telemetry"
	"github.com/lavendercourse/lavendercourse/worker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience is far above what any step needs, so that a busy machine does not fail a test.
var patience = []poll.SettingOp{poll.WithTimeout(60 * time.Second), poll.WithDelay(20 * time.Millisecond)}

// site is the log, two entries, one agent and one backend server in this process.
type site struct {
	entries []*entry.Entry
	agents  []*agent.Agent
	callers []string
	agent   string
	spans   *tracetest.InMemoryExporter
	log     *standinplatform.Log
	worker  *standinworker.Worker
	lines   *buffer
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{spans: tracetest.NewInMemoryExporter(), lines: &buffer{}, log: standinplatform.New(standinplatform.Config{})}
	s.worker = standinworker.New(standinworker.Config{Name: "worker-1", Tracer: s.tracer(t, "worker", "worker-1")})
	platformAddr, workerAddr := s.serve(t, s.log), s.serve(t, s.worker)
	var links []string
	for _, name := range []string{"entry-1", "entry-2"} {
		links = append(links, s.startEntry(t, name, platformAddr, links))
	}
	metrics := listen(t)
	s.agent = metrics.Addr().String()
	tracer := s.tracer(t, "agent", "agent-1")
	a, err := agent.New(agent.Config{
		Name: "agent-1", Domain: "sapporo", Entries: links, Clock: clock.NewSystem(), Tracer: tracer,
		Logger:  zerolog.New(s.lines),
		Metrics: metrics,
		Backend: worker.New(worker.Config{Address: workerAddr, Connections: 64, Tracer: tracer}),
	})
	assert.NilError(t, err)
	t.Cleanup(a.Kill)
	s.agents = append(s.agents, a)
	s.awaitReady(t)
	return s
}

func (s *site) startEntry(t *testing.T, name, platformAddr string, seeds []string) string {
	t.Helper()
	policy, err := placement.NewPolicy("home")
	assert.NilError(t, err)
	callers, links := listen(t), listen(t)
	e, err := entry.New(entry.Config{
		Name: name, Domain: "sapporo", Callers: callers, Links: links, Advertise: links.Addr().String(), Seeds: seeds,
		Log: platform.New(platform.Config{Address: platformAddr}), Policy: policy, Clock: clock.NewSystem(),
		Logger: zerolog.New(s.lines), Tracer: s.tracer(t, "entry", name),
	})
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	s.entries = append(s.entries, e)
	s.callers = append(s.callers, callers.Addr().String())
	return links.Addr().String()
}

// awaitReady waits until a request that entry-1 forwards reaches entry-2 and the agent is linked to both.
func (s *site) awaitReady(t *testing.T) {
	t.Helper()
	id, err := s.client(t, 1, nil).Reserve(t.Context())
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := s.client(t, 0, nil).Status(t.Context(), id)
		if err != nil || !strings.Contains(resp.GetVerdict().GetMessage(), "not known here") {
			return poll.Continue("entry-1 does not reach entry-2: %v %v", resp, err)
		}
		for i := range s.callers {
			if status(t, "http://"+s.callers[i]+"/health") != http.StatusOK {
				return poll.Continue("entry %d is not ready", i)
			}
			if w, err := s.operator(t, i).ListWorkers(t.Context(), connect.NewRequest(&dispatchv1.ListWorkersRequest{})); err != nil || len(w.Msg.GetWorkers()) == 0 {
				return poll.Continue("the agent is not linked: %v", err)
			}
		}
		return poll.Success()
	}, patience...)
	s.spans.Reset()
}

func (s *site) tracer(t *testing.T, process, name string) *telemetry.Tracer {
	t.Helper()
	tracer, err := telemetry.NewTracer(t.Context(), telemetry.TraceConfig{Process: process, Name: name, Share: 1, Spans: s.spans})
	assert.NilError(t, err)
	return tracer
}

func (s *site) client(t *testing.T, i int, tracer *telemetry.Tracer) *caller.Client {
	t.Helper()
	return caller.New(caller.Config{Address: s.callers[i], HTTP: httpClient(t), Tracer: tracer})
}

func (s *site) operator(t *testing.T, i int) dispatchv1connect.OperatorServiceClient {
	t.Helper()
	return dispatchv1connect.NewOperatorServiceClient(httpClient(t), "http://"+s.callers[i])
}

type registrar interface{ Register(r *mux.Router) }

func (s *site) serve(t *testing.T, service registrar) string {
	t.Helper()
	r := mux.NewRouter()
	service.Register(r)
	l := listen(t)
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return l.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func httpClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func status(t *testing.T, url string) int {
	t.Helper()
	code, _ := fetch(t, url)
	return code
}

func get(t *testing.T, url string) string {
	t.Helper()
	code, body := fetch(t, url)
	assert.Equal(t, code, http.StatusOK)
	return body
}

func fetch(t *testing.T, url string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	resp, err := httpClient(t).Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(b)
}

// buffer collects log lines of several goroutines.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func submit(ctx context.Context, c *caller.Client, id, kind, payload string, tasks int) (*dispatchv1.SubmitResponse, error) {
	req := &dispatchv1.SubmitRequest{Id: id, Team: "survey", DeadlineMs: 60_000}
	for range tasks {
		req.Tasks = append(req.Tasks, &dispatchv1.TaskSpec{Kind: kind, Payload: []byte(payload)})
	}
	return c.Submit(ctx, req)
}
