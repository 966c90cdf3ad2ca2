package process

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/standin/platform"
)

// setDomain drains or restores a failure domain through an entry and returns the time of the request and of its
// acceptance.
func (c *cluster) setDomain(entry int, domain string, drained bool) (asked, accepted time.Time) {
	c.t.Helper()
	id := fmt.Sprintf("proof-%d", serial.Add(1))
	asked = time.Now()
	c.eventually(func() error {
		resp, err := c.operator(entry).SetDomain(context.Background(), connect.NewRequest(&dispatchv1.SetDomainRequest{
			Id: id, Domain: domain, Drained: drained,
		}))
		if err == nil && !resp.Msg.GetAccepted() {
			err = fmt.Errorf("set domain: %v", resp.Msg)
		}
		accepted = time.Now()
		return err
	})
	return asked, accepted
}

// resumes checks that tasks start in the failure domain again.
func (c *cluster) resumes(domain string) {
	c.t.Helper()
	from := time.Now()
	c.eventually(func() error {
		if len(c.journal().startedBetween(domain, from, time.Now())) == 0 {
			return fmt.Errorf("no start in %s since its restore", domain)
		}
		return nil
	})
}

// TestDrain guards against starts in a failure domain later than 4 s after it was taken out of service (promise 3).
func TestDrain(t *testing.T) {
	t.Parallel()
	scenarios := []struct {
		name string
		// fault is called right after the drain was accepted, and mend before the restore. An unaware entry is stopped
		// during the drain.
		fault   func(c *cluster)
		mend    func(c *cluster)
		unaware bool
	}{
		{"log up", func(*cluster) {}, func(*cluster) {}, false},
		{"log down after acceptance", func(c *cluster) { c.logFaults(platform.Faults{Down: true}) }, func(c *cluster) {
			c.logFaults(platform.Faults{})
		}, false},
		{"one entry and one agent cut off", isolate, func(c *cluster) {
			for i := range entries {
				c.relays[i].restore(agentName(3))
				c.relays[i].restore(entryName(0))
				c.relays[0].restore(entryName(i))
			}
			c.logFaults(platform.Faults{})
		}, true},
		{"one entry stopped for 3.5 s", func(c *cluster) {
			c.entries[2].pause()
			time.AfterFunc(3500*time.Millisecond, c.entries[2].resume)
		}, func(*cluster) {}, false},
		{"one entry stopped for 5.5 s", func(c *cluster) {
			c.entries[2].pause()
			time.AfterFunc(5500*time.Millisecond, c.entries[2].resume)
		}, func(*cluster) {}, false},
		{"one agent stopped for 4.5 s", func(c *cluster) {
			c.agents[3].pause()
			time.AfterFunc(4500*time.Millisecond, c.agents[3].resume)
		}, func(*cluster) {}, false},
	}
	for _, group := range [][]int{{0, 1, 3}, {2, 4, 5}} {
		t.Run(scenarios[group[0]].name+" and others", func(t *testing.T) {
			c := newCluster(t)
			l := c.newLoad(16, 40)
			var own *load
			for _, i := range group {
				s := scenarios[i]
				c.resumes("south")
				if s.unaware {
					own = c.newLoadOn(0, 4, 40)
					c.entries[0].pause()
				}
				_, accepted := c.setDomain(1, "south", true)
				s.fault(c)
				c.entries[0].resume()
				time.Sleep(bound + 2500*time.Millisecond)
				s.mend(c)
				restored, _ := c.setDomain(1, "south", false)
				c.resumes("south")
				check(t, c.journal().startedBetween("south", accepted.Add(bound), restored))
				c.ready()
			}
			l.stop()
			if own != nil {
				own.stop()
				check(t, own.judge(c.journal()))
			}
			t.Log(l.outcomes())
			check(t, l.judge(c.journal()))
			// A drain costs no job, and neither do the faults of the first group, which are shorter than the quorum lease.
			if group[0] == 0 {
				check(t, l.cutOff())
			}
		})
	}
}

// isolate cuts entry 0 off from the other entries and agent 3 off from the entries but entry 0. The log goes down, so
// that entry 0 cannot learn of the drain from there.
func isolate(c *cluster) {
	c.logFaults(platform.Faults{Down: true})
	for i := 1; i < entries; i++ {
		c.relays[i].cut(entryName(0), bothWays)
		c.relays[i].cut(agentName(3), bothWays)
	}
}

// TestDrainFlapping guards against a drain that is undone by earlier or racing changes (promises 3 and 9).
func TestDrainFlapping(t *testing.T) {
	c := newCluster(t)
	l := c.newLoad(16, 40)
	c.resumes("south")
	t.Log("drain, restore, drain within a second")
	for _, drained := range []bool{true, false} {
		c.setDomain(0, "south", drained)
	}
	_, accepted := c.setDomain(1, "south", true)
	time.Sleep(bound + 2*time.Second)
	restored, _ := c.setDomain(2, "south", false)
	c.resumes("south")
	check(t, c.journal().startedBetween("south", accepted.Add(bound), restored))

	t.Log("two operators drain the same failure domain and another one at once")
	var both [2]time.Time
	parallel(2, func(i int) { _, both[i] = c.setDomain(i, "south", true) })
	accepted = both[0]
	if both[1].Before(accepted) {
		accepted = both[1]
	}
	time.Sleep(bound + 2*time.Second)
	restored, _ = c.setDomain(2, "south", false)
	c.resumes("south")
	check(t, c.journal().startedBetween("south", accepted.Add(bound), restored))
	l.stop()
	check(t, append(l.judge(c.journal()), l.cutOff()...))
}

// TestDrainWithOwnerStopped guards against starts in a drained failure domain by an owner that was stopped during the
// drain and could not read the log when it returned (promises 1, 2 and 3, two failures at once).
func TestDrainWithOwnerStopped(t *testing.T) {
	c := newCluster(t)
	l := c.newLoad(8, 40)
	jobs := &ledger{}
	req := newJob(1100, 200)
	c.reserve(0, req)
	wait := make(chan struct{})
	go func() {
		defer close(wait)
		c.submit(jobs, 1, req)
	}()
	c.eventually(c.started(req))
	c.entries[0].pause()
	_, accepted := c.setDomain(1, "south", true)
	c.logFaults(platform.Faults{Down: true})
	time.Sleep(bound)
	c.entries[0].resume()
	time.Sleep(bound)
	c.logFaults(platform.Faults{})
	restored, _ := c.setDomain(1, "south", false)
	c.resumes("south")
	check(t, c.journal().startedBetween("south", accepted.Add(bound), restored))
	<-wait
	l.stop()
	assert.Check(t, len(jobs.answers) > 0)
	check(t, append(jobs.judge(c.journal()), l.judge(c.journal())...))
}
