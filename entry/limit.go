package entry

import (
	"github.com/lavendercourse/lavendercourse/admission"
)

// configured applies a change of the configuration.
func (c *core) configured() {
	c.gate = c.state.Gate()
	c.fleet.SetVersion(c.gate)
	drained := c.state.Domains()
	c.logDomains(drained)
	c.drained = drained
	c.fleet.SetDrained(drained)
	c.limit()
}

// limit sets the limits of the teams from the configuration and the demand at the other entries.
func (c *core) limit() {
	now := c.clock.Now()
	c.shares.Forget(now)
	others := make([]string, 0, len(c.names))
	for _, name := range c.names {
		if name != c.cfg.Name {
			others = append(others, name)
		}
	}
	demand := c.demand()
	for name, t := range c.state.Teams() {
		l := admission.Limits{Weight: t.Weight, Share: c.shares.Of(now, name, t.Quota, demand[name], others)}
		c.tasks.SetLimits(name, l)
		c.calls.SetLimits(name, l)
	}
}

// demand returns the tasks and calls that wait or run here, by team.
func (c *core) demand() map[string]int {
	demand := c.tasks.Demand()
	for name, n := range c.calls.Demand() {
		demand[name] += n
	}
	return demand
}
