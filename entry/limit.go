package entry

import (
	"github.com/lavendercourse/lavendercourse/admission"
)

// applyConfigChange applies the current configuration to the fleet and to the limits of the teams.
func (c *core) applyConfigChange() {
	c.domainsVersion = c.configState.DomainsVersion()
	c.fleet.SetDomainsVersion(c.domainsVersion)
	drained := c.configState.DrainedDomains()
	c.logDomainChanges(drained)
	c.drainedDomains = drained
	c.fleet.SetDrained(drained)
	c.setTeamLimits()
}

// setTeamLimits sets the limits of the teams from the configuration and from the demand at all entries.
func (c *core) setTeamLimits() {
	now := c.clock.Now()
	c.quotaShares.Forget(now)
	others := make([]string, 0, len(c.entryNames))
	for _, name := range c.entryNames {
		if name != c.cfg.Name {
			others = append(others, name)
		}
	}
	demand := c.demand()
	for name, t := range c.configState.Teams() {
		l := admission.Limits{Weight: t.Weight, MaxRunning: c.quotaShares.Share(now, name, t.Quota, demand[name], others)}
		c.taskQueue.SetLimits(name, l)
		c.callQueue.SetLimits(name, l)
	}
}

// demand returns the number of tasks and calls that wait or run at this entry, by team.
func (c *core) demand() map[string]int {
	demand := c.taskQueue.Demand()
	for name, n := range c.callQueue.Demand() {
		demand[name] += n
	}
	return demand
}
