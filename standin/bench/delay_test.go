package bench

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newConnPair(t *testing.T, latency time.Duration) (net.Conn, net.Conn) {
	t.Helper()
	d := newDelay(latency)
	t.Cleanup(d.close)
	l, err := net.Listen("tcp", loopback)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	wrapped := listener{Listener: l, delay: d}
	a, err := d.dial(context.Background(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	b, err := wrapped.Accept()
	assert.NilError(t, err)
	return a, b
}

// Guards against a wrapper that loses, reorders or aliases writes, or that drops those before a close.
func TestDelayKeepsBytesAndOrder(t *testing.T) {
	a, b := newConnPair(t, time.Millisecond)
	var want bytes.Buffer
	buf := make([]byte, 1000)
	for i := range 200 {
		for j := range buf {
			buf[j] = byte(i)
		}
		want.Write(buf)
		_, err := a.Write(buf)
		assert.NilError(t, err)
	}
	assert.NilError(t, a.Close())
	got, err := io.ReadAll(b)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, want.Bytes()))
	_, err = a.Write(buf)
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Guards against a wrapper that delivers a write before its latency has passed.
func TestDelayAppliesLatency(t *testing.T) {
	const latency = 50 * time.Millisecond
	a, b := newConnPair(t, latency)
	start := time.Now()
	_, err := a.Write([]byte{1})
	assert.NilError(t, err)
	_, err = io.ReadFull(b, make([]byte, 1))
	assert.NilError(t, err)
	elapsed := time.Since(start)
	assert.Assert(t, elapsed >= latency, "arrived after %v", elapsed)
}

// Guards against a wrapper that blocks the writer until a write has arrived: with a latency of 1 h the test would not
// end.
func TestDelayDoesNotBlockWriter(t *testing.T) {
	a, _ := newConnPair(t, time.Hour)
	for range 1000 {
		_, err := a.Write([]byte{1})
		assert.NilError(t, err)
	}
}
