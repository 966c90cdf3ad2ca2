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
	// waitTimeout is far above what any step needs on a busy machine. No assertion depends on how long a step takes.
	waitTimeout  = 2 * time.Minute
	pollInterval = 50 * time.Millisecond
)

// process is a started program with its captured output.
type process struct {
	name string
	cmd  *exec.Cmd
	// outputPrefix is the path prefix of the files that hold the output.
	outputPrefix string
	exited       chan struct{}
}

// start runs a program. It is killed at the end of the test if it still runs.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(program, args...), outputPrefix: filepath.Join(t.TempDir(), "std"), exited: make(chan struct{})}
	out, err := os.Create(p.outputPrefix + "out")
	assert.NilError(t, err)
	errOut, err := os.Create(p.outputPrefix + "err")
	assert.NilError(t, err)
	defer func() { _, _ = out.Close(), errOut.Close() }()
	p.cmd.Stdout, p.cmd.Stderr = out, errOut
	assert.NilError(t, p.cmd.Start())
	go func() {
		defer close(p.exited)
		// The exit code is read from the state of the process.
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		// Killing a process that has ended does nothing.
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("%s: %s\n%s", name, p.read("out"), p.read("err"))
		}
	})
	return p
}

// read returns the output written so far to stdout (stream "out") or stderr (stream "err").
func (p *process) read(stream string) string {
	// A file that cannot be read counts as empty, which fails the step that waits for its content.
	b, _ := os.ReadFile(p.outputPrefix + stream)
	return string(b)
}

// awaitOutput waits until the output matches pattern and returns the submatches.
func (p *process) awaitOutput(t *testing.T, pattern string) []string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	var found []string
	waitFor(t, p.name+" prints "+pattern, func() bool {
		found = re.FindStringSubmatch(p.read("out") + p.read("err"))
		return found != nil
	})
	return found[1:]
}

// exitCode waits for the process to exit and returns its exit code.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	waitFor(t, p.name+" ends", func() bool {
		select {
		case <-p.exited:
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

func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", condition)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(pollInterval))
}
