package soak

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
	time.Sleep(200 * time.Millisecond)
	p.signal(syscall.SIGKILL)
	p.await(time.Second)
	b, err := os.ReadFile(log)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(b), "started"), 1)
	assert.NilError(t, p.start())
	p.signal(syscall.SIGKILL)
	p.await(time.Second)
}
