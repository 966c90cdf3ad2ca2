// Package entry is the daemon that callers and operators talk to. It owns jobs and places their tasks on agents.
package entry

import (
	"net"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/member"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// Errors of this package.
var (
	ErrStart = eris.New("entry cannot start")
	// errPeer is returned when another entry did not answer.
	errPeer = eris.New("entry did not answer")
	// errUnsent is returned when a request was not sent to another entry.
	errUnsent = eris.New("request was not sent")
)

// Periods of the entry's own work.
const (
	tickPeriod     = 100 * clock.Millis(1)
	pulsePeriod    = clock.Second
	sweepPeriod    = clock.Second
	logPeriod      = 400 * clock.Millis(1)
	announcePeriod = 10 * clock.Second
	// goneAfter is the time without a link after which the fate of an agent's tasks is unknown. The agent stops them
	// when their lease of 10 s ends.
	goneAfter = 10 * clock.Second
	// publishTimeout bounds the wait of an operator for a change to come into force.
	publishTimeout = 4 * clock.Second
)

// Config holds the settings of an entry.
type Config struct {
	Name   string
	Region string
	Domain string
	// Callers accepts connections of callers and operators.
	Callers net.Listener
	// Links accepts links of agents and other entries.
	Links net.Listener
	// Advertise is the address at which other processes reach Links.
	Advertise string
	// Seeds are addresses of other entries, used until the log or a peer has told more.
	Seeds []string
	Log   lavendercourse.Log
	// Retention is the time in ms for which the log keeps records.
	Retention clock.Millis
	Policy    lavendercourse.Policy
	Jobs      job.Config
	Queue     admission.Config
	Quorum    member.Config
	Clock     lavendercourse.Clock
	Logger    zerolog.Logger
	Counters  *link.Counters
	Dialer    *link.Dialer
	Seed      uint64
	// Tracer may be set to trace requests and tasks.
	Tracer *telemetry.Tracer
}
