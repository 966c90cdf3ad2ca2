package demo

import (
	"strconv"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Start is one entry of a worker's journal: the start of a task or call. Times in this file are in ms since the system
// was started.
type Start struct {
	Job     string
	Task    uint32
	Call    bool
	Worker  string
	Domain  string
	Time    clock.Millis
	Payload string
}

// Response is what a caller got for a job or call.
type Response struct {
	Outcome lavendercourse.Outcome
	Reason  lavendercourse.Reason
	// Ran is false if the response says that nothing was run.
	Ran     bool
	Results []string
	// Failure is the error text if there was no response, or empty.
	Failure string
}

// Submission is one submission of a job. Several may have the same id.
type Submission struct {
	ID       string
	Payloads []string
	// Plain is true if the job is expected to complete: it is neither cancelled nor impossible, late or in conflict
	// with another body.
	Plain    bool
	Response Response
}

// Call is one call. Its payload is unique.
type Call struct {
	Payload    string
	Idempotent bool
	Response   Response
}

// Drain is the time during which a failure domain was out of service.
type Drain struct {
	Domain   string
	Accepted clock.Millis
	// Restored is the time at which operators asked to bring the failure domain back.
	Restored clock.Millis
}

// Departure is the time during which a backend server had no agent.
type Departure struct {
	Worker        string
	StopRequested clock.Millis
	Stopped       clock.Millis
	// Restarted is the time at which the next agent was started.
	Restarted clock.Millis
	// Err is the error of the graceful stop, or empty.
	Err string
}

// Change is an accepted change of the configuration.
type Change struct {
	Accepted clock.Millis
	Version  uint64
}

// View is the configuration that an entry reported in response to one request.
type View struct {
	Entry     string
	Requested clock.Millis
	Version   uint64
	Content   string
}

// Record is everything that callers, operators and backend servers observed during a run.
type Record struct {
	Journal     []Start
	Submissions []Submission
	Calls       []Call
	Drains      []Drain
	Departures  []Departure
	Changes     []Change
	Views       []View
}

func taskName(job string, task uint32) string {
	return job + "/" + strconv.FormatUint(uint64(task), 10)
}
