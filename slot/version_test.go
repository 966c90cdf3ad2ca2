package slot_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
)

// Guards against a refusal for an old version that does not carry the version the entry needs: the entry would resend
// the start repeatedly. Refusals for other causes carry no version.
func TestRefusalReportsVersion(t *testing.T) {
	table := slot.New(slot.Config{Incarnation: "agent"})
	start := func(sequence, version uint64) message.Done {
		id := lavendercourse.NewJobID("entry", sequence, "tag")
		actions, err := table.Start(1000, "entry", message.Start{
			Job: id.String(), Attempt: 1, Agent: "agent", Stamp: 1000, Version: version,
		})
		assert.NilError(t, err)
		assert.Equal(t, len(actions), 1)
		reply, _ := actions[0].(slot.Reply)
		return reply.Done
	}
	// The first start is accepted and gets no reply, so its status is 0.
	assert.Equal(t, start(1, 7).Status, message.Status(0))
	old := start(2, 6)
	assert.Equal(t, old.Status, message.StatusRefused)
	assert.Equal(t, old.Version, uint64(7))
	table.Leave(1000)
	leaving := start(3, 6)
	assert.Equal(t, leaving.Status, message.StatusRefused)
	assert.Equal(t, leaving.Version, uint64(0))
}
