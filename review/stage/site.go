package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	queueHost   = "shop.example"
	queuePrefix = "/jobs/"
	domainOne   = "d1"
	domainTwo   = "d2"
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
	// pollPeriod is the time between two looks at a condition.
	pollPeriod = 5 * time.Millisecond
)

var errTimeout = errors.New("the condition did not come about in time")

// loopback returns an address of the loopback range for this process, so that cases side by side do not take each other's ports.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>14%200, pid>>7%128, 1+pid%128)
}

// process is a program of the project that runs as a separate process.
type process struct {
	name string
	args []string
	log  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	// The process does not outlive this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		// The log shows how the process has ended.
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

// site holds the store, the processes of the project and what else a case has started.
type site struct {
	program string
	dir     string
	ledger  *ledger
	store   *store
	// storeAddress is the address of the store.
	storeAddress string
	version      int

	processes []*process
	workers   []*worker
	proxies   []*proxy
	servers   []*http.Server
}

func newSite(program, dir string, l *ledger) (*site, error) {
	s := &site{program: program, dir: dir, ledger: l, store: newStore()}
	listener, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.store}
	s.servers = append(s.servers, server)
	s.storeAddress = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	s.publish()
	return s, nil
}

// publish writes the next version of the configuration.
func (s *site) publish() {
	s.version++
	s.store.put(operatorTopic, "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","host":%q,"pathPrefix":%q,"service":%q,`+
		`"priority":0,"maxAttempts":4,"slackFactor":1.6,"targetLatencyMs":60}],"services":[{"name":%q,"enforcesCapacity":false}]}`,
		s.version, queueHost, queuePrefix, workerService, workerService))
}

// publishWithout writes the next version of the configuration, which has another route.
func (s *site) publishWithout() {
	s.version++
	s.store.put(operatorTopic, "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"other","host":%q,"pathPrefix":"/other/",`+
		`"service":%q,"priority":0,"maxAttempts":4,"slackFactor":1.6,"targetLatencyMs":60}],"services":[{"name":%q,"enforcesCapacity":false}]}`,
		s.version, queueHost, workerService, workerService))
}

// placeholder is a field of a template of the deploy folder.
var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// metricsPort is the port of the metrics address in the templates. Processes on one address each need one of their own.
const metricsPort = ":9464"

// launch fills in a template of the deploy folder and starts the program with it.
func (s *site) launch(role, name string, fields map[string]string, edit *strings.Replacer) (*process, error) {
	template, err := os.ReadFile(filepath.Join("deploy", role+".ini"))
	if err != nil {
		return nil, err
	}
	fields["{{nodeName}}"], fields["{{region}}"], fields["{{ip}}"] = name, "here", loopback()
	fields["{{limits.memoryMb}}"] = "284"
	if fields["{{platform.address}}"] == "" {
		fields["{{platform.address}}"] = s.storeAddress
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(field string) string { return fields[field] })
	file := filepath.Join(s.dir, name+".ini")
	if err := os.WriteFile(file, []byte(edit.Replace(text)), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, args: []string{s.program, role, "--settings", file}, log: filepath.Join(s.dir, name+".log")}
	if err := p.start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	return p, nil
}

// gatewayPorts are the addresses of a gateway. advertised is the address at which others call it, and store that at which it calls
// the store: those of proxies where there are any.
type gatewayPorts struct {
	callers, ready, links, metrics, advertised, store string
}

func newGatewayPorts() (gatewayPorts, error) {
	ports, err := freePorts(4)
	if err != nil {
		return gatewayPorts{}, err
	}
	return gatewayPorts{callers: ports[0], ready: ports[1], links: ports[2], metrics: ports[3], advertised: ports[2]}, nil
}

func (s *site) gateway(name, domain string, ports gatewayPorts, seeds []string) (*process, error) {
	return s.launch("gateway", name, map[string]string{
		"{{zone}}": domain, "{{listen.frontendAddr}}": ports.callers, "{{listen.readinessAddr}}": ports.ready, "{{listen.control}}": ports.links,
		"{{seeds}}": strings.Join(seeds, ","), "{{platform.address}}": ports.store,
	}, strings.NewReplacer(loopback()+metricsPort, ports.metrics, "links = "+ports.links, "links = "+ports.links+"\nadvertise = "+ports.advertised))
}

