package slot

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
)

// Action is something that the table asks the agent to do: Run, Halt, Reply or Offer.
type Action interface {
	isAction()
}

// Run asks to run a task or call on the backend server.
type Run struct {
	Key     lavendercourse.TaskKey
	Call    bool
	Kind    string
	Payload []byte
	Trace   string
}

// Halt asks to stop a running task.
type Halt struct {
	Key lavendercourse.TaskKey
}

// Reply asks to send a done message to an entry.
type Reply struct {
	Entry string
	Done  message.Done
}

// Offer asks to send the load to an entry, which has tasks waiting and may not know of a free slot.
type Offer struct {
	Entry string
}

func (Run) isAction()   {}
func (Halt) isAction()  {}
func (Reply) isAction() {}
func (Offer) isAction() {}
