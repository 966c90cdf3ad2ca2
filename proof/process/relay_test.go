package process

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/message"
)

// direction selects the directions in which a link is cut.
type direction int

const (
	toEntry direction = 1 << iota
	fromEntry
	bothWays = toEntry | fromEntry
)

// gate passes the bytes of one direction unless it is cut. Bytes that arrive while it is cut are delayed and not lost,
// as when a network drops packets below TCP.
type gate struct {
	// passing is held for reading during each write, and for writing while the gate is cut.
	passing sync.RWMutex
	cut     bool
}

func (g *gate) setCut(cut bool) {
	if cut == g.cut {
		return
	}
	g.cut = cut
	if cut {
		g.passing.Lock()
	} else {
		g.passing.Unlock()
	}
}

// gates are those of the links of one process: in towards the entry, out away from it.
type gates struct{ in, out gate }

// relay is a TCP proxy for the links of one entry. It reads the name of the dialing process from its hello, so that the
// links of each process can be cut separately.
type relay struct {
	listener net.Listener
	// target is the address of the entry's link listener.
	target string

	mu    sync.Mutex
	gates map[string]*gates
	conns []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: l, target: target, gates: map[string]*gates{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// gatesFor returns the gates of the named process, and creates them at its first use.
func (r *relay) gatesFor(name string) *gates {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gates[name]
	if g == nil {
		g = &gates{}
		r.gates[name] = g
	}
	return g
}

// cut delays the bytes between the named process and the entry in direction d, until restore. It lets those of the
// other direction pass.
func (r *relay) cut(name string, d direction) {
	g := r.gatesFor(name)
	g.in.setCut(d&toEntry != 0)
	g.out.setCut(d&fromEntry != 0)
}

func (r *relay) restore(name string) { r.cut(name, 0) }

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.gates {
		g.in.setCut(false)
		g.out.setCut(false)
	}
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	r.mu.Lock()
	r.conns = append(r.conns, client, server)
	r.mu.Unlock()
	in, out := bufio.NewReader(client), bufio.NewReader(server)
	// Forward the WebSocket handshake, after which the hello names the dialing process.
	req, err := http.ReadRequest(in)
	if err != nil || req.Write(server) != nil {
		return
	}
	resp, err := http.ReadResponse(out, req)
	if err != nil || resp.Write(client) != nil {
		return
	}
	name := dialerName(in)
	if name == "" {
		return
	}
	g := r.gatesFor(name)
	go func() {
		defer func() { _, _ = client.Close(), server.Close() }()
		copyThrough(server, in, &g.in)
	}()
	copyThrough(client, out, &g.out)
}

// dialerName returns the name in the hello, which is the first WebSocket frame of the stream and masked. It consumes
// nothing. If there is no valid hello, it returns an empty name.
func dialerName(in *bufio.Reader) string {
	head, err := in.Peek(2)
	if err != nil {
		return ""
	}
	size, start := int(head[1]&0x7f), 2
	if size == 126 {
		if head, err = in.Peek(4); err != nil {
			return ""
		}
		size, start = int(binary.BigEndian.Uint16(head[2:])), 4
	}
	b, err := in.Peek(start + 4 + size)
	if err != nil {
		return ""
	}
	mask, body := b[start:start+4], append([]byte(nil), b[start+4:]...)
	for i := range body {
		body[i] ^= mask[i%4]
	}
	f, err := message.Decode(body)
	var h message.Hello
	if err != nil || f.Type != message.TypeHello || f.DecodeBody(&h) != nil {
		return ""
	}
	return h.Name
}

// copyThrough copies src to dst and stops while the gate is cut.
func copyThrough(dst io.Writer, src io.Reader, g *gate) {
	b := make([]byte, 32<<10)
	for {
		n, err := src.Read(b)
		g.passing.RLock()
		if n > 0 {
			if _, werr := dst.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		g.passing.RUnlock()
		if err != nil {
			return
		}
	}
}
