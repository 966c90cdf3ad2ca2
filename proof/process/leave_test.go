package process

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAgentLeaves guards against new work for an agent later than 4 s after it was told to stop, and against work that
// its stop cuts off (promises 7 and 8).
func TestAgentLeaves(t *testing.T) {
	c := newCluster(t)
	l := c.newLoad(24, 300)
	for i := range agents {
		c.resumes(domainOf(i))
		asked := time.Now()
		c.agents[i].stop(t)
		gone := time.Now()
		time.Sleep(time.Until(asked.Add(bound + 500*time.Millisecond)))
		var late journal
		for _, s := range c.journalOf(i) {
			if s.Time.After(asked.Add(bound)) || s.Time.After(gone) {
				late = append(late, s)
			}
		}
		assert.Check(t, len(late) == 0, "%d starts on a worker whose agent had left: %v", len(late), late)
		c.agents[i].start(t)
		c.ready()
	}
	l.stop()
	t.Log(l.outcomes())
	check(t, append(l.judge(c.journal()), l.cutOff()...))
}

// TestRollingRestart guards against requests that a graceful stop of any entry or agent cuts off (promise 8).
func TestRollingRestart(t *testing.T) {
	c := newCluster(t)
	l := c.newLoad(24, 5)
	for i := range agents {
		for _, p := range append([]*process{c.agents[i]}, c.entries[i%entries]) {
			p.stop(t)
			time.Sleep(200 * time.Millisecond)
			p.start(t)
			c.ready()
		}
	}
	l.stop()
	t.Log(l.outcomes())
	check(t, append(l.judge(c.journal()), l.cutOff()...))
}

// TestAgentLeavesOverSlowLink guards against starts that were on their way when their agent left: they must be refused
// and run elsewhere, and not cost their job (promise 8).
func TestAgentLeavesOverSlowLink(t *testing.T) {
	c := newCluster(t)
	l := &ledger{}
	req := newJob(64, 50)
	c.reserve(0, req)
	for i := range agents {
		c.relays[0].cut(agentName(i), fromEntry)
	}
	time.AfterFunc(200*time.Millisecond, func() { c.agents[0].signal(syscall.SIGTERM) })
	time.AfterFunc(1200*time.Millisecond, func() {
		for i := range agents {
			c.relays[0].restore(agentName(i))
		}
	})
	v := c.submit(l, 0, req)
	assert.Check(t, v.GetOutcome() == complete, "%v", v)
	check(t, l.judge(c.journal()))
}
