package entry

import (
	"go.opentelemetry.io/otel/trace"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// flight is a start that was sent and has not ended.
type flight struct {
	agent string
	item  *admission.Item
	call  bool
	team  string
	kind  string
	// span covers the start until it ended. It is nil if the job is not traced.
	span trace.Span
}

// pump starts waiting tasks and calls while there is room for them.
func (c *core) pump(now clock.Millis) {
	if c.parked || now-c.confirmed > c.quorum.FreshFor() || !c.mayAnswer(now) {
		return
	}
	c.pumpQueue(now, c.calls, true)
	c.pumpQueue(now, c.tasks, false)
	if c.calls.Waiting()+c.tasks.Waiting() > 0 {
		c.requestBeats(now)
	}
}

func (c *core) pumpQueue(now clock.Millis, q *admission.Queue, call bool) {
	var skipped map[lavendercourse.JobID]bool
	for q.Waiting() > 0 && len(skipped) < maxSkipped {
		item := q.Next(now, skipped)
		if item == nil {
			return
		}
		j, err := c.jobs.Find(item.ID())
		if err != nil {
			q.Remove(item.ID())
			continue
		}
		if c.place(now, q, item, j, call) {
			continue
		}
		if w := wantOf(j); w.Memory == 0 && w.Cores == 0 {
			return
		}
		// Others with smaller needs may still find room.
		if skipped == nil {
			skipped = map[lavendercourse.JobID]bool{}
		}
		skipped[item.ID()] = true
	}
}

// place sends the next task of a job to an agent. It returns false if no agent has room.
func (c *core) place(now clock.Millis, q *admission.Queue, item *admission.Item, j *job.Job, call bool) bool {
	want := wantOf(j)
	want.Stamped = func(agent string) bool {
		_, ok := c.agents[agent].newest(now, c.confirmed)
		return ok
	}
	choice, ok := c.pick(now, want, q.Waiting())
	if !ok {
		return false
	}
	agent := choice.Agent
	stamp, _ := c.agents[agent].newest(now, c.confirmed)
	as, ok := c.jobs.Take(now, j, agent)
	if !ok {
		q.Remove(item.ID())
		return true
	}
	q.Took(item)
	at := placement.Attempt{Key: as.Key, Attempt: as.Attempt}
	span := c.beginTask(j.ID(), at, agent)
	c.flights[at] = flight{agent: agent, item: item, call: call, team: item.Team(), kind: as.Task.Kind, span: span}
	c.fleet.Sent(now, agent, at, call)
	c.measures.started(item.Class(), now-j.Arrived())
	c.send(agent, message.TypeStart, message.Start{
		Job: as.Key.Job().String(), Task: as.Key.Task(), Attempt: as.Attempt, Call: call,
		Kind: as.Task.Kind, Class: uint8(item.Class()), Payload: as.Task.Payload,
		Stamp: stamp, Agent: c.fleet.Agent(agent).Hello().Incarnation, Version: c.gate,
		Backlog: c.tasks.Waiting(), Wait: c.waits(now, choice, as.Attempt), Declared: as.Task.Declared,
		Trace: telemetry.Parent(span),
	})
	return true
}

// pick returns the agent for the next task. With many tasks waiting, an agent whose free slots were last heard of some
// time ago is asked for its load first: all of them would go there, and those that find no slot cost two messages each.
// For a few tasks, the question costs more than it saves.
func (c *core) pick(now clock.Millis, want placement.Want, waiting int) (placement.Choice, bool) {
	for {
		choice, ok := c.fleet.Pick(now, want)
		if !ok || want.Call || waiting < probeBacklog || !c.fleet.Doubtful(now, choice.Agent, probeAge) {
			return choice, ok
		}
		a := c.agents[choice.Agent]
		a.beatRequested = now
		c.renew(a, 0, true)
		c.fleet.Pause(now, choice.Agent)
	}
}

// waits tells whether a start may wait at the agent for a slot. Otherwise the agent refuses it if no slot is free, and it
// is sent elsewhere. After one refusal the next attempt waits, since the other agents are probably full too and each
// refusal costs two messages.
func (c *core) waits(now clock.Millis, choice placement.Choice, attempt uint32) bool {
	return !choice.Free || attempt > 1 || now-c.lastRefusal < refusalMemory
}

// done handles the end of a start.
func (c *core) done(now clock.Millis, agent string, d message.Done) error {
	id, err := lavendercourse.ParseJobID(d.Job)
	if err != nil {
		return err
	}
	c.agents[agent].stamp(now, d.Load.Stamp)
	c.fleet.Report(now, agent, d.Load)
	if d.Version > c.gate {
		c.fleet.Need(agent, d.Version)
		select {
		case c.outdated <- struct{}{}:
		default:
		}
	}
	at := placement.Attempt{Key: lavendercourse.NewTaskKey(id, d.Task), Attempt: d.Attempt}
	f, ok := c.flights[at]
	if !ok || f.agent != agent {
		return nil
	}
	delete(c.flights, at)
	expected, _ := c.runs.Learned(f.kind)
	c.fleet.Ended(now, agent, at, f.call, placement.Ending{Status: d.Status, Kind: f.kind, Run: d.Run, Expected: expected})
	if d.Status == message.StatusDone {
		c.runs.Observe(f.kind, d.Run)
	}
	c.ended(now, at, f, d)
	c.settle()
	c.pump(now)
	return nil
}

// ended applies the end of a start to its job.
func (c *core) ended(now clock.Millis, at placement.Attempt, f flight, d message.Done) {
	endTask(f.span, d)
	c.measures.taskEnded(d.Status)
	q := c.queueOf(f.call)
	if d.Status == message.StatusRefused && c.jobs.Returned(at.Key, f.agent, at.Attempt) {
		q.Returned(f.item)
		c.fleet.Pause(now, f.agent)
		c.lastRefusal = now
		return
	}
	q.Freed(f.team)
	switch d.Status {
	case message.StatusDone:
		c.jobs.Finished(now, at.Key, f.agent, at.Attempt, d.Result)
	case message.StatusFailed:
		c.jobs.Broken(now, at.Key, f.agent, at.Attempt, lavendercourse.ReasonTask, "task "+at.Key.String()+" failed: "+d.Error)
	case message.StatusStopped:
		c.jobs.Broken(now, at.Key, f.agent, at.Attempt, lavendercourse.ReasonWorker, "task "+at.Key.String()+" was stopped: "+d.Error)
	case message.StatusUnknown:
		c.jobs.Broken(now, at.Key, f.agent, at.Attempt, lavendercourse.ReasonWorker, "it is not known whether task "+at.Key.String()+" ran: "+d.Error)
	}
}

// abandon fails the jobs of starts whose agent is gone.
func (c *core) abandon(now clock.Millis, agent string, attempts []placement.Attempt) {
	for _, at := range attempts {
		f, ok := c.flights[at]
		if !ok || f.agent != agent {
			continue
		}
		delete(c.flights, at)
		c.ended(now, at, f, message.Done{Status: message.StatusUnknown, Error: "agent " + agent + " is gone"})
	}
	c.settle()
}

// wantOf returns the largest declared needs among the tasks of a job.
func wantOf(j *job.Job) placement.Want {
	return placement.Want{Call: j.Spec().Call, Memory: j.Memory(), Cores: j.Cores()}
}

func wantOfTask(t job.Task) placement.Want {
	return placement.Want{Memory: t.Memory, Cores: t.Cores}
}
