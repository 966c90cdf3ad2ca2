package queue

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/route"
)

// Guards against a count of runs that grows with the number of jobs that have ever run.
func TestRunCountsAreDropped(t *testing.T) {
	s := New(Config{})
	q := route.Queue{Name: "q", Service: "s", MaxAttempts: 3, SlackFactor: 1, TargetLatency: 60}
	steps := []lavendercourse.Step{{Count: 1, Need: lavendercourse.Resources{CPU: 1000}, Estimate: 100}}
	capacity := lavendercourse.Resources{CPU: 4000}
	s.Enroll(0, message.Enroll{Name: "r", Service: "s", Capacity: capacity}, false)
	for i := range 3 {
		id := fmt.Sprint(i)
		s.HandleReport(0, "r", message.Report{Free: capacity, AcceptsRuns: true, ReceivedRuns: i})
		s.Submit(0, lavendercourse.Submission{Steps: steps}, q, id)
		assert.Equal(t, len(s.runsInFlight), 1)
		run := lavendercourse.RunID{Job: id, Run: 1}
		s.HandleEnds(0, "r", message.Ended{Ends: []message.RunEnd{{Run: run, Kind: lavendercourse.EndDone}}})
		assert.Equal(t, len(s.runsInFlight), 0)
	}
}
