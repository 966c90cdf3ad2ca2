// Package settings reads and checks the INI files of the daemons, and generates the reference page of their keys.
package settings

import (
	"github.com/rotisserie/eris"

	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/logservice"
	"github.com/lavendercourse/lavendercourse/member"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/queue"
	"github.com/lavendercourse/lavendercourse/runner"
	"github.com/lavendercourse/lavendercourse/slot"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// ErrSettings is returned for a settings file that has problems.
var ErrSettings = eris.New("settings cannot be used")

// Settings holds all settings of a process. Its fields are named after the sections of the file. Times are in ms.
type Settings struct {
	Place    Place
	Entry    Entry
	Agent    Agent
	Gateway  Gateway
	Runner   Runner
	Store    Store
	Process  Process
	Platform Platform
	Limits   Limits
	Member   member.Config
	Slot     slot.Config
	Log      Log
	Trace    Trace
}

// Place is the location of the process.
type Place struct {
	Region string
	Domain string
	Rack   string
}

// Entry holds the settings of an entry.
type Entry struct {
	Name      string
	Callers   string
	Links     string
	Advertise string
	Seeds     []string
	Policy    string
}

// Agent holds the settings of an agent.
type Agent struct {
	Name    string
	Entries []string
	Worker  string
	// Memory is the memory of the worker in MB. 0 means unknown.
	Memory int
	// Cores is the number of processor cores of the worker. 0 means unknown.
	Cores int
	// Metrics is the listening address for metrics. Empty means none.
	Metrics string
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Name    string
	Callers string
	// Ready is the listening address of the readiness check for the load balancer.
	Ready string
	Links string
	// Advertise is the address at which other processes reach Links. Empty selects the value of Links.
	Advertise string
	// Metrics is the listening address for metrics. Empty means none.
	Metrics string
	Seeds   []string
	// Jobs is the maximum number of unfinished jobs.
	Jobs int
	// Prefer is "on" if the gateways of a failure domain divide its runners among them.
	Prefer string
	// Late is what becomes of a job that cannot end in time any more while others wait: LateWait or LateRefuse.
	Late string
	// Neighbours is on if tasks that slow each other down are kept apart.
	Neighbours string
}

// Runner holds the settings of a runner.
type Runner struct {
	Name   string
	Worker string
	// Reports is the listening address for the heartbeats of the worker.
	Reports string
	// Metrics is the listening address for metrics. Empty means none.
	Metrics string
	Seeds   []string
	// Timeout bounds each call to the worker.
	Timeout clock.Millis
	// Links is the maximum number of gateways to keep links with.
	Links int
	// Neighbours is on if it is measured which tasks slow each other down.
	Neighbours string
}

// Store holds the settings of the platform's store.
type Store struct {
	Address string
	Timeout clock.Millis
}

// Process holds the limits of the process.
type Process struct {
	// Memory is the memory that the process may use, in MB. 0 means unknown.
	Memory int
	// Files is the number of descriptors that the process may have open. 0 means the limit that it was started with.
	Files int
}

// Platform holds the settings of the platform's log service.
type Platform struct {
	Address   string
	Timeout   clock.Millis
	Retention clock.Millis
}

// Limits holds the limits of the jobs of an entry.
type Limits struct {
	Queue admission.Config
	Jobs  job.Config
}

// Log holds the settings of the log lines.
type Log struct {
	Level string
	// Budget is the maximum number of lines per event in one second, for gateways and runners.
	Budget int
}

// Trace holds the settings of traces.
type Trace struct {
	Exporter string
	// Endpoint is the address of an OTLP/HTTP collector.
	Endpoint string
	// Share is the sampling ratio of the traces that start in this process, in percent.
	Share int
}

const (
	// DefaultWorkerTimeout is the default timeout of a call to the worker. The worker runs on the same VM and answers
	// within a few ms. A call without an answer is repeated.
	DefaultWorkerTimeout = 60 * clock.Millis(1)
	// DefaultStoreTimeout is the default timeout of a call to the store. It leaves time for a store whose answers take
	// fifty times the usual 4 ms.
	DefaultStoreTimeout = 1500 * clock.Millis(1)
)

// Values of keys that switch a feature.
const (
	Off = "off"
	On  = "on"
)

// NodeName returns the name of the process in the given role.
func (s Settings) NodeName(role Role) string {
	switch role {
	case RoleEntry:
		return s.Entry.Name
	case RoleAgent:
		return s.Agent.Name
	case RoleGateway:
		return s.Gateway.Name
	case RoleRunner:
		return s.Runner.Name
	}
	return ""
}

// Default returns the settings that apply where a file sets no value.
func Default() Settings {
	return Settings{
		Entry:    Entry{Callers: "127.0.0.1:7100", Links: "127.0.0.1:7101", Policy: placement.PolicyNames[0]},
		Agent:    Agent{Worker: "127.0.0.1:7200"},
		Platform: Platform{Address: "127.0.0.1:7000", Timeout: logservice.DefaultTimeout, Retention: 60 * clock.Minute},
		Limits: Limits{
			Queue: admission.Config{MaxWaiting: admission.DefaultMaxWaiting, PromotionAge: admission.DefaultPromotionAge},
			Jobs: job.Config{
				ReservationTimeout: job.DefaultReservationTimeout, Lifetime: job.DefaultLifetime, Retention: job.DefaultRetention,
				MaxResultBytes: job.DefaultMaxResultBytes, MaxBlocks: job.DefaultMaxBlocks,
			},
		},
		Member: member.Config{Lease: member.DefaultLease, GoneAfter: member.DefaultGoneAfter, ConfirmationTTL: member.DefaultConfirmationTTL},
		Slot: slot.Config{
			Slots: slot.DefaultSlots, Connections: slot.DefaultConnections, StampValidity: slot.DefaultStampValidity,
			Lease: slot.DefaultLease, RecordRetention: slot.DefaultRecordRetention, ResultRetention: slot.DefaultResultRetention, MaxResultBytes: slot.DefaultMaxResultBytes,
		},
		Gateway: Gateway{Jobs: queue.DefaultMaxJobs, Prefer: Off, Late: LateWait, Neighbours: Off},
		Runner:  Runner{Timeout: DefaultWorkerTimeout, Links: runner.DefaultMaxLinks, Neighbours: Off},
		Store:   Store{Timeout: DefaultStoreTimeout},
		Log:     Log{Level: "info", Budget: event.DefaultBudget},
		Trace:   Trace{Exporter: telemetry.ExportNone, Endpoint: "127.0.0.1:4318", Share: 1},
	}
}