// runnerPorts are the addresses of a runner, and that of its worker.
type runnerPorts struct {
	worker, reports, metrics string
}

func newRunnerPorts() (runnerPorts, error) {
	ports, err := freePorts(3)
	if err != nil {
		return runnerPorts{}, err
	}
	return runnerPorts{worker: ports[0], reports: ports[1], metrics: ports[2]}, nil
}

func (s *site) runner(name, domain string, ports runnerPorts, seeds []string) (*process, error) {
	return s.launch("runner", name, map[string]string{
		"{{zone}}": domain, "{{app}}": ports.worker, "{{listen.control}}": ports.reports, "{{seeds}}": strings.Join(seeds, ","),
	}, strings.NewReplacer(loopback()+metricsPort, ports.metrics))
}

// newWorker returns a worker that has no address yet and has not registered.
func (s *site) newWorker(id, domain string, ports runnerPorts) *worker {
	w := newWorker(id, domain, ports.reports, s.ledger)
	s.ledger.note("%s has started", w)
	s.workers = append(s.workers, w)
	return w
}

// worker starts a worker beside a runner.
func (s *site) worker(id, domain string, ports runnerPorts) (*worker, error) {
	w := s.newWorker(id, domain, ports)
	if err := w.bind(ports.worker); err != nil {
		return nil, err
	}
	w.register()
	return w, nil
}

// proxy starts a proxy for an address.
func (s *site) proxy(target string) (*proxy, error) {
	p, err := newProxy(target)
	if err == nil {
		s.proxies = append(s.proxies, p)
	}
	return p, err
}

// pair is two gateways, and two runners with their workers.
type pair struct {
	gateways     [2]*process
	gatewayPorts [2]gatewayPorts
	ports        [2]runnerPorts
	runners      [2]*process
	workers      [2]*worker
}

// startPair starts two gateways, and two runners with their workers.
func (s *site) startPair() (*pair, error) {
	p := &pair{}
	var err error
	var seeds []string
	for i := range p.gateways {
		if p.gatewayPorts[i], err = newGatewayPorts(); err != nil {
			return nil, err
		}
		seeds = append(seeds, p.gatewayPorts[i].links)
	}
	for i := range p.gateways {
		if p.gateways[i], err = s.gateway(fmt.Sprintf("gateway-%d", i+1), domainOne, p.gatewayPorts[i], seeds); err != nil {
			return nil, err
		}
	}
	for i := range p.runners {
		if p.ports[i], err = newRunnerPorts(); err != nil {
			return nil, err
		}
		if p.workers[i], err = s.worker(fmt.Sprintf("w-%d", i+1), domainOne, p.ports[i]); err != nil {
			return nil, err
		}
		if p.runners[i], err = s.runner(fmt.Sprintf("runner-%d", i+1), domainOne, p.ports[i], seeds); err != nil {
			return nil, err
		}
	}
	for _, ports := range p.gatewayPorts {
		if err := awaitReady(ports); err != nil {
			return nil, err
		}
	}
	// Two heartbeats of each worker.
	time.Sleep(2 * heartbeatInterval)
	return p, nil
}

// awaitReady waits until a gateway reports that it is ready.
func awaitReady(ports gatewayPorts) error {
	return await(15*time.Second, func() bool {
		resp, err := http.Get("http://" + ports.ready + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		if condition() {
			return nil
		}
	}
	return errTimeout
}

// stop ends all that the case has started.
func (s *site) stop() {
	for _, p := range s.processes {
		p.kill()
	}
	for _, w := range s.workers {
		w.close("end of the case")
	}
	for _, p := range s.proxies {
		p.close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// freePorts returns addresses that are free now.
func freePorts(n int) ([]string, error) {
	var all []string
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", loopback()+":0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		all = append(all, l.Addr().String())
	}
	return all, nil
}
