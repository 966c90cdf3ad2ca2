package link

import (
	"sync/atomic"

	"github.com/lavendercourse/lavendercourse/message"
)

// Counters counts the frames and bytes of all links of a process by message type.
type Counters struct {
	sentFrames     [message.TypeCount]atomic.Uint64
	sentBytes      [message.TypeCount]atomic.Uint64
	receivedFrames [message.TypeCount]atomic.Uint64
	receivedBytes  [message.TypeCount]atomic.Uint64
	malformed      atomic.Uint64
}

// NewCounters returns counters that are all zero.
func NewCounters() *Counters {
	return &Counters{}
}

// Count is a number of frames and their total size in bytes.
type Count struct {
	Frames uint64
	Bytes  uint64
}

// Sent returns the count of the frames of the given type that were queued to be sent. Unknown types count as type 0.
func (c *Counters) Sent(t message.Type) Count {
	return Count{Frames: c.sentFrames[typeIndex(t)].Load(), Bytes: c.sentBytes[typeIndex(t)].Load()}
}

// Received returns the count of the received frames of the given type. Unknown types count as type 0.
func (c *Counters) Received(t message.Type) Count {
	return Count{Frames: c.receivedFrames[typeIndex(t)].Load(), Bytes: c.receivedBytes[typeIndex(t)].Load()}
}

// Malformed returns the number of frames that could not be decoded.
func (c *Counters) Malformed() uint64 { return c.malformed.Load() }

func (c *Counters) countSent(t message.Type, n int) {
	c.sentFrames[typeIndex(t)].Add(1)
	c.sentBytes[typeIndex(t)].Add(uint64(n))
}

func (c *Counters) countReceived(t message.Type, n int) {
	c.receivedFrames[typeIndex(t)].Add(1)
	c.receivedBytes[typeIndex(t)].Add(uint64(n))
}

func (c *Counters) countMalformed() { c.malformed.Add(1) }

// typeIndex returns the index of a type in the counters, which is 0 for all unknown types.
func typeIndex(t message.Type) message.Type {
	if t >= message.TypeCount {
		return 0
	}
	return t
}
