// Package link carries frames between entries, agents, gateways and runners over WebSocket connections.
package link

import (
	"context"
	"net"
	"runtime/debug"
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
	// ErrFull is returned by Send when the send queue is full because the other side reads too slowly. The link is then
	// closed.
	ErrFull = eris.New("send queue of the link is full")
	// ErrRejected is the cause if a link was closed because of a received message: it could not be decoded, or the
	// handler returned an error.
	ErrRejected = eris.New("message was rejected")
	// ErrDial is returned when a link cannot be opened or accepted.
	ErrDial = eris.New("cannot open link")
)

// HelloSize is the maximum size in bytes of a frame that says which process the other side of a link is. Such frames have a
// few hundred bytes.
const HelloSize = 16 << 10

// HelloTimeout is the time in which the other side of a link that was accepted must say which process it is. It does so
// right after the link is open.
const HelloTimeout = 2 * time.Second

const (
	// defaultSendQueue is the default of Config.SendQueue.
	defaultSendQueue = 8192
	// writeTimeout is the timeout for writing one frame to the connection.
	writeTimeout    = 5 * time.Second
	flushPollPeriod = 2 * time.Millisecond
	// defaultReadTimeout is the default of Config.ReadTimeout. It is more than twice the time between heartbeats on
	// idle links, which is 5 s.
	defaultReadTimeout = 12 * time.Second
	// drainTimeout bounds how long frames are still read after writing has failed.
	drainTimeout = time.Second
)

// Handler receives the frames of a link.
type Handler interface {
	// HandleFrame handles a received frame. It is called for one frame at a time, in the order of arrival. An error closes
	// the link.
	HandleFrame(l *Link, f message.Frame) error
	// Closed is called once, after the last frame.
	Closed(l *Link)
}

// Config holds the settings of a link. Zero values select the defaults.
type Config struct {
	Handler Handler
	// Counters counts the frames. It may be shared by links.
	Counters *Counters
	// SendQueue is the maximum number of frames that wait to be written. If the other side reads so slowly that there
	// are more, the link is closed.
	SendQueue int
	// UntaggedSize is the maximum size in bytes of frames that arrive before SetTag is called; 0 selects that of all frames.
	// On links that are accepted, nothing large may arrive before the other side has said which process it is.
	UntaggedSize int64
	// TagTimeout is the time after which a link is closed on which SetTag was not called, whatever arrives; 0 selects none.
	TagTimeout time.Duration
	// ReadTimeout is the time without an incoming frame after which the link is closed.
	ReadTimeout time.Duration
}

// Link is one WebSocket connection.
type Link struct {
	cfg       Config
	conn      *websocket.Conn
	sendQueue chan []byte
	done      chan struct{}
	closeOnce sync.Once
	closed    atomic.Bool
	// unsent is the number of frames that are queued or being written.
	unsent atomic.Int64
	// cause is the error that closed the link. It is nil if Close was called.
	cause atomic.Pointer[error]
	// drainDeadline is set once writing has failed. It is the time until which frames are still read.
	drainDeadline atomic.Pointer[time.Time]
	// tagDeadline is the time until which SetTag must be called, or zero.
	tagDeadline time.Time
	// tag is the value that SetTag stored.
	tag atomic.Value
}

// New returns a link on an open connection and starts to read and write frames. The link ends when Close is called or a
// read, a write or the handler fails.
func New(conn *websocket.Conn, cfg Config) *Link {
	if cfg.SendQueue == 0 {
		cfg.SendQueue = defaultSendQueue
	}
	if cfg.ReadTimeout == 0 {
		cfg.ReadTimeout = defaultReadTimeout
	}
	if cfg.Counters == nil {
		cfg.Counters = NewCounters()
	}
	l := &Link{cfg: cfg, conn: conn, sendQueue: make(chan []byte, cfg.SendQueue), done: make(chan struct{})}
	if cfg.TagTimeout > 0 {
		l.tagDeadline = time.Now().Add(cfg.TagTimeout)
	}
	conn.SetReadLimit(message.MaxSize)
	if cfg.UntaggedSize > 0 {
		conn.SetReadLimit(cfg.UntaggedSize)
	}
	go func() {
		for {
			select {
			case <-l.done:
				return
			case b := <-l.sendQueue:
				if err := l.write(b); err != nil {
					l.endWrites(err)
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
				l.closeWith(err)
				return
			}
			if l.Tag() != nil {
				conn.SetReadLimit(message.MaxSize)
			}
		}
	}()
	return l
}

// Send encodes a frame and queues it. It does not block: if the queue is full, it closes the link and returns ErrFull.
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
	case l.sendQueue <- b:
		l.cfg.Counters.countSent(t, len(b))
		return nil
	default:
		l.closeWith(ErrFull)
		return ErrFull
	}
}

