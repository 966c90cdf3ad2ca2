// Package clock is the time of lavendercourse: milliseconds of a monotonic clock. Readings of two processes cannot be
// compared.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time or a span of time in ms.
type Millis int64

// Spans of time.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// FromDuration converts a duration, rounding down to whole ms.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Duration converts a span for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// System is the monotonic clock of this process.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts at 1 s, so that a zero Millis is always in the past.
func NewSystem() *System {
	return &System{start: time.Now().Add(-time.Second)}
}

// Now returns the ms since one second before the clock was made.
func (s *System) Now() Millis {
	return FromDuration(time.Since(s.start))
}

// Manual is a clock for tests. It moves only when told to.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock that shows the given time.
func NewManual(now Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(now))
	return m
}

// Now returns the time last set.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Advance moves the clock forward by the given span.
func (m *Manual) Advance(span Millis) {
	m.now.Add(int64(span))
}
