// Package lavendercourse holds the identifiers and the interfaces that the packages below it share: the platform's
// log, the backend server and the placement policy. Implementations are in the packages named after the thing they
// talk to or decide about.
package lavendercourse

import (
	"context"

	"github.com/lavendercourse/lavendercourse/clock"
)

// MaxTasks is the largest number of tasks in one job.
const MaxTasks = 1100

// Clock tells the time in ms. Only differences between two readings of the same clock have a meaning.
type Clock interface {
	Now() clock.Millis
}

// Record is one record of a stream of the platform's log.
type Record struct {
	Offset uint64
	// Time of the append in ms by the clock of the log service.
	Time clock.Millis
	Data []byte
}

// Page is the answer to a read of a stream.
type Page struct {
	Records []Record
	// First is the oldest offset that the log still keeps.
	First uint64
	// Next is the offset that the next append will get.
	Next uint64
}

// Log is the platform's append-only log. Offsets start at 1. An error of Append says nothing about whether the record
// was appended, since the answer may have been lost.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int) (Page, error)
}

// Work is one task or call to be run by a backend server.
type Work struct {
	Key     TaskKey
	Kind    string
	Payload []byte
	// Lease is the time in ms after which the worker may stop a task that is not renewed.
	Lease clock.Millis
}

// Backend is the backend server beside an agent. An error means that the backend server did not answer; a task that
// ran and failed returns a Result with a Failure.
type Backend interface {
	Run(ctx context.Context, w Work) (Result, error)
	Call(ctx context.Context, w Work) (Result, error)
	Stop(ctx context.Context, key TaskKey) error
	// Ping returns an error if the backend server does not answer.
	Ping(ctx context.Context) error
}

// Result is what a backend server returned for a task or call.
type Result struct {
	Data []byte
	// Failure is the error text of work that ran and failed. It is empty for work that ended well.
	Failure string
}

// Class orders waiting tasks.
type Class uint8

// The classes, first served first.
const (
	Quick Class = 1
	Batch Class = 2
)

// String returns the name of the class, as used in metrics.
func (c Class) String() string {
	if c == Quick {
		return "quick"
	}
	return "batch"
}
