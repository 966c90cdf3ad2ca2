package agent

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against opening two links to an entry whose address is both known and a seed. The agent and the entry may each
// keep a different one of the two links.
func TestSeedIsDialedOnce(t *testing.T) {
	a := &Agent{
		cfg:     Config{Name: "agent-1", Seeds: []string{"127.0.0.1:1", "127.0.0.1:2"}},
		entries: map[string]string{"entry-1": "127.0.0.1:1"}, backend: backendStatus{everAnswered: true},
	}
	assert.DeepEqual(t, a.dialAddresses(), []string{"127.0.0.1:1", "127.0.0.1:2"})
	a.backend.everAnswered = false
	assert.Equal(t, len(a.dialAddresses()), 0)
}
