package daemon

import (
	"context"

	"github.com/lavendercourse/lavendercourse/event"
)

// Outage logs the start and the end of each outage of a stream of the platform's store. It is not safe for concurrent
// use.
type Outage struct {
	log    *event.Log
	stream string
	// ongoing tells whether the start of an outage has been logged, and not its end.
	ongoing bool
}

// NewOutage returns an Outage for a stream that is taken to be available.
func NewOutage(log *event.Log, stream string) *Outage { return &Outage{log: log, stream: stream} }

// Note records the result of a call to the store, and returns whether the call failed. The result is not logged if
// ctx has ended, since the end of ctx may have caused the error.
func (o *Outage) Note(ctx context.Context, err error) bool {
	switch failed := err != nil; {
	case ctx.Err() != nil:
	case failed && !o.ongoing:
		o.log.On(event.LogUnavailable).Str("stream", o.stream).Err(err).Send()
		o.ongoing = true
	case !failed && o.ongoing:
		o.log.On(event.LogAvailable).Str("stream", o.stream).Send()
		o.ongoing = false
	}
	return err != nil
}
