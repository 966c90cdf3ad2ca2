package proof

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/message"
)

// stepsWithFaults is the number of random steps before all faults end.
const stepsWithFaults = 1000

// stepKinds has each kind of step as often as its weight says. The last 7 kinds are faults.
var stepKinds = repeatByWeight([]string{
	"transmit", "assign", "heartbeat", "confirm", "submit", "finish", "advance", "connect",
	"long advance", "cancel", "disconnect", "resubmit", "pause", "drain", "agent end", "owner end",
}, []int{18, 10, 7, 7, 5, 8, 5, 4, 1, 1, 1, 1, 1, 1, 1, 1})

// repeatByWeight repeats each name as often as the weight at the same index says.
func repeatByWeight(names []string, weights []int) []string {
	var all []string
	for i, name := range names {
		all = append(all, slices.Repeat([]string{name}, weights[i])...)
	}
	return all
}

// step executes one random step: mostly progress, sometimes a fault.
func (sim *simulation) step() {
	o, a := sim.owners[sim.pick("owner", len(sim.owners))], sim.agents[sim.pick("agent", len(sim.agents))]
	switch stepKinds[sim.pick("kind", len(stepKinds))] {
	case "transmit":
		for range 1 + sim.pick("packets", 8) {
			sim.transmit()
		}
	case "assign":
		for range 1 + sim.pick("starts", 8) {
			sim.assignRandomJob(o, a)
		}
	case "heartbeat":
		for _, a := range sim.agents {
			sim.sendHeartbeat(a)
		}
	case "confirm":
		if !o.paused {
			sim.confirmConfig(o)
		}
	case "submit":
		if !o.paused {
			sim.submit(o)
		}
	case "finish":
		if n := len(a.startOrder); n > 0 {
			sim.finishRun(a, sim.pick("run", n), message.Status(sim.pick("status", 4)/3+1))
		}
	case "advance":
		sim.advanceClock(clock.Millis(sim.pick("ms", 1500)))
	case "connect":
		o.paused = false
		sim.connect(o, a)
	case "long advance":
		// Up to 10 s more than the retention time of the agents.
		sim.advanceClock(clock.Millis(sim.pick("long advance", int(agentRetention+10*clock.Second))))
	default:
		sim.injectFault(stepKinds[sim.pick("fault", 7)+len(stepKinds)-7], o, a)
	}
}

// injectFault injects a fault into an owner, an agent or the link between them.
func (sim *simulation) injectFault(kind string, o *owner, a *agent) {
	switch kind {
	case "cancel":
		if len(o.liveJobs) > 0 && !o.paused {
			o.table.Fail(sim.ownerTime(o), o.liveJobs[sim.pick("job", len(o.liveJobs))], lavendercourse.ReasonCancelled, "cancelled")
			sim.handleEnded(o)
		}
	case "disconnect":
		sim.disconnect(o, a)
	case "resubmit":
		if n := len(sim.submissions); n > 0 {
			sim.sendSubmission(sim.submissions[sim.pick("submission", n)])
		}
	case "pause":
		o.paused = true
	case "drain":
		if domain := a.index % 2; sim.drainedDomains[domain] == 0 {
			sim.drainedDomains[domain] = sim.now
		} else {
			delete(sim.drainedDomains, domain)
		}
		sim.configVersion++
	case "agent end":
		switch n := sim.pick("agent end", 4); {
		case n == 0 || a.leaving:
			sim.restartAgent(a)
		case n == 1:
			a.leaving = true
			sim.performActions(a, a.table.Leave(sim.agentTime(a)))
		}
	case "owner end":
		if sim.pick("owner end", 4) == 0 && !o.paused {
			o.table.FailAll(sim.ownerTime(o), lavendercourse.ReasonOwner, "lease lost")
			sim.handleEnded(o)
			sim.restartOwner(o)
		}
	}
}

// transmit delivers, duplicates or loses a random packet in flight.
func (sim *simulation) transmit() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.pick("packet", len(sim.inFlight))
	p := sim.inFlight[i]
	if !p.toAgent && sim.owners[p.owner].paused {
		return
	}
	delivery := sim.pick("delivery", 8)
	// 0 and 1 deliver the packet and leave a duplicate in flight, 2 loses it, and all others deliver it once.
	if delivery > 1 {
		sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	}
	if delivery != 2 {
		sim.deliver(p)
	}
}

