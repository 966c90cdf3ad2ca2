package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to one address, and can cut them off.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*proxiedConn]bool
	// healed is open while the proxy is cut, and closed when the cut ends. It is nil without a cut.
	healed chan struct{}
}

type proxiedConn struct {
	from, to net.Conn
	// silent is set once the connection forwards nothing more, lost once one side has closed it during a cut.
	silent bool
	lost   bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*proxiedConn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// silence makes all open connections silent for good and returns their number. New ones are forwarded.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent = true
	}
	return len(p.conns)
}

// cut holds up all data in both directions, also on new connections, until heal is called.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
	p.healed = nil
}

// awaitHeal waits for the end of a cut and reports whether there was one.
func (p *proxy) awaitHeal() bool {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed == nil {
		return false
	}
	<-healed
	return true
}

func (p *proxy) serve(from net.Conn) {
	if p.awaitHeal() {
		// The opening packet was dropped.
		p.reset(&proxiedConn{from: from})
		return
	}
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	c := &proxiedConn{from: from, to: to}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	go p.copy(c, c.to, c.from)
	p.copy(c, c.from, c.to)
}

func (p *proxy) isSilent(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.silent
}

func (p *proxy) lose(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lost = true
}

func (p *proxy) isLost(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.lost
}

// reset closes both sides of a connection with a reset.
func (p *proxy) reset(c *proxiedConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	for _, conn := range []net.Conn{c.from, c.to} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

// copy forwards one direction until it ends. The end of a silent connection is not passed on. Data that is held up by a cut
// is lost if its sender closes the connection meanwhile, and so is the close: the other side learns of it when it sends.
func (p *proxy) copy(c *proxiedConn, to, from net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if p.isSilent(c) {
			if err != nil {
				return
			}
			continue
		}
		if p.awaitHeal() && err != nil {
			p.lose(c)
			return
		}
		if err == nil && p.isLost(c) {
			p.reset(c)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(b[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.mu.Lock()
			delete(p.conns, c)
			p.mu.Unlock()
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
