package hostile

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seeds     = flag.Int("hostile.seeds", 2, "number of seeds of the mixed crowd")
	firstSeed = flag.Uint64("hostile.first", 1, "first seed of the mixed crowd")
	span      = flag.Duration("hostile.span", 8*time.Second, "time for which the mixed crowd sends")
)

const (
	// ordinaryCallers is the number of callers that submit ordinary jobs beside the mixed crowd.
	ordinaryCallers = 4
	// tricklePeriod is the time between two bytes of a client that goes on sending on an open connection.
	tricklePeriod = 300 * time.Millisecond
	// resendDelay is the time after which the users' clients send a job again that got no answer.
	resendDelay = 1300 * time.Millisecond
)

// mixedLimits are the limits of processes, with the size of the crowd.
var mixedLimits = []struct{ memoryMB, files, crowd int }{
	{memoryMB, files, 500},
	{memoryMB, smallestFiles, 1000},
	{smallestMemoryMB, smallestFiles, 1500},
}

// Guards against any order of hostile requests, signals, restarts, suspensions and lack of processor time that ends or
// hangs a process, takes its memory or descriptors, runs a refused job, or runs a task twice at the same time.
func TestMixedCrowd(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			limits := mixedLimits[seed%uint64(len(mixedLimits))]
			s := newLimitedSystem(t, limits.memoryMB, limits.files)
			m := &mix{system: s, seed: seed, end: make(chan struct{}), shapes: newShapes()}
			for i := range limits.crowd {
				m.running.Go(func() { m.attack(i) })
			}
			for i := range ordinaryCallers {
				m.running.Go(func() { m.call(i) })
			}
			m.disturb()
			close(m.end)
			m.running.Wait()
			t.Cleanup(m.closeAll)
			s.check()
			m.checkJobs()
		})
	}
}

// mix is a crowd that sends requests of all shapes while faults happen.
type mix struct {
	*system
	seed    uint64
	end     chan struct{}
	running sync.WaitGroup
	shapes  []func(w io.Writer, i int) error

	mu sync.Mutex
	// open holds the connections of the crowd. refused holds the ordinary jobs whose only answer was a refusal, and
	// completed counts the others.
	open      []net.Conn
	refused   []string
	completed int
}

// random returns the random numbers of one part of the crowd.
func (m *mix) random(part int) *rand.Rand { return rand.New(rand.NewPCG(m.seed, uint64(part))) }

// wait waits for a time and returns false if the crowd ends meanwhile.
func (m *mix) wait(d time.Duration) bool {
	select {
	case <-m.end:
		return false
	case <-time.After(d):
		return true
	}
}

// newShapes returns the requests that clients of the crowd send. They are encoded once, since the crowd sends them often.
func newShapes() []func(w io.Writer, i int) error {
	body := pad(maxBody)[:maxBody-200]
	whole, large, tiny := pad(maxBody), inChunks(body, 32<<10), inChunks(body, 1)
	lines := strings.Join(manyShortLines(maxHead-400), "")
	text := func(start, rest string) func(io.Writer, int) error {
		return func(w io.Writer, i int) error { return send(w, head(i, start)+rest) }
	}
	return []func(io.Writer, int) error{
		text(contentLength, body), text(contentLength, whole), text(chunked, large), text(chunked, tiny),
		text(lines+contentLength, ""), text(contentLength+"Expect: 100-continue\r\n", ""), text(contentLength, whole+head(0, contentLength)+body),
		func(w io.Writer, i int) error { return sendPieces(w, head(i, contentLength), body) },
		func(w io.Writer, _ int) error {
			return send(w, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1000))
		},
		func(w io.Writer, _ int) error { return send(w, strings.Repeat("\r\n", 10_000)) },
		func(w io.Writer, _ int) error { return send(w, "POST /"+strings.Repeat("x", 900_000)) },
		func(w io.Writer, _ int) error { return send(w, upgrade+largeFrame[:1<<20]) },
		func(io.Writer, int) error { return nil },
	}
}

