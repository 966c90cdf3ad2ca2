package message_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/message"
)

// Guards against losing or altering the type, number or body of a frame when it is encoded and decoded.
func TestFrameRoundTrip(t *testing.T) {
	b, err := message.Encode(message.TypeHeartbeat, 7, message.Load{Stamp: 42, Running: 3, Window: 9})
	assert.NilError(t, err)
	f, err := message.Decode(b)
	assert.NilError(t, err)
	assert.Equal(t, f.Type, message.TypeHeartbeat)
	assert.Equal(t, f.Number, uint64(7))
	var got message.Load
	assert.NilError(t, f.DecodeBody(&got))
	assert.DeepEqual(t, got, message.Load{Stamp: 42, Running: 3, Window: 9})
}
