// Package soak runs the real programs as separate processes on loopback, injects faults from outside, and checks the
// promises from what callers and workers see.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to its connections.
type Fault int

// The faults of a proxy.
const (
	Pass Fault = iota
	// Delay holds up all bytes for a moment.
	Delay
	// Silence drops what is sent in both directions and keeps connections open.
	Silence
	// OneWay drops what the dialing side receives.
	OneWay
)

const (
	// proxyDelay is what Delay adds to each piece of data.
	proxyDelay = 80 * time.Millisecond
	chunk      = 16 << 10
)

// Proxy passes TCP connections on to one address.
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

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault.
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
			// Without lingering, close sends a reset.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) serve(from net.Conn) {
	defer p.forget(from)
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer p.forget(to)
	p.mu.Lock()
	p.open[from], p.open[to] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(to, from, false); done <- struct{}{} }()
	go func() { p.copy(from, to, true); done <- struct{}{} }()
	<-done
}

func (p *Proxy) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
	_ = conn.Close()
}

func (p *Proxy) copy(to io.Writer, from io.Reader, back bool) {
	b := make([]byte, chunk)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		p.mu.Lock()
		fault := p.fault
		p.mu.Unlock()
		switch {
		case fault == Silence, fault == OneWay && back:
			continue
		case fault == Delay:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
