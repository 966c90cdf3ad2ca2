// Package settings reads the INI files of the daemons.
package settings

import (
	"github.com/rotisserie/eris"

	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/logservice"
	"github.com/lavendercourse/lavendercourse/member"
	"github.com/lavendercourse/lavendercourse/placement"
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
}

// Trace holds the settings of traces.
type Trace struct {
	Exporter string
	// Endpoint is the host and port of an OTLP/HTTP collector.
	Endpoint string
	// Share is the share of traces begun here that are recorded, in percent.
	Share int
}

// Default returns the settings that a file may override.
func Default() Settings {
	return Settings{
		Entry:    Entry{Callers: "127.0.0.1:7100", Links: "127.0.0.1:7101", Policy: placement.PolicyNames[0]},
		Agent:    Agent{Worker: "127.0.0.1:7200"},
		Platform: Platform{Address: "127.0.0.1:7000", Timeout: logservice.DefaultTimeout, Retention: 60 * clock.Minute},
		Limits: Limits{
			Queue: admission.Config{Queue: admission.DefaultQueue, Age: admission.DefaultAge},
			Jobs: job.Config{
				Reserve: job.DefaultReserve, Lifetime: job.DefaultLifetime, Keep: job.DefaultKeep,
				Bytes: job.DefaultBytes, Blocks: job.DefaultBlocks,
			},
		},
		Member: member.Config{Lease: member.DefaultLease, Gone: member.DefaultGone, Fresh: member.DefaultFresh},
		Slot: slot.Config{
			Slots: slot.DefaultSlots, Connections: slot.DefaultConnections, Validity: slot.DefaultValidity,
			Lease: slot.DefaultLease, Memory: slot.DefaultMemory, Keep: slot.DefaultKeep, KeepBytes: slot.DefaultKeepBytes,
		},
		Log:   Log{Level: "info"},
		Trace: Trace{Exporter: telemetry.ExportNone, Endpoint: "127.0.0.1:4318", Share: 1},
	}
}
