package entry

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/job"
)

// ejected is the health of a worker that fails its work, see placement.Agent.
const ejected = "ejected"

// logEnd logs a job or call that ended without a complete response.
func (c *core) logEnd(j *job.Job) {
	v := j.Verdict()
	e := event.JobFailed
	switch {
	case v.Outcome == lavendercourse.Refused:
		e = event.JobRefused
	case v.Outcome != lavendercourse.Failed:
		return
	case j.Spec().Call:
		e = event.CallFailed
	}
	if line := e.On(c.logger); line.Enabled() {
		line.Str("job", j.ID().String()).Str("team", j.Spec().Team).Stringer("reason", v.Reason).Str("cause", v.Message).Send()
	}
}

// refused counts and logs a submission or call that was not taken.
func (c *core) refused(spec job.Spec, v lavendercourse.Verdict) {
	c.measures.answered(v)
	event.JobRefused.On(c.logger).Str("team", spec.Team).Int("tasks", len(spec.Tasks)).Stringer("reason", v.Reason).
		Str("cause", v.Message).Send()
}

// logChanges logs the changes of the configuration after the given version. A snapshot holds no single changes.
func (c *core) logChanges(after uint64) {
	if c.state.Version() <= after {
		return
	}
	changes := c.state.History(int(min(c.state.Version()-after, 1000)))
	logged := false
	for _, s := range changes {
		if s.Version > after {
			event.ConfigChanged.On(c.logger).Str("key", s.Key).Str("value", s.Value).Uint64("version", s.Version).Send()
			logged = true
		}
	}
	if !logged {
		event.ConfigChanged.On(c.logger).Uint64("version", c.state.Version()).Send()
	}
}

// logDomains logs the failure domains whose state differs from the one in force so far.
func (c *core) logDomains(drained map[string]bool) {
	for name := range drained {
		if !c.drained[name] {
			event.DomainDrained.On(c.logger).Str("domain", name).Uint64("version", c.state.Version()).Send()
		}
	}
	for name := range c.drained {
		if !drained[name] {
			event.DomainRestored.On(c.logger).Str("domain", name).Uint64("version", c.state.Version()).Send()
		}
	}
}

// logHealth logs the workers that were ejected or readmitted since the last call.
func (c *core) logHealth() {
	for name, a := range c.agents {
		known := c.fleet.Agent(name)
		if known == nil || known.Health() == "leaving" {
			continue
		}
		now := known.Health() == ejected
		if now == a.ejected {
			continue
		}
		a.ejected = now
		e := event.WorkerReady
		if now {
			e = event.WorkerEjected
		}
		e.On(c.logger).Str("agent", name).Str("domain", known.Hello().Domain).Send()
	}
}

// declare logs that the owner of a job was declared gone.
func (c *core) declare(owner lavendercourse.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.declared[owner]; known {
		return
	}
	c.declared[owner] = c.clock.Now()
	name, _ := c.list.Owner(owner)
	event.OwnerDeclared.On(c.logger).Str("incarnation", string(owner)).Str("entry", name).Send()
}
