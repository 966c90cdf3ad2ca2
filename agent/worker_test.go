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

// deaf answers no poll.
type deaf struct{ lavendercourse.Backend }

func (deaf) Ping(context.Context) error { return context.DeadlineExceeded }

// Guards against an agent that leaves its entries because several tasks failed at once.
func TestOnlyDuePollsCount(t *testing.T) {
	a := &Agent{
		cfg: Config{Backend: deaf{}, Clock: clock.NewManual(1), Logger: zerolog.Nop()}, ctx: t.Context(),
		table: slot.New(slot.Config{}), watch: watch{seen: true, up: true},
	}
	for range 5 {
		a.poll(false)
	}
	assert.Assert(t, a.watch.up)
	for range missLimit {
		a.poll(true)
	}
	assert.Assert(t, !a.watch.up)
}
