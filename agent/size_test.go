package agent

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
)

// oversizedBackend returns a result that is one byte larger than message.MaxPayloadSize.
type oversizedBackend struct{ lavendercourse.Backend }

func (oversizedBackend) Run(context.Context, lavendercourse.Work) (lavendercourse.Result, error) {
	return lavendercourse.Result{Data: make([]byte, message.MaxPayloadSize+1)}, nil
}

// Guards against a result that is too large for a frame. The done message could not be sent, and the entry would never
// receive the end of the task.
func TestOversizedResultFails(t *testing.T) {
	status, result, failure, _ := (&Agent{cfg: Config{Backend: oversizedBackend{}}}).execute(context.Background(), false, lavendercourse.Work{})
	assert.Equal(t, status, message.StatusFailed)
	assert.Equal(t, len(result), 0)
	assert.Assert(t, failure != "")
}
