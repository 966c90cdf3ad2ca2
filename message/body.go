package message

import "github.com/lavendercourse/lavendercourse/clock"

// Kind is the kind of process that dialed a link.
type Kind uint8

// The kinds of dialing processes.
const (
	// KindAgent is an agent or a runner.
	KindAgent Kind = 1
	// KindEntry is an entry or a gateway.
	KindEntry Kind = 2
)

// Peer is an entry or gateway with the address, host:port, where it accepts links.
type Peer struct {
	Name        string `cbor:"name"`
	Address     string `cbor:"address"`
	Incarnation string `cbor:"incarnation"`
}

// Hello is the first message of the process that dialed. An agent sends it again on the same link when its backend
// server is up again.
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
	// Memory is the memory of the worker in MB, and Cores the number of its processor cores. 0 means unknown.
	Memory int `cbor:"memory,omitempty"`
	Cores  int `cbor:"cores,omitempty"`
}

// Welcome answers a hello.
type Welcome struct {
	Name        string `cbor:"name"`
	Incarnation string `cbor:"incarnation"`
	Peers       []Peer `cbor:"peers"`
	// Domain is the failure domain of a gateway.
	Domain string `cbor:"domain,omitempty"`
}

// Load is the load of an agent. Every heartbeat, offer and done message carries it, so that entries need not probe
// agents. It is sent as an array to keep heartbeats small, since they are most of the traffic while there is little
// work.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is the time when the message was sent, by the agent's clock, in ms.
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

// Renew answers a heartbeat and renews the leases of the sender's tasks. It is sent as an array like Load.
type Renew struct {
	_ struct{} `cbor:",toarray"`
	// Version is the configuration version of the newest change to the state of a failure domain that the entry has
	// read.
	Version uint64
	// Backlog is the number of tasks that wait at the entry.
	Backlog int
	// Home tells that the entry is the home of the agent. The agent then sends it a heartbeat every second.
	Home bool
	// RequestHeartbeat requests a heartbeat at once, since the entry has waiting tasks and no recent stamp.
	RequestHeartbeat bool
	// Incarnation is set when it has changed since the last renew or welcome on this link.
	Incarnation string
	// Peers is set when the list has changed since the last renew or welcome on this link.
	Peers []Peer
}

// Start asks an agent to run a task or call. The agent may refuse.
type Start struct {
	Job     string `cbor:"job"`
	Task    uint32 `cbor:"task"`
	Attempt uint32 `cbor:"attempt"`
	Call    bool   `cbor:"call,omitempty"`
	Kind    string `cbor:"kind"`
	Class   uint8  `cbor:"class"`
	Payload []byte `cbor:"payload"`
	// Stamp is the newest stamp of the agent that the entry had received before it last confirmed its configuration.
	Stamp clock.Millis `cbor:"stamp"`
	// Agent is the incarnation of the agent that the start is meant for.
	Agent string `cbor:"agent"`
	// Version is the configuration version that the entry used to choose the agent.
	Version uint64 `cbor:"version"`
	// Backlog is the number of tasks that wait at the entry.
	Backlog int `cbor:"backlog,omitempty"`
	// Wait allows the task to wait for a slot. It is not set if the entry knows of free slots on other agents.
	Wait bool `cbor:"wait,omitempty"`
	// Declared is the run time in ms that the caller declared.
	Declared clock.Millis `cbor:"declared,omitempty"`
	// Trace is the W3C traceparent of the span that sent the start.
	Trace string `cbor:"trace,omitempty"`
}

// Status is the outcome of a start.
type Status uint8

// The outcomes of a start. Their numbers are part of the protocol.
const (
	// StatusDone: the task or call ran and succeeded.
	StatusDone Status = 1
	// StatusFailed: the task or call started and failed.
	StatusFailed Status = 2
	// StatusRefused: this attempt never started and never will.
	StatusRefused Status = 3
	// StatusStopped: the task or call started and was stopped.
	StatusStopped Status = 4
	// StatusUnknown: the agent does not know whether the task or call started.
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

// Done reports the outcome of a start.
type Done struct {
	Job     string `cbor:"job"`
	Task    uint32 `cbor:"task"`
	Attempt uint32 `cbor:"attempt"`
	Status  Status `cbor:"status"`
	Result  []byte `cbor:"result,omitempty"`
	Error   string `cbor:"error,omitempty"`
	// RunTime is the run time in ms.
	RunTime clock.Millis `cbor:"run,omitempty"`
	Load    Load         `cbor:"load"`
	// Version is the minimum configuration version that the agent requires, if the start was refused for an older one;
	// else 0.
	Version uint64 `cbor:"version,omitempty"`
}

// Task identifies one attempt of a task or call in a stop or resume.
type Task struct {
	Job     string `cbor:"job"`
	Task    uint32 `cbor:"task"`
	Attempt uint32 `cbor:"attempt"`
}

// Stop asks an agent to stop tasks. The agent refuses later starts of those that it has not received yet.
type Stop struct {
	Tasks []Task `cbor:"tasks"`
}

// Leave announces that an agent accepts no more starts, or an entry no more forwarded requests. An entry answers the leave
// of another entry with a reply.
type Leave struct{}

// Resume asks for the outcomes of unfinished tasks after an agent has reconnected.
type Resume struct {
	Tasks []Task `cbor:"tasks"`
}

// Demand is the number of waiting and running tasks of a team at an entry.
type Demand struct {
	Team  string `cbor:"team"`
	Tasks int    `cbor:"tasks"`
}

// Pulse is the heartbeat between entries. It is sent as an array like Load.
type Pulse struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is the time when the message was sent, by the sender's clock, in ms.
	Stamp clock.Millis
	// Version is the configuration version of the sender.
	Version uint64
	// Incarnation is set when it has changed since the last pulse or hello on this link.
	Incarnation string
	// Demand holds the teams that have a quota and waiting or running tasks.
	Demand []Demand
}

// Ack answers a pulse. It is sent as an array like Load.
type Ack struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is copied from the pulse.
	Stamp clock.Millis
	// Version is the configuration version of the sender.
	Version uint64
	// ConfigConfirmed tells whether Version is confirmed. It is false if the sender may have known a newer version before
	// a restart.
	ConfigConfirmed bool
}

// Forward carries a request to the entry that owns the job of the request.
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

// Ask asks an entry when it last had contact with an incarnation.
type Ask struct {
	Incarnation string `cbor:"incarnation"`
}

// Heard answers an ask.
type Heard struct {
	Incarnation string `cbor:"incarnation"`
	// Known is false if there was never a contact.
	Known bool `cbor:"known"`
	// Age is the time in ms since the last contact.
	Age clock.Millis `cbor:"age"`
	// Uptime is the time in ms since the answering process started.
	Uptime clock.Millis `cbor:"up"`
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
	Version uint64 `cbor:"version"`
	// Offset is the offset of the last record of the configuration log that is included.
	Offset   uint64    `cbor:"offset"`
	Settings []Setting `cbor:"settings"`
}
