package bench

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/slot"
)

func BenchmarkSlotStartEnd(b *testing.B) {
	t := slot.New(slot.Config{Incarnation: "agent"})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := lavendercourse.NewJobID("entry", uint64(i), "tag")
		now := clock.Millis(i)
		_, err := t.Start(now, "entry-1", message.Start{Job: id.String(), Attempt: 1, Kind: "sleep", Agent: "agent", Stamp: now})
		assert.NilError(b, err)
		t.TaskEnded(now, lavendercourse.NewTaskKey(id, 0), message.StatusDone, nil, "")
		if i%1000 == 0 {
			t.Expire(now)
		}
	}
}

func BenchmarkPlacementPick(b *testing.B) {
	for _, agents := range []int{11, 800} {
		for _, name := range placement.PolicyNames {
			b.Run(fmt.Sprintf("%s/%d", name, agents), func(b *testing.B) {
				policy, err := placement.NewPolicy(name)
				assert.NilError(b, err)
				f := placement.New(placement.Config{Policy: policy, Entry: "entry-1", Region: "r", Domain: "d"})
				homes := map[string]string{}
				for i := range agents {
					agent := fmt.Sprint("agent-", i)
					f.Join(0, message.Hello{Name: agent, Incarnation: "a", Domain: fmt.Sprint("d", i%4), Slots: 8, Connections: 64})
					homes[agent] = fmt.Sprint("entry-", i%3)
				}
				f.SetHomes(homes)
				b.ReportAllocs()
				for b.Loop() {
					if _, ok := f.Pick(1, placement.Requirements{}); !ok {
						b.Fatal("no agent has room")
					}
				}
			})
		}
	}
}

func BenchmarkAdmissionNext(b *testing.B) {
	const teams, jobs = 95, 20
	q := admission.New(admission.Config{})
	for t := range teams {
		for j := range jobs {
			id := lavendercourse.NewJobID("entry", uint64(t*jobs+j), "tag")
			q.Push(admission.NewItem(0, id, fmt.Sprint("team-", t), lavendercourse.ClassBatch, 1000, 100))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		item := q.Next(1, nil)
		q.TaskSent(item)
		q.TaskReturned(item)
	}
}

func BenchmarkMessage(b *testing.B) {
	start := message.Start{
		Job: "abcdefghijklmnop.123456.abcdefgh", Task: 7, Attempt: 1, Kind: "sleep", Class: 2, Payload: make([]byte, 200),
		Stamp: 123_456_789, Agent: "abcdefghijklmnop", Version: 42, Backlog: 100, Declared: 250,
	}
	frame, err := message.Encode(message.TypeStart, 0, start)
	assert.NilError(b, err)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := message.Encode(message.TypeStart, 0, start)
			assert.NilError(b, err)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f, err := message.Decode(frame)
			assert.NilError(b, err)
			var s message.Start
			assert.NilError(b, f.DecodeBody(&s))
		}
	})
}
