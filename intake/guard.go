package intake

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

const (
	// MaxHead is the maximum size of a head in bytes. It is the published limit; net/http allows 4 KiB more.
	MaxHead = 16 << 10
	// byteFactor is the memory that a byte of a head takes, in bytes: the buffer that it is read into, and the string.
	byteFactor = 2
	// lineCost is the memory in bytes that a header line takes beside its bytes: entries of a map, a slice and strings.
	lineCost = 192
	// surplusFactor is the memory in bytes that a byte behind a request may take once it is parsed as part of the next
	// head, at five bytes a line.
	surplusFactor = byteFactor + lineCost/5
	// bufferSize is the size of the buffer that net/http reads a connection into, in bytes. Larger reads go directly into
	// the buffer of a body.
	bufferSize = 4 << 10
	// drainSize is the maximum size in bytes of what is read of a body that the handler has left, as in net/http.
	drainSize = 256 << 10
	// sweepPeriod is the time in ms between two searches for connections that have stood still for too long, and between
	// two log lines about closed connections.
	sweepPeriod = clock.Second
)

// errGivenUp is returned by reads of a connection that was given up.
var errGivenUp = eris.New("connection was closed to stay within the limits of the process")

// GuardConfig holds the settings of a Guard.
type GuardConfig struct {
	Limits Limits
	// Headers lists the header lines that handlers read, in canonical form. The others of a large head are dropped.
	Headers []string
	Clock   lavendercourse.Clock
	Log     *event.Log
	// Metrics receives the metrics of the guard. It may be nil.
	Metrics *telemetry.Metrics
}

// Guard keeps the connections that the listeners of a process accept within the limits of a Ledger. Ordinary requests
// cost it no lock between the accept and the end of their connection.
type Guard struct {
	cfg GuardConfig
	// now is the time in ms of the last Tick. Reads use it, so that they need no clock.
	now atomic.Int64
	// large is held while a large body is decoded, since its decoded form may take more memory than the body.
	large sync.Mutex

	// mu guards the fields below.
	mu     sync.Mutex
	ledger *Ledger
	conns  map[*Entry]*conn
	// refused and closed count connections since the start of the process; logged is their sum at the last log line.
	refused, closed, stalled, logged uint64
	sweptAt                          clock.Millis
}

// NewGuard returns a Guard. Tick must be called several times a second.
func NewGuard(cfg GuardConfig) *Guard {
	if cfg.Limits.Memory == 0 {
		cfg.Limits = NewLimits(0, defaultFiles)
	}
	if cfg.Limits.Connections == ([gateCount]int{}) {
		cfg.Limits.Connections = NewLimits(0, defaultFiles).Connections
	}
	g := &Guard{cfg: cfg, ledger: NewLedger(cfg.Limits), conns: map[*Entry]*conn{}}
	g.now.Store(int64(cfg.Clock.Now()))
	if cfg.Metrics != nil {
		cfg.Metrics.Collect(g.collect)
	}
	return g
}

// Tick closes connections in the middle of a body that have stood still for too long, and logs how many connections
// were closed.
func (g *Guard) Tick(now clock.Millis) {
	g.now.Store(int64(now))
	g.mu.Lock()
	if now-g.sweptAt < sweepPeriod {
		g.mu.Unlock()
		return
	}
	g.sweptAt = now
	stalled := g.take(g.ledger.Stalled(now))
	g.stalled += uint64(len(stalled))
	sum := g.refused + g.closed + g.stalled
	changed := sum != g.logged
	g.logged = sum
	refused, closed, stalls, connections, used := g.refused, g.closed, g.stalled, len(g.conns), g.ledger.Used()
	g.mu.Unlock()
	closeAll(stalled)
	if changed {
		g.cfg.Log.On(event.ConnectionsClosed).Uint64("refused", refused).Uint64("closed", closed).Uint64("stalled", stalls).
			Int("connections", connections).Int64("bytes", used).Send()
	}
}

// collect writes the metrics of the guard.
func (g *Guard) collect(w *telemetry.Samples) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Gauge("input_bytes", int(g.ledger.Used()))
	for gate := range gateCount {
		w.Gauge("connections", g.ledger.Open(gate), "listener", gate.String())
	}
	w.Count("connections_closed_total", g.refused, "cause", "refused")
	w.Count("connections_closed_total", g.closed, "cause", "room")
	w.Count("connections_closed_total", g.stalled, "cause", "stalled")
}

