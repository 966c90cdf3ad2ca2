package agent

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/slot"
)

// silentBackend answers no poll.
type silentBackend struct{ lavendercourse.Backend }

func (silentBackend) Ping(context.Context) error { return context.DeadlineExceeded }

// Guards against counting unscheduled polls. Several tasks that fail at the same time each request one, and the agent
// would announce its leave although the backend server was not silent for long.
func TestOnlyScheduledPollsCount(t *testing.T) {
	a := &Agent{
		cfg: Config{Backend: silentBackend{}, Clock: clock.NewManual(1), Logger: zerolog.Nop()}, ctx: t.Context(),
		table: slot.New(slot.Config{}), backend: backendStatus{everAnswered: true, up: true},
	}
	for range 5 {
		a.poll(false)
	}
	assert.Assert(t, a.backend.up)
	for range maxFailedPolls {
		a.poll(true)
	}
	assert.Assert(t, !a.backend.up)
}
