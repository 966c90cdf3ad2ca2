package daemon

import (
	"context"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/route"
)

// StreamReader reads a stream of the platform's store: first the newest record of each key, then the changes since. It is not
// safe for concurrent use.
type StreamReader struct {
	store  lavendercourse.Store
	stream string
	// loaded is set while the next read continues with changes.
	loaded bool
}

// NewStreamReader returns a StreamReader whose first read gets the newest record of each key.
func NewStreamReader(store lavendercourse.Store, stream string) *StreamReader {
	return &StreamReader{store: store, stream: stream}
}

// Reset makes the next read get the newest record of each key.
func (s *StreamReader) Reset() { s.loaded = false }

// Read reads the records from the offset next on, for which it waits up to the given time in ms, and returns a function that
// applies them to a table. If the store no longer keeps them, it reads the newest record of each key.
func (s *StreamReader) Read(ctx context.Context, next uint64, wait clock.Millis) (func(*route.Table) []error, error) {
	if s.loaded {
		c, err := s.store.Changes(ctx, s.stream, next, wait)
		if err != nil {
			return nil, err
		}
		if !c.Expired {
			return func(t *route.Table) []error { return t.Apply(c) }, nil
		}
		s.loaded = false
	}
	c, err := s.store.Contents(ctx, s.stream)
	if err != nil {
		return nil, err
	}
	s.loaded = true
	return func(t *route.Table) []error { return t.Replace(c) }, nil
}
