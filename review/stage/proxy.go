package main

import (
	"net"
	"sync"
	"time"
)

// proxyBuffer is the size of the read buffer of a proxied connection, in bytes.
const proxyBuffer = 16 << 10

// proxy forwards TCP connections to one address. While it holds them, it keeps what arrives on them, as a partition does.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// conns holds the open connections in the order in which they were made.
	conns []*proxiedConn
	// holdNew is set while new connections are held.
	holdNew bool
	// accepted is the number of connections so far.
	accepted int
	// changed is closed and replaced when connections are held or released.
	changed chan struct{}
	closed  bool
}

type proxiedConn struct {
	number   int
	from, to net.Conn
	held     bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{})}
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

func (p *proxy) address() string { return p.listener.Addr().String() }

// count returns the number of connections that were made so far.
func (p *proxy) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// hold holds all new connections, and the open ones from the given number on.
func (p *proxy) hold(from int) { p.set(true, from) }

// release ends a hold.
func (p *proxy) release() { p.set(false, 0) }

func (p *proxy) set(held bool, from int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdNew = held
	for _, c := range p.conns {
		c.held = held && c.number >= from
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.conns {
		_ = c.from.Close()
		if c.to != nil {
			_ = c.to.Close()
		}
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	p.release()
}

// await waits until a connection is not held, and returns whether the proxy is still open.
func (p *proxy) await(c *proxiedConn) bool {
	for {
		p.mu.Lock()
		held, changed, closed := c.held, p.changed, p.closed
		p.mu.Unlock()
		if closed || !held {
			return !closed
		}
		<-changed
	}
}

func (p *proxy) serve(from net.Conn) {
	p.mu.Lock()
	c := &proxiedConn{number: p.accepted, from: from, held: p.holdNew}
	p.accepted++
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	defer func() { _ = from.Close() }()
	if !p.await(c) {
		return
	}
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	p.mu.Lock()
	c.to = to
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, proxyBuffer)
		for {
			n, err := from.Read(b)
			if !p.await(c) {
				return
			}
			if n > 0 {
				if _, err := to.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go forward(to, from)
	go forward(from, to)
	<-done
}
