// Package soak runs the real programs as separate processes on loopback, injects faults from outside, and checks the
// guarantees by what callers and workers observe.
package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
	// Hold keeps data and ends of connections until the fault is over, and opens no new connections meanwhile, as a partition
	// does. What a sender has sent is lost if it resets its connection before, and so is the reset.
	Hold
)

const (
	// proxyDelay is the delay that the fault Delay adds to each chunk read, and cutDelay the one in soaks with cuts.
	proxyDelay = 80 * time.Millisecond
	cutDelay   = 300 * time.Millisecond
	// chunkBytes is the size of the read buffer.
	chunkBytes = 16 << 10
	// tcpClosed is the state of a connection that was reset, as in the kernel's TCP_INFO.
	tcpClosed = 7
)

// Proxy forwards TCP connections to one address and injects faults into them.
type Proxy struct {
	address string
	target  string
	delay   time.Duration

	mu       sync.Mutex
	listener net.Listener
	fault    Fault
	// changed is closed at the next change of the fault.
	changed chan struct{}
	open    map[net.Conn]bool
}

// NewProxy starts a proxy on a free port of loopback. The fault Delay adds delay to each chunk.
func NewProxy(target string, delay time.Duration) (*Proxy, error) {
	p := &Proxy{address: loopback() + ":0", target: target, delay: delay, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	return p, p.listen()
}

// listen accepts connections, at the same address as before.
func (p *Proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.address, p.listener = l.Addr().String(), l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return nil
}

// Address returns the listen address of the proxy.
func (p *Proxy) Address() string { return p.address }

// Set changes the fault, also for open connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// state returns the fault, and a channel that is closed at its next change.
func (p *Proxy) state() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

// awaitEndOfHold waits until the proxy does not hold data, and reports whether it has waited.
func (p *Proxy) awaitEndOfHold() bool {
	waited := false
	for {
		fault, changed := p.state()
		if fault != Hold {
			return waited
		}
		waited = true
		<-changed
	}
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

// Refuse stops listening, so that connections are refused as if the target had ended, and resets all open connections.
func (p *Proxy) Refuse() {
	p.stopListening()
	p.Reset()
}

// stopListening refuses new connections and keeps the open ones.
func (p *Proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.Set(Pass)
	p.Reset()
}

func (p *Proxy) serve(from net.Conn) {
	defer p.closeConn(from)
	p.awaitEndOfHold()
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
func (p *Proxy) copy(to io.Writer, from net.Conn, toDialer bool) bool {
	b := make([]byte, chunkBytes)
	for {
		n, err := from.Read(b)
		fault, _ := p.state()
		if fault == Hold {
			p.awaitEndOfHold()
			fault = Pass
			if err == nil && isReset(from) {
				err = syscall.ECONNRESET
			}
			if errors.Is(err, syscall.ECONNRESET) {
				return false
			}
		}
		switch {
		case err != nil && fault == Silence && !toDialer:
			// The other side learns of it when it sends.
			return false
		case err != nil:
			return true
		case fault == Silence, fault == OneWay && toDialer:
			continue
		case fault == Delay:
			time.Sleep(p.delay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return true
		}
	}
}

// isReset reports whether the other side of a connection has reset it, without reading from it.
func isReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return err != nil || infoErr != nil || info.State == tcpClosed
}
