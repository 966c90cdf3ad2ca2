package daemon

import (
	"context"

	"github.com/lavendercourse/lavendercourse/event"
)

// OutageLog logs the start and the end of each outage of a stream of the platform's store. It is not safe for
// concurrent use.
type OutageLog struct {
	log    *event.Log
	stream string
	// ongoing tells whether the start of an outage has been logged, and not its end.
	ongoing bool
}

// NewOutageLog returns an OutageLog for a stream that is taken to be available.
func NewOutageLog(log *event.Log, stream string) *OutageLog {
	return &OutageLog{log: log, stream: stream}
}

// RecordResult records the result of a call to the store, and returns whether the call failed. The result is not logged
// if ctx has ended, since the end of ctx may have caused the error.
func (o *OutageLog) RecordResult(ctx context.Context, err error) bool {
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
