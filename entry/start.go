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

// inFlightStart is a start that was sent and has not ended.
type inFlightStart struct {
	agent string
	item  *admission.Item
	call  bool
	team  string
	kind  string
	// span lasts until the start has ended. It is nil if the job is not traced.
	span trace.Span
}

// startWaiting starts waiting tasks and calls while agents have room for them.
func (c *core) startWaiting(now clock.Millis) {
	if c.startsSuspended || now-c.configConfirmedAt > c.quorum.ConfirmationTTL() || !c.holdsLease(now) {
		return
	}
	c.startFromQueue(now, c.callQueue, true)
	c.startFromQueue(now, c.taskQueue, false)
	if c.callQueue.Waiting()+c.taskQueue.Waiting() > 0 {
		c.requestHeartbeats(now)
	}
}

func (c *core) startFromQueue(now clock.Millis, q *admission.Queue, call bool) {
	var skipped map[lavendercourse.JobID]bool
	for q.Waiting() > 0 && len(skipped) < maxSkippedJobs {
		item := q.Next(now, skipped)
		if item == nil {
			return
		}
		j, err := c.jobs.Find(item.ID())
		if err != nil {
			q.Remove(item.ID())
			continue
		}
		if c.startNextTask(now, q, item, j, call) {
			continue
		}
		// No agent has room for a job without requirements, so none has room for any other job.
		if requirements := jobRequirements(j); requirements.Memory == 0 && requirements.Cores == 0 {
			return
		}
		// Jobs with smaller requirements may still fit.
		if skipped == nil {
			skipped = map[lavendercourse.JobID]bool{}
		}
		skipped[item.ID()] = true
	}
}

// startNextTask sends the next task of a job to an agent. It returns false if no agent has room.
func (c *core) startNextTask(now clock.Millis, q *admission.Queue, item *admission.Item, j *job.Job, call bool) bool {
	requirements := jobRequirements(j)
	requirements.HasStamp = func(agent string) bool {
		_, ok := c.agents[agent].newestStamp(now, c.configConfirmedAt)
		return ok
	}
	choice, ok := c.pickAgent(now, requirements, q.Waiting())
	if !ok {
		return false
	}
	agent := choice.Agent
	stamp, _ := c.agents[agent].newestStamp(now, c.configConfirmedAt)
	assigned, ok := c.jobs.AssignTask(now, j, agent)
	if !ok {
		q.Remove(item.ID())
		return true
	}
	q.TaskSent(item)
	attempt := placement.Attempt{Key: assigned.Key, Attempt: assigned.Attempt}
	span := c.startTaskSpan(j.ID(), attempt, agent)
	c.inFlight[attempt] = inFlightStart{agent: agent, item: item, call: call, team: item.Team(), kind: assigned.Task.Kind, span: span}
	c.fleet.Sent(now, agent, attempt, call)
	c.metrics.countStart(item.Class(), now-j.Arrived())
	c.sendToAgent(c.agents[agent], message.TypeStart, message.Start{
		Job: assigned.Key.Job().String(), Task: assigned.Key.Task(), Attempt: assigned.Attempt, Call: call,
		Kind: assigned.Task.Kind, Class: uint8(item.Class()), Payload: assigned.Task.Payload,
		Stamp: stamp, Agent: c.fleet.Agent(agent).Hello().Incarnation, Version: c.domainsVersion,
		Backlog: c.taskQueue.Waiting(), Wait: c.mayWaitAtAgent(now, choice, assigned.Attempt), Declared: assigned.Task.DeclaredRun,
		Trace: telemetry.Traceparent(span),
	})
	return true
}

// pickAgent returns the agent for the next task. If many tasks are waiting, an agent whose report of free slots is old
// is asked for its load first: otherwise all of them would be sent there, and each that finds no free slot costs two
// messages. For a few tasks the request costs more than it saves.
func (c *core) pickAgent(now clock.Millis, requirements placement.Requirements, waiting int) (placement.Choice, bool) {
	for {
		choice, ok := c.fleet.Pick(now, requirements)
		if !ok || requirements.Call || waiting < minProbeBacklog || !c.fleet.LoadOutdated(now, choice.Agent, minProbeReportAge) {
			return choice, ok
		}
		a := c.agents[choice.Agent]
		a.heartbeatRequestedAt = now
		c.sendRenew(a, 0, true)
		c.fleet.Pause(now, choice.Agent)
	}
}