// Flush waits until all queued frames are written, the link is closed or ctx ends.
func (l *Link) Flush(ctx context.Context) {
	t := time.NewTicker(flushPollPeriod)
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

// Close closes the link. Queued frames are discarded.
func (l *Link) Close() { l.closeWith(nil) }

// Err returns the error that closed the link. It is nil while the link is open and after Close.
func (l *Link) Err() error {
	if cause := l.cause.Load(); cause != nil {
		return *cause
	}
	return nil
}

// LogEnd logs that the link to the named process has ended, with the cause.
func (l *Link) LogEnd(logger zerolog.Logger, peer string) {
	e := event.LinkClosed
	if eris.Is(l.Err(), ErrRejected) {
		e = event.LinkRejected
	}
	e.On(logger).Str("peer", peer).Stringer("address", l.RemoteAddr()).Err(l.Err()).Send()
}

// endWrites records that frames can no longer be written, and leaves drainTimeout for reading those that the other side
// sent before it closed the connection: answers among them would be lost otherwise.
func (l *Link) endWrites(cause error) {
	l.cause.CompareAndSwap(nil, &cause)
	l.closed.Store(true)
	deadline := time.Now().Add(drainTimeout)
	l.drainDeadline.Store(&deadline)
	_ = l.conn.SetReadDeadline(deadline)
}

// readDeadline returns the time at which a read that begins now must have received a frame.
func (l *Link) readDeadline() time.Time {
	if deadline := l.drainDeadline.Load(); deadline != nil {
		return *deadline
	}
	if !l.tagDeadline.IsZero() && l.Tag() == nil {
		return l.tagDeadline
	}
	return time.Now().Add(l.cfg.ReadTimeout)
}

// closeWith closes the link and stores the cause. Only the first call has an effect.
func (l *Link) closeWith(cause error) {
	l.closeOnce.Do(func() {
		if cause != nil {
			l.cause.CompareAndSwap(nil, &cause)
		}
		l.closed.Store(true)
		close(l.done)
		_ = l.conn.Close()
	})
}

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Tag returns the value that SetTag stored, or nil.
func (l *Link) Tag() any { return l.tag.Load() }

// SetTag stores a value for the user of the link, for instance the name of the peer. All values must be of one type.
func (l *Link) SetTag(v any) { l.tag.Store(v) }

// RemoteAddr returns the address of the other side.
func (l *Link) RemoteAddr() net.Addr { return l.conn.RemoteAddr() }

func (l *Link) write(b []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return l.conn.WriteMessage(websocket.BinaryMessage, b)
}

// read reads one frame and passes it to the handler. Frames of unknown types are ignored.
func (l *Link) read() error {
	if err := l.conn.SetReadDeadline(l.readDeadline()); err != nil {
		return err
	}
	if deadline := l.drainDeadline.Load(); deadline != nil {
		// Writing may have failed since the deadline above was chosen.
		if err := l.conn.SetReadDeadline(*deadline); err != nil {
			return err
		}
	}
	messageType, b, err := l.conn.ReadMessage()
	if err != nil {
		return err
	}
	if messageType != websocket.BinaryMessage {
		return eris.Wrap(ErrRejected, "received a WebSocket message that is not binary")
	}
	f, err := message.Decode(b)
	if err != nil {
		l.cfg.Counters.countMalformed()
		return eris.Wrapf(ErrRejected, "%v", err)
	}
	l.cfg.Counters.countReceived(f.Type, len(b))
	if f.Type == 0 || f.Type >= message.TypeCount {
		if !l.tagDeadline.IsZero() && l.Tag() == nil {
			return eris.Wrap(ErrRejected, "received a message of unknown type before the hello")
		}
		return nil
	}
	if err := l.handle(f); err != nil {
		return eris.Wrapf(ErrRejected, "%s: %v", f.Type, err)
	}
	return nil
}

// handle passes a frame to the handler. A panic of the handler is returned as an error, so that it ends this link and
// not the process with all its others.
func (l *Link) handle(f message.Frame) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = eris.Errorf("handler panicked: %v\n%s", p, debug.Stack())
		}
	}()
	return l.cfg.Handler.HandleFrame(l, f)
}
