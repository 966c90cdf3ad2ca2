package slot

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
)

// Action is an instruction from the table to the agent: Run, StopRun, Reply or Offer.
type Action interface {
	isAction()
}

// Run instructs the agent to run a task or call on the backend server.
type Run struct {
	Key lavendercourse.TaskKey
	// Call is set for a call, which uses a connection but no slot.
	Call bool
	// Kind is the kind of work that the start names. It is passed on to the backend server.
	Kind    string
	Payload []byte
	// Trace is the W3C traceparent of the span that sent the start.
	Trace string
}

// StopRun instructs the agent to stop a running task or call.
type StopRun struct {
	Key lavendercourse.TaskKey
}

// Reply instructs the agent to send a done message to an entry.
type Reply struct {
	Entry string
	Done  message.Done
}

// Offer instructs the agent to send its load to an entry that has waiting tasks and may not know of a free slot.
type Offer struct {
	Entry string
}

func (Run) isAction()     {}
func (StopRun) isAction() {}
func (Reply) isAction()   {}
func (Offer) isAction()   {}