// assignRandomJob assigns the next task of a random job to an agent.
func (sim *simulation) assignRandomJob(o *owner, a *agent) {
	if len(o.liveJobs) > 0 {
		sim.assignTask(o, o.liveJobs[sim.pick("job", len(o.liveJobs))], a)
	}
}

// quiesce ends all faults, lets time pass until every job must have ended, and checks that no records are left.
func (sim *simulation) quiesce() {
	sim.drainedDomains = map[int]clock.Millis{}
	for range 40 {
		for _, o := range sim.owners {
			o.paused = false
			for _, a := range sim.agents {
				sim.connect(o, a)
			}
		}
		for _, a := range sim.agents {
			sim.sendHeartbeat(a)
		}
		sim.deliverAll()
		for _, o := range sim.owners {
			sim.confirmConfig(o)
			for i, j := range append([]*job.Job(nil), o.liveJobs...) {
				sim.assignTask(o, j, sim.agents[i%len(sim.agents)])
			}
		}
		sim.deliverAll()
		for _, a := range sim.agents {
			for len(a.startOrder) > 0 {
				sim.finishRun(a, 0, message.StatusDone)
			}
		}
		sim.deliverAll()
		sim.advanceClock(5 * clock.Second)
	}
	for _, o := range sim.owners {
		if n := o.table.RecordCount(); n != 0 || o.table.LiveCount() != 0 {
			sim.fail("%s still holds %d records", o.name(), n)
		}
	}
	for _, a := range sim.agents {
		// Each linked entry has a lease of its own.
		if n := a.table.RecordCount(); n > len(sim.owners) || a.table.ActiveCount() != 0 {
			sim.fail("%s still holds %d records, %d of them active", a.name(), n, a.table.ActiveCount())
		}
	}
}

// deliverAll delivers packets, oldest first, until none is in flight.
func (sim *simulation) deliverAll() {
	for len(sim.inFlight) > 0 && sim.err == nil {
		p := sim.inFlight[0]
		sim.inFlight = sim.inFlight[1:]
		sim.deliver(p)
	}
}

// runHistory runs one random history and returns the first violated guarantee.
func runHistory(t *rapid.T, violated rule) error {
	sim := newSimulation(t, violated)
	for i := 0; i < stepsWithFaults && sim.err == nil; i++ {
		sim.step()
	}
	if sim.err == nil {
		sim.quiesce()
	}
	return sim.err
}

// Guards against tasks that run twice, incomplete results, jobs wrongly reported as not run, workers above their
// limits, starts after the failure domain was drained, and records that are never removed, under any order, loss and
// duplication of messages and any two of the faults on the design page.
func TestDispatchKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(t, ruleNone); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against checks of TestDispatchKeepsGuarantees that cannot fail: each case violates one rule on purpose, and
// random histories of the same kind must report it.
func TestDispatchChecksCatchViolations(t *testing.T) {
	for _, tc := range []struct {
		violated rule
		want     string
	}{
		{ruleTaskRetention, "second time"},
		{ruleStampValidity, "stamp that is"},
		{ruleStampValidity, "failure domain was drained"},
		{ruleDrainedDomains, "failure domain was drained"},
		{ruleLeaseExpiry, "after the last renewal by its owner"},
		{ruleAskBeforeRetry, "second time"},
		{ruleSlotLimit, "tasks run on 2 slots"},
		{ruleConnectionLimit, "run on 3 connections"},
		{ruleFailedNotDone, "is complete but result"},
		{ruleReportRuns, "reported not to have run"},
		{ruleExpireRecords, "still holds"},
		{ruleJobRetention, "second time"},
	} {
		t.Run(string(tc.violated)+": "+tc.want, func(t *testing.T) {
			histories := rapid.Custom(func(t *rapid.T) string {
				if err := runHistory(t, tc.violated); err != nil {
					return err.Error()
				}
				return ""
			})
			seed, report := findHistory(histories, tc.want)
			assert.Assert(t, seed >= 0, "no history reports %q", tc.want)
			t.Logf("history %d: %s", seed, report)
		})
	}
}
