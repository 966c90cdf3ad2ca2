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

var serial atomic.Uint64

// newJob returns a job whose payloads differ from those of all other jobs.
func newJob(tasks, ms int) *dispatchv1.SubmitRequest {
	n := serial.Add(1)
	req := &dispatchv1.SubmitRequest{Team: "proof"}
	for i := range tasks {
		req.Tasks = append(req.Tasks, &dispatchv1.TaskSpec{Kind: "sleep", Payload: fmt.Appendf(nil, "%d job %d task %d", ms, n, i)})
	}
	return req
}

// reserve gives a job an id that the entry owns.
func (c *cluster) reserve(entry int, req *dispatchv1.SubmitRequest) {
	c.t.Helper()
	c.eventually(func() error {
		resp, err := c.dispatch(entry).Reserve(context.Background(), connect.NewRequest(&dispatchv1.ReserveRequest{Count: 1}))
		if err == nil {
			req.Id = resp.Msg.GetIds()[0]
		}
		return err
	})
}

// submit asks an entry until it makes a claim about the job, and records every answer.
func (c *cluster) submit(l *ledger, entry int, req *dispatchv1.SubmitRequest) *dispatchv1.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	for ctx.Err() == nil {
		resp, err := c.dispatch(entry).Submit(ctx, connect.NewRequest(req))
		if err == nil {
			l.add(answer{request: req, id: req.GetId(), verdict: resp.Msg.GetVerdict(), results: resp.Msg.GetResults()})
			if resp.Msg.GetVerdict().GetReason() != dispatchv1.Reason_REASON_AGAIN {
				return resp.Msg.GetVerdict()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Errorf("entry %d made no claim about job %s", entry, req.GetId())
	return nil
}

// load is callers that submit small jobs all the time through the balancer.
type load struct {
	ledger
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// unanswered holds the errors of requests that got no answer.
	unanswered []error
}

// newLoad starts the callers. Each job has four tasks.
func (c *cluster) newLoad(callers, ms int) *load {
	return startLoad(callers, ms, func() *caller.Client {
		return caller.New(caller.Config{Address: "balancer.invalid", BlockSize: 1, HTTP: c.balanced(false)})
	})
}

// newLoadOn starts callers that use one entry only, so that it gets work even while it is cut off from the others.
func (c *cluster) newLoadOn(entry, callers, ms int) *load {
	return startLoad(callers, ms, func() *caller.Client {
		return caller.New(caller.Config{Address: c.callers[entry], BlockSize: 1})
	})
}

func startLoad(callers, ms int, newClient func() *caller.Client) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for range callers {
		client := newClient()
		l.wg.Go(func() {
			for ctx.Err() == nil {
				l.one(client, ms)
			}
		})
	}
	return l
}

// one submits a job. After an answer that says "not run", the caller goes on with another job.
func (l *load) one(client *caller.Client, ms int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	req := newJob(4, ms)
	resp, err := client.Submit(ctx, req)
	if err != nil {
		if req.GetId() == "" {
			// No id was issued, so nothing was submitted.
			time.Sleep(20 * time.Millisecond)
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.unanswered = append(l.unanswered, err)
		return
	}
	if resp.GetVerdict().GetOutcome() == refused {
		time.Sleep(20 * time.Millisecond)
	}
	l.add(answer{request: req, id: req.GetId(), verdict: resp.GetVerdict(), results: resp.GetResults()})
}

// stop ends the load once every request has its answer.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

// cutOff returns the requests that ended neither complete nor with "not run".
func (l *load) cutOff() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var findings []string
	for _, err := range l.unanswered {
		findings = append(findings, err.Error())
	}
	for _, a := range l.answers {
		out := a.verdict.GetOutcome()
		if out != dispatchv1.Outcome_OUTCOME_COMPLETE && out != dispatchv1.Outcome_OUTCOME_REFUSED {
			findings = append(findings, a.id+": "+a.verdict.String())
		}
	}
	return findings
}