// attack is a client of the crowd. It sends on one connection after the other until it leaves one of them open.
func (m *mix) attack(i int) {
	r := m.random(i)
	others := []string{m.ready, m.links, m.gatewayMetrics, m.reports, m.runnerMetrics}
	for m.wait(time.Duration(r.IntN(500)) * time.Millisecond) {
		address := m.callers
		if r.IntN(5) == 0 {
			address = others[r.IntN(len(others))]
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		err = m.shapes[r.IntN(len(m.shapes))](conn, i)
		if err == nil && r.IntN(3) == 0 {
			m.stay(conn, i%2 == 0)
			return
		}
		m.wait(time.Duration(r.IntN(1000)) * time.Millisecond)
		_ = conn.Close()
	}
}

// stay leaves a connection open until the end of the test. A client that trickles goes on sending a little on it.
func (m *mix) stay(conn net.Conn, trickles bool) {
	m.mu.Lock()
	m.open = append(m.open, conn)
	m.mu.Unlock()
	for trickles && m.wait(tricklePeriod) {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		if send(conn, "x") != nil {
			return
		}
	}
}

func (m *mix) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.open {
		_ = c.Close()
	}
}

// call is an ordinary caller. It submits a job again, with its ID, if no answer came or its gateway is gone, and leaves one
// that was refused.
func (m *mix) call(i int) {
	r := m.random(-1 - i)
	for m.wait(time.Duration(50+r.IntN(200)) * time.Millisecond) {
		id := m.nextJob()
		err := m.submitJob(id)
		if isRefusal(err) {
			m.mu.Lock()
			m.refused = append(m.refused, id)
			m.mu.Unlock()
			continue
		}
		for err != nil && m.wait(resendDelay) {
			err = m.submitJob(id)
		}
		if err == nil {
			m.mu.Lock()
			m.completed++
			m.mu.Unlock()
		}
	}
}

// isRefusal reports whether an answer promises that its job has not run.
func isRefusal(err error) bool {
	var answer *answerError
	return errors.As(err, &answer) && (answer.status == http.StatusServiceUnavailable || answer.status == http.StatusTooManyRequests)
}

// checkJobs fails the test if a refused job has run, or a task ran twice at the same time.
func (m *mix) checkJobs() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Logf("%d ordinary jobs completed, %d refused", m.completed, len(m.refused))
	for _, id := range m.refused {
		assert.Check(m, !m.ledger.Started(id), "job %s was refused and has run", id)
	}
	assert.Check(m, len(m.ledger.Violations()) == 0, "%q", m.ledger.Violations())
}

// disturb slows, suspends, signals and restarts processes for the time of the crowd. Several of these overlap.
func (m *mix) disturb() {
	r := m.random(1 << 20)
	until := time.Now().Add(*span)
	for time.Now().Before(until) {
		p := m.gateway
		if r.IntN(4) == 0 {
			p = m.runner
		}
		end := func() {}
		if r.IntN(2) == 0 {
			end = m.slow(p)
		}
		time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
		for range r.IntN(4) {
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
		}
		restart := r.IntN(4) == 0
		if restart {
			_ = p.cmd.Process.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[r.IntN(2)])
		}
		time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
		end()
		if !restart && r.IntN(3) == 0 {
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
		if !m.restartAfter(p, restart) {
			return
		}
	}
}

// restartAfter starts a process again that was told to end. It returns false if the process hangs or has ended by itself.
func (m *mix) restartAfter(p *process, told bool) bool {
	if !told {
		select {
		case <-p.exited:
			m.Errorf("%s has ended: %v", p.name, p.cmd.ProcessState)
			return false
		default:
			return true
		}
	}
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		m.Errorf("%s does not end", p.name)
		return false
	}
	m.launch(p)
	p.usage.follow(p.cmd.Process.Pid)
	return true
}
