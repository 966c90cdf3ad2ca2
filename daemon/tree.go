package daemon

import (
	"context"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/lavendercourse/lavendercourse/event"
)

// NewSupervisor returns the supervisor of the services of a daemon. It logs each event of the supervisor, such as the
// restart of a service that failed.
func NewSupervisor(name string, logger zerolog.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(ev suture.Event) {
		event.ServiceRestarted.On(logger).Str("cause", ev.String()).Send()
	}})
}

// Start runs the services of a daemon until ctx ends. The returned channel is closed when all of them have ended.
func Start(ctx context.Context, tree *suture.Supervisor) <-chan struct{} {
	done := make(chan struct{})
	ended := tree.ServeBackground(ctx)
	go func() {
		<-ended
		close(done)
	}()
	return done
}
