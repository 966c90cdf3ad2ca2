// Package soak runs the real programs as separate processes on loopback, injects faults from outside, and checks the
// guarantees by what callers and workers observe.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault selects how a proxy disturbs its connections.
type Fault int

// The faults of a proxy.
const (
	Pass Fault = iota
	// Delay delays all data by proxyDelay.
	Delay
	// Silence drops data in both directions and keeps connections open. That a dialer closes its end is lost as well.
	Silence
	// OneWay drops data sent to the dialing side.
	OneWay
)

const (
	// proxyDelay is the delay that the fault Delay adds to each chunk read.
	proxyDelay = 80 * time.Millisecond
	// chunkBytes is the size of the read buffer.
	chunkBytes = 16 << 10
)

// Proxy forwards TCP connections to one address and injects faults into them.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	open  map[net.Conn]bool
}

// NewProxy starts a proxy on a free port of loopback.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, open: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// Address returns the listen address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault, also for open connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Reset breaks all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a linger time of 0, Close sends a TCP reset.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) serve(from net.Conn) {
	defer p.closeConn(from)
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer p.closeConn(to)
	p.mu.Lock()
	p.open[from], p.open[to] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn, toDialer bool) {
		if p.copy(to, from, toDialer) {
			done <- struct{}{}
		}
	}
	go forward(to, from, false)
	go forward(from, to, true)
	<-done
}

func (p *Proxy) closeConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
	_ = conn.Close()
}

// copy forwards one direction until it ends, and reports whether the other side has to be told.
func (p *Proxy) copy(to io.Writer, from io.Reader, toDialer bool) bool {
	b := make([]byte, chunkBytes)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		fault := p.fault
		p.mu.Unlock()
		switch {
		case err != nil && fault == Silence && !toDialer:
			// The other side learns of it when it sends.
			return false
		case err != nil:
			return true
		case fault == Silence, fault == OneWay && toDialer:
			continue
		case fault == Delay:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return true
		}
	}
}
