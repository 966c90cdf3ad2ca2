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

// setDomain drains or restores a failure domain through an entry and returns the times of the first request and of the
// acceptance.
func (c *cluster) setDomain(entry int, domain string, drained bool) (requested, accepted time.Time) {
	c.t.Helper()
	id := fmt.Sprintf("proof-%d", serialNumber.Add(1))
	requested = time.Now()
	c.eventually(func() error {
		resp, err := c.operatorClient(entry).SetDomain(context.Background(), connect.NewRequest(&dispatchv1.SetDomainRequest{
			Id: id, Domain: domain, Drained: drained,
		}))
		if err == nil && !resp.Msg.GetAccepted() {
			err = fmt.Errorf("set domain: %v", resp.Msg)
		}
		accepted = time.Now()
		return err
	})
	return requested, accepted
}

// waitForStartIn waits until a task or call starts in the failure domain.
func (c *cluster) waitForStartIn(domain string) {
	c.t.Helper()
	from := time.Now()
	c.eventually(func() error {
		if len(c.journal().startsBetween(domain, from, time.Now())) == 0 {
			return fmt.Errorf("no start in failure domain %s yet", domain)
		}
		return nil
	})
}

// TestDrain guards against starts in a failure domain more than 4 s after its drain was accepted (promise 3).
func TestDrain(t *testing.T) {
	t.Parallel()
	scenarios := []struct {
		name string
		// fault is called right after the drain was accepted, and repair before the restore. With pauseEntry, entry 0
		// is paused until after the fault, so that it does not learn of the drain.
		fault      func(c *cluster)
		repair     func(c *cluster)
		pauseEntry bool
	}{
		{"log up", func(*cluster) {}, func(*cluster) {}, false},
		{"log down after acceptance", func(c *cluster) { c.setLogFaults(platform.Faults{Down: true}) }, func(c *cluster) {
			c.setLogFaults(platform.Faults{})
		}, false},
		{"one entry and one agent cut off", isolateEntryAndAgent, func(c *cluster) {
			for i := range entryCount {
				c.relays[i].restore(agentName(3))
				c.relays[i].restore(entryName(0))
				c.relays[0].restore(entryName(i))
			}
			c.setLogFaults(platform.Faults{})
		}, true},
		{"one entry paused for 3.5 s", func(c *cluster) {
			c.entries[2].pause()
			time.AfterFunc(3500*time.Millisecond, c.entries[2].resume)
		}, func(*cluster) {}, false},
		{"one entry paused for 5.5 s", func(c *cluster) {
			c.entries[2].pause()
			time.AfterFunc(5500*time.Millisecond, c.entries[2].resume)
		}, func(*cluster) {}, false},
		{"one agent paused for 4.5 s", func(c *cluster) {
			c.agents[3].pause()
			time.AfterFunc(4500*time.Millisecond, c.agents[3].resume)
		}, func(*cluster) {}, false},
	}
	for _, group := range [][]int{{0, 1, 3}, {2, 4, 5}} {
		t.Run(scenarios[group[0]].name+" and others", func(t *testing.T) {
			c := newCluster(t)
			l := c.startBalancedLoad(16, 40)
			var entryLoad *loadGenerator
			for _, i := range group {
				s := scenarios[i]
				c.waitForStartIn("south")
				if s.pauseEntry {
					entryLoad = c.startLoadOn(0, 4, 40)
					c.entries[0].pause()
				}
				_, accepted := c.setDomain(1, "south", true)
				s.fault(c)
				c.entries[0].resume()
				time.Sleep(propagationBound + 2500*time.Millisecond)
				s.repair(c)
				restored, _ := c.setDomain(1, "south", false)
				c.waitForStartIn("south")
				checkNoFindings(t, c.journal().startsBetween("south", accepted.Add(propagationBound), restored))
				c.waitReady()
			}
			l.stop()
			if entryLoad != nil {
				entryLoad.stop()
				checkNoFindings(t, entryLoad.verify(c.journal()))
			}
			t.Log(l.outcomes())
			checkNoFindings(t, l.verify(c.journal()))
			// No job may be lost to a drain or to the faults of the first group, which are shorter than the quorum
			// lease.
			if group[0] == 0 {
				checkNoFindings(t, l.interrupted())
			}
		})
	}
}

// isolateEntryAndAgent cuts entry 0 off from the other entries, and agent 3 off from all entries but entry 0. It also
// takes the log service down, so that entry 0 cannot read of the drain there.
func isolateEntryAndAgent(c *cluster) {
	c.setLogFaults(platform.Faults{Down: true})
	for i := 1; i < entryCount; i++ {
		c.relays[i].cut(entryName(0), bothWays)
		c.relays[i].cut(agentName(3), bothWays)
	}
}

// TestDrainFlapping guards against a drain that is undone by earlier or concurrent changes (promises 3 and 9).
func TestDrainFlapping(t *testing.T) {
	c := newCluster(t)
	l := c.startBalancedLoad(16, 40)
	c.waitForStartIn("south")
	t.Log("drain, restore, drain within a second")
	for _, drained := range []bool{true, false} {
		c.setDomain(0, "south", drained)
	}
	_, accepted := c.setDomain(1, "south", true)
	time.Sleep(propagationBound + 2*time.Second)
	restored, _ := c.setDomain(2, "south", false)
	c.waitForStartIn("south")
	checkNoFindings(t, c.journal().startsBetween("south", accepted.Add(propagationBound), restored))

	t.Log("two operators drain the same failure domain concurrently")
	var acceptedAt [2]time.Time
	parallel(2, func(i int) { _, acceptedAt[i] = c.setDomain(i, "south", true) })
	accepted = acceptedAt[0]
	if acceptedAt[1].Before(accepted) {
		accepted = acceptedAt[1]
	}
	time.Sleep(propagationBound + 2*time.Second)
	restored, _ = c.setDomain(2, "south", false)
	c.waitForStartIn("south")
	checkNoFindings(t, c.journal().startsBetween("south", accepted.Add(propagationBound), restored))
	l.stop()
	checkNoFindings(t, append(l.verify(c.journal()), l.interrupted()...))
}

// TestDrainWithOwnerStopped guards against starts in a drained failure domain caused by the owner of a job that was
// paused during the drain and could not read the log service once it resumed (promises 1, 2 and 3, two faults at once).
func TestDrainWithOwnerStopped(t *testing.T) {
	c := newCluster(t)
	l := c.startBalancedLoad(8, 40)
	jobs := &ledger{}
	req := newJob(1100, 200)
	c.reserveID(0, req)
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		c.submit(jobs, 1, req)
	}()
	c.eventually(c.anyStarted(req))
	c.entries[0].pause()
	_, accepted := c.setDomain(1, "south", true)
	c.setLogFaults(platform.Faults{Down: true})
	time.Sleep(propagationBound)
	c.entries[0].resume()
	time.Sleep(propagationBound)
	c.setLogFaults(platform.Faults{})
	restored, _ := c.setDomain(1, "south", false)
	c.waitForStartIn("south")
	checkNoFindings(t, c.journal().startsBetween("south", accepted.Add(propagationBound), restored))
	<-submitted
	l.stop()
	assert.Check(t, len(jobs.answers) > 0)
	checkNoFindings(t, append(jobs.verify(c.journal()), l.verify(c.journal())...))
}
