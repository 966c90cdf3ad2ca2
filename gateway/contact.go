package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/intake"
)

// recordContact records that a frame has arrived on a link from the given failure domain, and logs the end of a gap. g.mu must be held.
func (g *Gateway) recordContact(now clock.Millis, domain string) {
	if gap := g.scheduler.RecordContact(now, domain); gap > 0 {
		g.log.On(event.ContactRegained).Int64("silent", int64(gap)).Int("jobs", g.scheduler.Jobs()).Send()
	}
}

// callerConn is the connection of a caller.
type callerConn struct {
	conn net.Conn
	// openedAt is the time in ms at which the gateway accepted the connection.
	openedAt clock.Millis
}

type callerConnKey struct{}

// withCallerConn adds the connection of a caller to the context of its requests. It is an http.Server.ConnContext hook.
func (g *Gateway) withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(intake.ConnContext(ctx, conn), callerConnKey{}, &callerConn{conn: conn, openedAt: g.cfg.Clock.Now()})
}

// callerConnOf returns the connection that a request has arrived on, or nil if it is not known.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// age returns the time in ms since the gateway accepted the connection, or 0 if that is not known.
func (c *callerConn) age(now clock.Millis) clock.Millis {
	if c == nil {
		return 0
	}
	return now - c.openedAt
}

// hasEnded reports whether the caller has closed or reset the connection. The server reads the end of a connection in the
// background and may not have come to it. An unknown state counts as open.
func (c *callerConn) hasEnded() bool {
	if c == nil {
		return false
	}
	conn, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 1
	var b [1]byte
	// Control does not wait for the read of the server in the background, as Read would.
	if raw.Control(func(fd uintptr) { n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) }) != nil {
		return false
	}
	if err != nil {
		return errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ETIMEDOUT)
	}
	return n == 0
}
