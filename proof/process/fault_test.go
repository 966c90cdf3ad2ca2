package process

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/standin/platform"
	"github.com/lavendercourse/lavendercourse/standin/worker"
)

// TestFaultsDuringJob guards against tasks that start twice, partial answers and false "not run" when a part fails in
// the middle of a job of 1,100 tasks (promises 1, 2 and 5).
func TestFaultsDuringJob(t *testing.T) {
	t.Parallel()
	// Each job is owned by entry 0 and asked for through entry 1.
	scenarios := []struct {
		name string
		// fault is called once tasks of the job run; mend 3 s later, or once a cut link was given up and its tasks have
		// to be resumed.
		fault func(c *cluster)
		mend  func(c *cluster)
		// whole is set if the fault must not cost the job.
		whole bool
	}{
		{"owner stopped for 3 s", func(c *cluster) { c.entries[0].pause() }, func(c *cluster) { c.entries[0].resume() }, false},
		{"other entry killed", func(c *cluster) { c.entries[2].kill() }, func(c *cluster) { c.entries[2].start(c.t) }, true},
		{"agent killed", func(c *cluster) { c.agents[0].kill() }, func(c *cluster) { c.agents[0].start(c.t) }, false},
		{"agent stopped for 3 s", func(c *cluster) { c.agents[1].pause() }, func(c *cluster) { c.agents[1].resume() }, true},
		{"link to agent cut towards the agent", cutAgent(fromEntry), restoreAgent, true},
		{"link to agent cut towards the entry", cutAgent(toEntry), restoreAgent, true},
		{"link to agent cut both ways", cutAgent(bothWays), restoreAgent, true},
		{"link between entries cut one way", func(c *cluster) { c.relays[1].cut(entryName(0), toEntry) }, func(c *cluster) {
			c.relays[1].restore(entryName(0))
		}, true},
		{"owner cut off from one entry", func(c *cluster) { c.relays[2].cut(entryName(0), bothWays) }, func(c *cluster) {
			c.relays[2].restore(entryName(0))
		}, true},
		{"agent killed while its link to another entry is cut", func(c *cluster) {
			c.relays[1].cut(agentName(0), bothWays)
			c.agents[0].kill()
		}, func(c *cluster) {
			c.agents[0].start(c.t)
			c.relays[1].restore(agentName(0))
		}, false},
		{"log down while a link to an agent is cut", func(c *cluster) {
			c.logFaults(platform.Faults{Down: true})
			cutAgent(bothWays)(c)
		}, func(c *cluster) {
			restoreAgent(c)
			c.logFaults(platform.Faults{})
		}, true},
	}
	for _, group := range [][]int{{0, 1, 2}, {3, 4, 5}, {6, 7, 8}, {9, 10}} {
		t.Run(scenarios[group[0]].name+" and others", func(t *testing.T) {
			c := newCluster(t)
			for _, i := range group {
				s := scenarios[i]
				l := &ledger{}
				req, span := newJob(1100, 150), 3*time.Second
				if strings.HasPrefix(s.name, "link to agent") {
					// Some tasks still run when the agent is asked about them.
					long := newJob(16, 9000)
					req.Tasks, span = append(long.Tasks, req.Tasks[16:]...), 7*time.Second
				}
				c.reserve(0, req)
				mended := make(chan struct{})
				go func() {
					defer close(mended)
					c.eventually(c.started(req))
					s.fault(c)
					time.Sleep(span)
					s.mend(c)
				}()
				v := c.submit(l, 1, req)
				<-mended
				t.Logf("%s: %v", s.name, v)
				assert.Check(t, !s.whole || v.GetOutcome() == complete, "%s: %v", s.name, v)
				// The same answer through another entry.
				assert.Check(t, c.submit(l, 2, req).GetOutcome() == v.GetOutcome(), s.name)
				c.ready()
				c.works(l)
				check(t, l.judge(c.journal()))
			}
		})
	}
}

func cutAgent(d direction) func(c *cluster) {
	return func(c *cluster) { c.relays[0].cut(agentName(2), d) }
}

func restoreAgent(c *cluster) { c.relays[0].restore(agentName(2)) }

// TestWorkerKilled guards against tasks that start twice, or are called "not run", when their worker dies or hangs
// (promises 1, 2 and 5).
func TestWorkerKilled(t *testing.T) {
	c := newCluster(t)
	l := &ledger{}
	for i := range agents {
		c.workerFaults(i, worker.Faults{Hang: true})
	}
	req := newJob(100, 10)
	c.reserve(0, req)
	go func() {
		c.eventually(func() error {
			if n := c.journal().count(req.GetId()); n < agents*2 {
				return context.DeadlineExceeded
			}
			return nil
		})
		c.killWorker(0)
	}()
	v := c.submit(l, 1, req)
	assert.Check(t, v.GetOutcome() == failed && v.GetRan() == dispatchv1.Ran_RAN_SOME, "%v", v)
	for i := 1; i < agents; i++ {
		c.workerFaults(i, worker.Faults{})
	}
	c.workers[0].start(t)
	c.works(l)
	check(t, l.judge(c.journal()))
}

// TestCutLongerThanLease guards against a second start of tasks whose agent was out of reach for longer than their
// lease, and against a "not run" for them (promises 1 and 5).
func TestCutLongerThanLease(t *testing.T) {
	c := newCluster(t)
	l := &ledger{}
	for i := range agents {
		c.workerFaults(i, worker.Faults{Hang: true})
	}
	req := newJob(40, 10)
	c.reserve(0, req)
	go func() {
		c.eventually(c.started(req))
		for i := range agents {
			c.relays[0].cut(agentName(i), bothWays)
		}
	}()
	v := c.submit(l, 1, req)
	assert.Check(t, v.GetOutcome() == failed && v.GetRan() == dispatchv1.Ran_RAN_SOME, "%v", v)
	for i := range agents {
		c.workerFaults(i, worker.Faults{})
		c.relays[0].restore(agentName(i))
	}
	c.ready()
	c.works(l)
	check(t, l.judge(c.journal()))
}

// TestCancelDuringCut guards against a task that starts after its job was cancelled while the stop could not reach the
// agent (promises 1 and 5).
func TestCancelDuringCut(t *testing.T) {
	c := newCluster(t)
	l := &ledger{}
	var requests []*dispatchv1.SubmitRequest
	for range 20 {
		req := newJob(20, 200)
		c.reserve(0, req)
		requests = append(requests, req)
	}
	parallel(len(requests)+1, func(i int) {
		if i < len(requests) {
			c.submit(l, 1, requests[i])
			return
		}
		c.eventually(c.started(requests[0]))
		c.relays[0].cut(agentName(0), bothWays)
		time.Sleep(200 * time.Millisecond)
		for _, req := range requests[:10] {
			resp, err := c.dispatch(2).Cancel(context.Background(), connect.NewRequest(&dispatchv1.CancelRequest{Id: req.GetId()}))
			assert.Check(t, err)
			if err == nil {
				l.add(answer{id: req.GetId(), verdict: resp.Msg.GetVerdict()})
			}
		}
		time.Sleep(time.Second)
		c.relays[0].restore(agentName(0))
	})
	c.ready()
	c.works(l)
	check(t, l.judge(c.journal()))
}