// Admit accounts for a connection that was accepted and returns it wrapped. If it must be refused, Admit closes it and
// returns nil.
func (g *Guard) Admit(gate Gate, c net.Conn) net.Conn {
	g.mu.Lock()
	e, victims := g.ledger.Add(clock.Millis(g.now.Load()), gate)
	conns := g.takeForRoom(victims)
	var admitted *conn
	if e != nil {
		admitted = &conn{Conn: c, guard: g, entry: e}
		g.conns[e] = admitted
	} else {
		g.refused++
	}
	g.mu.Unlock()
	closeAll(conns)
	if admitted == nil {
		_ = c.Close()
		return nil
	}
	return admitted
}

// takeForRoom removes the connections of victims that are closed to make room, and counts them. g.mu must be held.
func (g *Guard) takeForRoom(victims []*Entry) []*conn {
	g.closed += uint64(len(victims))
	return g.take(victims)
}

// take removes the connections of entries and returns them. g.mu must be held.
func (g *Guard) take(entries []*Entry) []*conn {
	conns := make([]*conn, 0, len(entries))
	for _, e := range entries {
		if c := g.conns[e]; c != nil {
			conns = append(conns, c)
			delete(g.conns, e)
		}
	}
	return conns
}

// closeAll closes connections. The server notices by a failed read.
func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// charge accounts for n more bytes of a connection and returns whether there is room for them.
func (g *Guard) charge(e *Entry, n int64) bool {
	g.mu.Lock()
	ok, victims := g.ledger.Charge(e, n)
	conns := g.takeForRoom(victims)
	g.mu.Unlock()
	closeAll(conns)
	return ok
}

// keep accounts for the n bytes that are kept of a complete request, in place of its head and body.
func (g *Guard) keep(e *Entry, n int64) bool {
	g.mu.Lock()
	ok, victims := g.ledger.Keep(e, n)
	conns := g.takeForRoom(victims)
	g.mu.Unlock()
	closeAll(conns)
	return ok
}

// complete records that a request with a large body is complete, and returns whether there is room for it.
func (g *Guard) complete(e *Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Complete(e)
}

func (g *Guard) release(e *Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Release(e)
}

// Listener returns a listener whose connections are accounted for at a gate.
func (g *Guard) Listener(gate Gate, l net.Listener) net.Listener {
	return &listener{Listener: l, guard: g, gate: gate}
}

type listener struct {
	net.Listener
	guard *Guard
	gate  Gate
}

// Accept returns the next connection that is not refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.guard.Admit(l.gate, c); admitted != nil {
			return admitted, nil
		}
	}
}

// conn is a connection that is accounted for.
type conn struct {
	net.Conn
	guard *Guard
	entry *Entry
	// inRequest is set from the end of a head to the answer, and on links. cost is the estimated memory in bytes of what
	// has been read of the next head.
	inRequest atomic.Bool
	cost      atomic.Int64
	// hijacked is set once the connection carries a link.
	hijacked atomic.Bool
	// received is the number of bytes since the end of the last request.
	received atomic.Int64
	// headCharged is the part of cost that is charged, beyond headAllowance. charged is set if anything is charged.
	headCharged atomic.Int64
	charged     atomic.Bool
	// headSize and bodySize are the sizes in bytes of the request that is being served. bodySize is that of the content.
	headSize, bodySize int64
	// bodyRead is set once ReadBody was called. expects is set if the caller sends the body only when it is asked to.
	bodyRead, expects bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n <= 0 {
		return n, err
	}
	now := clock.Millis(c.guard.now.Load())
	if c.received.Add(int64(n)) == int64(n) {
		c.entry.Move(now)
	} else {
		c.entry.Touch(now, n)
	}
	if c.inRequest.Load() {
		return n, err
	}
	if !c.chargeHead(c.cost.Add(byteFactor*int64(n) + lineCost*int64(bytes.Count(b[:n], []byte{'\n'})))) {
		// The server answers other errors with status 400, which is for requests that are malformed.
		return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errGivenUp}
	}
	return n, err
}

// chargeHead accounts for a head that takes the given memory in bytes, and returns whether there is room for it.
func (c *conn) chargeHead(cost int64) bool {
	missing := cost - headAllowance - c.headCharged.Load()
	if missing <= 0 {
		return true
	}
	missing += stepCost - missing%stepCost
	if !c.charge(missing) {
		return false
	}
	c.headCharged.Add(missing)
	return true
}

