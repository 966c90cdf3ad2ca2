package entry

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
)

type stamped struct {
	received clock.Millis
	stamp    clock.Millis
}

// agentLink is the entry's side of a link to an agent.
type agentLink struct {
	link   *link.Link
	stamps []stamped
	// lost is the time at which the link broke, or 0.
	lost clock.Millis
	// home tells whether this entry prefers the agent.
	home bool
	// told counts the changes of the entries list that were sent.
	told int
	// incarnation is the one of this entry that was told last.
	incarnation lavendercourse.Incarnation
	// heard is the time of the last stamp, and beatRequested that of the last request for one.
	heard         clock.Millis
	beatRequested clock.Millis
	// ejected tells whether the worker was ejected when its health was last logged.
	ejected bool
}

// stamp takes note of a stamp of the agent. Stamps that follow each other closely are not all kept, so that those kept
// reach back far enough.
func (a *agentLink) stamp(now, stamp clock.Millis) {
	a.heard = now
	if n := len(a.stamps); n > 0 && now-a.stamps[n-1].received < stampSpacing {
		return
	}
	a.stamps = append(a.stamps, stamped{received: now, stamp: stamp})
	if len(a.stamps) > stampsKept {
		a.stamps = a.stamps[1:]
	}
}

// newest returns the newest stamp received at or before the given time, unless it is too old to be used now.
func (a *agentLink) newest(now, before clock.Millis) (clock.Millis, bool) {
	for i := len(a.stamps) - 1; i >= 0; i-- {
		if a.stamps[i].received <= before {
			return a.stamps[i].stamp, now-a.stamps[i].received <= stampAge
		}
	}
	return 0, false
}

// requestBeats asks the agents that have sent no stamp lately for one, so that they can get the tasks that wait.
func (c *core) requestBeats(now clock.Millis) {
	for _, a := range c.agents {
		if a.link == nil || now-a.heard < stampSpacing || now-a.beatRequested < beatRequestPeriod {
			continue
		}
		if _, ok := a.newest(now, c.confirmed); ok {
			continue
		}
		a.beatRequested = now
		c.renew(a, 0, true)
	}
}

func (c *core) rehome() {
	agents := make([]string, 0, len(c.agents))
	for _, a := range c.fleet.Agents() {
		agents = append(agents, a.Hello().Name)
	}
	homes := placement.Homes(agents, c.names)
	c.fleet.SetHomes(homes)
	for name, a := range c.agents {
		a.home = homes[name] == c.cfg.Name
	}
}

func (c *core) send(agent string, t message.Type, body any) {
	a := c.agents[agent]
	if a == nil || a.link == nil {
		return
	}
	if err := a.link.Send(t, 0, body); err != nil {
		a.link.Close()
	}
}

// renew answers the heartbeat with the given number, or asks for one.
func (c *core) renew(a *agentLink, number uint64, now bool) {
	r := message.Renew{Version: c.gate, Backlog: c.tasks.Waiting(), Home: a.home, Now: now}
	if inc := c.jobs.Incarnation(); a.incarnation != inc {
		a.incarnation = inc
		r.Incarnation = string(inc)
	}
	if a.told != c.listed {
		a.told = c.listed
		r.Peers = c.agentPeers()
	}
	if err := a.link.Send(message.TypeRenew, number, r); err != nil {
		a.link.Close()
	}
}

// agentPeers returns the list that agents are told. Agents give up links to entries that are not on it, so an entry that
// has not read the list from the log tells them none.
func (c *core) agentPeers() []message.Peer {
	if c.list.Offset() == 0 {
		return nil
	}
	return c.peersList()
}
