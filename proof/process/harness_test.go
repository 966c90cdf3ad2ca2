// Package process runs the real programs as separate processes, injects faults, and checks the nine numbered promises
// of the design page against what callers were answered and which starts the stand-in workers recorded.
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
	"github.com/lavendercourse/lavendercourse/standin/platform"
	"github.com/lavendercourse/lavendercourse/standin/worker"
)

const (
	entryCount    = 3
	agentCount    = 4
	slotsPerAgent = 8
	// waitTimeout limits how long a test waits for a condition or an answer. It is long enough for a busy machine.
	waitTimeout = 40 * time.Second
)

// binaryDir is the directory of the programs under test. PROOF_BINARIES selects programs built from a patched tree, to
// show that a check detects a fault.
var binaryDir = os.Getenv("PROOF_BINARIES")

// clusterSlots limits how many clusters run at once, since each has a dozen processes.
var clusterSlots = make(chan struct{}, 4)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	if binaryDir == "" {
		dir, err := os.MkdirTemp("", "proof")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = os.RemoveAll(dir) }()
		binaryDir = dir
		out, err := exec.Command("go", "build", "-o", dir, "../../cmd/lavendercourse", "../../cmd/standin").CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
	}
	return m.Run()
}

// nextPort counts the ports tried by freeAddress, which stay below the kernel's range for outgoing connections.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(22_000)) }

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	for range 4000 {
		address := fmt.Sprintf("127.0.0.1:%d", 10_000+nextPort.Add(1)%22_000)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// process is a program that can be started, paused, killed and started again.
type process struct {
	name    string
	args    []string
	logPath string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) start(t *testing.T) {
	t.Helper()
	f, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	cmd := exec.Command(filepath.Join(binaryDir, p.args[0]), p.args[1:]...)
	cmd.Stdout, cmd.Stderr = f, f
	// Pdeathsig ends the program with the test binary, even if that is killed. Setpgid keeps a paused program paused:
	// the kernel sends SIGCONT to the stopped members of a process group that becomes orphaned, for instance because
	// the shell that started the tests in the background has ended.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	assert.NilError(t, cmd.Start())
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = f.Close()
		close(exited)
	}()
}

// signal sends a signal to the process, if it was started, and returns a channel that is closed once it has exited.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	_ = p.cmd.Process.Signal(s)
	return p.exited
}

// pause sends SIGSTOP and waits until the process is stopped, so that it cannot answer anything sent after pause
// returns.
func (p *process) pause() {
	_ = p.signal(syscall.SIGSTOP)
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil || strings.Contains(string(b), ") T ") {
			return
		}
	}
}

func (p *process) resume() { _ = p.signal(syscall.SIGCONT) }

func (p *process) kill() {
	<-p.signal(syscall.SIGKILL)
}

// stop sends SIGTERM and waits until the process has exited.
func (p *process) stop(t *testing.T) {
	t.Helper()
	select {
	case <-p.signal(syscall.SIGTERM):
	case <-time.After(waitTimeout):
		t.Errorf("%s did not exit in time after SIGTERM", p.name)
		p.kill()
	}
}

// cluster is a stand-in platform, three entries and four agents with their backend servers. Agents 0 and 1 are in
// failure domain north, agents 2 and 3 and all entries in south. Links to an entry pass through its relay.
type cluster struct {
	t                *testing.T
	dir              string
	platform         *process
	entries          []*process
	agents           []*process
	workers          []*process
	relays           []*relay
	platformAddress  string
	callerAddresses  []string
	backendAddresses []string
	http             *http.Client
	nextEntry        atomic.Uint64

	mu sync.Mutex
	// killedStarts holds the starts recorded by backend servers that were killed.
	killedStarts journal
}

func domainOf(agent int) string { return []string{"north", "south"}[agent/2] }

func newCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	c := &cluster{t: t, dir: t.TempDir(), platformAddress: freeAddress(t)}
	t.Cleanup(c.close)
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	c.platform = c.newProcess("platform", "standin", "platform", "--listen", c.platformAddress)
	c.platform.start(t)
	for i := range entryCount {
		links := freeAddress(t)
		c.relays = append(c.relays, newRelay(t, links))
		c.callerAddresses = append(c.callerAddresses, freeAddress(t))
		c.entries = append(c.entries, c.newProcess(entryName(i), "lavendercourse", "entry", "--settings", c.writeSettings(entryName(i), "south",
			"[entry]", "name="+entryName(i), "callers="+c.callerAddresses[i], "links="+links, "advertise="+c.relays[i].address())))
	}
	var seeds []string
	for _, r := range c.relays {
		seeds = append(seeds, r.address())
	}
	for i := range agentCount {
		c.backendAddresses = append(c.backendAddresses, freeAddress(t))
		name := fmt.Sprintf("worker-%d", i)
		c.workers = append(c.workers, c.newProcess(name, "standin", "worker", "--listen", c.backendAddresses[i], "--name", name, "--domain", domainOf(i)))
		c.workers[i].start(t)
		c.agents = append(c.agents, c.newProcess(agentName(i), "lavendercourse", "agent", "--settings", c.writeSettings(agentName(i), domainOf(i),
			"[agent]", "name="+agentName(i), "entries="+strings.Join(seeds, ","), "worker="+c.backendAddresses[i], fmt.Sprintf("slots=%d", slotsPerAgent), "memory=1000")))
	}
	for _, p := range append(c.entries, c.agents...) {
		p.start(t)
	}
	c.waitReady()
	return c
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }
func agentName(i int) string { return fmt.Sprintf("agent-%d", i) }

func (c *cluster) newProcess(name string, args ...string) *process {
	return &process{name: name, args: args, logPath: filepath.Join(c.dir, name+".log")}
}

