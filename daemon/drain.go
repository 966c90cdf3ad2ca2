package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavendercourse/lavendercourse/clock"
)

const (
	// lastAcceptTimeout is the time in ms for which a listener that is being drained waits for another connection.
	lastAcceptTimeout = 2 * clock.Millis(1)
	// drainTimeout is the maximum time in ms to wait for a drain. It is reached if nothing calls Accept any more.
	drainTimeout = clock.Second
	// pollPeriod is the time in ms between two checks for active connections.
	pollPeriod = 2 * clock.Millis(1)
)

// DrainListener is a TCP listener that can be closed without losing connections. When a plain listener is closed, the
// kernel resets the connections that it has established and the process has not accepted, and their callers cannot
// tell whether their requests were served.
type DrainListener struct {
	*net.TCPListener
	// admit returns the connection to serve in place of an accepted one, or nil if it was refused and closed.
	admit    func(net.Conn) net.Conn
	draining atomic.Bool
	// drained is closed after a drain has closed the socket. closed is closed by Close.
	drained   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// active is the set of connections that are new or on which a request is being served.
	active map[net.Conn]bool
}

// NewDrainListener returns a DrainListener that wraps l, or l itself if it is not a TCP listener, which cannot be
// drained. The function admit returns the connection to serve in place of an accepted one, or nil if it has refused and
// closed it; it may be nil.
func NewDrainListener(l net.Listener, admit func(net.Conn) net.Conn) net.Listener {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return l
	}
	if admit == nil {
		admit = func(c net.Conn) net.Conn { return c }
	}
	return &DrainListener{TCPListener: tcp, admit: admit, drained: make(chan struct{}), closed: make(chan struct{}), active: map[net.Conn]bool{}}
}

// Accept returns the next connection. Once the listener is drained, Accept blocks until Close is called.
func (d *DrainListener) Accept() (net.Conn, error) {
	for {
		if d.draining.Load() {
			_ = d.SetDeadline(time.Now().Add(lastAcceptTimeout.Duration()))
		}
		c, err := d.TCPListener.Accept()
		switch {
		case err == nil:
			if admitted := d.admit(c); admitted != nil {
				return admitted, nil
			}
			continue
		case !errors.Is(err, os.ErrDeadlineExceeded) || !d.draining.Load():
			return nil, err
		}
		_ = d.TCPListener.Close()
		close(d.drained)
		<-d.closed
		return nil, net.ErrClosed
	}
}

// Drain waits until the established connections are accepted and the socket is closed, so that no more connections are
// made. It returns after drainTimeout at the latest.
func (d *DrainListener) Drain() {
	if d.draining.Swap(true) {
		return
	}
	_ = d.SetDeadline(time.Now().Add(lastAcceptTimeout.Duration()))
	select {
	case <-d.drained:
	case <-d.closed:
	case <-time.After(drainTimeout.Duration()):
	}
}

// Close closes the listener.
func (d *DrainListener) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	err := d.TCPListener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// trackState is the http.Server.ConnState hook that keeps the set of active connections.
func (d *DrainListener) trackState(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		d.active[c] = true
		return
	}
	delete(d.active, c)
}

func (d *DrainListener) isIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.active) == 0
}

// ShutdownServer shuts a server down. If l is a DrainListener, it first serves the requests that are on their way:
// http.Server drops the requests that it reads after Shutdown was called, and the kernel those on connections that were
// not accepted.
func ShutdownServer(ctx context.Context, s *http.Server, l net.Listener) error {
	if d, ok := l.(*DrainListener); ok {
		d.Drain()
		s.SetKeepAlivesEnabled(false)
		for deadline := time.Now().Add(requestTimeout(s)); !d.isIdle() && time.Now().Before(deadline) && ctx.Err() == nil; {
			Sleep(ctx, pollPeriod)
		}
	}
	return s.Shutdown(ctx)
}

// requestTimeout returns the time for requests to arrive on connections that are established when a server shuts down.
// The server itself closes a connection on which no request has arrived by then.
func requestTimeout(s *http.Server) time.Duration {
	if s.ReadHeaderTimeout > 0 {
		return s.ReadHeaderTimeout
	}
	return headerTimeout.Duration()
}