// charge accounts for n more bytes and returns whether there is room for them.
func (c *conn) charge(n int64) bool {
	if !c.guard.charge(c.entry, n) {
		return false
	}
	c.charged.Store(true)
	return true
}

// Close implements net.Conn.
func (c *conn) Close() error {
	g := c.guard
	g.mu.Lock()
	g.ledger.Remove(c.entry)
	delete(g.conns, c.entry)
	g.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side, if the connection can do that.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// TrackState marks connections that carry links. It is an http.Server.ConnState hook.
func TrackState(c net.Conn, state http.ConnState) {
	if admitted, ok := c.(*conn); ok && state == http.StateHijacked {
		admitted.hijacked.Store(true)
	}
}

type connKey struct{}

// ConnContext adds a connection to the context of its requests. It is an http.Server.ConnContext hook.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	admitted, ok := c.(*conn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, admitted)
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Handler returns a handler that tells the guard which requests are complete. The body of a request that has one is
// awaited until ReadBody has read it.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := connOf(req.Context())
		if c == nil {
			next.ServeHTTP(w, req)
			return
		}
		if !c.begin(req) {
			panic(http.ErrAbortHandler)
		}
		defer c.end()
		next.ServeHTTP(w, req)
		c.drain(w, req)
	})
}

// drain reads what the handler has left of a body, as the server does otherwise before it sends the answer, so that the end
// of the body is noticed. The rest of a body that ReadBody has refused is left to the server.
func (c *conn) drain(w http.ResponseWriter, req *http.Request) {
	if c.bodyRead || c.expects || c.hijacked.Load() || req.ContentLength == 0 || w.Header().Get("Connection") == "close" {
		return
	}
	c.entry.AwaitBody()
	n, err := io.CopyN(io.Discard, req.Body, drainSize)
	c.bodySize = max(c.bodySize, n)
	if err != nil {
		// An error other than the end of the body ends the connection.
		c.entry.EndBody()
	}
}

// linkHeaders lists the header lines that the accept of a link reads.
var linkHeaders = []string{
	"Connection", "Origin", "Sec-Websocket-Extensions", "Sec-Websocket-Key", "Sec-Websocket-Protocol", "Sec-Websocket-Version", "Upgrade",
}

// begin records that a head is complete. It returns false if the connection was given up.
func (c *conn) begin(req *http.Request) bool {
	c.inRequest.Store(true)
	c.headSize, c.bodySize = headSize(req), max(req.ContentLength, 0)
	c.bodyRead, c.expects = false, req.Header.Get("Expect") != ""
	if c.headCharged.Load() > 0 {
		req.Header = c.guard.handledHeaders(req.Header)
		c.releaseAll()
	}
	if req.ContentLength != 0 {
		return true
	}
	if c.entry.Crowded() {
		// A request without a body is short. It is answered, but its connection may be closed.
		return true
	}
	return c.entry.Serve()
}

// handledHeaders returns the header lines that handlers read.
func (g *Guard) handledHeaders(all http.Header) http.Header {
	handled := http.Header{}
	for _, names := range [][]string{linkHeaders, g.cfg.Headers} {
		for _, name := range names {
			if v := all[name]; v != nil {
				handled[name] = v
			}
		}
	}
	return handled
}

// end records that a request was answered.
func (c *conn) end() {
	if c.hijacked.Load() {
		return
	}
	if c.charged.Load() {
		c.releaseAll()
	}
	surplus := max(c.received.Swap(0)-c.headSize-c.bodySize, 0)
	c.cost.Store(min(surplus, bufferSize) * surplusFactor)
	c.inRequest.Store(false)
	c.entry.Answered(clock.Millis(c.guard.now.Load()))
	// If there is no room, the next read fails.
	_ = c.chargeHead(c.cost.Load())
}

func (c *conn) releaseAll() {
	c.guard.release(c.entry)
	c.headCharged.Store(0)
	c.charged.Store(false)
}

// headSize returns the size of a head in bytes without optional white space.
func headSize(req *http.Request) int64 {
	n := len(req.Method) + len(req.RequestURI) + len(req.Proto) + len(req.Host) + len("  \r\nHost: \r\n\r\n")
	for k, values := range req.Header {
		for _, v := range values {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}
