// Package clock provides monotonic clocks with a resolution of one millisecond. Clock readings of two processes cannot
// be compared.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time or a duration in ms.
type Millis int64

// Common durations, in ms.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// FromDuration converts a time.Duration to whole ms, rounding toward zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Duration converts a duration in ms to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// System is a monotonic clock that starts when it is created.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts at 1,000 ms, so that a zero Millis is always in the past.
func NewSystem() *System {
	return &System{start: time.Now().Add(-time.Second)}
}

// Now returns the time since the creation of the clock in ms plus 1,000.
func (s *System) Now() Millis {
	return FromDuration(time.Since(s.start))
}

// Manual is a clock for tests. It advances only when Advance is called. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock that is set to the given time.
func NewManual(now Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(now))
	return m
}

// Now returns the current time of the clock in ms.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Advance moves the clock forward by d ms.
func (m *Manual) Advance(d Millis) {
	m.now.Add(int64(d))
}
