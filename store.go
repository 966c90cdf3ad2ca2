package lavendercourse

import (
	"context"

	"github.com/lavendercourse/lavendercourse/clock"
)

// Setting is the newest record of a key in a keyed stream.
type Setting struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Value  []byte
	Offset uint64
}

// Contents holds the newest record of each key of a keyed stream.
type Contents struct {
	Settings []Setting
	// End is the offset that the next record of the stream gets.
	End uint64
}

// Change is one record of a keyed stream. A change without a value removes its key.
type Change struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Changes is the answer to a read of a keyed stream.
type Changes struct {
	Changes []Change
	// Next is the offset from which the next read continues.
	Next uint64
	// Expired tells that records before Next are no longer kept, so that Contents has to be read again.
	Expired bool
}

// Store is a store of keyed streams that the platform keeps. An error of Put says nothing about whether the value was
// stored.
type Store interface {
	// Contents returns the newest record of each key.
	Contents(ctx context.Context, stream string) (Contents, error)
	// Changes returns the records from an offset on. It waits up to the given time for the first one.
	Changes(ctx context.Context, stream string, from uint64, wait clock.Millis) (Changes, error)
	Put(ctx context.Context, stream, key string, value []byte) error
}
