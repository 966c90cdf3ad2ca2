package config

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Stream is the name of the stream of the platform's log that holds the configuration.
const Stream = "config"

// Errors of this package.
var (
	ErrMalformedRecord = eris.New("malformed configuration record")
	ErrInvalidSetting  = eris.New("invalid configuration key or value")
)

// Record is a record of the stream: a change of one key, or a snapshot of the whole state.
type Record struct {
	// ID is the publish id, by which a repeat of the record is recognised. Repeats without an id are not recognised.
	ID    string `cbor:"id,omitempty"`
	Key   string `cbor:"key,omitempty"`
	Value string `cbor:"value,omitempty"`
	// Base is the version of the setting that the publisher read, or 0 if there was none. The change is rejected if the
	// setting has changed since.
	Base uint64 `cbor:"base,omitempty"`
	// Force applies the change whatever the version of the setting is; Base is ignored.
	Force    bool      `cbor:"force,omitempty"`
	Snapshot *Snapshot `cbor:"snapshot,omitempty"`
}

// Snapshot is the whole state after the record at Offset was applied.
type Snapshot struct {
	Version  uint64    `cbor:"version"`
	Offset   uint64    `cbor:"offset"`
	Settings []Setting `cbor:"settings"`
	// Recent holds the newest publish ids with their results, so that a reader that starts from the snapshot recognises a
	// repeated publish.
	Recent []Publication `cbor:"recent"`
	// History holds the newest changes, oldest first, so that a process that loads the snapshot shows the same history as
	// the others.
	History []Setting `cbor:"history,omitempty"`
}

// Setting is a key with its value and the configuration version that last changed it.
type Setting struct {
	Key     string `cbor:"key"`
	Value   string `cbor:"value"`
	Version uint64 `cbor:"version"`
}

// Publication is the result of publishing the change with the given id.
type Publication struct {
	ID string `cbor:"id"`
	// Version is the configuration version that the change produced, or 0 if the change was rejected.
	Version uint64 `cbor:"version"`
}

// Applied reports whether the change was applied.
func (p Publication) Applied() bool { return p.Version > 0 }

// Encode returns a record as CBOR.
func Encode(r Record) ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "encode: %v", err)
	}
	return b, nil
}

// Decode reads a record from CBOR.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Record{}, eris.Wrapf(ErrMalformedRecord, "decode: %v", err)
	}
	return r, nil
}
