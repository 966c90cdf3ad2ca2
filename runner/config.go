// Package runner is the daemon that runs beside a worker of the platform. It is the only process that starts and stops
// runs on that worker, as ordered by the gateways that it has links with.
package runner

import (
	"net"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/intake"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/room"
	"github.com/lavendercourse/lavendercourse/route"
)

// ErrStart is returned when a runner cannot start because its configuration is incomplete.
var ErrStart = eris.New("runner cannot start")

const (
	// tickPeriod, in ms, is the time between two checks for expired leases, time-outs and due reports.
	tickPeriod = 25 * clock.Millis(1)
	// dialPeriod, in ms, is the time between two checks for gateways to dial.
	dialPeriod = 50 * clock.Millis(1)
	// reportPeriod, in ms, is the time between two load reports on a link. Two periods fit into the time for which a
	// gateway considers a report current, and into the lease of the gateway's runs.
	reportPeriod = 300 * clock.Millis(1)
	// minOfferInterval, in ms, is the minimum time between a message with a load report and the next offer of free
	// capacity to the same backlogged gateway.
	minOfferInterval = 15 * clock.Millis(1)
	// linkSilenceTimeout, in ms, is the time without an incoming frame after which a link is closed. By then the answers
	// to five reports are missing.
	linkSilenceTimeout = 1500 * clock.Millis(1)
	// lookupPeriod, in ms, is the time between two reads of the list of gateways while there is no link. It is also the
	// pause before a failed write of the worker record is repeated.
	lookupPeriod = clock.Second
	// firstLookupDelay, in ms, is the time from the start of the runner to its first read of the list of gateways, if no seed has
	// accepted a connection by then. After a loss of power the seeds may be the last gateways to come back.
	firstLookupDelay = 100 * clock.Millis(1)
	// drainReadPeriod, in ms, is the time between two reads of the configuration stream while no gateway reads it. A gateway
	// notices within 2.5 s that the store does not answer, and tells it with its next report answer; operators allow 5 s until
	// nothing starts in a drained failure domain.
	drainReadPeriod = clock.Second
	// recordRefreshPeriod, in ms, is the time after which an unchanged record of the worker is written again. A successor does
	// not use a record whose report is much older than the time between two heartbeats.
	recordRefreshPeriod = 2500 * clock.Millis(1)
	// retryPause, in ms, is the pause after a failed or refused renewal of the worker's lease, and after a failed read of
	// the worker record.
	retryPause = 50 * clock.Millis(1)
	// maxCrashes is the number of crashes of the worker that a gateway is told of when it links up. A worker is away for
	// some seconds after each, and callers repeat a submission within seconds.
	maxCrashes = 8
	// shutdownTimeout, in ms, is how long a stopping runner waits for its runs to end. The platform kills the process 6 s
	// after the signal to stop.
	shutdownTimeout = 5200 * clock.Millis(1)
	// flushDelay, in ms, is the time for the last messages to be sent before the links are closed.
	flushDelay = 100 * clock.Millis(1)
)

// DefaultMaxLinks is the default of Config.MaxLinks. It is fixed so that the number of links does not grow with the
// fleet.
const DefaultMaxLinks = 16

// Config holds the settings of a runner.
type Config struct {
	Name   string
	Domain string
	Seeds  []string
	// MaxLinks is the maximum number of gateways that the runner keeps links with; 0 selects the default. It is exceeded
	// for a short time when a gateway is back and its link replaces that of another gateway.
	MaxLinks int
	Worker   lavendercourse.TaskWorker
	// Reports accepts connections on which the worker sends its heartbeats. Register adds the handlers of these calls.
	Reports  net.Listener
	Register func(r *mux.Router, sink lavendercourse.WorkerSink)
	// Metrics accepts the connections of metrics scrapers. It may be nil.
	Metrics net.Listener
	Store   lavendercourse.Store
	// ConfigStream is the keyed stream of published configuration, and Decode decodes its records.
	ConfigStream string
	Decode       route.Decoder
	// GatewayStream is the keyed stream with the gateways' addresses.
	GatewayStream string
	// WorkerStream is the keyed stream in which each runner stores the last report of its worker.
	WorkerStream string
	Room         room.Config
	// Limits bound what unfinished requests may use. If they are zero, those of a large machine apply.
	Limits intake.Limits
	Clock  lavendercourse.Clock
	Logger zerolog.Logger
	// LogBudget is the maximum number of log lines per event in one second; 0 selects the default.
	LogBudget int
	// DroppedLogLines returns the number of log lines that were dropped because the reader of the output is stalled. It
	// may be nil.
	DroppedLogLines func() uint64
	Counters        *link.Counters
}
