package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
)

// Guards against starts for an agent that refuses them until the entry has a newer configuration version.
func TestPickSkipsAgentThatNeedsNewerVersion(t *testing.T) {
	policy, err := placement.NewPolicy("home")
	assert.NilError(t, err)
	f := placement.New(placement.Config{Policy: policy, Entry: "entry"})
	f.Join(0, message.Hello{Name: "a", Incarnation: "1", Slots: 8, Connections: 64})
	picked := func() bool {
		_, ok := f.Pick(1, placement.Requirements{})
		return ok
	}
	f.SetDomainsVersion(3)
	assert.Assert(t, picked())
	f.RequireVersion("a", 4)
	assert.Assert(t, !picked())
	f.SetDomainsVersion(4)
	assert.Assert(t, picked())
	f.RequireVersion("a", 5)
	assert.Assert(t, !picked())
	f.Join(2, message.Hello{Name: "a", Incarnation: "2", Slots: 8, Connections: 64})
	assert.Assert(t, picked(), "a new incarnation has not asked for any version yet")
}
