package agent

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two links to an entry that is both known and a seed: each side may keep another one of them.
func TestSeedIsDialedOnce(t *testing.T) {
	a := &Agent{
		cfg:     Config{Name: "agent-1", Entries: []string{"127.0.0.1:1", "127.0.0.1:2"}},
		entries: map[string]string{"entry-1": "127.0.0.1:1"}, watch: watch{seen: true},
	}
	assert.DeepEqual(t, a.missing(), []string{"127.0.0.1:1", "127.0.0.1:2"})
	a.watch.seen = false
	assert.Equal(t, len(a.missing()), 0)
}
