package soak

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a process that outlives its soak: two faults restarted it at the same time, and only the second
// instance was tracked (found as leftover processes of seed 250).
func TestProcessIsStartedOnce(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	p := &process{name: "p", args: []string{"/bin/sh", "-c", "echo started; exec sleep 60"}, log: log}
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() { assert.Check(t, p.start()) })
	}
	wg.Wait()
	starts := func() int {
		b, err := os.ReadFile(log)
		assert.NilError(t, err)
		return strings.Count(string(b), "started")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if starts() > 0 {
			return poll.Success()
		}
		return poll.Continue("the shell has not started")
	}, poll.WithTimeout(startLimit))
	time.Sleep(200 * time.Millisecond)
	p.signal(syscall.SIGKILL)
	p.await(time.Second)
	assert.Equal(t, starts(), 1)
	assert.NilError(t, p.start())
	p.signal(syscall.SIGKILL)
	p.await(time.Second)
}

// Guards against runners that stop dialing a gateway which was away for longer than its first dials took: it would
// never get a runner again.
func TestGatewayThatWasAwayServesAgain(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "lavendercourse")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/lavendercourse").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	s, err := newSite(Config{Program: program, Dir: dir, Gateways: 2, Runners: 2, Callers: 1, Out: io.Discard})
	assert.NilError(t, err)
	defer s.stop()
	c := newCallers(s)
	assert.Assert(t, c.waitServed(t.Context(), startLimit))
	for range 2 {
		s.gateways[0].signal(syscall.SIGKILL)
		s.gateways[0].await(time.Second)
		time.Sleep(10 * time.Second)
		assert.NilError(t, s.gateways[0].start())
		assert.Assert(t, c.waitServed(t.Context(), recoverLimit), "a gateway that was away for 10 s gets no runner")
	}
}
