package lavendercourse

import (
	"context"

	"github.com/lavendercourse/lavendercourse/clock"
)

// KeyRecord is the newest record of a key in a keyed stream, which is a stream of key-value records.
type KeyRecord struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Value  []byte
	Offset uint64
}

// Contents is a snapshot of a keyed stream: the newest record of each key.
type Contents struct {
	Records []KeyRecord
	// End is the offset that the next record of the stream will get.
	End uint64
}

// Change is one record of a keyed stream. A change without a value removes its key.
type Change struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Changes is the result of one read of a keyed stream.
type Changes struct {
	Changes []Change
	// Next is the offset at which the next read continues.
	Next uint64
	// End is the offset after the last record of the stream.
	End uint64
	// Expired is true if records that the read asked for are no longer retained. Contents has to be read again then. Next is the
	// first offset that is retained if that is known.
	Expired bool
}

// Store is the platform's store of keyed streams. If Put returns an error, the value may still have been stored.
type Store interface {
	// Contents returns the newest record of each key.
	Contents(ctx context.Context, stream string) (Contents, error)
	// Changes returns the records from the given offset on. It waits up to the given time, in ms, for the first one. It also reads
	// plain streams, whose records expire together with their keys.
	Changes(ctx context.Context, stream string, from uint64, wait clock.Millis) (Changes, error)
	// Put sets the value of a key.
	Put(ctx context.Context, stream, key string, value []byte) error
}
