package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The names of the route and of the service.
const (
	service = "press"
	host    = "shop.example"
	prefix  = "/proofs/"
	// resendDelay is the time after which clients send a job again that got no answer (resendMs).
	resendDelay = 1300 * time.Millisecond
	// ordinaryDeadline is how long ordinary clients wait for an answer: the time limit of the kinds of request in the users' sheets.
	ordinaryDeadline = 1500 * time.Millisecond
	// ownerAttempts and ownerPause bound the search for the process that has a socket.
	ownerAttempts = 20
	ownerPause    = 5 * time.Millisecond
	// unservedPercent is the share of the requests that may be refused or fail at most, as the gate of the rules has it.
	unservedPercent = 60
	// shortJob is an ordinary job.
	shortJob = `{"spec":"60","bestEffort":true,"steps":[{"count":2,"cpu":3100,"memMb":64,"estimateMs":60}]}`
)

// process is a gateway or runner.
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
	cmd, exited := exec.Command(p.args[0], p.args[1:]...), make(chan struct{})
	cmd.Stdout, cmd.Stderr = out, out
	// A process must not outlive this program, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// alive reports whether the process has not exited.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.alive() {
		_ = p.cmd.Process.Signal(s)
	}
}

// site is a small deployment: gateways, and runners with a worker each.
type site struct {
	rec      *record
	dir      string
	store    *store
	servers  []*http.Server
	gateways []*process
	runners  []*process
	workers  []*worker

	// mu guards processes, which holds all that were started.
	mu        sync.Mutex
	processes []*process
	// callers, ready and links hold the addresses of each gateway.
	callers, ready, links []string
	// network is that of the last gateway, if it may be cut off.
	network *network
}

// cut tells from what a gateway may be cut off.
type cut int

const (
	// fromNone puts no links on the way to the gateway.
	fromNone cut = iota
	// fromAll is from clients and all machines and the store.
	fromAll
	// fromCore is from the other gateway and the store. Clients and runners reach it.
	fromCore
)

// siteConfig describes a site.
type siteConfig struct {
	gateways, runners int
	// cuts tells from what the last of two gateways may be cut off.
	cuts cut
	// timeoutMs is the time limit of the route, 1,500 ms if it is 0.
	timeoutMs int
	// labels returns the labels of a worker: its kind and its rack. If it is nil, all workers are of one kind.
	labels func(i int) []string
}

// loopback returns an address of the loopback range that depends on this process.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>14%200, pid>>7%128, 1+pid%128)
}

// reservePorts reserves n addresses by listening there, and returns them with a function that releases them.
func reservePorts(n int) ([]string, func(), error) {
	var all []string
	var open []net.Listener
	release := func() {
		for _, l := range open {
			_ = l.Close()
		}
	}
	for range n {
		l, err := net.Listen("tcp", loopback()+":0")
		if err != nil {
			release()
			return nil, nil, err
		}
		open = append(open, l)
		all = append(all, l.Addr().String())
	}
	return all, release, nil
}

func rackOf(i int) string { return fmt.Sprintf("r1-%d", i) }

func labelsOf(i int) []string { return []string{"a", rackOf(i)} }

