package fleet_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/gateway"
	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/runner"
	"github.com/lavendercourse/lavendercourse/standin/fleet"
)

const (
	// patience is far above what any step needs on a busy machine.
	patience = 30 * time.Second
	service  = "press"
	host     = "shop.example"
	prefix   = "/proofs/"
)

// configuration is what operators publish, with one queue.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","host":%q,"pathPrefix":%q,"service":%q,"maxAttempts":2,
		"slackFactor":1.6,"targetLatencyMs":60}],"services":[],"limits":{}}`, version, host, prefix, service)
}

// lines is a writer that tests can search.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.text.Bytes(), []byte(s))
}

// site is a store, gateways, and runners beside their workers, all in this process.
type site struct {
	*testing.T
	store    *fleet.Store
	address  string
	ledger   *fleet.Ledger
	gateways []*gateway.Gateway
	callers  []string
	links    []string
	logs     []*lines
	workers  []*fleet.Worker
	// addresses are those of the workers.
	addresses []string
	runners   []*runner.Runner
}

func newSite(t *testing.T, gateways, runners int) *site {
	s := &site{T: t, store: fleet.NewStore(), ledger: fleet.NewLedger()}
	s.address = s.serve(s.store.Handler())
	s.store.Put(platform.ControlStream, "config", configuration(3))
	for i := range gateways {
		s.addGateway(fmt.Sprintf("g%d", i))
	}
	for i := range runners {
		s.addRunner(fmt.Sprintf("r%d", i))
	}
	t.Cleanup(func() {
		for _, g := range s.gateways {
			g.Kill()
		}
		for _, r := range s.runners {
			r.Kill()
		}
		for _, w := range s.workers {
			w.Close()
		}
		assert.DeepEqual(t, s.ledger.Violations(), []string(nil))
	})
	return s
}

func (s *site) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s, err)
	return l
}

func (s *site) serve(h http.Handler) string {
	l := s.listen()
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (s *site) client() *platform.Store {
	return platform.NewStore(platform.StoreConfig{Address: s.address, Timeout: clock.Second})
}

func (s *site) addGateway(name string) {
	callers, links, log := s.listen(), s.listen(), &lines{}
	g, err := gateway.New(gateway.Config{
		Name: name, Domain: "d0", Callers: callers, Ready: s.listen(), Links: links, Advertise: links.Addr().String(),
		Seeds: s.links, Store: s.client(), ConfigStream: platform.ControlStream, GatewayStream: platform.GatewayStream,
		Decode: platform.DecodeControl, Serve: platform.NewJobHandler, Clock: clock.NewBoot(), Logger: zerolog.New(log),
	})
	assert.NilError(s, err)
	s.gateways = append(s.gateways, g)
	s.callers = append(s.callers, callers.Addr().String())
	s.links = append(s.links, links.Addr().String())
	s.logs = append(s.logs, log)
}

// addRunner starts a worker and the runner beside it.
func (s *site) addRunner(name string) {
	reports := s.listen()
	w := fleet.NewWorker(fleet.WorkerConfig{
		ID: "w-" + name, Service: service, Domain: "d0", ReportAddress: reports.Addr().String(), Need: fleet.PayloadNeed,
	}, s.ledger)
	s.workers = append(s.workers, w)
	s.addresses = append(s.addresses, s.serve(w.Handler()))
	s.runners = append(s.runners, s.startRunner(name, reports, s.addresses[len(s.addresses)-1]))
}

// restartRunner kills a runner and starts its successor, to which the worker does not report.
func (s *site) restartRunner(i int) {
	s.runners[i].Kill()
	s.runners[i] = s.startRunner(fmt.Sprintf("r%d", i), s.listen(), s.addresses[i])
}

func (s *site) startRunner(name string, reports net.Listener, worker string) *runner.Runner {
	r, err := runner.New(runner.Config{
		Name: name, Domain: "d0", Seeds: s.links, Reports: reports, Register: platform.RegisterReports, Store: s.client(),
		Worker:        platform.NewWorker(platform.WorkerConfig{Address: worker, Timeout: 200}),
		GatewayStream: platform.GatewayStream, WorkerStream: platform.WorkerStream("d0"), Clock: clock.NewBoot(), Logger: zerolog.Nop(),
	})
	assert.NilError(s, err)
	return r
}

// job returns a body that the stand-in workers understand.
func job(tasks, cpu, ms int, more string) string {
	return fmt.Sprintf(`{"spec":"%d %d","bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d%s}]}`, cpu, ms, tasks, cpu, ms, more)
}

type response struct {
	status int
	state  string
	retry  string
}

func (s *site) send(gateway int, method, path, body string) (response, error) {
	req, err := http.NewRequestWithContext(s.Context(), method, "http://"+s.callers[gateway]+path, bytes.NewBufferString(body))
	assert.NilError(s, err)
	req.Host = host
	req.Header.Set("Deadline-Ms", "20000")
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, err
	}
	var answer struct {
		State string `json:"state"`
	}
	assert.NilError(s, json.Unmarshal(text, &answer))
	return response{status: resp.StatusCode, state: answer.State, retry: resp.Header.Get("Retry-After")}, nil
}

func (s *site) submit(gateway int, id, body string) response {
	r, err := s.send(gateway, http.MethodPost, prefix+id, body)
	assert.NilError(s, err)
	return r
}

// await submits small jobs until one is served, so that the site is up.
func (s *site) await(gateway int) {
	s.Helper()
	n := 0
	poll.WaitOn(s, func(poll.LogT) poll.Result {
		n++
		r, err := s.send(gateway, http.MethodPost, fmt.Sprintf("%s%016x", prefix, 0xf000+1000*gateway+n), job(1, 100, 1, ""))
		if err != nil || r.state != "completed" {
			return poll.Continue("answer %v, error %v", r, err)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(50*time.Millisecond))
}
