package message_test

import (
	"bytes"
	"testing"

	"github.com/lavendercourse/lavendercourse/message"
)

// bodies returns an empty body of each type that has one.
func bodies() map[message.Type]any {
	return map[message.Type]any{
		message.TypeHello: &message.Hello{}, message.TypeWelcome: &message.Welcome{}, message.TypeBeat: &message.Load{},
		message.TypeRenew: &message.Renew{}, message.TypeStart: &message.Start{}, message.TypeDone: &message.Done{},
		message.TypeStop: &message.Stop{}, message.TypeLeave: &message.Leave{}, message.TypeResume: &message.Resume{},
		message.TypePulse: &message.Pulse{}, message.TypeAck: &message.Ack{}, message.TypeForward: &message.Forward{},
		message.TypeReply: &message.Reply{}, message.TypeAsk: &message.Ask{}, message.TypeHeard: &message.Heard{},
		message.TypeFetch: &message.Fetch{}, message.TypeState: &message.State{},
		message.TypeOffer: &message.Load{},
	}
}

// samples returns a body with content for the types that have any, beside the empty ones.
func samples() map[message.Type]any {
	tasks := []message.Task{{Job: "own.0.tag", Task: 1, Attempt: 2}}
	return map[message.Type]any{
		message.TypeHello:   message.Hello{Kind: message.KindAgent, Name: "a", Incarnation: "i", Slots: 8},
		message.TypeWelcome: message.Welcome{Name: "e", Peers: []message.Peer{{Name: "e", Address: "127.0.0.1:1"}}},
		message.TypeStart:   message.Start{Job: "own.0.tag", Task: 1, Attempt: 1, Payload: []byte("p"), Stamp: 5, Agent: "i"},
		message.TypeDone:    message.Done{Job: "own.0.tag", Status: message.StatusDone, Result: []byte("r")},
		message.TypeStop:    message.Stop{Tasks: tasks},
		message.TypeResume:  message.Resume{Tasks: tasks},
		message.TypePulse:   message.Pulse{Stamp: 1, Demand: []message.Demand{{Team: "t", Tasks: 3}}},
		message.TypeState:   message.State{Version: 1, Settings: []message.Setting{{Key: "domain.a", Value: "drained", Version: 1}}},
	}
}

// FuzzDecode guards against frames and bodies that crash the decoder, and against ones that change when they are written
// again.
func FuzzDecode(f *testing.F) {
	for _, set := range []map[message.Type]any{bodies(), samples()} {
		for kind, body := range set {
			b, err := message.Encode(kind, 7, body)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(b)
		}
	}
	f.Add([]byte{})
	f.Add([]byte{0x84, 5, 1, 0, 0xa1, 0x65, 't', 'a', 's', 'k', 's', 0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := message.Decode(data)
		if err != nil {
			return
		}
		_ = frame.Type.String()
		body, again := bodies()[frame.Type], bodies()[frame.Type]
		if body == nil || frame.DecodeBody(body) != nil {
			return
		}
		first, err := message.Encode(frame.Type, frame.Number, body)
		if err != nil {
			t.Fatalf("decoded %s cannot be encoded: %v", frame.Type, err)
		}
		copied, err := message.Decode(first)
		if err != nil || copied.DecodeBody(again) != nil {
			t.Fatalf("encoded %s cannot be decoded: %v", frame.Type, err)
		}
		second, err := message.Encode(copied.Type, copied.Number, again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%s changes from %x to %x: %v", frame.Type, first, second, err)
		}
	})
}
