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

// direction is the way in which a link is cut.
type direction int

const (
	toEntry direction = 1 << iota
	fromEntry
	bothWays = toEntry | fromEntry
)

// gate lets bytes of one direction through unless it is cut. Bytes that come meanwhile are held back and not lost, as
// by a network that drops packets under TCP.
type gate struct {
	pass sync.RWMutex
	cut  bool
}

func (g *gate) set(cut bool) {
	if cut == g.cut {
		return
	}
	g.cut = cut
	if cut {
		g.pass.Lock()
	} else {
		g.pass.Unlock()
	}
}

type gates struct{ in, out gate }

// relay carries the links of one entry. It reads the name of the dialing process from its hello, so that the links of
// each process can be cut by themselves.
type relay struct {
	listener net.Listener
	target   string

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

func (r *relay) of(name string) *gates {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gates[name]
	if g == nil {
		g = &gates{}
		r.gates[name] = g
	}
	return g
}

// cut holds back the bytes between the named process and the entry. Restore lets them go on.
func (r *relay) cut(name string, d direction) {
	g := r.of(name)
	g.in.set(d&toEntry != 0)
	g.out.set(d&fromEntry != 0)
}

func (r *relay) restore(name string) { r.cut(name, 0) }

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.gates {
		g.in.set(false)
		g.out.set(false)
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
	// The handshake of the link passes, then the hello tells who dials.
	req, err := http.ReadRequest(in)
	if err != nil || req.Write(server) != nil {
		return
	}
	resp, err := http.ReadResponse(out, req)
	if err != nil || resp.Write(client) != nil {
		return
	}
	name := dialer(in)
	if name == "" {
		return
	}
	g := r.of(name)
	go func() {
		defer func() { _, _ = client.Close(), server.Close() }()
		copyThrough(server, in, &g.in)
	}()
	copyThrough(client, out, &g.out)
}

// dialer returns the name in the hello at the head of the stream, which stays unread.
func dialer(in *bufio.Reader) string {
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

func copyThrough(dst io.Writer, src io.Reader, g *gate) {
	b := make([]byte, 32<<10)
	for {
		n, err := src.Read(b)
		g.pass.RLock()
		if n > 0 {
			if _, werr := dst.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		g.pass.RUnlock()
		if err != nil {
			return
		}
	}
}
