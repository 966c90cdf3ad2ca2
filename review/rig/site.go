package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	service = "storefront"
	host    = "shop.example"
	// resendPause is the time after which a client sends a job again that got no answer.
	resendPause = 1300 * time.Millisecond
)

// siteZones are the zones of the site akwaaba-print.
var siteZones = []string{"accra-osu", "accra-tema", "kumasi-adum", "kumasi-asokwa"}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// siteConfig describes a small deployment.
type siteConfig struct {
	zones    []string
	gateways int
	// kinds holds the first life of each worker.
	kinds []kind
	// storeProxies puts a proxy between each process and the store.
	storeProxies bool
	// cutProxies puts proxies around the first gateway, so that it can be cut off.
	cutProxies bool
}

type site struct {
	record  *record
	log     *runLog
	store   *store
	dir     string
	servers []*http.Server

	gateways     []*process
	runners      []*process
	workers      []*worker
	storeProxies []*proxy
	// cutProxies are the proxies around the first gateway: for clients, for links and for its calls to the store.
	cutProxies []*proxy
	// clientsReset is set if clients reset a channel when they close it.
	clientsReset bool
}

// process is one of the project's programs.
type process struct {
	name string
	// callers and ready are addresses of a gateway, reports that of a runner.
	callers string
	ready   string
	reports string
	zone    string
	// advertise is the address at which others reach the links of a gateway, if it isn't the one of the template.
	advertise string
	cmd       *exec.Cmd
	exited    chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)\}\}`)

// fill fills in a template of the deploy folder. A key without a value is left out, so that its default holds.
func fill(template string, fields map[string]string) (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", template))
	if err != nil {
		return "", err
	}
	var lines []string
	for line := range strings.Lines(string(text)) {
		missing := false
		line = placeholder.ReplaceAllStringFunc(line, func(p string) string {
			value, ok := fields[strings.Trim(p, "{}")]
			missing = missing || !ok
			return value
		})
		if !missing {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, ""), nil
}

// loopback returns an address of the loopback range for this process, so that cases side by side, and the local ports of
// outgoing connections, do not take the ports of a case.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>14%200, pid>>7%128, 1+pid%128)
}

// firstPort is the first port of the processes and workers. Ports from here on are below those that the kernel gives to
// proxies and outgoing connections.
const firstPort = 20000

// freeAddresses returns n free addresses of the loopback interface.
func freeAddresses(n int) ([]string, error) {
	var all []string
	for port := firstPort; len(all) < n; port++ {
		if port == firstPort+1000 {
			return nil, errors.New("too few free ports")
		}
		address := fmt.Sprintf("%s:%d", loopback(), port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		all = append(all, address)
	}
	return all, nil
}

// newSite starts the stand-ins and processes of a deployment. If that fails, it ends those that it has started.
func newSite(cfg siteConfig, r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, log: newRunLog(r), store: newStore(), dir: dir}
	if err := s.setUp(cfg); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) setUp(cfg siteConfig) error {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.store.handler()}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	addresses, err := freeAddresses(4*cfg.gateways + 3*len(cfg.kinds))
	if err != nil {
		return err
	}
	take := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	storeAddress := func() (string, error) {
		if !cfg.storeProxies {
			return l.Addr().String(), nil
		}
		p, err := newProxy(l.Addr().String())
		if err != nil {
			return "", err
		}
		s.storeProxies = append(s.storeProxies, p)
		return p.address(), nil
	}
	var links []string
	for range cfg.gateways {
		links = append(links, take())
	}
	advertised := append([]string(nil), links...)
	if cfg.cutProxies {
		p, err := newProxy(links[0])
		if err != nil {
			return err
		}
		s.cutProxies = append(s.cutProxies, p)
		advertised[0] = p.address()
	}
	seeds := advertised[:min(len(advertised), 3)]
	for i, link := range links {
		zone := cfg.zones[i%len(cfg.zones)]
		p := &process{name: fmt.Sprintf("gateway-%d", i+1), callers: take(), ready: take(), zone: zone, advertise: advertised[i]}
		store, err := storeAddress()
		if err != nil {
			return err
		}
		if cfg.cutProxies && i == 0 {
			toStore, err := newProxy(store)
			if err != nil {
				return err
			}
			fromClients, err := newProxy(p.callers)
			if err != nil {
				return err
			}
			s.cutProxies = append(s.cutProxies, toStore, fromClients)
			store = toStore.address()
		}
		if err := s.start(p, "gateway", map[string]string{
			"region": "gh-south", "zone": zone, "nodeName": p.name, "listen.frontendAddr": p.callers, "listen.readinessAddr": p.ready,
			"listen.control": link, "seeds": strings.Join(seeds, ","), "platform.address": store, "limits.memoryMb": "284",
		}); err != nil {
			return err
		}
		if cfg.cutProxies && i == 0 {
			p.callers = s.cutProxies[2].address()
		}
		s.gateways = append(s.gateways, p)
	}
	for i, k := range cfg.kinds {
		zone := cfg.zones[i%len(cfg.zones)]
		p := &process{name: fmt.Sprintf("runner-%d", i+1), reports: take(), zone: zone}
		app := take()
		store, err := storeAddress()
		if err != nil {
			return err
		}
		if err := s.start(p, "runner", map[string]string{
			"region": "gh-south", "zone": zone, "nodeName": p.name, "app": app, "listen.control": p.reports,
			"seeds": strings.Join(seeds, ","), "platform.address": store, "limits.memoryMb": "152",
		}); err != nil {
			return err
		}
		s.runners = append(s.runners, p)
		w, err := startWorker(workerConfig{
			id: fmt.Sprintf("i-%08d", i+1), service: service, zone: zone, reports: p.reports, record: s.record, log: s.log,
		}, k, app)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	return nil
}

// start writes the settings of a process and starts it with the command of the deploy file.
func (s *site) start(p *process, role string, fields map[string]string) error {
	text, err := fill(role+".ini", fields)
	if err != nil {
		return err
	}
	if p.advertise != "" && p.advertise != fields["listen.control"] {
		text = strings.Replace(text, "[gateway]\n", "[gateway]\nadvertise = "+p.advertise+"\n", 1)
	}
	file := filepath.Join(s.dir, p.name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(s.dir, p.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command("target/lavendercourse", role, "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The processes end with the rig, even if that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	s.record.printf("%s: started, pid %d", p.name, p.cmd.Process.Pid)
	return nil
}

// close ends all processes and stand-ins.
func (s *site) close() {
	for _, p := range append(append([]*process(nil), s.gateways...), s.runners...) {
		if p.cmd != nil && p.exited != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	for _, w := range s.workers {
		w.crash()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.record.printf("settings and logs are in %s", s.dir)
	}
}

// publish writes a configuration as the operator does, and returns the time of the store's answer.
func (s *site) publish(version int, prefixes ...string) time.Time {
	routes := []map[string]any{}
	for i, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("q%d", i+1), "host": host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 1500,
			"targetLatencyMs": 60, "priority": 0, "service": service, "maxAttempts": 4, "slackFactor": 1.6,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"enforcesCapacity": false, "standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.store.put("keyed.op", "config", b)
	s.record.printf("operator: configuration %d with %v is acknowledged", version, prefixes)
	return time.Now()
}

var errNotReady = errors.New("gateways are not ready")

// awaitReady waits until all gateways report that they are ready, all runners are linked and have free room.
func (s *site) awaitReady(prefix string) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, g := range s.gateways {
			resp, err := http.Get("http://" + g.ready + "/readyz")
			if err != nil {
				ready = false
				continue
			}
			_ = resp.Body.Close()
			ready = ready && resp.StatusCode == http.StatusOK
		}
		if ready {
			time.Sleep(2 * time.Second)
			status, _ := s.get(s.gateways[0].callers, prefix)
			if status != http.StatusOK {
				return fmt.Errorf("GET %s: status %d", prefix, status)
			}
			return nil
		}
	}
	return errNotReady
}

// dialReset opens a connection that is reset when it is closed.
func dialReset(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c, err
}

// get sends a GET on a new connection and returns the status, or 0 if there was no answer.
func (s *site) get(address, path string) (int, error) {
	return s.send(context.Background(), http.MethodGet, address, path, "", 1500)
}

// send sends one request on a new connection and returns the status, or 0 if there was no answer.
func (s *site) send(ctx context.Context, method, address, path, body string, timeoutMs int) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(timeoutMs)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeoutMs))
	t := &http.Transport{DisableKeepAlives: true}
	if s.clientsReset {
		t.DialContext = dialReset
	}
	s.record.printf("%s %s is sent to %s: %s", method, path, address, body)
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	s.record.printf("%s %s is answered by %s: %d %s", method, path, address, resp.StatusCode, strings.TrimSpace(string(answer)))
	return resp.StatusCode, nil
}

// jobBody returns a best-effort job of one step.
func jobBody(count, cpu, ms int, label string) string {
	step := map[string]any{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": ms}
	if label != "" {
		step["requiredLabel"] = label
	}
	b, _ := json.Marshal(map[string]any{"spec": fmt.Sprintf("badge %d", ms), "bestEffort": true, "steps": []any{step}})
	return string(b)
}
