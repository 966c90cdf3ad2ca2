// Package daemon provides what the daemons of all VMs share: the services of their supervisor tree, HTTP servers that
// shut down without losing connections, dials of gateways, and the logging of outages of the store.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/intake"
)

// headerTimeout is the time in ms in which a caller must send the headers of a request. The platform
// has the same limit.
const headerTimeout = 3 * clock.Second

// probeTimeout is the time in ms from the end of the headers in which the answer to a probe must be written.
const probeTimeout = 10 * clock.Second

// Service implements suture.Service for one part of a daemon.
type Service struct {
	name string
	run  func(ctx context.Context) error
}

// NewService returns a service that calls run, which must return when its context ends.
func NewService(name string, run func(ctx context.Context) error) Service {
	return Service{name: name, run: run}
}

// NewPeriodic returns a service that calls step at once and then every period, given in ms.
func NewPeriodic(name string, period clock.Millis, step func()) Service {
	return NewService(name, func(ctx context.Context) error {
		ticker := time.NewTicker(period.Duration())
		defer ticker.Stop()
		for {
			step()
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
		}
	})
}

// NewServer returns an HTTP server that closes connections that have been idle for idleTimeout, given in ms; 0 means
// never. Its connections are accounted for if its listener is that of an intake.Guard.
func NewServer(handler http.Handler, idleTimeout clock.Millis) *http.Server {
	return &http.Server{
		Handler: intake.Handler(handler), ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		MaxHeaderBytes: intake.MaxHead, ConnContext: intake.ConnContext, ConnState: intake.TrackState,
	}
}

// NewProbeServer returns an HTTP server for short answers, such as those to health checks. It closes connections whose
// callers do not read their answers.
func NewProbeServer(handler http.Handler, idleTimeout clock.Millis) *http.Server {
	s := NewServer(handler, idleTimeout)
	s.WriteTimeout = probeTimeout.Duration()
	return s
}

// NewHTTPService returns a service that serves HTTP on a listener until its context ends or the server is shut down.
// After a shutdown it does not end before its context, and asks the supervisor not to restart it.
func NewHTTPService(name string, s *http.Server, l net.Listener) Service {
	if d, ok := l.(*DrainListener); ok {
		next := s.ConnState
		s.ConnState = func(c net.Conn, state http.ConnState) {
			d.trackState(c, state)
			if next != nil {
				next(c, state)
			}
		}
	}
	return NewService(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
			return suture.ErrDoNotRestart
		}
		return err
	})
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name of the service, as logged by the supervisor.
func (s Service) String() string { return s.name }

// Sleep waits for the given time in ms, or until ctx ends.
func Sleep(ctx context.Context, duration clock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(duration.Duration()):
	}
}
