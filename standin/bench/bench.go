// Package bench measures the whole path from callers to backend servers: in one process on loopback it runs the
// stand-in platform, entries, agents and stand-in workers, with the latencies of a chosen network injected at the
// connections.
package bench

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lavendercourse/lavendercourse/placement"
)

// Errors of this package.
var (
	// ErrConfig is returned for settings that cannot be run.
	ErrConfig = eris.New("bench cannot be run with these settings")
	// ErrSystem is returned when the system under test did not start or an operator action on it failed.
	ErrSystem = eris.New("system under test did not come up")
)

// preset describes one network: its failure domains, latencies and workers.
type preset struct {
	regions []string
	domains []string
	// links is the one-way latency between failure domains, and callers that between callers and entries.
	links   time.Duration
	callers time.Duration
	// memory is that of each worker in MB.
	memory int
	cores  int
}

var presets = map[string]preset{
	"akwaaba": {
		regions: []string{"accra", "accra", "kumasi", "kumasi"},
		domains: []string{"accra-1", "accra-2", "kumasi-1", "kumasi-2"},
		links:   500 * time.Microsecond, callers: 3 * time.Millisecond, memory: 64 << 10, cores: 32,
	},
	"ishikari": {
		regions: []string{"hokkaido", "hokkaido", "hokkaido", "hokkaido"},
		domains: []string{"sapporo", "asahikawa", "obihiro", "kushiro"},
		links:   time.Millisecond, callers: time.Millisecond, memory: 256 << 10, cores: 64,
	},
}

// Presets are the names of the presets.
var Presets = []string{"akwaaba", "ishikari"}

// Balances are the ways in which callers reach entries: each connection goes to the next entry, as behind a balancer of
// TCP connections, or each job or call stays with one entry.
var Balances = []string{"connection", "pinned"}

const (
	rackSize = 3
	// outageStart is the share of the run after which a failure domain goes out of service.
	outageStart    = 0.25
	outageDuration = 5 * time.Second
	// recoveryWindow is the time after the return of a failure domain for which its work is still measured.
	recoveryWindow = 5 * time.Second
	// lagPercent is the run time of tasks on lagging workers, in percent of the normal run time.
	lagPercent = 300
)

// Config selects one run. All fields must be set, see Default.
type Config struct {
	Preset string `json:"preset"`
	// Load is the offered work in percent of the capacity of all slots.
	Load int `json:"load"`
	// Seconds is the time for which work arrives.
	Seconds int    `json:"seconds"`
	Seed    uint64 `json:"seed"`
	Shape   string `json:"shape"`
	Policy  string `json:"policy"`
	Entries int    `json:"entries"`
	Balance string `json:"balance"`
	// Calls is the share of calls among the arrivals, 0 to 1.
	Calls       float64 `json:"calls"`
	Workers     int     `json:"workers"`
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
}

// Default returns a run of about 20 s at 80 % load.
func Default() Config {
	return Config{
		Preset: Presets[0], Load: 80, Seconds: 20, Seed: 1, Shape: Shapes[0], Policy: placement.PolicyNames[0],
		Entries: 3, Balance: Balances[0], Calls: 0.2, Workers: 11, Slots: 8, Connections: 64,
	}
}

func (c Config) check() error {
	switch {
	case !slices.Contains(Presets, c.Preset):
		return eris.Wrapf(ErrConfig, "preset %q is not one of %v", c.Preset, Presets)
	case !slices.Contains(Shapes, c.Shape):
		return eris.Wrapf(ErrConfig, "shape %q is not one of %v", c.Shape, Shapes)
	case !slices.Contains(Balances, c.Balance):
		return eris.Wrapf(ErrConfig, "balance %q is not one of %v", c.Balance, Balances)
	case c.Load < 1 || c.Seconds < 1 || c.Entries < 1 || c.Workers < 1 || c.Slots < 1 || c.Connections < 1:
		return eris.Wrap(ErrConfig, "load, seconds, entries, workers, slots and connections must be at least 1")
	case c.Calls < 0 || c.Calls > 1:
		return eris.Wrapf(ErrConfig, "share of calls %v is not between 0 and 1", c.Calls)
	case c.outage() && c.Seconds < 20:
		return eris.Wrap(ErrConfig, "a run in which a failure domain leaves takes at least 20 s")
	}
	return nil
}

// outage reports whether a failure domain goes out of service and returns during the run.
func (c Config) outage() bool { return c.Shape == "drain" || c.Shape == "kill" }
