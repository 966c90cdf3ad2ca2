// Package lavendercourse defines the identifiers and interfaces that its subpackages share, such as those of the
// platform's log, the backend server and the placement policy. Each implementation is in a package named after the
// system that it talks to or the decision that it makes.
package lavendercourse

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/lavendercourse/lavendercourse/clock"
)

// MaxTasks is the largest number of tasks in one job.
const MaxTasks = 1100

// Clock returns the time in ms. Only the difference between two readings of the same clock is meaningful.
type Clock interface {
	Now() clock.Millis
}

// Record is one record of a stream of the platform's log.
type Record struct {
	Offset uint64
	// Time is when the record was appended, in ms of the log service's clock.
	Time clock.Millis
	Data []byte
}

// Page is the result of one read of a stream.
type Page struct {
	Records []Record
	// First is the oldest offset that the log still retains.
	First uint64
	// Next is the offset that the next appended record will get.
	Next uint64
}

// Log is the platform's append-only log. Offsets start at 1. If Append returns an error, the record may still have been
// appended, since the answer may have been lost.
type Log interface {
	// Append adds a record to a stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records of a stream, starting at the offset from.
	Read(ctx context.Context, stream string, from uint64, limit int) (Page, error)
}

// Work is one task or call that a backend server runs.
type Work struct {
	Key     TaskKey
	Kind    string
	Payload []byte
	// Lease is the time in ms after which the worker may stop the task if its lease is not renewed.
	Lease clock.Millis
}

// Backend is the backend server beside an agent. An error means that the backend server did not answer. For work that
// ran and failed, the error is nil and Result.Failure is set.
type Backend interface {
	// Run runs a task and waits until it has ended.
	Run(ctx context.Context, w Work) (Result, error)
	// Call sends a call and waits for its answer.
	Call(ctx context.Context, w Work) (Result, error)
	// Stop asks the backend server to stop a running task.
	Stop(ctx context.Context, key TaskKey) error
	// Ping returns an error if the backend server does not answer.
	Ping(ctx context.Context) error
	// List returns all tasks that the backend server runs, whoever started them. It returns ErrNoList if the backend
	// server does not offer the list.
	List(ctx context.Context) ([]TaskKey, error)
}

// ErrNoList is returned by Backend.List if the backend server does not offer a list of its running tasks.
var ErrNoList = eris.New("backend server does not list its running tasks")

// Result is the answer of a backend server to a task or call.
type Result struct {
	Data []byte
	// Failure is the error text of work that ran and failed. It is empty for work that succeeded.
	Failure string
}

// Class is the priority class of a job. Waiting tasks of a lower class number are served first.
type Class uint8

// Values of Class, in the order in which they are served.
const (
	ClassQuick Class = 1
	ClassBatch Class = 2
)

// String returns the name of the class, as used in metrics.
func (c Class) String() string {
	if c == ClassQuick {
		return "quick"
	}
	return "batch"
}
