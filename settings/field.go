package settings

import (
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// Role is the daemon that a file is read for.
type Role string

// The roles. RoleAny checks a file for the daemons that it has sections of.
const (
	RoleAny   Role = ""
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	// RoleGateway and RoleRunner are the daemons on the users' platform.
	RoleGateway Role = "gateway"
	RoleRunner  Role = "runner"
)

// daemons lists the roles that have a section of their own.
var daemons = []Role{RoleEntry, RoleAgent, RoleGateway, RoleRunner}

// field is one key of the file.
type field struct {
	section string
	key     string
	value   value
	unit    string
	meaning string
	// needs lists the roles that must have a value.
	needs []Role
}

// fields lists every key in the order of the reference page, bound to s. The bounds are such that no choice of values
// breaks a promise of the design page: a start is valid for at most 3 s, the quorum lease ends at least 5 s before an
// incarnation counts as gone, an agent remembers a task 30 s longer than any job lives, and a lease of a task ends no
// later than an entry gives up its agent.
func fields(s *Settings) []field {
	all := []Role{RoleEntry, RoleAgent, RoleGateway, RoleRunner}
	gateway, runner, platform := []Role{RoleGateway}, []Role{RoleRunner}, []Role{RoleGateway, RoleRunner}
	entry, agent := []Role{RoleEntry}, []Role{RoleAgent}
	p, e, a, l := &s.Place, &s.Entry, &s.Agent, &s.Limits
	g, r := &s.Gateway, &s.Runner
	return []field{
		{"place", "region", name{&p.Region}, "", "region of the process", all},
		{"place", "domain", name{&p.Domain}, "", "failure domain of the process", all},
		{"place", "rack", name{&p.Rack}, "", "rack of the worker", nil},

		{"entry", "name", name{&e.Name}, "", "name of the entry, unique among the entries", entry},
		{"entry", "callers", address{&e.Callers}, "", "host and port for callers and operators; port 0 lets the system choose", entry},
		{"entry", "links", address{&e.Links}, "", "host and port for links of agents and other entries; port 0 lets the system choose", entry},
		{"entry", "advertise", address{&e.Advertise}, "", "host and port at which others reach links; empty means links", nil},
		{"entry", "seeds", addresses{&e.Seeds}, "", "links of other entries, separated by commas, used until the log has told more", nil},
		{"entry", "policy", choice{&e.Policy, placement.PolicyNames}, "", "placement policy; all but home are baselines for measurements", nil},

		{"agent", "name", name{&a.Name}, "", "name of the agent, unique among the agents", agent},
		{"agent", "entries", addresses{&a.Entries}, "", "links of entries, separated by commas, used to find all others", agent},
		{"agent", "worker", address{&a.Worker}, "", "host and port of the backend server", agent},
		{"agent", "metrics", address{&a.Metrics}, "", "host and port that serve /metrics and /health; empty means none", nil},
		{"agent", "slots", number{&s.Slot.Slots, 1, 1024}, "", "tasks that run at once", nil},
		{"agent", "connections", number{&s.Slot.Connections, 1, 65536}, "", "tasks and calls that run at once", nil},
		{"agent", "memory", number{&a.Memory, 0, 1 << 24}, "MB", "memory of the worker; 0 means not known", nil},
		{"agent", "cores", number{&a.Cores, 0, 4096}, "", "processor cores of the worker; 0 means not known", nil},

		{"gateway", "name", name{&g.Name}, "", "name of the gateway, unique among the gateways", gateway},
		{"gateway", "callers", address{&g.Callers}, "", "host and port for callers", gateway},
		{"gateway", "ready", address{&g.Ready}, "", "host and port that tell the balancer whether callers may be sent here", gateway},
		{"gateway", "links", address{&g.Links}, "", "host and port for links of runners and other gateways", gateway},
		{"gateway", "advertise", address{&g.Advertise}, "", "host and port at which others reach links; empty means links", nil},
		{"gateway", "metrics", address{&g.Metrics}, "", "host and port that serve /metrics; empty means none", nil},
		{"gateway", "seeds", addresses{&g.Seeds}, "", "links of gateways, separated by commas, used until the store has told more", nil},
		{"gateway", "jobs", number{&g.Jobs, 1, 1_000_000}, "", "jobs that may be unfinished at once; more are refused", nil},

		{"runner", "name", name{&r.Name}, "", "name of the runner, unique among the runners", runner},
		{"runner", "worker", address{&r.Worker}, "", "host and port of the worker", runner},
		{"runner", "reports", address{&r.Reports}, "", "host and port for the heartbeats of the worker", runner},
		{"runner", "metrics", address{&r.Metrics}, "", "host and port that serve /metrics; empty means none", nil},
		{"runner", "seeds", addresses{&r.Seeds}, "", "links of gateways, separated by commas, used to find all others", nil},
		{"runner", "timeout", span{&r.Timeout, 20, clock.Second}, "ms", "bound of each call to the worker", nil},

		{"store", "address", address{&s.Store.Address}, "", "host and port of the platform's store", platform},
		{"store", "timeout", span{&s.Store.Timeout, 100, 10 * clock.Second}, "ms", "bound of each call to the store", nil},

		{"process", "memory", number{&s.Process.Memory, 0, 1 << 24}, "MB", "memory that the process may use; 0 means not known", nil},

		{"platform", "address", address{&s.Platform.Address}, "", "host and port of the platform's log service", entry},
		{"platform", "timeout", span{&s.Platform.Timeout, 100, 10 * clock.Second}, "ms", "bound of each request to the log", nil},
		{"platform", "retention", span{&s.Platform.Retention, 2 * clock.Minute, 30 * 24 * 60 * clock.Minute}, "ms", "time for which the log keeps records; a snapshot is appended twice in it", nil},

		{"limits", "queue", number{&l.Queue.MaxWaiting, 1, 1_000_000}, "", "tasks of one team that may wait in an entry", nil},
		{"limits", "age", span{&l.Queue.PromotionAge, 100, 5 * clock.Minute}, "ms", "waiting time after which a batch task is treated as quick", nil},
		{"limits", "reserve", span{&l.Jobs.ReservationTimeout, clock.Second, clock.Minute}, "ms", "time within which a job id must be submitted", nil},
		{"limits", "lifetime", span{&l.Jobs.Lifetime, clock.Second, 5 * clock.Minute}, "ms", "longest time from submission to the end of a job", nil},
		{"limits", "keep", span{&l.Jobs.Retention, clock.Minute, 60 * clock.Minute}, "ms", "time for which the response of an ended job is kept", nil},
		{"limits", "bytes", number{&l.Jobs.MaxResultBytes, 1 << 20, 1 << 32}, "bytes", "kept results of ended jobs", nil},
		{"limits", "blocks", number{&l.Jobs.MaxBlocks, 1, 1_000_000}, "", "reserved blocks of job ids", nil},

		{"member", "lease", span{&s.Member.Lease, 2 * clock.Second, 5 * clock.Second}, "ms", "time for which acknowledged heartbeats allow an entry to respond for its jobs", nil},
		{"member", "gone", span{&s.Member.GoneAfter, 10 * clock.Second, 5 * clock.Minute}, "ms", "time without a heartbeat after which an incarnation counts as gone", nil},
		{"member", "fresh", span{&s.Member.ConfirmationTTL, clock.Second, 2 * clock.Second}, "ms", "time for which a confirmation of the configuration holds", nil},

		{"slot", "validity", span{&s.Slot.StampValidity, clock.Second, 3 * clock.Second}, "ms", "age of the heartbeat timestamp above which a start is refused", nil},
		{"slot", "lease", span{&s.Slot.Lease, 2 * clock.Second, 10 * clock.Second}, "ms", "time after which a task that its owner does not renew is stopped", nil},
		{"slot", "memory", span{&s.Slot.Retention, 330 * clock.Second, 60 * clock.Minute}, "ms", "time for which ended and refused tasks are remembered", nil},
		{"slot", "keep", span{&s.Slot.ResultRetention, clock.Second, 5 * clock.Minute}, "ms", "time for which results are kept for an entry that reconnects", nil},
		{"slot", "bytes", number{&s.Slot.MaxResultBytes, 1 << 20, 1 << 32}, "bytes", "kept results of ended tasks", nil},

		{"log", "level", choice{&s.Log.Level, []string{"debug", "info", "warn", "error"}}, "", "lowest level of the log lines", nil},
		{"log", "budget", number{&s.Log.Budget, 1, 1_000_000}, "", "lines of one event in a second; more are left out and counted", nil},

		{"trace", "exporter", choice{&s.Trace.Exporter, telemetry.Exporters}, "", "where traces are sent", nil},
		{"trace", "endpoint", address{&s.Trace.Endpoint}, "", "host and port of the OTLP/HTTP collector of the exporter otlp", nil},
		{"trace", "share", number{&s.Trace.Share, 0, 100}, "percent", "traces begun in this process that are recorded; a trace begun elsewhere is recorded if its sender does so", nil},
	}
}
