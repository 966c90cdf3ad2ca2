package hostile

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// runTime and pauseTime are the parts of a tenth of a second in which a process on the smallest machines runs and does
	// not run: it gets 0.144 of a core.
	runTime   = 14 * time.Millisecond
	pauseTime = 86 * time.Millisecond
	// slowCrowd is the number of clients of a slowed process. Their bodies take 262 MB.
	slowCrowd = 1000
	// suspendedCrowd is the number of clients of a suspended process, and suspendedBody the size in bytes of their bodies.
	suspendedCrowd = 5000
	suspendedBody  = 64 << 10
	// suspendedTimeout is the time in which the clients of a suspended process send what it takes.
	suspendedTimeout = 3 * time.Second
	// smallestCrowd is the number of clients of a gateway with the limits of the smallest machines.
	smallestCrowd = 2500
)

// slow lets a process run for runTime of each tenth of a second until the function that it returns is called.
func (s *system) slow(p *process) func() {
	end := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			select {
			case <-end:
				_ = p.cmd.Process.Signal(syscall.SIGCONT)
				return
			case <-time.After(pauseTime):
			}
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			time.Sleep(runTime)
		}
	})
	return func() {
		close(end)
		wg.Wait()
	}
}

func send(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}

// attackSlowed lets a crowd attack a gateway that is slowed meanwhile, and checks the system.
func attackSlowed(t *testing.T, attack func(w io.Writer, i int) error) {
	t.Helper()
	s := newSystem(t)
	end := s.slow(s.gateway)
	s.crowd(slowCrowd, attack, s.callers)
	end()
	s.check()
}

// Guards against unread bytes that take the memory of the machine while a gateway with little processor time reads
// large legal bodies, all but their end.
func TestSlowedByLargeBodies(t *testing.T) {
	body := pad(maxBody)[:maxBody-200]
	attackSlowed(t, func(w io.Writer, i int) error {
		return send(w, head(i, contentLength)+body)
	})
}

// Guards against the same with bodies that come piece by piece.
func TestSlowedByLargeBodiesPieceByPiece(t *testing.T) {
	body := pad(maxBody)[:maxBody-200]
	attackSlowed(t, func(w io.Writer, i int) error {
		return sendPieces(w, head(i, contentLength), body)
	})
}

// Guards against the same with bodies in large chunks.
func TestSlowedByLargeChunks(t *testing.T) { attackWithChunks(t, 32<<10) }

// Guards against the same with bodies in very small chunks, which take several times their size on the wire.
func TestSlowedByTinyChunks(t *testing.T) { attackWithChunks(t, 1) }

// attackWithChunks sends bodies in chunks of the given size, all but their end, to a gateway that is slowed.
func attackWithChunks(t *testing.T, size int) {
	t.Helper()
	body := inChunks(pad(maxBody)[:maxBody-200], size)
	attackSlowed(t, func(w io.Writer, i int) error {
		return send(w, head(i, chunked)+body)
	})
}

// Guards against unread bytes behind complete requests that wait for their answer, which nothing reads. The ordinary
// request comes after their deadline.
func TestBytesBehindWaitingRequests(t *testing.T) {
	s := newLimitedSystem(t, memoryMB, smallestFiles)
	job := `{"spec":"100 2000","bestEffort":true,"steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":2000}]}`
	body := pad(maxBody)
	s.crowd(slowCrowd, func(w io.Writer, i int) error {
		first := strings.Replace(head(i, fmt.Sprintf("Content-Length: %d\r\n", len(job))), "20000", "4000", 1)
		return send(w, first+job+head(i+slowCrowd, contentLength)+body)
	}, s.callers)
	s.check()
}

// Guards against the same faults on a gateway that is slowed and has the limits of the smallest machines, with bodies of
// all shapes.
func TestSlowedOnSmallestMachine(t *testing.T) {
	s := newLimitedSystem(t, smallestMemoryMB, smallestFiles)
	end := s.slow(s.gateway)
	body := pad(maxBody)[:maxBody-200]
	tiny, large := inChunks(body, 1), inChunks(body, 32<<10)
	s.crowd(smallestCrowd, func(w io.Writer, i int) error {
		switch i % 4 {
		case 0:
			return sendPieces(w, head(i, contentLength), body)
		case 1:
			return send(w, head(i, contentLength)+body)
		case 2:
			return send(w, head(i, chunked)+tiny)
		default:
			return send(w, head(i, chunked)+large)
		}
	}, s.callers)
	end()
	s.check()
}

// Guards against unread bytes on the other listeners of a gateway that has little processor time.
func TestSlowedOnOtherListenersOfGateway(t *testing.T) {
	s := newSystem(t)
	end := s.slow(s.gateway)
	s.attackListeners(slowCrowd, s.ready, s.links, s.gatewayMetrics)
	end()
	s.check()
}

// Guards against the same on the listeners of a runner.
func TestSlowedOnListenersOfRunner(t *testing.T) {
	s := newSystem(t)
	end := s.slow(s.runner)
	s.attackListeners(slowCrowd, s.reports, s.runnerMetrics)
	end()
	s.check()
}

// Guards against connections that wait to be accepted by a process whose machine is suspended for some seconds, and hold
// more unread bytes than it has memory.
func TestConnectionsWhileSuspended(t *testing.T) {
	for _, c := range []struct {
		name      string
		process   func(*system) *process
		listeners func(*system) []string
	}{
		{"callers", gatewayOf, func(s *system) []string { return []string{s.callers} }},
		{"gateway", gatewayOf, func(s *system) []string { return []string{s.callers, s.ready, s.links, s.gatewayMetrics} }},
		{"runner", runnerOf, func(s *system) []string { return []string{s.reports, s.runnerMetrics} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t)
			s.sendTimeout = suspendedTimeout
			body := pad(suspendedBody)[:suspendedBody-200]
			assert.NilError(t, c.process(s).cmd.Process.Signal(syscall.SIGSTOP))
			s.crowd(suspendedCrowd, func(w io.Writer, i int) error {
				return send(w, head(i, fmt.Sprintf("Content-Length: %d\r\n", suspendedBody))+body)
			}, c.listeners(s)...)
			assert.NilError(t, c.process(s).cmd.Process.Signal(syscall.SIGCONT))
			s.check()
		})
	}
}

func gatewayOf(s *system) *process { return s.gateway }

func runnerOf(s *system) *process { return s.runner }
