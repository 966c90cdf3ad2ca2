package bench

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"time"
)

// delayQueue is the number of writes that may be under way at once.
const delayQueue = 1 << 14

type packet struct {
	due  time.Time
	conn net.Conn
	// data is nil for the close of the connection.
	data []byte
}

// delay is a network with a fixed one-way latency. A write to a wrapped connection returns at once and arrives after
// the latency; any number of writes may be under way, so throughput is not limited. Both ends of a connection must be
// wrapped to delay both directions.
type delay struct {
	span  time.Duration
	queue chan packet
	done  chan struct{}
}

func newDelay(span time.Duration) *delay {
	d := &delay{span: span, queue: make(chan packet, delayQueue), done: make(chan struct{})}
	go func() {
		// All writes have the same latency, so they become due in the order of the queue. The thread is kept because
		// pause blocks it.
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
				// The writer has gone on; a broken connection shows in its next read.
				_, _ = p.conn.Write(p.data)
			}
		}
	}()
	return d
}

// close ends the network. Writes that are under way are lost.
func (d *delay) close() { close(d.done) }

func (d *delay) send(c net.Conn, data []byte) error {
	select {
	case d.queue <- packet{due: time.Now().Add(d.span), conn: c, data: data}:
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
