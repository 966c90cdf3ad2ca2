// Package event is the catalogue of numbered log events. The same list is in docs/events.md.
package event

import "github.com/rs/zerolog"

// Event is one kind of log line.
type Event struct {
	number int
	level  zerolog.Level
	text   string
}

// Number returns the number of the event, which never changes its meaning.
func (e Event) Number() int { return e.number }

// Level returns the level at which the event is logged.
func (e Event) Level() zerolog.Level { return e.level }

// Text returns the message of the event.
func (e Event) Text() string { return e.text }

// On starts a log line for the event. The caller adds fields and calls Send.
func (e Event) On(l zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.level).Int("event", e.number).Str(zerolog.MessageFieldName, e.text)
}

var catalogue []Event

func define(number int, level zerolog.Level, text string) Event {
	e := Event{number: number, level: level, text: text}
	catalogue = append(catalogue, e)
	return e
}

// All returns the catalogue in the order of the numbers.
func All() []Event { return append([]Event(nil), catalogue...) }

// Events of every process.
var (
	Started  = define(100, zerolog.InfoLevel, "process started")
	Stopping = define(101, zerolog.InfoLevel, "process is stopping; no new work is taken")
	Stopped  = define(102, zerolog.InfoLevel, "process stopped")
	Restart  = define(103, zerolog.ErrorLevel, "part of the process failed and was restarted")
)

// Events of links between processes.
var (
	LinkOpened   = define(200, zerolog.InfoLevel, "link opened")
	LinkClosed   = define(201, zerolog.InfoLevel, "link closed")
	LinkRejected = define(202, zerolog.WarnLevel, "link closed because of a message that cannot be read")
)

// Events of jobs and agents in an entry.
var (
	AgentJoined     = define(300, zerolog.InfoLevel, "agent joined")
	AgentLost       = define(301, zerolog.WarnLevel, "agent did not come back; the fate of its tasks is unknown")
	AgentLeaving    = define(302, zerolog.InfoLevel, "agent is leaving")
	JobFailed       = define(310, zerolog.InfoLevel, "job failed")
	LeaseLost       = define(320, zerolog.ErrorLevel, "no majority of the entries answers; all jobs failed and a new incarnation began")
	Parked          = define(321, zerolog.WarnLevel, "configuration cannot be confirmed; no task is started")
	Unparked        = define(322, zerolog.InfoLevel, "configuration is confirmed again")
	OwnerDeclared   = define(323, zerolog.WarnLevel, "owner of a job was declared gone")
	LogUnavailable  = define(330, zerolog.WarnLevel, "platform log cannot be read")
	LogAvailable    = define(331, zerolog.InfoLevel, "platform log can be read again")
	ConfigChanged   = define(340, zerolog.InfoLevel, "configuration changed")
	ConfigPublished = define(341, zerolog.InfoLevel, "configuration change was published")
	ConfigSnapshot  = define(342, zerolog.InfoLevel, "configuration snapshot was appended")
	ConfigAdopted   = define(343, zerolog.InfoLevel, "configuration was taken from a peer")
)

// Events of an agent.
var (
	EntryJoined  = define(400, zerolog.InfoLevel, "linked to entry")
	LeaseStopped = define(410, zerolog.WarnLevel, "task is stopped because its owner does not renew it")
	WorkerDown   = define(420, zerolog.ErrorLevel, "backend server does not answer")
	WorkerUp     = define(421, zerolog.InfoLevel, "backend server answers")
)
