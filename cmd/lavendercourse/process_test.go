package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	// patience is far above what any step needs on a busy machine. No verdict depends on how long a step takes.
	patience = 2 * time.Minute
	delay    = 50 * time.Millisecond
)

// process is one running program.
type process struct {
	name string
	cmd  *exec.Cmd
	// path is the prefix of the files that hold the output.
	path  string
	ended chan struct{}
}

// start runs a program. It is killed at the end of the test if it still runs.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(program, args...), path: filepath.Join(t.TempDir(), "std"), ended: make(chan struct{})}
	out, err := os.Create(p.path + "out")
	assert.NilError(t, err)
	errOut, err := os.Create(p.path + "err")
	assert.NilError(t, err)
	defer func() { _, _ = out.Close(), errOut.Close() }()
	p.cmd.Stdout, p.cmd.Stderr = out, errOut
	assert.NilError(t, p.cmd.Start())
	go func() {
		defer close(p.ended)
		// The exit code is read from the state of the process.
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		// Killing a process that has ended does nothing.
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("%s: %s\n%s", name, p.read("out"), p.read("err"))
		}
	})
	return p
}

// read returns what was written to standard out or err so far.
func (p *process) read(stream string) string {
	// A file that cannot be read looks empty, and fails the step that waits for its content.
	b, _ := os.ReadFile(p.path + stream)
	return string(b)
}

// await waits until the output has a match, and returns its groups.
func (p *process) await(t *testing.T, pattern string) []string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	var found []string
	waitFor(t, p.name+" prints "+pattern, func() bool {
		found = re.FindStringSubmatch(p.read("out") + p.read("err"))
		return found != nil
	})
	return found[1:]
}

// code waits for the end of the process and returns its exit code.
func (p *process) code(t *testing.T) int {
	t.Helper()
	waitFor(t, p.name+" ends", func() bool {
		select {
		case <-p.ended:
			return true
		default:
			return false
		}
	})
	return p.cmd.ProcessState.ExitCode()
}

func (p *process) terminate(t *testing.T) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(delay))
}