// newSite starts a site whose processes run the given program.
func newSite(program, dir string, rec *record, cfg siteConfig) (*site, error) {
	s := &site{rec: rec, dir: dir, store: newStore()}
	if cfg.labels == nil {
		cfg.labels = labelsOf
	}
	if cfg.timeoutMs == 0 {
		cfg.timeoutMs = int(ordinaryDeadline.Milliseconds())
	}
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.store.handler()}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	s.store.put("keyed.op", "config", fmt.Sprintf(`{"version":7,"routes":[{"name":"q","host":%q,"pathPrefix":%q,"kind":"non_idempotent",`+
		`"timeoutMs":%d,"targetLatencyMs":60,"priority":0,"service":%q,"maxAttempts":2,"slackFactor":1.6}],"services":[{"name":%q,`+
		`"healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"standby":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, host, prefix, cfg.timeoutMs, service, service))
	ports, release, err := reservePorts(3*cfg.gateways + cfg.runners)
	if err != nil {
		return nil, err
	}
	for i := range cfg.gateways {
		s.callers, s.ready, s.links = append(s.callers, ports[3*i]), append(s.ready, ports[3*i+1]), append(s.links, ports[3*i+2])
	}
	reports := ports[3*cfg.gateways:]
	for i := range cfg.runners {
		w, err := newWorker(fmt.Sprintf("i-%08x", 0xa0+i), loopback()+":0", reports[i], zone(i), cfg.labels(i), rec)
		if err != nil {
			return nil, err
		}
		s.workers = append(s.workers, w)
	}
	callers, ready, links := slices.Clone(s.callers), slices.Clone(s.ready), slices.Clone(s.links)
	stores := make([]string, cfg.gateways)
	for i := range stores {
		stores[i] = l.Addr().String()
	}
	if cfg.cuts != fromNone {
		if err := s.addLinks(stores, cfg.cuts); err != nil {
			return nil, err
		}
	}
	// Workers and links listen by now, so they cannot take the port of a process.
	release()
	seeds := strings.Join(s.links, ",")
	for i := range cfg.gateways {
		settings := fmt.Sprintf("[place]\nregion = here\ndomain = %s\n[gateway]\nname = g%d\ncallers = %s\nready = %s\nlinks = %s\nadvertise = %s\nseeds = %s\n"+
			"prefer = on\nlate = refuse\nneighbours = off\n[store]\naddress = %s\n[process]\nmemory = 284\nfiles = 4100\n",
			zone(i), i, callers[i], ready[i], links[i], s.links[i], seeds, stores[i])
		if err := s.launch(&s.gateways, program, "gateway", fmt.Sprintf("g%d", i), settings); err != nil {
			return nil, err
		}
	}
	for i := range cfg.runners {
		settings := fmt.Sprintf("[place]\nregion = here\ndomain = %s\n[runner]\nname = r%d\nworker = %s\nreports = %s\nseeds = %s\n"+
			"neighbours = off\n[store]\naddress = %s\n[process]\nmemory = 152\nfiles = 4096\n",
			zone(i), i, s.workers[i].addr, reports[i], seeds, l.Addr())
		if err := s.launch(&s.runners, program, "runner", fmt.Sprintf("r%d", i), settings); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addLinks puts links on the way from and to the last of two gateways.
func (s *site) addLinks(stores []string, cuts cut) error {
	s.network = newNetwork()
	always := func(net.Conn) bool { return true }
	from := func(gateway string) func(net.Conn) bool {
		return func(c net.Conn) bool { return s.ownerOf(c) == gateway }
	}
	toLast, client := always, always
	if cuts == fromCore {
		toLast, client = from("g0"), func(net.Conn) bool { return false }
	}
	for _, l := range []struct {
		address *string
		resends bool
		cuts    func(net.Conn) bool
	}{
		{&stores[1], false, always},
		{&s.links[0], false, from("g1")},
		{&s.links[1], false, toLast},
		{&s.callers[1], true, client},
		{&s.ready[1], false, client},
	} {
		k, err := newLink(s.network, *l.address, l.resends, l.cuts)
		if err != nil {
			return err
		}
		*l.address = k.address
	}
	return nil
}

// zone returns the failure domain of a machine.
func zone(i int) string { return fmt.Sprintf("zone-%d", i%2) }

func (s *site) launch(to *[]*process, program, role, name, settings string) error {
	file := filepath.Join(s.dir, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	p := &process{name: name, args: []string{program, role, "--settings", file}, log: filepath.Join(s.dir, name+".log")}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := p.start(); err != nil {
		return err
	}
	*to = append(*to, p)
	s.processes = append(s.processes, p)
	return nil
}

// ownerOf returns the name of the process at the other end of a connection, or an empty string.
func (s *site) ownerOf(c net.Conn) string {
	for range ownerAttempts {
		s.mu.Lock()
		all := slices.Clone(s.processes)
		s.mu.Unlock()
		if inode := inodeOf(c); inode != "" {
			for _, p := range all {
				if p.hasSocket(inode) {
					return p.name
				}
			}
		}
		// The table of sockets is not read at one moment, so one may be missing.
		time.Sleep(ownerPause)
	}
	s.rec.logf("the owner of %s is not known", c.RemoteAddr())
	return ""
}

// stop ends everything that the site started.
func (s *site) stop() {
	for _, p := range append(append([]*process(nil), s.gateways...), s.runners...) {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	for _, w := range s.workers {
		s.rec.logf("%s", w.describe())
		w.close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// jobID returns a new id.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// gateHolds reports whether not too many of the requests were refused or failed.
func gateHolds(asked, completed int) bool { return (asked-completed)*100 <= asked*unservedPercent }

// answer is the answer to a request. status is 0 if none arrived.
type answer struct {
	status int
	body   string
	took   time.Duration
	err    error
}

// String returns the answer as written to the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %d ms (%v)", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d %.60s after %d ms", a.status, strings.TrimSpace(a.body), a.took.Milliseconds())
}

// send sends a request to an address and waits for the answer as long as the client does.
func send(client *http.Client, method, address, path, body string, deadline time.Duration) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return answer{took: time.Since(began), err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{took: time.Since(began), err: err}
	}
	return answer{status: resp.StatusCode, body: string(b), took: time.Since(began)}
}

// awaitReady waits until all gateways report that they are ready.
func (s *site) awaitReady(limit time.Duration) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, address := range s.ready {
			if send(client, http.MethodGet, address, "/readyz", "", time.Second).status == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.ready) {
			return true
		}
	}
	return false
}
