package slot

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
)

// Action is something that the table asks the agent to do: Run, Halt or Reply.
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

func (Run) isAction()   {}
func (Halt) isAction()  {}
func (Reply) isAction() {}
