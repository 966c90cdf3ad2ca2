package command

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/settings"
)

// Guards against clocks that stop while the VM is suspended: an agent would start tasks in a failure domain that was
// drained meanwhile, and an entry would take a task that its agent has forgotten for one that never ran.
func TestDaemonClocksCountSuspension(t *testing.T) {
	s := settings.Settings{}
	s.Entry.Callers, s.Entry.Links = "127.0.0.1:0", "127.0.0.1:0"
	e, err := entryConfig(s, zerolog.Nop(), nil)
	assert.NilError(t, err)
	assert.NilError(t, e.CallerListener.Close())
	assert.NilError(t, e.LinkListener.Close())
	_, ok := e.Clock.(*clock.Boot)
	assert.Check(t, ok, "the clock of an entry is a %T", e.Clock)
	a := agentConfig(s, zerolog.Nop(), nil, nil)
	_, ok = a.Clock.(*clock.Boot)
	assert.Check(t, ok, "the clock of an agent is a %T", a.Clock)
}
