// Package settings reads the INI files of the daemons.
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
	"github.com/lavendercourse/lavendercourse/slot"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// ErrSettings is returned for a file that cannot be used.
var ErrSettings = eris.New("settings cannot be used")

// Settings holds all settings of a process. Times are in ms.
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

// Place says where the process runs.
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
	// Memory of the worker in MB, and its processor cores. 0 means not known.
	Memory int
	Cores  int
	// Metrics is the address that serves metrics, or empty.
	Metrics string
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Name    string
	Callers string
	Ready   string
	Links   string
	// Advertise is where others reach Links; empty means there.
	Advertise string
	// Metrics is the address that serves metrics, or empty.
	Metrics string
	Seeds   []string
	// Jobs is the number of jobs that may be unfinished at once.
	Jobs int
}

// Runner holds the settings of a runner.
type Runner struct {
	Name    string
	Worker  string
	Reports string
	// Metrics is the address that serves metrics, or empty.
	Metrics string
	Seeds   []string
	Timeout clock.Millis
}

// Store holds the settings of the platform's store.
type Store struct {
	Address string
	Timeout clock.Millis
}

// Process holds the limits of the process.
type Process struct {
	// Memory is what the process may use, in MB. 0 means not known.
	Memory int
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
	// Budget is the number of lines of one event in a second, for gateways and runners.
	Budget int
}

// Trace holds the settings of traces.
type Trace struct {
	Exporter string
	// Endpoint is the host and port of an OTLP/HTTP collector.
	Endpoint string
	// Share is the share of traces begun here that are recorded, in percent.
	Share int
}

const (
	// DefaultWorkerTimeout bounds a call to the worker of the same VM, which answers within a few ms. A call without an
	// answer is repeated.
	DefaultWorkerTimeout = 60 * clock.Millis(1)
	// DefaultStoreTimeout leaves time for a store whose answers take fifty times the usual 4 ms.
	DefaultStoreTimeout = 1500 * clock.Millis(1)
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

// Default returns the settings that a file may override.
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
			Lease: slot.DefaultLease, Retention: slot.DefaultRetention, ResultRetention: slot.DefaultResultRetention, MaxResultBytes: slot.DefaultMaxResultBytes,
		},
		Gateway: Gateway{Jobs: queue.DefaultMaxJobs},
		Runner:  Runner{Timeout: DefaultWorkerTimeout},
		Store:   Store{Timeout: DefaultStoreTimeout},
		Log:     Log{Level: "info", Budget: event.DefaultBudget},
		Trace:   Trace{Exporter: telemetry.ExportNone, Endpoint: "127.0.0.1:4318", Share: 1},
	}
}
