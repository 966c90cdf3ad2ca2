package entry

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/job"
)

// healthEjected is the health of a worker that was ejected because its tasks fail, see placement.Agent.
const healthEjected = "ejected"

// logUnsuccessfulJob logs a job or call that has failed or was refused.
func (c *core) logUnsuccessfulJob(j *job.Job) {
	v := j.Verdict()
	e := event.JobFailed
	switch {
	case v.Outcome == lavendercourse.OutcomeRefused:
		e = event.JobRefused
	case v.Outcome != lavendercourse.OutcomeFailed:
		return
	case j.Spec().Call:
		e = event.CallFailed
	}
	if line := e.On(c.logger); line.Enabled() {
		line.Str("job", j.ID().String()).Str("team", j.Spec().Team).Stringer("reason", v.Reason).Str("cause", v.Message).Send()
	}
}

// recordRefusal counts and logs a submission or call that was refused.
func (c *core) recordRefusal(spec job.Spec, v lavendercourse.Verdict) {
	c.metrics.countVerdict(v)
	event.JobRefused.On(c.logger).Str("team", spec.Team).Int("tasks", len(spec.Tasks)).Stringer("reason", v.Reason).
		Str("cause", v.Message).Send()
}

// logConfigChanges logs the configuration changes after the given version. If none of them is known one by one because
// the configuration came from a snapshot, it logs only the new version.
func (c *core) logConfigChanges(after uint64) {
	if c.configState.Version() <= after {
		return
	}
	changes := c.configState.History(int(min(c.configState.Version()-after, 1000)))
	logged := false
	for _, s := range changes {
		if s.Version > after {
			event.ConfigChanged.On(c.logger).Str("key", s.Key).Str("value", s.Value).Uint64("version", s.Version).Send()
			logged = true
		}
	}
	if !logged {
		event.ConfigChanged.On(c.logger).Uint64("version", c.configState.Version()).Send()
	}
}

// logDomainChanges logs the failure domains that differ between drainedDomains and the given set.
func (c *core) logDomainChanges(drained map[string]bool) {
	for name := range drained {
		if !c.drainedDomains[name] {
			event.DomainDrained.On(c.logger).Str("domain", name).Uint64("version", c.configState.Version()).Send()
		}
	}
	for name := range c.drainedDomains {
		if !drained[name] {
			event.DomainRestored.On(c.logger).Str("domain", name).Uint64("version", c.configState.Version()).Send()
		}
	}
}

// logHealthChanges logs the workers that were ejected or readmitted since the last call.
func (c *core) logHealthChanges() {
	for name, a := range c.agents {
		agent := c.fleet.Agent(name)
		if agent == nil || agent.Health() == "leaving" {
			continue
		}
		isEjected := agent.Health() == healthEjected
		if isEjected == a.loggedEjected {
			continue
		}
		a.loggedEjected = isEjected
		e := event.WorkerReadmitted
		if isEjected {
			e = event.WorkerEjected
		}
		e.On(c.logger).Str("agent", name).Str("domain", agent.Hello().Domain).Send()
	}
}

// logOwnerGone logs, once for each owner, that the owner of a job was declared gone.
func (c *core) logOwnerGone(owner lavendercourse.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.declaredGone[owner]; known {
		return
	}
	c.declaredGone[owner] = c.clock.Now()
	name, _ := c.members.Owner(owner)
	event.OwnerDeclaredGone.On(c.logger).Str("incarnation", string(owner)).Str("entry", name).Send()
}
