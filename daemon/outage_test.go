package daemon_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/event"
)

// Guards against an outage of the store that is logged at each failed call or never, and against one that is logged
// when calls fail because the process ends.
func TestOutageIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	outageLog := daemon.NewOutageLog(event.NewLog(event.LogConfig{Logger: zerolog.New(&out), Clock: clock.NewManual(clock.Second)}), "s")
	unavailable := errors.New("lost")
	for _, err := range []error{nil, unavailable, unavailable, nil, nil, unavailable} {
		assert.Equal(t, outageLog.RecordResult(t.Context(), err), err != nil)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, outageLog.RecordResult(ended, unavailable))
	assert.Equal(t, strings.Count(out.String(), `"event":330`), 2)
	assert.Equal(t, strings.Count(out.String(), `"event":331`), 1)
}
