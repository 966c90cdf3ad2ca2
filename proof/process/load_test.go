package process

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/lavendercourse/lavendercourse/caller"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// serialNumber makes payloads and request ids unique.
var serialNumber atomic.Uint64

// newJob returns a job whose payloads differ from those of all other jobs. Each task runs for taskMs milliseconds.
func newJob(tasks, taskMs int) *dispatchv1.SubmitRequest {
	n := serialNumber.Add(1)
	req := &dispatchv1.SubmitRequest{Team: "proof"}
	for i := range tasks {
		req.Tasks = append(req.Tasks, &dispatchv1.TaskSpec{Kind: "sleep", Payload: fmt.Appendf(nil, "%d job %d task %d", taskMs, n, i)})
	}
	return req
}

// reserveID sets the id of a job to one that the entry owns.
func (c *cluster) reserveID(entry int, req *dispatchv1.SubmitRequest) {
	c.t.Helper()
	c.eventually(func() error {
		resp, err := c.dispatchClient(entry).Reserve(context.Background(), connect.NewRequest(&dispatchv1.ReserveRequest{Count: 1}))
		if err == nil {
			req.Id = resp.Msg.GetIds()[0]
		}
		return err
	})
}

// submit submits a job through an entry until the answer is anything else than to ask again, and records every answer.
func (c *cluster) submit(l *ledger, entry int, req *dispatchv1.SubmitRequest) *dispatchv1.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		resp, err := c.dispatchClient(entry).Submit(ctx, connect.NewRequest(req))
		if err == nil {
			l.add(answer{request: req, id: req.GetId(), verdict: resp.Msg.GetVerdict(), results: resp.Msg.GetResults()})
			if resp.Msg.GetVerdict().GetReason() != dispatchv1.Reason_REASON_AGAIN {
				return resp.Msg.GetVerdict()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Errorf("entry %d gave no final answer for job %s", entry, req.GetId())
	return nil
}

// loadGenerator runs callers that submit small jobs until stopped, and records the answers.
type loadGenerator struct {
	ledger
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// unansweredErrors holds the errors of submitted jobs that got no answer.
	unansweredErrors []error
}

// startBalancedLoad starts callers that use all entries in turn. Each job has four tasks of taskMs milliseconds.
func (c *cluster) startBalancedLoad(callers, taskMs int) *loadGenerator {
	return startLoad(callers, taskMs, func() *caller.Client {
		return caller.New(caller.Config{Address: "balancer.invalid", BlockSize: 1, HTTP: c.balancedClient(false)})
	})
}

// startLoadOn starts callers that use one entry only, so that it gets jobs even while it is cut off from the others.
// Each job has four tasks of taskMs milliseconds.
func (c *cluster) startLoadOn(entry, callers, taskMs int) *loadGenerator {
	return startLoad(callers, taskMs, func() *caller.Client {
		return caller.New(caller.Config{Address: c.callerAddresses[entry], BlockSize: 1})
	})
}

func startLoad(callers, taskMs int, newClient func() *caller.Client) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{cancel: cancel}
	for range callers {
		client := newClient()
		l.wg.Go(func() {
			for ctx.Err() == nil {
				l.submitOne(client, taskMs)
			}
		})
	}
	return l
}

// submitOne submits a job and records the answer. After a refusal the caller waits 20 ms and goes on with another job
// instead of submitting this one again.
func (l *loadGenerator) submitOne(client *caller.Client, taskMs int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	req := newJob(4, taskMs)
	resp, err := client.Submit(ctx, req)
	if err != nil {
		if req.GetId() == "" {
			// No id was issued, so nothing was submitted.
			time.Sleep(20 * time.Millisecond)
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.unansweredErrors = append(l.unansweredErrors, err)
		return
	}
	if resp.GetVerdict().GetOutcome() == refused {
		time.Sleep(20 * time.Millisecond)
	}
	l.add(answer{request: req, id: req.GetId(), verdict: resp.GetVerdict(), results: resp.GetResults()})
}

// stop ends the load and waits until every request has its answer.
func (l *loadGenerator) stop() {
	l.cancel()
	l.wg.Wait()
}

// interrupted returns a finding for each submitted job that got no answer or ended neither complete nor refused.
func (l *loadGenerator) interrupted() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var findings []string
	for _, err := range l.unansweredErrors {
		findings = append(findings, err.Error())
	}
	for _, a := range l.answers {
		outcome := a.verdict.GetOutcome()
		if outcome != dispatchv1.Outcome_OUTCOME_COMPLETE && outcome != dispatchv1.Outcome_OUTCOME_REFUSED {
			findings = append(findings, a.id+": "+a.verdict.String())
		}
	}
	return findings
}
