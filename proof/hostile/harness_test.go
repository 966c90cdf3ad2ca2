// Package hostile sends unfinished and oversized requests to real gateways and runners, and checks that the processes
// live, stay within their memory and descriptors, and still answer an ordinary caller. The tests run one at a time.
package hostile

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/standin/fleet"
)

const (
	// memoryMB is the memory setting of the processes and the bound of their memory. An idle gateway takes 25 MB.
	memoryMB = 96
	// files is the limit of open descriptors of the processes. spareFiles of them must be left for links, the store and the
	// worker.
	files      = 600
	spareFiles = 100
	// smallestMemoryMB and smallestFiles are the limits of the smallest gateways of the deployments.
	smallestMemoryMB = 144
	smallestFiles    = 3075
	// maxBody is the published limit of a body, and maxHead that of a head, in bytes.
	maxBody = 262_144
	maxHead = 16_384
	// usualSendTimeout is system.sendTimeout unless a test changes it.
	usualSendTimeout = 10 * time.Second
	// waitTimeout is far above what any step needs on a busy machine.
	waitTimeout = 40 * time.Second
	host        = "shop.example"
	prefix      = "/proofs/"
)

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "lavendercourse")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/lavendercourse").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
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

// process is a started gateway or runner.
type process struct {
	name string
	// settings and log are the paths of its files.
	settings, log string
	cmd           *exec.Cmd
	exited        chan struct{}
	// usage is the memory that the process has used, with the bytes that wait unread on its listeners.
	usage *usage
}

// system is a gateway and a runner as processes, beside a store and a worker in the test's own process.
type system struct {
	*testing.T
	gateway, runner               *process
	callers, ready, links         string
	gatewayMetrics, runnerMetrics string
	reports                       string
	// jobs counts the ordinary jobs.
	jobs            atomic.Uint64
	ledger          *fleet.Ledger
	memoryMB, files int
	// sendTimeout bounds the time in which a hostile client connects, and in which it sends what it sends. The process may
	// have stopped reading.
	sendTimeout time.Duration
}

func newSystem(t *testing.T) *system { return newLimitedSystem(t, memoryMB, files) }

// newLimitedSystem starts a system whose processes have the given memory in MB and number of descriptors.
func newLimitedSystem(t *testing.T, memoryMB, files int) *system {
	s := &system{
		T: t, memoryMB: memoryMB, files: files, sendTimeout: usualSendTimeout,
		callers: freeAddress(t), ready: freeAddress(t), links: freeAddress(t), reports: freeAddress(t),
		gatewayMetrics: freeAddress(t), runnerMetrics: freeAddress(t),
	}
	store := fleet.NewStore()
	store.Put(platform.ConfigStream, "config", fmt.Sprintf(`{"version":3,"routes":[{"name":"q","host":%q,"pathPrefix":%q,
		"service":"press","maxAttempts":2,"slackFactor":1.6,"targetLatencyMs":60}],"services":[],"limits":{}}`, host, prefix))
	storeAddress := s.serve(store.Handler())
	s.ledger = fleet.NewLedger()
	w := fleet.NewWorker(fleet.WorkerConfig{ID: "w-r0", Service: "press", Domain: "d0", ReportAddress: s.reports, ParsePayload: fleet.ParsePayload}, s.ledger)
	t.Cleanup(w.Close)
	workerAddress := s.serve(w.Handler())
	common := fmt.Sprintf("[place]\nregion = here\ndomain = d0\n[store]\naddress = %s\n[process]\nmemory = %d\n", storeAddress, memoryMB)
	s.gateway = s.start("gateway", common+fmt.Sprintf("[gateway]\nname = g0\ncallers = %s\nready = %s\nlinks = %s\nmetrics = %s\nseeds = %s\n",
		s.callers, s.ready, s.links, s.gatewayMetrics, s.links), s.callers, s.ready, s.links, s.gatewayMetrics)
	s.runner = s.start("runner", common+fmt.Sprintf("[runner]\nname = r0\nworker = %s\nreports = %s\nmetrics = %s\nseeds = %s\n",
		workerAddress, s.reports, s.runnerMetrics, s.links), s.reports, s.runnerMetrics)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := s.submit(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
	return s
}

// serve serves HTTP for the rest of the test and returns the address.
func (s *system) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	s.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// start starts a daemon that listens on the given addresses, with a limit of open descriptors. It is killed at the end of
// the test.
func (s *system) start(role, settings string, listeners ...string) *process {
	s.Helper()
	dir := s.TempDir()
	p := &process{name: role, settings: filepath.Join(dir, "settings.ini"), log: filepath.Join(dir, "log")}
	assert.NilError(s, os.WriteFile(p.settings, []byte(settings), 0o600))
	s.launch(p)
	p.usage = newUsage(p.cmd.Process.Pid, listeners)
	s.Cleanup(func() {
		p.usage.stop()
		_ = p.cmd.Process.Kill()
		<-p.exited
		if b, err := os.ReadFile(p.log); err == nil && s.Failed() {
			s.Logf("end of the log of the %s:\n%s", role, b[max(0, len(b)-3000):])
		}
	})
	return p
}

// launch starts the program of a process. Its output is added to the log.
func (s *system) launch(p *process) {
	s.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(s, err)
	limited := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, s.files)
	p.cmd, p.exited = exec.Command("sh", "-c", limited, program, p.name, "--settings", p.settings), make(chan struct{})
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(s, p.cmd.Start())
	cmd, exited := p.cmd, p.exited
	go func() {
		defer close(exited)
		_ = cmd.Wait()
		_ = log.Close()
	}()
}

