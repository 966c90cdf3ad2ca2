package config

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Stream is the stream of the platform's log that holds the configuration.
const Stream = "config"

// Errors of this package.
var (
	ErrRecord = eris.New("malformed configuration record")
	ErrKey    = eris.New("invalid configuration key or value")
)

// Record is one record of the stream: a change of a key, or a snapshot of the whole state.
type Record struct {
	ID    string `cbor:"id,omitempty"`
	Key   string `cbor:"key,omitempty"`
	Value string `cbor:"value,omitempty"`
	// Base is the version of the key that the change is based on.
	Base uint64 `cbor:"base,omitempty"`
	// Force makes the change win whatever the version of the key is.
	Force    bool      `cbor:"force,omitempty"`
	Snapshot *Snapshot `cbor:"snapshot,omitempty"`
}

// Snapshot is the whole state after the record at Offset.
type Snapshot struct {
	Version  uint64    `cbor:"version"`
	Offset   uint64    `cbor:"offset"`
	Settings []Setting `cbor:"settings"`
	// Recent holds the newest publish ids, so that a repeated publish is recognised after a snapshot.
	Recent []Publication `cbor:"recent"`
	// History holds the newest changes, so that a process that takes over a snapshot shows the same ones as the others.
	History []Setting `cbor:"history,omitempty"`
}

// Setting is a key with its value and the version in which it was last changed.
type Setting struct {
	Key     string `cbor:"key"`
	Value   string `cbor:"value"`
	Version uint64 `cbor:"version"`
}

// Publication is the fate of one publish id.
type Publication struct {
	ID string `cbor:"id"`
	// Version in which the change is in force, or 0 if it lost.
	Version uint64 `cbor:"version"`
}

// Won tells whether the change came into force.
func (p Publication) Won() bool { return p.Version > 0 }

// Encode returns the bytes of a record.
func Encode(r Record) ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, eris.Wrapf(ErrRecord, "encode: %v", err)
	}
	return b, nil
}

// Decode reads the bytes of a record.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Record{}, eris.Wrapf(ErrRecord, "decode: %v", err)
	}
	return r, nil
}
