// Package link carries frames between entries and agents over WebSocket connections.
package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/message"
)

// Errors of this package.
var (
	// ErrClosed is returned by Send after the link was closed.
	ErrClosed = eris.New("link is closed")
	// ErrFull is returned by Send when the other side reads too slowly. The link is closed then.
	ErrFull = eris.New("send queue of the link is full")
	// ErrRejected is the cause of the end of a link whose other side sent a message that cannot be read.
	ErrRejected = eris.New("message was rejected")
	// ErrDial is returned when a link cannot be made.
	ErrDial = eris.New("cannot dial link")
)

const (
	// defaultQueue is the number of frames that may wait for a slow reader before the link is closed.
	defaultQueue = 8192
	writeTimeout = 5 * time.Second
	flushPoll    = 2 * time.Millisecond
	// defaultSilence closes a link on which nothing was read for this long. Heartbeats on links that are not used come
	// every five seconds.
	defaultSilence = 12 * time.Second
)

// Handler receives the frames of a link, one at a time in the order of arrival. An error closes the link.
type Handler interface {
	Frame(l *Link, f message.Frame) error
	// Closed is called once, after the last frame.
	Closed(l *Link)
}

// Config holds the settings of a link. Zero values select the defaults.
type Config struct {
	Handler  Handler
	Counters *Counters
	// Queue is the number of frames that may wait to be sent.
	Queue int
	// Silence is the time without an incoming frame after which the link is closed.
	Silence time.Duration
}

// Link is one WebSocket connection.
type Link struct {
	cfg    Config
	conn   *websocket.Conn
	queue  chan []byte
	done   chan struct{}
	once   sync.Once
	closed atomic.Bool
	// unsent is the number of frames that were queued and not yet written.
	unsent atomic.Int64
	cause  atomic.Pointer[error]
	tag    atomic.Value
}

// New starts a link on a connection. Frames are read and written until Close is called or the connection breaks.
func New(conn *websocket.Conn, cfg Config) *Link {
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	if cfg.Silence == 0 {
		cfg.Silence = defaultSilence
	}
	if cfg.Counters == nil {
		cfg.Counters = NewCounters()
	}
	l := &Link{cfg: cfg, conn: conn, queue: make(chan []byte, cfg.Queue), done: make(chan struct{})}
	conn.SetReadLimit(message.MaxSize)
	go func() {
		defer l.Close()
		for {
			select {
			case <-l.done:
				return
			case b := <-l.queue:
				if err := l.write(b); err != nil {
					l.end(err)
					return
				}
				l.unsent.Add(-1)
			}
		}
	}()
	go func() {
		defer cfg.Handler.Closed(l)
		defer l.Close()
		for {
			if err := l.read(); err != nil {
				l.end(err)
				return
			}
		}
	}()
	return l
}

// Send queues a frame. It does not wait for the other side.
func (l *Link) Send(t message.Type, number uint64, body any) error {
	b, err := message.Encode(t, number, body)
	if err != nil {
		return err
	}
	if l.closed.Load() {
		return ErrClosed
	}
	l.unsent.Add(1)
	select {
	case l.queue <- b:
		l.cfg.Counters.sent(t, len(b))
		return nil
	default:
		l.end(ErrFull)
		return ErrFull
	}
}

// Flush waits until all queued frames are written, or the link or ctx has ended.
func (l *Link) Flush(ctx context.Context) {
	t := time.NewTicker(flushPoll)
	defer t.Stop()
	for l.unsent.Load() > 0 {
		select {
		case <-t.C:
		case <-l.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Close ends the link. Frames that still wait are lost.
func (l *Link) Close() { l.end(nil) }

// Err returns why the link ended. It is nil while the link is open and if this side closed it.
func (l *Link) Err() error {
	if cause := l.cause.Load(); cause != nil {
		return *cause
	}
	return nil
}

// LogEnd logs the end of the link to the named process, with its cause.
func (l *Link) LogEnd(logger zerolog.Logger, peer string) {
	e := event.LinkClosed
	if eris.Is(l.Err(), ErrRejected) {
		e = event.LinkRejected
	}
	e.On(logger).Str("peer", peer).Stringer("address", l.RemoteAddr()).Err(l.Err()).Send()
}

func (l *Link) end(cause error) {
	l.once.Do(func() {
		if cause != nil {
			l.cause.Store(&cause)
		}
		l.closed.Store(true)
		close(l.done)
		_ = l.conn.Close()
	})
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Tag returns what SetTag stored, or nil.
func (l *Link) Tag() any { return l.tag.Load() }

// SetTag stores what the owner of the link wants to find again. All values must be of one type.
func (l *Link) SetTag(v any) { l.tag.Store(v) }

// RemoteAddr returns the address of the other side.
func (l *Link) RemoteAddr() net.Addr { return l.conn.RemoteAddr() }

func (l *Link) write(b []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return l.conn.WriteMessage(websocket.BinaryMessage, b)
}

func (l *Link) read() error {
	if err := l.conn.SetReadDeadline(time.Now().Add(l.cfg.Silence)); err != nil {
		return err
	}
	kind, b, err := l.conn.ReadMessage()
	if err != nil {
		return err
	}
	if kind != websocket.BinaryMessage {
		return eris.Wrap(ErrRejected, "not a binary message")
	}
	f, err := message.Decode(b)
	if err != nil {
		l.cfg.Counters.broken()
		return eris.Wrapf(ErrRejected, "%v", err)
	}
	l.cfg.Counters.received(f.Type, len(b))
	if f.Type == 0 || f.Type >= message.TypeCount {
		return nil
	}
	if err := l.cfg.Handler.Frame(l, f); err != nil {
		return eris.Wrapf(ErrRejected, "%s: %v", f.Type, err)
	}
	return nil
}
