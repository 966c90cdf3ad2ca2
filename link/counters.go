package link

import (
	"sync/atomic"

	"github.com/lavendercourse/lavendercourse/message"
)

// Counters counts the frames of all links of a process by message type.
type Counters struct {
	out      [message.TypeCount]atomic.Uint64
	outBytes [message.TypeCount]atomic.Uint64
	in       [message.TypeCount]atomic.Uint64
	inBytes  [message.TypeCount]atomic.Uint64
	bad      atomic.Uint64
}

// NewCounters returns counters that are all zero.
func NewCounters() *Counters {
	return &Counters{}
}

// Count is a number of frames and their size.
type Count struct {
	Frames uint64
	Bytes  uint64
}

// Sent returns what was queued to be sent of the given type.
func (c *Counters) Sent(t message.Type) Count {
	return Count{Frames: c.out[index(t)].Load(), Bytes: c.outBytes[index(t)].Load()}
}

// Received returns what was received of the given type. Unknown types count as type 0.
func (c *Counters) Received(t message.Type) Count {
	return Count{Frames: c.in[index(t)].Load(), Bytes: c.inBytes[index(t)].Load()}
}

// Broken returns the number of frames that could not be decoded.
func (c *Counters) Broken() uint64 { return c.bad.Load() }

func (c *Counters) sent(t message.Type, n int) {
	c.out[index(t)].Add(1)
	c.outBytes[index(t)].Add(uint64(n))
}

func (c *Counters) received(t message.Type, n int) {
	c.in[index(t)].Add(1)
	c.inBytes[index(t)].Add(uint64(n))
}

func (c *Counters) broken() { c.bad.Add(1) }

func index(t message.Type) message.Type {
	if t >= message.TypeCount {
		return 0
	}
	return t
}
