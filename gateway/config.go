// Package gateway implements the daemon that runs on each entry VM of the platform. It accepts jobs from callers,
// orders their runs from the runners that are linked to it, and answers the callers when the jobs have ended.
package gateway

import (
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/intake"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/queue"
	"github.com/lavendercourse/lavendercourse/route"
)

// ErrStart is returned by New when a required setting is missing.
var ErrStart = eris.New("gateway cannot start")

const (
	// tickPeriod is the time in ms between two checks for runs that have expired and jobs that cannot end in time.
	tickPeriod = 20 * clock.Millis(1)
	// dialPeriod is the time in ms between two checks for gateways to dial.
	dialPeriod = 50 * clock.Millis(1)
	// digestPeriod is the time in ms between two digests on a link between gateways.
	digestPeriod = 500 * clock.Millis(1)
	// peerLinkTimeout is the time in ms without a frame after which a link between gateways is closed: three digests
	// are missing then.
	peerLinkTimeout = 1800 * clock.Millis(1)
	// runnerLinkTimeout is the time in ms without a frame after which a link to a runner is closed: six reports are
	// missing then.
	runnerLinkTimeout = 1800 * clock.Millis(1)
	// pullDelay is the time in ms that the store gets to deliver a record before the gateway requests it from a peer.
	pullDelay = 250 * clock.Millis(1)
	// longPollTimeout is the time in ms for which a read of the store waits for a new record. With the time limit of a call,
	// 1.5 s, it is the time after which a gateway notices that its connection is silent. Operators allow 3 s until the
	// newest configuration is in force after that.
	longPollTimeout = clock.Second
	// maxCancelsPerFrame bounds the size of a frame of cancelled jobs to about 100 KB, and to 1.1 MB with the longest names.
	maxCancelsPerFrame = 1000
	// maxCancelLoad is the time in ms after its start until which a gateway waits for the cancels in the store. It is one call's time
	// limit; the store is impaired if it takes longer.
	maxCancelLoad = 1500 * clock.Millis(1)
	// maxLoadedCancels is the number of cancels that a gateway that starts takes over, the newest ones: a quarter of those that a
	// scheduler keeps. Records do not tell their age, and old ones are not to push out new ones.
	maxLoadedCancels = 16384
	// cancelReadPause is the time in ms between two reads of the store while cancels are recorded. It bounds the number of reads, and
	// links are faster anyway.
	cancelReadPause = 200 * clock.Millis(1)
	// storeRetryInterval is the time in ms between two reads of a store that does not answer.
	storeRetryInterval = 400 * clock.Millis(1)
	// announceRetryInterval is the time in ms between two attempts to write this gateway's address to the store, or
	// to read the addresses of the others.
	announceRetryInterval = clock.Second
	// rosterReadPeriod is the time in ms between two reads of the gateway addresses in the store.
	rosterReadPeriod = 30 * clock.Second
	// shutdownDelay is the time in ms after the stop signal during which new jobs are still accepted: the platform's
	// load balancer needs two health checks of 1 s each to notice that the gateway is not ready.
	shutdownDelay = 2300 * clock.Millis(1)
	// stopTimeout is the time in ms after the stop signal at which unfinished jobs are interrupted. The platform
	// kills the process after 6 s.
	stopTimeout = 5400 * clock.Millis(1)
	// answerTimeout is the time in ms that the last answers get to reach their callers.
	answerTimeout = 200 * clock.Millis(1)
	// idleTimeout is the time in ms without a request after which a caller's connection is closed.
	idleTimeout = 15 * clock.Second
)

// Config holds the settings of a gateway.
type Config struct {
	Name   string
	Domain string
	// Callers accepts connections of callers, Ready the health checks of the load balancer, and Links connections of
	// runners and other gateways.
	Callers net.Listener
	Ready   net.Listener
	Links   net.Listener
	// Metrics accepts connections that read the metrics. It may be nil; the metrics are not served then.
	Metrics net.Listener
	// Advertise is the address at which runners and other gateways reach Links.
	Advertise string
	// Seeds are the addresses of gateways to dial as long as no gateway with that address is known by name.
	Seeds []string
	Store lavendercourse.Store
	// ConfigStream is the name of the store's stream of published configuration, GatewayStream that of the stream of
	// gateway addresses.
	ConfigStream  string
	GatewayStream string
	// CancelStream is the name of the stream of cancelled jobs, a plain one.
	CancelStream string
	// Decode decodes the records of ConfigStream.
	Decode route.Decoder
	// Serve returns the HTTP handler of callers' requests, which reads the header lines that Headers lists in canonical form.
	Headers []string
	Serve   func(service lavendercourse.JobService) http.Handler
	Queue   queue.Config
	// Limits bound what unfinished requests may use. If they are zero, those of a large machine apply.
	Limits intake.Limits
	Clock  lavendercourse.Clock
	Logger zerolog.Logger
	// LogBudget is the maximum number of log lines per event in one second; 0 selects event.DefaultBudget.
	LogBudget int
	// DroppedLogLines returns the number of log lines that were dropped because their reader blocks. It may be nil.
	DroppedLogLines func() uint64
	// Counters counts the frames on links. If it is nil, New creates one.
	Counters *link.Counters
}
