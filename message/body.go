package message

import "github.com/lavendercourse/lavendercourse/clock"

// Kind tells which sort of process dialed a link.
type Kind uint8

// The kinds of dialing processes.
const (
	KindAgent Kind = 1
	KindEntry Kind = 2
)

// Peer names an entry and where it accepts links.
type Peer struct {
	Name        string `cbor:"name"`
	Address     string `cbor:"address"`
	Incarnation string `cbor:"incarnation"`
}

// Hello is the first message of the process that dialed.
type Hello struct {
	Kind        Kind   `cbor:"kind"`
	Name        string `cbor:"name"`
	Incarnation string `cbor:"incarnation"`
	Address     string `cbor:"address,omitempty"`
	Region      string `cbor:"region"`
	Domain      string `cbor:"domain"`
	Rack        string `cbor:"rack"`
	Slots       int    `cbor:"slots,omitempty"`
	Connections int    `cbor:"connections,omitempty"`
	Memory      int    `cbor:"memory,omitempty"`
	Cores       int    `cbor:"cores,omitempty"`
}

// Welcome answers a hello.
type Welcome struct {
	Name        string `cbor:"name"`
	Incarnation string `cbor:"incarnation"`
	Peers       []Peer `cbor:"peers"`
}

// Load is what an agent tells with every beat and done, so that no probes are needed. It is sent as an array, since
// heartbeats are most of what processes send to each other while there is little work.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is the time of the message by the agent's clock.
	Stamp clock.Millis
	// Running is the number of slots in use, for all entries.
	Running int
	// Pending is the number of accepted tasks that wait for a slot.
	Pending int
	// Calls is the number of connections in use for calls.
	Calls int
	// Window is the number of unfinished tasks that the receiving entry may have on this agent.
	Window int
}

// Renew answers a beat and renews the leases of the sender's tasks. It is sent as an array like Load.
type Renew struct {
	_ struct{} `cbor:",toarray"`
	// Version is that of the newest change of a failure domain's state which the entry knows.
	Version uint64
	// Backlog is the number of tasks that wait at the entry.
	Backlog int
	// Home asks for a heartbeat every second, since the entry prefers this agent.
	Home bool
	// Now asks for a heartbeat at once, since the entry has work and knows no recent stamp.
	Now bool
	// Incarnation is set when it has changed since the last renew or welcome on this link.
	Incarnation string
	// Peers is set when the list has changed since the last renew or welcome on this link.
	Peers []Peer
}

// Start proposes a task or call.
type Start struct {
	Job     string `cbor:"job"`
	Task    uint32 `cbor:"task"`
	Attempt uint32 `cbor:"attempt"`
	Call    bool   `cbor:"call,omitempty"`
	Kind    string `cbor:"kind"`
	Class   uint8  `cbor:"class"`
	Payload []byte `cbor:"payload"`
	// Stamp is the newest stamp of the agent that the entry had received before it confirmed its configuration.
	Stamp clock.Millis `cbor:"stamp"`
	// Agent is the incarnation of the agent that the start is meant for.
	Agent string `cbor:"agent"`
	// Version is the configuration version under which the entry decided.
	Version uint64 `cbor:"version"`
	Backlog int    `cbor:"backlog,omitempty"`
	// Wait lets the task wait for a slot. It is not set where the entry knows of other free slots.
	Wait bool `cbor:"wait,omitempty"`
	// Declared is the run time in ms that the caller declared.
	Declared clock.Millis `cbor:"declared,omitempty"`
	// Trace is the W3C traceparent of the span that sent the start.
	Trace string `cbor:"trace,omitempty"`
}

// Status tells how a start ended.
type Status uint8

// The ways in which a start ends.
const (
	// StatusDone: the work ran and ended well.
	StatusDone Status = 1
	// StatusFailed: the work started and did not end well.
	StatusFailed Status = 2
	// StatusRefused: this attempt never started and never will.
	StatusRefused Status = 3
	// StatusStopped: the work started and was stopped.
	StatusStopped Status = 4
	// StatusUnknown: the agent cannot tell whether the work started.
	StatusUnknown Status = 5
)

var statusNames = [...]string{"invalid", "done", "failed", "refused", "stopped", "unknown"}

// String returns the name of the status, as used in metrics.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return statusNames[0]
	}
	return statusNames[s]
}

// Done tells the end of a start.
type Done struct {
	Job     string `cbor:"job"`
	Task    uint32 `cbor:"task"`
	Attempt uint32 `cbor:"attempt"`
	Status  Status `cbor:"status"`
	Result  []byte `cbor:"result,omitempty"`
	Error   string `cbor:"error,omitempty"`
	// Run is the run time in ms.
	Run  clock.Millis `cbor:"run,omitempty"`
	Load Load         `cbor:"load"`
	// Version is the configuration version that a refused start should have carried, or 0.
	Version uint64 `cbor:"version,omitempty"`
}

// Task names one attempt of a task in a stop or resume.
type Task struct {
	Job     string `cbor:"job"`
	Task    uint32 `cbor:"task"`
	Attempt uint32 `cbor:"attempt"`
}

// Stop asks an agent to stop tasks, and never to start those that it has not seen.
type Stop struct {
	Tasks []Task `cbor:"tasks"`
}

// Leave announces that an agent takes no more work.
type Leave struct{}

// Resume asks about unfinished tasks after a link was made again.
type Resume struct {
	Tasks []Task `cbor:"tasks"`
}

// Demand is the number of tasks of a team that wait or run at an entry.
type Demand struct {
	Team  string `cbor:"team"`
	Tasks int    `cbor:"tasks"`
}

// Pulse is the heartbeat between entries. It is sent as an array like Load.
type Pulse struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is the time by the sender's clock.
	Stamp   clock.Millis
	Version uint64
	// Incarnation is set when it has changed since the last pulse or hello on this link.
	Incarnation string
	Demand      []Demand
}

// Ack answers a pulse. It is sent as an array like Load.
type Ack struct {
	_       struct{} `cbor:",toarray"`
	Stamp   clock.Millis
	Version uint64
	// Vouched is false if the sender may have forgotten a newer version in a restart.
	Vouched bool
}

// Forward carries a request to the entry that owns its job.
type Forward struct {
	Method  string `cbor:"method"`
	Request []byte `cbor:"request"`
	Trace   string `cbor:"trace,omitempty"`
}

// Reply answers a forward.
type Reply struct {
	Response []byte `cbor:"response,omitempty"`
	Error    string `cbor:"error,omitempty"`
}

// Ask asks when an incarnation was last heard.
type Ask struct {
	Incarnation string `cbor:"incarnation"`
}

// Heard answers an ask.
type Heard struct {
	Incarnation string `cbor:"incarnation"`
	// Known is false if the incarnation was never heard.
	Known bool `cbor:"known"`
	// Age is the time in ms since the incarnation was last heard.
	Age clock.Millis `cbor:"age"`
	// Up is the time in ms since the answering process started.
	Up clock.Millis `cbor:"up"`
}

// Fetch asks for the configuration.
type Fetch struct{}

// Setting is one configuration key with its value and version.
type Setting struct {
	Key     string `cbor:"key"`
	Value   string `cbor:"value"`
	Version uint64 `cbor:"version"`
}

// State answers a fetch.
type State struct {
	Version  uint64    `cbor:"version"`
	Offset   uint64    `cbor:"offset"`
	Settings []Setting `cbor:"settings"`
}
