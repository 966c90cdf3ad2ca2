package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/standin/fleet"
)

const (
	service = "press"
	host    = "shop.example"
	prefix  = "/proofs/"
	domains = 2
	// maxAttempts is the number of failures of a task after which the queue gives up its job.
	maxAttempts = 3
)

// loopback returns an address of the loopback range for this process, so that concurrent soaks do not take each
// other's ports.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>14%200, pid>>7%128, 1+pid%128)
}

// process is a gateway or runner that runs as a separate process.
type process struct {
	name string
	args []string
	log  string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
}

// start starts the program unless it is running: faults overlap, and if two of them restarted a process, the first
// instance would no longer be tracked. The output is appended to the log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() {
		// The error is ignored: the log shows how the process ended.
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// running reports whether the process has been started and has not exited. The caller holds p.mu.
func (p *process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		_ = p.cmd.Process.Signal(s)
	}
}

// await waits until the process has exited, and kills it after limit.
func (p *process) await(limit time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// site holds the processes, stand-ins and proxies of a soak.
type site struct {
	cfg           Config
	store         *fleet.Store
	storeListener *fleet.Listener
	ledger        *fleet.Ledger
	gateways      []*process
	runners       []*process
	workers       []*workerSite
	callerProxies []*Proxy
	linkProxies   []*Proxy
	servers       []*http.Server

	// ids counts the ids of workers that were drawn, and until is the time after which no fault begins.
	ids   int
	until time.Time

	mu      sync.Mutex
	version int
	// exceptions holds the times of the faults beside which a task may crash more workers than maxCrashes.
	exceptions []interval
}

func newSite(cfg Config) (*site, error) {
	s := &site{cfg: cfg, store: fleet.NewStore(), ledger: fleet.NewLedger(), version: 1}
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.store.Handler()}
	s.servers = append(s.servers, server)
	s.storeListener = fleet.NewListener(l)
	go func() { _ = server.Serve(s.storeListener) }()
	s.publish()
	ports, release, err := reservePorts(3*cfg.Gateways + cfg.Runners)
	if err != nil {
		return nil, err
	}
	defer release()
	var seeds []string
	for i := range cfg.Gateways {
		callerProxy, err := NewProxy(ports[3*i], cfg.proxyDelay())
		if err != nil {
			return nil, err
		}
		linkProxy, err := NewProxy(ports[3*i+1], cfg.proxyDelay())
		if err != nil {
			return nil, err
		}
		s.callerProxies, s.linkProxies = append(s.callerProxies, callerProxy), append(s.linkProxies, linkProxy)
		seeds = append(seeds, linkProxy.Address())
	}
	for i := range cfg.Runners {
		w := &workerSite{address: loopback() + ":0", cfg: fleet.WorkerConfig{
			ID: fmt.Sprintf("w-r%d", i), Service: service, Domain: fmt.Sprintf("d%d", i%domains), ReportAddress: ports[3*cfg.Gateways+i],
			ParsePayload: fleet.ParsePayload,
		}}
		w.cfg.Crash = func() { s.restartWorker(w, crashSpan) }
		if err := w.start(s.ledger); err != nil {
			return nil, err
		}
		if cfg.Cuts {
			if w.proxy, err = NewProxy(w.address, cfg.proxyDelay()); err != nil {
				return nil, err
			}
		}
		s.workers = append(s.workers, w)
	}
	// Proxies and workers listen already, so they cannot take a port that is reserved for a process.
	release()
	for i := range cfg.Gateways {
		name := fmt.Sprintf("g%d", i)
		err := s.startProcess(&s.gateways, name, "gateway", fmt.Sprintf(
			"[place]\nregion = here\ndomain = d%d\n[gateway]\nname = %s\ncallers = %s\nready = %s\nlinks = %s\nadvertise = %s\nseeds = %s\n[store]\naddress = %s\n",
			i%domains, name, ports[3*i], ports[3*i+2], ports[3*i+1], seeds[i], strings.Join(seeds, ","), l.Addr()))
		if err != nil {
			return nil, err
		}
	}
	for i := range cfg.Runners {
		name := fmt.Sprintf("r%d", i)
		err := s.startProcess(&s.runners, name, "runner", fmt.Sprintf(
			"[place]\nregion = here\ndomain = d%d\n[runner]\nname = %s\nworker = %s\nreports = %s\nseeds = %s\n[store]\naddress = %s\n",
			i%domains, name, s.workers[i].callAddress(), ports[3*cfg.Gateways+i], strings.Join(seeds, ","), l.Addr()))
		if err != nil {
			return nil, err
		}
	}
	return s, nil
}

// limits are the limits of the smallest gateways of the users, in the settings of a process. They decide the size of
// receive buffers.
const limits = "[process]\nmemory = 144\nfiles = 3075\n"

func (s *site) startProcess(to *[]*process, name, role, settings string) error {
	file := filepath.Join(s.cfg.Dir, name+".ini")
	if err := os.WriteFile(file, []byte(settings+limits), 0o600); err != nil {
		return err
	}
	p := &process{name: name, args: []string{s.cfg.Program, role, "--settings", file}, log: filepath.Join(s.cfg.Dir, name+".log")}
	*to = append(*to, p)
	return p.start()
}

// publish writes the next version of the configuration.
func (s *site) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.Put(platform.ConfigStream, "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","host":%q,"pathPrefix":%q,
		"service":%q,"maxAttempts":%d,"slackFactor":1.6,"targetLatencyMs":60}]}`, s.version, host, prefix, service, maxAttempts))
}

// stop stops everything that the soak started.
func (s *site) stop() {
	for _, p := range append(append([]*process(nil), s.gateways...), s.runners...) {
		p.signal(syscall.SIGKILL)
		p.await(time.Second)
	}
	for _, w := range s.workers {
		w.stop()
	}
	for _, p := range append(append([]*Proxy(nil), s.callerProxies...), s.linkProxies...) {
		p.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// reservePorts reserves n loopback addresses by listening on them, and returns them with a function that releases them
// for the processes that will listen there.
func reservePorts(n int) ([]string, func(), error) {
	var all []string
	var listeners []net.Listener
	release := func() {
		for _, l := range listeners {
			// A second call finds the listener closed.
			_ = l.Close()
		}
	}
	for range n {
		l, err := net.Listen("tcp", loopback()+":0")
		if err != nil {
			release()
			return nil, nil, err
		}
		listeners = append(listeners, l)
		all = append(all, l.Addr().String())
	}
	return all, release, nil
}
