package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/lavendercourse/lavendercourse/agent"
	"github.com/lavendercourse/lavendercourse/caller"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/entry"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/logservice"
	"github.com/lavendercourse/lavendercourse/placement"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
	"github.com/lavendercourse/lavendercourse/slot"
	standinplatform "github.com/lavendercourse/lavendercourse/standin/platform"
	standinworker "github.com/lavendercourse/lavendercourse/standin/worker"
	"github.com/lavendercourse/lavendercourse/worker"
)

const (
	loopback = "127.0.0.1:0"
	// readyTimeout bounds the start of the system.
	readyTimeout = 20 * time.Second
	idleConns    = 4096
)

// system holds all servers, entries and workers of a run.
type system struct {
	cfg             Config
	net             preset
	links           *delay
	callers         *delay
	log             *http.Server
	entries         []*entry.Entry
	seeds           []string
	callerAddresses []string
	nodes           []*node
	journals        []*standinworker.Worker
	// counters are shared by all processes, so each frame counts once as sent.
	counters  *link.Counters
	nextEntry atomic.Uint64
}

// node is one worker with its agent.
type node struct {
	sys    *system
	name   string
	group  int
	worker *standinworker.Worker
	server *http.Server
	agent  *agent.Agent

	mu    sync.Mutex
	conns []net.Conn
}

func newSystem(cfg Config) (*system, error) {
	p := presets[cfg.Preset]
	s := &system{cfg: cfg, net: p, links: newDelay(p.links), callers: newDelay(p.callers), counters: link.NewCounters()}
	err := s.start()
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) start() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return eris.Wrapf(ErrSystem, "listen: %v", err)
	}
	r := mux.NewRouter()
	standinplatform.New(standinplatform.Config{}).Register(r)
	s.log = serve(listener{Listener: l, delay: s.links}, r)
	for i := range s.cfg.Entries {
		if err := s.startEntry(i, l.Addr().String()); err != nil {
			return err
		}
	}
	for i := range s.cfg.Workers {
		n := &node{sys: s, name: fmt.Sprintf("worker-%02d", i), group: i / rackSize % len(s.net.domains)}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return s.waitReady()
}

func (s *system) startEntry(i int, log string) error {
	policy, err := placement.NewPolicy(s.cfg.Policy)
	if err != nil {
		return eris.Wrapf(ErrConfig, "%v", err)
	}
	callerListener, err := net.Listen("tcp", loopback)
	if err != nil {
		return eris.Wrapf(ErrSystem, "listen: %v", err)
	}
	linkListener, err := net.Listen("tcp", loopback)
	if err != nil {
		return eris.Wrapf(ErrSystem, "listen: %v", err)
	}
	d := i % len(s.net.domains)
	e, err := entry.New(entry.Config{
		Name: fmt.Sprintf("entry-%d", i), Region: s.net.regions[d], Domain: s.net.domains[d],
		CallerListener: listener{Listener: callerListener, delay: s.callers}, LinkListener: listener{Listener: linkListener, delay: s.links},
		Advertise: linkListener.Addr().String(), SeedAddresses: append([]string(nil), s.seeds...),
		Log:    logservice.New(logservice.Config{Address: log, Transport: &http.Transport{DialContext: s.links.dial}}),
		Policy: policy, Clock: clock.NewSystem(), Logger: zerolog.Nop(), Counters: s.counters,
		Dialer: link.NewDialer(s.links.dial), RandomSeed: s.cfg.Seed + uint64(i),
	})
	if err != nil {
		return eris.Wrapf(ErrSystem, "%v", err)
	}
	s.entries = append(s.entries, e)
	s.callerAddresses = append(s.callerAddresses, callerListener.Addr().String())
	s.seeds = append(s.seeds, linkListener.Addr().String())
	return nil
}

// start starts the worker and its agent. It is used again after kill.
func (n *node) start() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return eris.Wrapf(ErrSystem, "listen: %v", err)
	}
	s, domain := n.sys, n.sys.net.domains[n.group]
	n.worker = standinworker.New(standinworker.Config{Name: n.name, Domain: domain})
	s.journals = append(s.journals, n.worker)
	r := mux.NewRouter()
	n.worker.Register(r)
	n.server = serve(l, r)
	n.agent, err = agent.New(agent.Config{
		Name: n.name, Region: s.net.regions[n.group], Domain: domain, Rack: domain + "-rack",
		Memory: s.net.memory, Cores: s.net.cores, Seeds: s.seeds,
		Backend: worker.New(worker.Config{Address: l.Addr().String(), Connections: s.cfg.Connections}),
		Slots:   slot.Config{Slots: s.cfg.Slots, Connections: s.cfg.Connections},
		Clock:   clock.NewSystem(), Logger: zerolog.Nop(), Counters: s.counters, Dialer: link.NewDialer(n.dial),
	})
	if err != nil {
		return eris.Wrapf(ErrSystem, "%v", err)
	}
	return nil
}

// dial opens a connection of the agent and records it, so that kill can close it.
func (n *node) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return n.sys.links.wrap(c), nil
}

// kill stops the worker and its agent without a graceful shutdown. It closes the connections first, so that the agent
// cannot report the end of its tasks any more.
func (n *node) kill() {
	if n.agent == nil {
		return
	}
	n.mu.Lock()
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
	n.mu.Unlock()
	n.agent.Kill()
	n.agent = nil
	_ = n.server.Close()
}

func (s *system) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	for _, e := range s.entries {
		e.Kill()
	}
	if s.log != nil {
		_ = s.log.Close()
	}
	s.links.close()
	s.callers.close()
}

// waitReady waits until every entry takes work and knows every agent.
func (s *system) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for i := range s.entries {
		for !s.ready(ctx, i) {
			select {
			case <-ctx.Done():
				return eris.Wrapf(ErrSystem, "entry %d is not ready after %v", i, readyTimeout)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (s *system) ready(ctx context.Context, i int) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.callerAddresses[i]+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	list, err := s.operator(i).ListWorkers(ctx, connect.NewRequest(&dispatchv1.ListWorkersRequest{}))
	return err == nil && len(list.Msg.GetWorkers()) == s.cfg.Workers
}

func (s *system) operator(i int) dispatchv1connect.OperatorServiceClient {
	return dispatchv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+s.callerAddresses[i])
}

// client returns a client that reaches the given entry only.
func (s *system) client(i int) *caller.Client {
	return caller.New(caller.Config{Address: s.callerAddresses[i], Dial: s.callers.dial})
}

// balancedClient returns a client whose connections go to all entries in turn.
func (s *system) balancedClient() *caller.Client {
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		i := s.nextEntry.Add(1) % uint64(len(s.callerAddresses))
		return s.callers.dial(ctx, network, s.callerAddresses[i])
	}
	return caller.New(caller.Config{Address: "balancer", Dial: dial})
}

// slotsByDomain returns the number of slots in each failure domain.
func (s *system) slotsByDomain() []int {
	slots := make([]int, len(s.net.domains))
	for _, n := range s.nodes {
		slots[n.group] += s.cfg.Slots
	}
	return slots
}

func serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	return s
}
