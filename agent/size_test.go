package agent

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
)

type largeResult struct{ lavendercourse.Backend }

func (largeResult) Run(context.Context, lavendercourse.Work) (lavendercourse.Result, error) {
	return lavendercourse.Result{Data: make([]byte, message.MaxData+1)}, nil
}

// Guards against a result that fits no frame, so that the entry would never learn that the task has ended.
func TestLargeResultFails(t *testing.T) {
	status, result, failure, _ := (&Agent{cfg: Config{Backend: largeResult{}}}).work(context.Background(), false, lavendercourse.Work{})
	assert.Equal(t, status, message.StatusFailed)
	assert.Equal(t, len(result), 0)
	assert.Assert(t, failure != "")
}
