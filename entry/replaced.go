package entry

import (
	"maps"
	"slices"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
)

// replacedAgent is an agent whose successor of the same name has joined while its own link is open, so that it may be
// draining. It gets no new starts, and ends its unfinished ones as before.
type replacedAgent struct {
	*agentLink
	hello message.Hello
	// leaving is set while the agent takes no work. One that isn't leaving is a successor whose predecessor joined later.
	leaving bool
	// running is the number of running tasks in the last load report.
	running int
	// attempts holds the unfinished attempts of this entry on the agent.
	attempts map[placement.Attempt]bool
}

// replaceAgent keeps an agent whose successor has joined, with its unfinished attempts, until its link closes. If the
// link is closed already, the attempts are lost: a draining agent does not dial again, so no answer can come.
func (c *core) replaceAgent(now clock.Millis, old *agentLink, earlier *placement.Agent, attempts []placement.Attempt) {
	hello := earlier.Hello()
	d := &replacedAgent{
		agentLink: old, hello: hello, leaving: earlier.Leaving(), running: len(attempts), attempts: map[placement.Attempt]bool{},
	}
	for _, attempt := range attempts {
		d.attempts[attempt] = true
	}
	if old.link == nil {
		c.failReplaced(now, d)
		return
	}
	old.isHome = false
	c.replaced[old.link] = d
	event.AgentReplaced.On(c.logger).Str("agent", hello.Name).Str("incarnation", hello.Incarnation).Int("tasks", len(attempts)).Send()
}

// failReplaced fails the unfinished attempts of a replaced agent whose link has closed.
func (c *core) failReplaced(now clock.Millis, d *replacedAgent) {
	if len(d.attempts) == 0 {
		return
	}
	event.ReplacedAgentLost.On(c.logger).Str("agent", d.hello.Name).Str("incarnation", d.hello.Incarnation).Int("tasks", len(d.attempts)).Send()
	c.failLostStarts(now, d.hello.Name, slices.Collect(maps.Keys(d.attempts)))
}

// findReplaced returns the replaced agent that sent the hello, or nil.
func (c *core) findReplaced(h message.Hello) *replacedAgent {
	for _, d := range c.replaced {
		if d.hello.Name == h.Name && d.hello.Incarnation == h.Incarnation {
			return d
		}
	}
	return nil
}

// promoteReplaced gives the place of an agent that is leaving or lost to a replaced agent of its name that isn't leaving,
// if there is one. An agent that is about to drain may join after its successor, for instance when the entry restarts.
func (c *core) promoteReplaced(name string) {
	for l, d := range c.replaced {
		if d.hello.Name != name || d.leaving {
			continue
		}
		delete(c.replaced, l)
		c.addAgent(l, d.hello)
		for attempt := range d.attempts {
			c.fleet.Sent(c.clock.Now(), name, attempt, c.inFlight[attempt].call)
		}
		return
	}
}

// relinkReplaced handles a hello of a replaced agent. It takes the place of its successor only if that one is leaving.
func (c *core) relinkReplaced(l *link.Link, d *replacedAgent) {
	if d.link != l {
		delete(c.replaced, d.link)
		d.link.Close()
		d.link, d.sentListRevision, d.sentIncarnation, d.lastStampAt = l, c.listRevision, c.jobs.Incarnation(), c.clock.Now()
		c.replaced[l] = d
	}
	d.leaving = false
	current := c.fleet.Agent(d.hello.Name)
	if current == nil || current.Leaving() && c.agents[d.hello.Name].link != nil {
		c.promoteReplaced(d.hello.Name)
		return
	}
	c.sendResume(d.agentLink, d.hello.Name, slices.Collect(maps.Keys(d.attempts)))
}

// handleReplacedFrame handles a frame of a replaced agent. Its load tells nothing about its successor.
func (c *core) handleReplacedFrame(d *replacedAgent, f message.Frame) error {
	now := c.clock.Now()
	switch f.Type {
	case message.TypeHeartbeat, message.TypeOffer:
		var load message.Load
		if err := f.DecodeBody(&load); err != nil {
			return err
		}
		d.recordStamp(now, load.Stamp)
		d.running = load.Running
		if f.Type == message.TypeHeartbeat {
			c.sendRenew(d.agentLink, f.Number, false)
		}
	case message.TypeDone:
		var done message.Done
		if err := f.DecodeBody(&done); err != nil {
			return err
		}
		id, err := lavendercourse.ParseJobID(done.Job)
		if err != nil {
			return err
		}
		d.recordStamp(now, done.Load.Stamp)
		d.running = done.Load.Running
		attempt := placement.Attempt{Key: lavendercourse.NewTaskKey(id, done.Task), Attempt: done.Attempt}
		if d.attempts[attempt] {
			delete(d.attempts, attempt)
			c.endStart(now, attempt, d.hello.Name, done)
		}
	case message.TypeLeave:
		event.AgentLeaving.On(c.logger).Str("agent", d.hello.Name).Send()
		d.leaving = true
	}
	return nil
}

// agentOf returns the agent of the given name to which an attempt was sent: a replaced one or the current one, or nil.
func (c *core) agentOf(name string, attempt placement.Attempt) *agentLink {
	for _, d := range c.replaced {
		if d.hello.Name == name && d.attempts[attempt] {
			return d.agentLink
		}
	}
	return c.agents[name]
}