// writeSettings writes the settings file of a daemon and returns its path.
func (c *cluster) writeSettings(name, domain string, section ...string) string {
	lines := append([]string{"[place]", "region=island", "domain=" + domain, "rack=" + name}, section...)
	lines = append(lines, "[platform]", "address="+c.platformAddress)
	path := filepath.Join(c.dir, name+".ini")
	assert.NilError(c.t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	return path
}

// waitReady waits until every entry accepts jobs and is linked with every agent and every other entry. An entry that
// learns of the others only after its start takes a new incarnation, so the incarnations must not change for a second.
func (c *cluster) waitReady() {
	c.t.Helper()
	previous := ""
	c.eventually(func() error {
		current := ""
		for i := range entryCount {
			id, err := c.reserveIfReady(i)
			if err != nil {
				return err
			}
			current += strings.SplitN(id, ".", 2)[0] + " "
		}
		if current != previous {
			previous = current
			time.Sleep(time.Second)
			return fmt.Errorf("incarnations changed within the last second: %s", current)
		}
		return nil
	})
}

// reserveIfReady reserves an id at entry i and checks that every entry can ask the owner of this id, which is entry i.
func (c *cluster) reserveIfReady(i int) (string, error) {
	if err := c.checkLinked(i); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	ids, err := c.dispatchClient(i).Reserve(ctx, connect.NewRequest(&dispatchv1.ReserveRequest{Count: 1}))
	if err != nil {
		return "", err
	}
	id := ids.Msg.GetIds()[0]
	for j := range entryCount {
		s, err := c.dispatchClient(j).Status(ctx, connect.NewRequest(&dispatchv1.StatusRequest{Id: id}))
		if err != nil || s.Msg.GetVerdict().GetReason() != dispatchv1.Reason_REASON_EXPIRED {
			return "", fmt.Errorf("entry %d does not get the status of an id from entry %d: %v %v", j, i, s, err)
		}
	}
	return id, nil
}

// checkLinked checks that entry i is healthy and linked with all agents.
func (c *cluster) checkLinked(i int) error {
	resp, err := c.http.Get("http://" + c.callerAddresses[i] + "/health")
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("entry %d: health check answered with HTTP status %d", i, resp.StatusCode)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	w, err := c.operatorClient(i).ListWorkers(ctx, connect.NewRequest(&dispatchv1.ListWorkersRequest{}))
	if err != nil {
		return err
	}
	linked := 0
	for _, w := range w.Msg.GetWorkers() {
		if w.GetHealth() != "leaving" {
			linked++
		}
	}
	if linked != agentCount {
		return fmt.Errorf("entry %d: linked with %d workers of %d", i, linked, agentCount)
	}
	return nil
}

// eventually repeats the check until it succeeds, and fails the test after waitTimeout.
func (c *cluster) eventually(check func() error) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if err := check(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

func (c *cluster) close() {
	all := append(append(append([]*process{c.platform}, c.workers...), c.entries...), c.agents...)
	if c.t.Failed() {
		c.printLogs(all)
	}
	for _, p := range all {
		p.kill()
	}
	for _, r := range c.relays {
		r.close()
	}
	c.http.CloseIdleConnections()
	<-clusterSlots
}

// printLogs logs the last 4,000 bytes that each process wrote.
func (c *cluster) printLogs(all []*process) {
	for _, p := range all {
		b, _ := os.ReadFile(p.logPath)
		c.t.Logf("%s:\n%s", p.name, b[max(0, len(b)-4000):])
	}
}

func (c *cluster) dispatchClient(i int) dispatchv1connect.DispatchServiceClient {
	return dispatchv1connect.NewDispatchServiceClient(c.http, "http://"+c.callerAddresses[i])
}

func (c *cluster) operatorClient(i int) dispatchv1connect.OperatorServiceClient {
	return dispatchv1connect.NewOperatorServiceClient(c.http, "http://"+c.callerAddresses[i])
}

// balancedClient returns an HTTP client that connects to the entries in turn, as the platform's load balancer does.
// Without keepAlive each request opens a connection, so that requests about a job also reach entries other than its
// owner.
func (c *cluster) balancedClient(keepAlive bool) *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		var conn net.Conn
		var err error
		for range entryCount {
			conn, err = d.DialContext(ctx, "tcp", c.callerAddresses[c.nextEntry.Add(1)%entryCount])
			if err == nil {
				return conn, nil
			}
		}
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, DisableKeepAlives: !keepAlive}}
}

// postFaults sets the faults of a stand-in.
func (c *cluster) postFaults(address string, v any) {
	c.t.Helper()
	b, err := json.Marshal(v)
	assert.NilError(c.t, err)
	resp, err := c.http.Post("http://"+address+"/faults", "application/json", bytes.NewReader(b))
	assert.NilError(c.t, err)
	_ = resp.Body.Close()
	assert.Equal(c.t, resp.StatusCode, http.StatusOK)
}

func (c *cluster) setLogFaults(f platform.Faults)         { c.postFaults(c.platformAddress, f) }
func (c *cluster) setWorkerFaults(i int, f worker.Faults) { c.postFaults(c.backendAddresses[i], f) }

// journal returns the starts that all backend servers recorded, including those that were killed.
func (c *cluster) journal() journal {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append(journal(nil), c.killedStarts...)
	for i, w := range c.workers {
		select {
		case <-w.signal(0):
		default:
			all = append(all, c.workerJournal(i)...)
		}
	}
	return all
}

func (c *cluster) workerJournal(i int) journal {
	c.t.Helper()
	resp, err := c.http.Get("http://" + c.backendAddresses[i] + "/journal")
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	var j journal
	assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&j))
	return j
}

// killWorker kills backend server i. Starts between the read of its journal and the kill are lost, so no new work may
// arrive then.
func (c *cluster) killWorker(i int) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killedStarts = append(c.killedStarts, c.workerJournal(i)...)
	c.workers[i].kill()
}

// parallel runs do(0) to do(n-1) concurrently and waits for all.
func parallel(n int, do func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { do(i) })
	}
	wg.Wait()
}
