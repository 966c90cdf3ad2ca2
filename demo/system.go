package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/lavendercourse/lavendercourse/agent"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/entry"
	"github.com/lavendercourse/lavendercourse/logservice"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/slot"
	"github.com/lavendercourse/lavendercourse/standin/platform"
	"github.com/lavendercourse/lavendercourse/standin/worker"
	workerclient "github.com/lavendercourse/lavendercourse/worker"
)

const (
	loopback    = "127.0.0.1:0"
	workerCount = 11
	entryCount  = 3
	rackSize    = 3
)

// domains are the failure domains; each holds one rack of three workers, the last one two workers.
var domains = []struct{ region, name string }{
	{"accra", "accra-1"}, {"accra", "accra-2"}, {"kumasi", "kumasi-1"}, {"kumasi", "kumasi-2"},
}

// backend is one worker with its agent.
type backend struct {
	name    string
	region  string
	domain  string
	address string
	standin *worker.Worker
	agent   *agent.Agent
}

// system is the whole system on loopback, with ports chosen by the operating system.
type system struct {
	// startedAt is the origin of the times in the record.
	startedAt time.Time
	logger    zerolog.Logger
	servers   []*http.Server
	entries   []*entry.Entry
	callers   []string
	links     []string
	backends  []*backend
}

func newSystem(logger zerolog.Logger) (*system, error) {
	s := &system{startedAt: time.Now(), logger: logger}
	if err := s.start(); err != nil {
		s.kill()
		return nil, err
	}
	return s, nil
}

func (s *system) start() error {
	r := mux.NewRouter()
	platform.New(platform.Config{}).Register(r)
	log, err := s.serve(r)
	if err != nil {
		return err
	}
	for i := range entryCount {
		if err := s.startEntry(i, log); err != nil {
			return err
		}
	}
	for i := range workerCount {
		d := domains[i/rackSize]
		b := &backend{name: fmt.Sprintf("w%d", i+1), region: d.region, domain: d.name}
		b.standin = worker.New(worker.Config{Name: b.name, Domain: b.domain})
		r := mux.NewRouter()
		b.standin.Register(r)
		if b.address, err = s.serve(r); err != nil {
			return err
		}
		s.backends = append(s.backends, b)
		if err := s.startAgent(b); err != nil {
			return err
		}
	}
	return nil
}

// serve starts an HTTP server and returns its address.
func (s *system) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() {
		// Serve ends with an error when the server is closed.
		_ = server.Serve(l)
	}()
	return l.Addr().String(), nil
}

func (s *system) startEntry(i int, log string) error {
	policy, err := placement.NewPolicy(placement.PolicyNames[0])
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	links, err := net.Listen("tcp", loopback)
	if err != nil {
		_ = callers.Close()
		return err
	}
	d := domains[i%len(domains)]
	e, err := entry.New(entry.Config{
		Name: fmt.Sprintf("e%d", i+1), Region: d.region, Domain: d.name,
		CallerListener: callers, LinkListener: links, Advertise: links.Addr().String(), SeedAddresses: s.links,
		Log:    logservice.New(logservice.Config{Address: log}),
		Policy: policy, Clock: clock.NewSystem(), Logger: s.logger, RandomSeed: uint64(i + 1),
	})
	if err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	s.callers = append(s.callers, callers.Addr().String())
	s.links = append(s.links, links.Addr().String())
	return nil
}

func (s *system) startAgent(b *backend) error {
	a, err := agent.New(agent.Config{
		Name: b.name, Region: b.region, Domain: b.domain, Rack: b.domain + "-rack", Seeds: s.links,
		Backend: workerclient.New(workerclient.Config{Address: b.address, Connections: slot.DefaultConnections}),
		Memory:  64_000, Cores: 32, Clock: clock.NewSystem(), Logger: s.logger,
	})
	if err != nil {
		return err
	}
	b.agent = a
	return nil
}

// now returns the time in ms since the system was started.
func (s *system) now() clock.Millis { return s.sinceStart(time.Now()) }

func (s *system) sinceStart(t time.Time) clock.Millis { return clock.FromDuration(t.Sub(s.startedAt)) }

// stop stops entries and agents gracefully, and then the stand-ins.
func (s *system) stop(ctx context.Context) error {
	var failed error
	for _, e := range s.entries {
		if err := e.Stop(ctx); err != nil {
			failed = eris.Wrap(err, "entry did not stop")
		}
	}
	for _, b := range s.backends {
		if err := b.agent.Stop(ctx); err != nil {
			failed = eris.Wrapf(err, "agent of %s did not stop", b.name)
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	return failed
}

// kill stops entries, agents and servers without a graceful shutdown.
func (s *system) kill() {
	for _, e := range s.entries {
		e.Kill()
	}
	for _, b := range s.backends {
		if b.agent != nil {
			b.agent.Kill()
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// journal returns the starts recorded by all workers.
func (s *system) journal() []Start {
	var all []Start
	for _, b := range s.backends {
		for _, line := range b.standin.Journal() {
			all = append(all, Start{
				Job: line.Job, Task: line.Task, Call: line.Call, Worker: line.Worker, Domain: line.Domain,
				Time: s.sinceStart(line.Time), Payload: line.Payload,
			})
		}
	}
	return all
}
