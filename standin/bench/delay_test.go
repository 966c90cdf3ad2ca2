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

func connected(t *testing.T, span time.Duration) (net.Conn, net.Conn) {
	t.Helper()
	d := newDelay(span)
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
	a, b := connected(t, time.Millisecond)
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

// Guards against a wrapper that delays less than it should.
func TestDelayWaits(t *testing.T) {
	const span = 50 * time.Millisecond
	a, b := connected(t, span)
	began := time.Now()
	_, err := a.Write([]byte{1})
	assert.NilError(t, err)
	_, err = io.ReadFull(b, make([]byte, 1))
	assert.NilError(t, err)
	took := time.Since(began)
	assert.Assert(t, took >= span, "arrived after %v", took)
}

// Guards against a wrapper that holds up the writer until a write has arrived: with this latency the test would not
// end.
func TestDelayTakesManyWrites(t *testing.T) {
	a, _ := connected(t, time.Hour)
	for range 1000 {
		_, err := a.Write([]byte{1})
		assert.NilError(t, err)
	}
}
