package settings

import (
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// Role is the daemon that reads a settings file.
type Role string

// The roles. RoleAny stands for all daemons that have a section in the file.
const (
	RoleAny   Role = ""
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	// RoleGateway and RoleRunner are the daemons on the users' platform.
	RoleGateway Role = "gateway"
	RoleRunner  Role = "runner"
)

// daemonRoles lists the roles that have a section of their own. The section has the name of the role.
var daemonRoles = []Role{RoleEntry, RoleAgent, RoleGateway, RoleRunner}

// field describes one key of the file.
type field struct {
	section string
	key     string
	value   value
	unit    string
	meaning string
	// requiredBy lists the roles that do not start without a value.
	requiredBy []Role
}

// fields returns all keys, bound to s, in the order of the reference page. The ranges ensure that no combination of
// valid values breaks a guarantee of the design: a start is valid for at most 3 s, the quorum lease ends at least 5 s
// before an incarnation counts as gone, an agent remembers a task for at least 30 s longer than any job lives, and the
// lease of a task ends no later than the entry gives up the agent.
func fields(s *Settings) []field {
	allRoles := []Role{RoleEntry, RoleAgent, RoleGateway, RoleRunner}
	gateway, runner, gatewayAndRunner := []Role{RoleGateway}, []Role{RoleRunner}, []Role{RoleGateway, RoleRunner}
	entry, agent := []Role{RoleEntry}, []Role{RoleAgent}
	p, e, a, l := &s.Place, &s.Entry, &s.Agent, &s.Limits
	g, r := &s.Gateway, &s.Runner
	return []field{
		{"place", "region", nameValue{&p.Region}, "", "region of the process", allRoles},
		{"place", "domain", nameValue{&p.Domain}, "", "failure domain of the process", allRoles},
		{"place", "rack", nameValue{&p.Rack}, "", "rack of the worker", nil},

		{"entry", "name", nameValue{&e.Name}, "", "name of the entry, unique among the entries", entry},
		{"entry", "callers", addressValue{&e.Callers}, "", "listening address for callers and operators; port 0 selects a free port", entry},
		{"entry", "links", addressValue{&e.Links}, "", "listening address for links of agents and other entries; port 0 selects a free port", entry},
		{"entry", "advertise", addressValue{&e.Advertise}, "", "address at which other processes reach links; empty selects the address of links", nil},
		{"entry", "seeds", addressListValue{&e.Seeds}, "", "link addresses of other entries, separated by commas, used until the log lists the entries", nil},
		{"entry", "policy", choiceValue{&e.Policy, placement.PolicyNames}, "", "placement policy; all but home are baselines for measurements", nil},

		{"agent", "name", nameValue{&a.Name}, "", "name of the agent, unique among the agents", agent},
		{"agent", "entries", addressListValue{&a.Entries}, "", "link addresses of entries, separated by commas, used to discover all others", agent},
		{"agent", "worker", addressValue{&a.Worker}, "", "address of the backend server", agent},
		{"agent", "metrics", addressValue{&a.Metrics}, "", "listening address for /metrics and /health; empty means none", nil},
		{"agent", "slots", intValue{&s.Slot.Slots, 1, 1024}, "", "maximum number of tasks that run concurrently", nil},
		{"agent", "connections", intValue{&s.Slot.Connections, 1, 65536}, "", "maximum number of tasks and calls that run concurrently", nil},
		{"agent", "memory", intValue{&a.Memory, 0, 1 << 24}, "MB", "memory of the worker; 0 means unknown", nil},
		{"agent", "cores", intValue{&a.Cores, 0, 4096}, "", "number of processor cores of the worker; 0 means unknown", nil},

		{"gateway", "name", nameValue{&g.Name}, "", "name of the gateway, unique among the gateways", gateway},
		{"gateway", "callers", addressValue{&g.Callers}, "", "listening address for callers", gateway},
		{"gateway", "ready", addressValue{&g.Ready}, "", "listening address of the readiness check, which tells the load balancer whether to send callers to this gateway", gateway},
		{"gateway", "links", addressValue{&g.Links}, "", "listening address for links of runners and other gateways", gateway},
		{"gateway", "advertise", addressValue{&g.Advertise}, "", "address at which other processes reach links; empty selects the address of links", nil},
		{"gateway", "metrics", addressValue{&g.Metrics}, "", "listening address for /metrics; empty means none", nil},
		{"gateway", "seeds", addressListValue{&g.Seeds}, "", "link addresses of gateways, separated by commas, used until the store lists the gateways", nil},
		{"gateway", "jobs", intValue{&g.Jobs, 1, 1_000_000}, "", "maximum number of unfinished jobs; further jobs are refused", nil},
		{"gateway", "prefer", choiceValue{&g.Prefer, switchOptions}, "", "whether the gateways of a failure domain divide its runners among them; each orders from its own ones first", nil},
		{"gateway", "late", choiceValue{&g.Late, []string{LateWait, LateRefuse}}, "", "what becomes of a job that cannot end in time any more while others wait: it waits for a quarter of its caller's time limit, or is refused at once", nil},
		{"gateway", "neighbours", choiceValue{&g.Neighbours, switchOptions}, "", "whether tasks that slow each other down are kept apart where there is room; needs the key of the same name at the runners", nil},

		{"runner", "name", nameValue{&r.Name}, "", "name of the runner, unique among the runners", runner},
		{"runner", "worker", addressValue{&r.Worker}, "", "address of the worker", runner},
		{"runner", "reports", addressValue{&r.Reports}, "", "listening address for the heartbeats of the worker", runner},
		{"runner", "metrics", addressValue{&r.Metrics}, "", "listening address for /metrics; empty means none", nil},
		{"runner", "seeds", addressListValue{&r.Seeds}, "", "link addresses of gateways, separated by commas, used to discover all others", nil},
		{"runner", "timeout", durationValue{&r.Timeout, 20, clock.Second}, "ms", "timeout of each call to the worker", nil},
		{"runner", "links", intValue{&r.Links, 1, 256}, "", "maximum number of gateways to keep links with", nil},
		{"runner", "neighbours", choiceValue{&r.Neighbours, []string{Off, On}}, "", "whether it is measured for the gateways which tasks slow each other down", nil},

		{"store", "address", addressValue{&s.Store.Address}, "", "address of the platform's store", gatewayAndRunner},
		{"store", "timeout", durationValue{&s.Store.Timeout, 100, 10 * clock.Second}, "ms", "timeout of each call to the store", nil},

		{"process", "memory", intValue{&s.Process.Memory, 0, 1 << 24}, "MB", "memory that the process may use, unread bytes of connections included; 0 means unknown", nil},
		{"process", "files", intValue{&s.Process.Files, 0, 1 << 24}, "", "descriptors that the process may have open, 200 of which are kept free; 0 selects the limit that the process was started with", nil},

		{"platform", "address", addressValue{&s.Platform.Address}, "", "address of the platform's log service", entry},
		{"platform", "timeout", durationValue{&s.Platform.Timeout, 100, 10 * clock.Second}, "ms", "timeout of each request to the log", nil},
		{"platform", "retention", durationValue{&s.Platform.Retention, 2 * clock.Minute, 30 * 24 * 60 * clock.Minute}, "ms", "retention time of the records in the log; a snapshot is appended twice within it", nil},

		{"limits", "queue", intValue{&l.Queue.MaxWaiting, 1, 1_000_000}, "", "maximum number of waiting tasks of one team in an entry", nil},
		{"limits", "age", durationValue{&l.Queue.PromotionAge, 100, 5 * clock.Minute}, "ms", "waiting time after which a batch task is treated as quick", nil},
		{"limits", "reserve", durationValue{&l.Jobs.ReservationTimeout, clock.Second, clock.Minute}, "ms", "time after which a reserved job id expires if no job was submitted with it", nil},
		{"limits", "lifetime", durationValue{&l.Jobs.Lifetime, clock.Second, 5 * clock.Minute}, "ms", "maximum time from submission to the end of a job", nil},
		{"limits", "keep", durationValue{&l.Jobs.Retention, clock.Minute, 60 * clock.Minute}, "ms", "retention time of the response of an ended job", nil},
		{"limits", "bytes", intValue{&l.Jobs.MaxResultBytes, 1 << 20, 1 << 32}, "bytes", "maximum total size of the kept results of ended jobs", nil},
		{"limits", "blocks", intValue{&l.Jobs.MaxBlocks, 1, 1_000_000}, "", "maximum number of reserved blocks of job ids", nil},

		{"member", "lease", durationValue{&s.Member.Lease, 2 * clock.Second, 5 * clock.Second}, "ms", "duration of the quorum lease: time for which heartbeats acknowledged by a majority allow an entry to respond for its jobs", nil},
		{"member", "gone", durationValue{&s.Member.GoneAfter, 10 * clock.Second, 5 * clock.Minute}, "ms", "time without a heartbeat after which an incarnation counts as gone", nil},
		{"member", "fresh", durationValue{&s.Member.ConfirmationTTL, clock.Second, 2 * clock.Second}, "ms", "time for which a confirmation that the configuration is current remains valid", nil},

		{"slot", "validity", durationValue{&s.Slot.StampValidity, clock.Second, 3 * clock.Second}, "ms", "maximum age of the heartbeat timestamp of a start; older starts are refused", nil},
		{"slot", "lease", durationValue{&s.Slot.Lease, 2 * clock.Second, 10 * clock.Second}, "ms", "time without a renewal by the owner after which a task is stopped", nil},
		{"slot", "memory", durationValue{&s.Slot.RecordRetention, 330 * clock.Second, 60 * clock.Minute}, "ms", "retention time of the records of ended and refused tasks", nil},
		{"slot", "keep", durationValue{&s.Slot.ResultRetention, clock.Second, 5 * clock.Minute}, "ms", "retention time of results for an entry that reconnects", nil},
		{"slot", "bytes", intValue{&s.Slot.MaxResultBytes, 1 << 20, 1 << 32}, "bytes", "maximum total size of the kept results of ended tasks", nil},

		{"log", "level", choiceValue{&s.Log.Level, []string{"debug", "info", "warn", "error"}}, "", "minimum level of the log lines", nil},
		{"log", "budget", intValue{&s.Log.Budget, 1, 1_000_000}, "", "maximum number of log lines per event in one second, for gateways and runners; further lines are dropped and counted", nil},

		{"trace", "exporter", choiceValue{&s.Trace.Exporter, telemetry.Exporters}, "", "destination of traces", nil},
		{"trace", "endpoint", addressValue{&s.Trace.Endpoint}, "", "address of the OTLP/HTTP collector for exporter otlp", nil},
		{"trace", "share", intValue{&s.Trace.Share, 0, 100}, "percent", "sampling ratio of the traces that start in this process; a trace that started in another process is recorded if its sender records it", nil},
	}
}
