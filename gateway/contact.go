package gateway

import (
	"context"
	"net"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
)

// recordContact records that a frame has arrived on a link, and logs the end of a gap. g.mu must be held.
func (g *Gateway) recordContact(now clock.Millis) {
	if gap := g.scheduler.RecordContact(now); gap > 0 {
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
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: conn, openedAt: g.cfg.Clock.Now()})
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
