package entry

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
)

type receivedStamp struct {
	receivedAt clock.Millis
	stamp      clock.Millis
}

// agentLink is the entry's connection state for one agent.
type agentLink struct {
	link   *link.Link
	stamps []receivedStamp
	// disconnectedAt is the time in ms at which the link closed, or 0 while it is open.
	disconnectedAt clock.Millis
	// isHome tells whether this entry is the agent's home, see placement.Homes.
	isHome bool
	// sentListRevision is the revision of the entries list that was last sent to the agent.
	sentListRevision int
	// sentIncarnation is the incarnation of this entry that was last sent to the agent.
	sentIncarnation lavendercourse.Incarnation
	// lastStampAt is the time in ms at which the last stamp arrived, and heartbeatRequestedAt the time in ms of the
	// last request for a heartbeat.
	lastStampAt          clock.Millis
	heartbeatRequestedAt clock.Millis
	// loggedEjected tells whether the worker was ejected when its health was last logged.
	loggedEjected bool
}

// recordStamp records a stamp of the agent. It skips stamps that arrive less than minStampInterval after the last one
// recorded, so that maxStamps of them reach back far enough.
func (a *agentLink) recordStamp(now, stamp clock.Millis) {
	a.lastStampAt = now
	if n := len(a.stamps); n > 0 && now-a.stamps[n-1].receivedAt < minStampInterval {
		return
	}
	a.stamps = append(a.stamps, receivedStamp{receivedAt: now, stamp: stamp})
	if len(a.stamps) > maxStamps {
		a.stamps = a.stamps[1:]
	}
}

// newestStamp returns the newest stamp received at or before the given time, or false if there is none or it is older
// than maxStampAge.
func (a *agentLink) newestStamp(now, before clock.Millis) (clock.Millis, bool) {
	for i := len(a.stamps) - 1; i >= 0; i-- {
		if a.stamps[i].receivedAt <= before {
			return a.stamps[i].stamp, now-a.stamps[i].receivedAt <= maxStampAge
		}
	}
	return 0, false
}

// requestHeartbeats asks for a heartbeat from each agent without a usable stamp, so that it can get waiting tasks.
func (c *core) requestHeartbeats(now clock.Millis) {
	for _, a := range c.agents {
		if a.link == nil || now-a.lastStampAt < minStampInterval || now-a.heartbeatRequestedAt < minHeartbeatRequestInterval {
			continue
		}
		if _, ok := a.newestStamp(now, c.configConfirmedAt); ok {
			continue
		}
		a.heartbeatRequestedAt = now
		c.sendRenew(a, 0, true)
	}
}

func (c *core) assignHomes() {
	agents := make([]string, 0, len(c.agents))
	for _, a := range c.fleet.Agents() {
		agents = append(agents, a.Hello().Name)
	}
	homes := placement.Homes(agents, c.entryNames)
	c.fleet.SetHomes(homes)
	for name, a := range c.agents {
		a.isHome = homes[name] == c.cfg.Name
	}
}

func (c *core) sendToAgent(a *agentLink, t message.Type, body any) {
	if a == nil || a.link == nil {
		return
	}
	if err := a.link.Send(t, 0, body); err != nil {
		a.link.Close()
	}
}

// sendRenew replies to the heartbeat with the given frame number or, if requestHeartbeat is set, asks for a heartbeat
// at once.
func (c *core) sendRenew(a *agentLink, number uint64, requestHeartbeat bool) {
	r := message.Renew{Version: c.domainsVersion, Backlog: c.taskQueue.Waiting(), Home: a.isHome, RequestHeartbeat: requestHeartbeat}
	if inc := c.jobs.Incarnation(); a.sentIncarnation != inc {
		a.sentIncarnation = inc
		r.Incarnation = string(inc)
	}
	if a.sentListRevision != c.listRevision {
		a.sentListRevision = c.listRevision
		r.Peers = c.peersForAgents()
	}
	if err := a.link.Send(message.TypeRenew, number, r); err != nil {
		a.link.Close()
	}
}

// peersForAgents returns the entries list to send to agents, or nil if this entry has not read the list from the log:
// agents drop their links to entries that are not on the list they receive.
func (c *core) peersForAgents() []message.Peer {
	if c.members.Offset() == 0 {
		return nil
	}
	return c.listPeers()
}