// mayWaitAtAgent reports whether a start may wait at the agent for a slot. If it may not, an agent without a free slot
// refuses it and it is sent to another agent. After one refusal the next attempt may wait, since the other agents are
// probably full too and each refusal costs two messages.
func (c *core) mayWaitAtAgent(now clock.Millis, choice placement.Choice, attempt uint32) bool {
	return !choice.Free || attempt > 1 || now-c.lastRefusal < refusalWindow
}

// handleDone handles the report of an agent that a start has ended.
func (c *core) handleDone(now clock.Millis, agent string, d message.Done) error {
	id, err := lavendercourse.ParseJobID(d.Job)
	if err != nil {
		return err
	}
	c.agents[agent].recordStamp(now, d.Load.Stamp)
	c.fleet.Report(now, agent, d.Load)
	if d.Version > c.domainsVersion {
		c.fleet.RequireVersion(agent, d.Version)
		select {
		case c.configOutdated <- struct{}{}:
		default:
		}
	}
	attempt := placement.Attempt{Key: lavendercourse.NewTaskKey(id, d.Task), Attempt: d.Attempt}
	if c.agentOf(agent, attempt) != c.agents[agent] {
		// The attempt is one of a replaced agent, and only that one knows how it ended.
		return nil
	}
	c.endStart(now, attempt, agent, d)
	return nil
}

// endStart ends a start that was sent to an agent of the given name.
func (c *core) endStart(now clock.Millis, attempt placement.Attempt, agent string, d message.Done) {
	f, ok := c.inFlight[attempt]
	if !ok || f.agent != agent {
		return
	}
	delete(c.inFlight, attempt)
	expected, _ := c.runTimes.Learned(f.kind)
	c.fleet.Ended(now, agent, attempt, f.call, placement.AttemptResult{Status: d.Status, Kind: f.kind, Run: d.RunTime, Expected: expected})
	if d.Status == message.StatusDone {
		c.runTimes.Observe(f.kind, d.RunTime)
	}
	c.applyStartEnd(now, attempt, f, d)
	c.finishEndedJobs()
	c.startWaiting(now)
}

// applyStartEnd applies the end of a start to its job and its queue.
func (c *core) applyStartEnd(now clock.Millis, attempt placement.Attempt, f inFlightStart, d message.Done) {
	endTaskSpan(f.span, d)
	c.metrics.countTaskEnd(d.Status)
	q := c.queueFor(f.call)
	if d.Status == message.StatusRefused && c.jobs.TaskRefused(attempt.Key, f.agent, attempt.Attempt) {
		q.TaskReturned(f.item)
		c.fleet.Pause(now, f.agent)
		c.lastRefusal = now
		return
	}
	q.TaskEnded(f.team)
	switch d.Status {
	case message.StatusDone:
		c.jobs.TaskDone(now, attempt.Key, f.agent, attempt.Attempt, d.Result)
	case message.StatusFailed:
		c.jobs.TaskFailed(now, attempt.Key, f.agent, attempt.Attempt, lavendercourse.ReasonTask, "task "+attempt.Key.String()+" failed: "+d.Error)
	case message.StatusStopped:
		c.jobs.TaskFailed(now, attempt.Key, f.agent, attempt.Attempt, lavendercourse.ReasonWorker, "task "+attempt.Key.String()+" was stopped: "+d.Error)
	case message.StatusUnknown:
		c.jobs.TaskFailed(now, attempt.Key, f.agent, attempt.Attempt, lavendercourse.ReasonWorker, "it is not known whether task "+attempt.Key.String()+" ran: "+d.Error)
	}
}

// failLostStarts fails the jobs whose starts were lost with their agent.
func (c *core) failLostStarts(now clock.Millis, agent string, attempts []placement.Attempt) {
	for _, attempt := range attempts {
		f, ok := c.inFlight[attempt]
		if !ok || f.agent != agent {
			continue
		}
		delete(c.inFlight, attempt)
		c.applyStartEnd(now, attempt, f, message.Done{Status: message.StatusUnknown, Error: "agent " + agent + " is gone"})
	}
	c.finishEndedJobs()
}

// jobRequirements returns the largest memory and number of cores that any task of the job declares.
func jobRequirements(j *job.Job) placement.Requirements {
	return placement.Requirements{Call: j.Spec().Call, Memory: j.MaxMemory(), Cores: j.MaxCores()}
}

func taskRequirements(t job.Task) placement.Requirements {
	return placement.Requirements{Memory: t.Memory, Cores: t.Cores}
}
