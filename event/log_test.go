package event_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
)

// Guards against a log that grows with the load, and against lines that are suppressed without being counted.
func TestBudgetSuppressesLines(t *testing.T) {
	var out bytes.Buffer
	c := clock.NewManual(10 * clock.Second)
	l := event.NewLog(event.LogConfig{Logger: zerolog.New(&out), Clock: c, Budget: 3})
	for range 10 {
		l.On(event.JobAccepted).Send()
	}
	l.On(event.JobAnswered).Send()
	c.Advance(clock.Second)
	l.On(event.JobAccepted).Send()
	assert.Equal(t, strings.Count(out.String(), `"event":500`), 4)
	assert.Equal(t, strings.Count(out.String(), `"event":505`), 1)
	assert.Assert(t, strings.Contains(out.String(), `"of":500,"lines":7`))
}
