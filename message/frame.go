// Package message defines the frames that entries, agents, gateways and runners exchange: CBOR arrays of a type, a
// version, a number and a body.
package message

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Version is the protocol version in the frames that this package writes.
const Version = 1

// MaxSize is the maximum size of a frame, in bytes. Larger frames are rejected.
const MaxSize = 4 << 20

// MaxPayloadSize is the maximum size of a payload, result or forwarded request, in bytes. It leaves 64 KiB of a frame
// for the other fields of the body.
const MaxPayloadSize = MaxSize - 64<<10

// Errors of this package.
var (
	// ErrFrame is returned for a frame that is malformed, too large or not expected on its link.
	ErrFrame = eris.New("malformed frame")
	// ErrBody is returned for a body that is malformed or lacks a field.
	ErrBody = eris.New("malformed message body")
)

// Type is the type of the body of a frame.
type Type uint8

// The message types. Their numbers are part of the protocol.
const (
	TypeHello     Type = 1
	TypeWelcome   Type = 2
	TypeHeartbeat Type = 3
	TypeRenew     Type = 4
	TypeStart     Type = 5
	TypeDone      Type = 6
	TypeStop      Type = 7
	TypeLeave     Type = 8
	TypeResume    Type = 9
	TypePulse     Type = 10
	TypeAck       Type = 11
	TypeForward   Type = 12
	TypeReply     Type = 13
	TypeAsk       Type = 14
	TypeHeard     Type = 15
	TypeFetch     Type = 16
	TypeState     Type = 17
	TypeOffer     Type = 18
	TypeEnroll    Type = 19
	TypeReport    Type = 20
	TypeOrder     Type = 21
	TypeRecall    Type = 22
	TypeEnded     Type = 23
	TypeReportAck Type = 24
	TypeDigest    Type = 25
	TypePull      Type = 26
	TypeRecords   Type = 27
	TypeCrash     Type = 28
	TypeVerdict   Type = 29
	// TypeIsolatedOrder has the body of TypeOrder. Its runs have to be the only ones on the worker.
	TypeIsolatedOrder Type = 30
	TypeDrain         Type = 31
	TypeCancel        Type = 32
	TypeClaim         Type = 33
	TypeClaimAnswer   Type = 34
	TypeMix           Type = 35
)

// TypeCount is one more than the highest type number.
const TypeCount = 36

var typeNames = [TypeCount]string{
	"unknown", "hello", "welcome", "beat", "renew", "start", "done", "stop", "leave", "resume", "pulse", "ack",
	"forward", "reply", "ask", "heard", "fetch", "state", "offer", "enroll", "report", "order", "recall", "ended", "keep",
	"digest", "pull", "records", "crash", "verdict", "isolate", "drain", "cancel",
	"claim", "settle", "mix",
}

// String returns the name of the type, as used in metrics.
func (t Type) String() string {
	if t >= TypeCount {
		return typeNames[0]
	}
	return typeNames[t]
}

// Frame is one message on a link. An answer has the Number of its request. Number is 0 if no answer has to be matched.
type Frame struct {
	_       struct{} `cbor:",toarray"`
	Type    Type
	Version uint8
	Number  uint64
	Body    cbor.RawMessage
}

var (
	encMode cbor.EncMode
	decMode cbor.DecMode
)

func init() {
	var err error
	encMode, err = cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
	// The limits prevent a malicious frame from causing a large allocation.
	decMode, err = cbor.DecOptions{
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 16,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
}

// Encode returns the bytes of a frame with the given body.
func Encode(t Type, number uint64, body any) ([]byte, error) {
	encodedBody, err := encMode.Marshal(body)
	if err != nil {
		return nil, eris.Wrapf(ErrBody, "encode %s: %v", t, err)
	}
	b, err := encMode.Marshal(Frame{Type: t, Version: Version, Number: number, Body: encodedBody})
	if err != nil {
		return nil, eris.Wrapf(ErrFrame, "encode %s: %v", t, err)
	}
	if len(b) > MaxSize {
		return nil, eris.Wrapf(ErrFrame, "%s of %d bytes is larger than %d bytes", t, len(b), MaxSize)
	}
	return b, nil
}

// Decode decodes a frame except for its body, which DecodeBody decodes.
func Decode(b []byte) (Frame, error) {
	if len(b) > MaxSize {
		return Frame{}, eris.Wrapf(ErrFrame, "frame of %d bytes is larger than %d bytes", len(b), MaxSize)
	}
	var f Frame
	if err := decMode.Unmarshal(b, &f); err != nil {
		return Frame{}, eris.Wrapf(ErrFrame, "decode: %v", err)
	}
	return f, nil
}

// DecodeBody decodes the body of a frame into the struct that v points to.
func (f Frame) DecodeBody(v any) error {
	if err := decMode.Unmarshal(f.Body, v); err != nil {
		return eris.Wrapf(ErrBody, "decode %s: %v", f.Type, err)
	}
	return nil
}
