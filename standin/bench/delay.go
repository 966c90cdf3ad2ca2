package bench

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"time"
)

// maxPendingWrites is the number of writes that may be in flight at once.
const maxPendingWrites = 1 << 14

type delayedWrite struct {
	due  time.Time
	conn net.Conn
	// data is nil for the close of the connection.
	data []byte
}

// delay is a network with a fixed one-way latency. A write to a wrapped connection returns at once and arrives after
// the latency; up to maxPendingWrites writes may be in flight, so throughput is not limited. Both ends of a connection
// must be wrapped to delay both directions.
type delay struct {
	latency time.Duration
	queue   chan delayedWrite
	done    chan struct{}
}

func newDelay(latency time.Duration) *delay {
	d := &delay{latency: latency, queue: make(chan delayedWrite, maxPendingWrites), done: make(chan struct{})}
	go func() {
		// All writes have the same latency, so they become due in the order of the queue. The goroutine keeps its
		// thread because pause blocks the thread.
		runtime.LockOSThread()
		for {
			select {
			case <-d.done:
				return
			case p := <-d.queue:
				pause(time.Until(p.due))
				if p.data == nil {
					_ = p.conn.Close()
					continue
				}
				// Write has returned already, so the caller sees a broken connection at its next read.
				_, _ = p.conn.Write(p.data)
			}
		}
	}()
	return d
}

// close stops the delivery of writes. Writes in flight are lost.
func (d *delay) close() { close(d.done) }

func (d *delay) send(c net.Conn, data []byte) error {
	select {
	case d.queue <- delayedWrite{due: time.Now().Add(d.latency), conn: c, data: data}:
		return nil
	case <-d.done:
		_ = c.Close()
		return net.ErrClosed
	}
}

func (d *delay) wrap(c net.Conn) net.Conn { return &conn{Conn: c, delay: d} }

// dial opens a connection whose writes are delayed.
func (d *delay) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.wrap(c), nil
}

// conn is a connection whose writes are delayed.
type conn struct {
	net.Conn
	delay  *delay
	closed atomic.Bool
}

// Write queues a copy of b.
func (c *conn) Write(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if len(b) == 0 {
		return 0, nil
	}
	return len(b), c.delay.send(c.Conn, append([]byte(nil), b...))
}

// Close closes the connection after what was written before has arrived.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	return c.delay.send(c.Conn, nil)
}

// listener accepts connections whose writes are delayed.
type listener struct {
	net.Listener
	delay *delay
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.delay.wrap(c), nil
}
