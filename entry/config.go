// Package entry implements the entry daemon, which serves callers and operators. An entry owns the jobs submitted to it
// and assigns their tasks to agents.
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
	// errPeerNoAnswer is returned when another entry did not answer a request.
	errPeerNoAnswer = eris.New("entry did not answer")
	// errNotSent is returned when a request could not be sent to another entry.
	errNotSent = eris.New("request was not sent")
)

// Intervals and time-outs, in ms.
const (
	tickPeriod     = 100 * clock.Millis(1)
	pulsePeriod    = clock.Second
	sweepPeriod    = clock.Second
	logReadPeriod  = 400 * clock.Millis(1)
	announcePeriod = 10 * clock.Second
	// agentLostAfter is the time without a link after which an agent counts as lost and the outcome of its tasks as
	// unknown. The agent itself stops the tasks when their lease of 10 s expires.
	agentLostAfter = 10 * clock.Second
	// publishTimeout limits how long an operator waits for a configuration change to take effect.
	publishTimeout = 4 * clock.Second
)

// Config holds the settings of an entry.
type Config struct {
	Name   string
	Region string
	Domain string
	// CallerListener accepts connections from callers and operators.
	CallerListener net.Listener
	// LinkListener accepts links from agents and other entries.
	LinkListener net.Listener
	// Advertise is the address at which other processes reach LinkListener.
	Advertise string
	// SeedAddresses are addresses of other entries, dialed as long as neither the log nor a peer has named another entry.
	SeedAddresses []string
	Log           lavendercourse.Log
	// Retention is the time in ms for which the log keeps records. Zero selects 60 minutes.
	Retention  clock.Millis
	Policy     lavendercourse.Policy
	Jobs       job.Config
	Queue      admission.Config
	Quorum     member.Config
	Clock      lavendercourse.Clock
	Logger     zerolog.Logger
	Counters   *link.Counters
	Dialer     *link.Dialer
	RandomSeed uint64
	// Tracer traces requests and tasks. It is optional.
	Tracer *telemetry.Tracer
}
