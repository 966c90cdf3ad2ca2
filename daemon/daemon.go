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
)

// headerTimeout is the time in ms in which a caller must send the headers of a request. The platform
// has the same limit.
const headerTimeout = 3 * clock.Second

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
// never.
func NewServer(handler http.Handler, idleTimeout clock.Millis) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration()}
}

// NewHTTPService returns a service that serves HTTP on a listener until its context ends or the server is shut down.
// After a shutdown it does not end before its context, and asks the supervisor not to restart it.
func NewHTTPService(name string, s *http.Server, l net.Listener) Service {
	if d, ok := l.(*DrainListener); ok {
		s.ConnState = d.trackState
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