// nextJob returns the ID of another ordinary job.
func (s *system) nextJob() string { return fmt.Sprintf("%016x", s.jobs.Add(1)) }

// submit submits one ordinary job on a connection of its own and returns an error unless the job completes.
func (s *system) submit() error { return s.submitJob(s.nextJob()) }

// submitJob submits an ordinary job with the given ID on a connection of its own and returns an error unless the job
// completes.
func (s *system) submitJob(id string) error {
	body := `{"spec":"100 1","bestEffort":true,"steps":[{"count":1,"cpu":100,"memMb":64,"estimateMs":1}]}`
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%s", s.callers, prefix, id), strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = host
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	return checkCompleted(resp)
}

// answerError is returned for an answer that says anything else than that the job has completed.
type answerError struct {
	status  int
	content string
}

func (e *answerError) Error() string { return fmt.Sprintf("status %d, %s", e.status, e.content) }

// checkCompleted returns an error unless a response says that its job has completed.
func checkCompleted(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var answer struct{ State string }
	if err := json.Unmarshal(content, &answer); err != nil || answer.State != "completed" {
		return &answerError{resp.StatusCode, string(content)}
	}
	return nil
}

// check fails the test unless both processes live within their bounds and an ordinary job completes. Its caller submits
// it again after a refusal or a broken connection, as the users' clients do.
func (s *system) check() {
	s.Helper()
	for _, p := range []*process{s.gateway, s.runner} {
		s.Logf("%s: %d MB at its peak, %s, %d descriptors open", p.name, p.peakMB(s.T), p.usage, p.open(s.T))
		assert.Check(s, p.open(s.T) <= s.files-spareFiles, "%s has %d descriptors open", p.name, p.open(s.T))
	}
	var err error
	for range 5 {
		if err = s.submit(); err == nil {
			break
		}
		s.Logf("ordinary job: %v", err)
		time.Sleep(1300 * time.Millisecond)
	}
	assert.Check(s, err, "no ordinary job completes")
	for _, p := range []*process{s.gateway, s.runner} {
		select {
		case <-p.exited:
			s.Errorf("%s has ended", p.name)
		default:
			assert.Check(s, p.peakMB(s.T) <= s.memoryMB, "%s has used %d MB", p.name, p.peakMB(s.T))
			assert.Check(s, p.usage.mostMB() <= int64(s.memoryMB), "%s has used %s", p.name, p.usage)
		}
	}
}

// peakMB returns the largest resident memory that the process has had, in MB.
func (p *process) peakMB(t *testing.T) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			assert.NilError(t, err)
			return kb >> 10
		}
	}
	t.Fatalf("%s has no peak memory: %s", p.name, b)
	return 0
}

// open returns the number of open descriptors of the process.
func (p *process) open(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	assert.NilError(t, err)
	return len(entries)
}

// crowd opens n connections, spread over the addresses, and runs send on all of them at once. It returns when all have
// sent what they send or have been cut off. The connections stay open until the end of the test.
func (s *system) crowd(n int, send func(w io.Writer, i int) error, addresses ...string) {
	s.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	sent := 0
	for i := range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", addresses[i%len(addresses)], s.sendTimeout)
			if err != nil {
				return
			}
			_ = conn.SetWriteDeadline(time.Now().Add(s.sendTimeout))
			err = send(conn, i)
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, conn)
			if err == nil {
				sent++
			}
		})
	}
	wg.Wait()
	s.Cleanup(func() {
		for _, c := range conns {
			_ = c.Close()
		}
	})
	s.Logf("%d of %d connections opened, %d sent everything", len(conns), n, sent)
	// The process reads what is still in the buffers of the kernel.
	time.Sleep(500 * time.Millisecond)
}

// head returns the head of a submission whose lines end with the given ones.
func head(i int, lines ...string) string {
	return fmt.Sprintf("POST %sabcd%012x HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 20000\r\n%s\r\n", prefix, i, host, strings.Join(lines, ""))
}

// pad returns a submission of the given size whose end is white space.
func pad(size int) string {
	body := `{"spec":"10 1","bestEffort":true,"steps":[{"count":1,"cpu":10,"memMb":1,"estimateMs":1}]`
	return body + strings.Repeat(" ", size-len(body)-1) + "}"
}

// sendPieces sends a head, and a body in pieces of 16 KiB with pauses between them.
func sendPieces(w io.Writer, head, body string) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for at := 0; at < len(body); at += 16 << 10 {
		if _, err := io.WriteString(w, body[at:min(at+16<<10, len(body))]); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// sendChunks sends a body in chunks of the given size.
func sendChunks(w io.Writer, body string, size int) error {
	_, err := io.WriteString(w, inChunks(body, size))
	return err
}

// inChunks returns a body in chunks of the given size, without the last chunk.
func inChunks(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String()
}

// exchange sends the parts of one request with pauses between them, and returns an error unless its job completes.
func (s *system) exchange(pause time.Duration, parts ...string) error {
	conn, err := net.Dial("tcp", s.callers)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	return checkCompleted(resp)
}
