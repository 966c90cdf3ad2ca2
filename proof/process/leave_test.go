package process

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAgentLeaves guards against new work for an agent more than 4 s after SIGTERM or after its exit, and against work
// that its shutdown interrupts (promises 7 and 8).
func TestAgentLeaves(t *testing.T) {
	c := newCluster(t)
	l := c.startBalancedLoad(24, 300)
	for i := range agentCount {
		c.waitForStartIn(domainOf(i))
		stopRequested := time.Now()
		c.agents[i].stop(t)
		exited := time.Now()
		time.Sleep(time.Until(stopRequested.Add(propagationBound + 500*time.Millisecond)))
		var lateStarts journal
		for _, s := range c.workerJournal(i) {
			if s.Time.After(stopRequested.Add(propagationBound)) || s.Time.After(exited) {
				lateStarts = append(lateStarts, s)
			}
		}
		assert.Check(t, len(lateStarts) == 0, "%d starts on a backend server after its agent left: %v", len(lateStarts), lateStarts)
		c.agents[i].start(t)
		c.waitReady()
	}
	l.stop()
	t.Log(l.outcomes())
	checkNoFindings(t, append(l.verify(c.journal()), l.interrupted()...))
}

// TestRollingRestart guards against requests that the graceful shutdown of an entry or agent interrupts (promise 8).
func TestRollingRestart(t *testing.T) {
	c := newCluster(t)
	l := c.startBalancedLoad(24, 5)
	for i := range agentCount {
		for _, p := range append([]*process{c.agents[i]}, c.entries[i%entryCount]) {
			p.stop(t)
			time.Sleep(200 * time.Millisecond)
			p.start(t)
			c.waitReady()
		}
	}
	l.stop()
	t.Log(l.outcomes())
	checkNoFindings(t, append(l.verify(c.journal()), l.interrupted()...))
}

// TestAgentLeavesOverSlowLink guards against jobs that fail because starts were in transit when their agent left: the
// agent must refuse these starts, so that the tasks run elsewhere (promise 8).
func TestAgentLeavesOverSlowLink(t *testing.T) {
	c := newCluster(t)
	l := &ledger{}
	req := newJob(64, 50)
	c.reserveID(0, req)
	for i := range agentCount {
		c.relays[0].cut(agentName(i), fromEntry)
	}
	time.AfterFunc(200*time.Millisecond, func() { c.agents[0].signal(syscall.SIGTERM) })
	time.AfterFunc(1200*time.Millisecond, func() {
		for i := range agentCount {
			c.relays[0].restore(agentName(i))
		}
	})
	v := c.submit(l, 0, req)
	assert.Check(t, v.GetOutcome() == complete, "%v", v)
	checkNoFindings(t, l.verify(c.journal()))
}
