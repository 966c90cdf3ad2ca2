package telemetry_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/telemetry"
)

// Guards against a process that blocks because nothing reads its log.
func TestWriterNeverBlocks(t *testing.T) {
	r, out := io.Pipe()
	w := telemetry.NewWriter(out)
	line := bytes.Repeat([]byte("x"), 1000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5000 {
			_, err := w.Write(line)
			assert.Check(t, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocked because the reader did not read within 20 s")
	}
	assert.Assert(t, w.Dropped() > 0)
	w.Close(10 * time.Millisecond)
	assert.NilError(t, r.Close())
}

// Guards against lines that are lost although the reader keeps up.
func TestWriterWritesAllLines(t *testing.T) {
	var out bytes.Buffer
	w := telemetry.NewWriter(&out)
	_, err := w.Write([]byte("one\n"))
	assert.NilError(t, err)
	_, err = w.Write([]byte("two\n"))
	assert.NilError(t, err)
	w.Close(20 * time.Second)
	assert.Equal(t, out.String(), "one\ntwo\n")
	assert.Equal(t, w.Dropped(), uint64(0))
}
