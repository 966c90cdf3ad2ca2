package fleet

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that can be made silent: they stay open, but carry nothing more in either direction, as
// behind a device on the network that has forgotten them.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open []*silenceableConn
}

// NewListener returns a Listener that accepts the connections of l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silenceableConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, c)
	return c, nil
}

// Silence makes all connections that have been accepted so far silent for good. New ones work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		c.silent.Store(true)
	}
	l.open = nil
}

// silenceableConn is a connection that discards all data in both directions once silent is set.
type silenceableConn struct {
	net.Conn
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *silenceableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silenceableConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
