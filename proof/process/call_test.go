package process

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/caller"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/standin/worker"
)

// callAnswer is the answer to the call with the payload.
type callAnswer struct {
	payload string
	resp    *dispatchv1.CallResponse
}

// startCalls runs callers that make non-idempotent calls, each with a unique payload. The returned function stops them
// and returns the answers.
func (c *cluster) startCalls(callers int) (stop func() []callAnswer) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []callAnswer
	for i := range callers {
		client := caller.New(caller.Config{Address: "balancer.invalid", HTTP: c.balancedClient(true)})
		wg.Go(func() {
			for ctx.Err() == nil {
				payload := fmt.Sprintf("once %d", serialNumber.Add(1))
				if i%2 == 0 {
					payload += strings.Repeat(" ", int(serialNumber.Load()%2000))
				}
				callCtx, cancelCall := context.WithTimeout(context.Background(), waitTimeout)
				resp, err := client.Call(callCtx, &dispatchv1.CallRequest{Team: "proof", Kind: "echo", Payload: []byte(payload)})
				cancelCall()
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				mu.Lock()
				answers = append(answers, callAnswer{payload: payload, resp: resp})
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return func() []callAnswer {
		cancel()
		wg.Wait()
		return answers
	}
}

// verifyCalls checks the answers to calls against the journal and returns a finding for each contradiction.
func verifyCalls(j journal, answers []callAnswer) []string {
	findings := j.duplicateStarts()
	starts := map[string]int{}
	for _, s := range j {
		if s.Call {
			starts[s.Payload]++
		}
	}
	for _, a := range answers {
		v := a.resp.GetVerdict()
		switch {
		case v.GetOutcome() == complete && string(a.resp.GetResult()) != a.payload:
			findings = append(findings, fmt.Sprintf("call %q got the result %q", a.payload, a.resp.GetResult()))
		case v.GetRan() == dispatchv1.Ran_RAN_NOTHING && starts[a.payload] > 0:
			findings = append(findings, fmt.Sprintf("answered \"not run\" for call %q, which has started", a.payload))
		}
	}
	return findings
}

// TestCalls guards against non-idempotent calls that run twice, and against results that reach the wrong caller, while
// links are cut and processes are paused and killed (promises 4, 5 and 6).
func TestCalls(t *testing.T) {
	c := newCluster(t)
	stop := c.startCalls(64)
	steps := []func(){
		func() { c.relays[0].cut(agentName(0), fromEntry) },
		func() { c.relays[0].restore(agentName(0)); c.relays[1].cut(agentName(1), toEntry) },
		func() { c.relays[1].restore(agentName(1)); c.relays[2].cut(agentName(2), bothWays) },
		func() { c.relays[2].restore(agentName(2)); c.agents[3].kill() },
		func() { c.agents[3].start(t); c.agents[2].pause() },
		func() { c.agents[2].resume(); c.entries[1].pause() },
		func() { c.entries[1].resume(); c.entries[0].kill() },
		func() { c.entries[0].start(t) },
	}
	for _, step := range steps {
		step()
		time.Sleep(1500 * time.Millisecond)
	}
	c.waitReady()
	answers := stop()
	completed := 0
	for _, a := range answers {
		if a.resp.GetVerdict().GetOutcome() == complete {
			completed++
		}
	}
	t.Logf("%d of %d calls complete", completed, len(answers))
	assert.Check(t, completed > len(answers)/2)
	checkNoFindings(t, verifyCalls(c.journal(), answers))
}

// TestRetryBudget guards against retries that multiply the load when all backend servers fail, and against an answer
// "not run" to a call whose first attempt ran (promises 5 and 6).
func TestRetryBudget(t *testing.T) {
	c := newCluster(t)
	for i := range agentCount {
		c.setWorkerFaults(i, worker.Faults{Fail: true})
	}
	client := caller.New(caller.Config{Address: "balancer.invalid", HTTP: c.balancedClient(true)})
	const calls = 200
	var mu sync.Mutex
	var answers []callAnswer
	parallel(10, func(int) {
		for range calls / 10 {
			payload := fmt.Sprintf("again %d", serialNumber.Add(1))
			resp, err := client.Call(context.Background(), &dispatchv1.CallRequest{
				Team: "proof", Kind: "echo", Payload: []byte(payload), Idempotent: true, DeadlineMs: 500,
			})
			if assert.Check(t, err) {
				mu.Lock()
				answers = append(answers, callAnswer{payload: payload, resp: resp})
				mu.Unlock()
			}
		}
	})
	starts := c.journal()
	t.Logf("%d starts for %d calls", len(starts), calls)
	assert.Check(t, len(starts) <= calls*12/10, "%d starts for %d calls", len(starts), calls)
	checkNoFindings(t, verifyCalls(starts, answers))
}

// TestJudgeCalls guards against a check of calls that passes whatever happened: it must report falsified journals and
// answers.
func TestJudgeCalls(t *testing.T) {
	journalOfOne := journal{{Call: true, Payload: "once 1"}}
	matching := callAnswer{"once 1", &dispatchv1.CallResponse{Verdict: &dispatchv1.Verdict{Outcome: complete}, Result: []byte("once 1")}}
	crossed := callAnswer{"once 2", matching.resp}
	notRun := callAnswer{"once 1", &dispatchv1.CallResponse{Verdict: &dispatchv1.Verdict{Outcome: refused, Ran: dispatchv1.Ran_RAN_NOTHING}}}
	assert.Equal(t, len(verifyCalls(journalOfOne, []callAnswer{matching})), 0)
	assert.Equal(t, len(verifyCalls(append(journalOfOne, journalOfOne...), []callAnswer{matching})), 1)
	assert.Equal(t, len(verifyCalls(journalOfOne, []callAnswer{crossed})), 1)
	assert.Equal(t, len(verifyCalls(journalOfOne, []callAnswer{notRun})), 1)
}

// TestRetryRefused guards against an answer "not run" to an idempotent call whose first attempt ran and whose retry was
// refused by an entry that is shutting down (promise 5).
func TestRetryRefused(t *testing.T) {
	c := newCluster(t)
	const calls = 8
	answers := make([]callAnswer, calls)
	parallel(calls+1, func(i int) {
		if i < calls {
			payload := fmt.Sprintf("600 again %d", serialNumber.Add(1))
			resp, err := caller.New(caller.Config{Address: c.callerAddresses[0]}).Call(context.Background(), &dispatchv1.CallRequest{
				Team: "proof", Kind: "sleep", Payload: []byte(payload), Idempotent: true,
			})
			assert.Check(t, err)
			answers[i] = callAnswer{payload: payload, resp: resp}
			return
		}
		c.eventually(func() error {
			if n := len(c.journal()); n < calls {
				return fmt.Errorf("%d calls have started", n)
			}
			return nil
		})
		go c.entries[0].stop(t)
		c.eventually(func() error {
			_, err := c.dispatchClient(0).Reserve(context.Background(), connect.NewRequest(&dispatchv1.ReserveRequest{Count: 1}))
			if err == nil {
				return errors.New("the entry still reserves ids, so it is not shutting down yet")
			}
			return nil
		})
		for w := range agentCount {
			c.killWorker(w)
		}
	})
	checkNoFindings(t, verifyCalls(c.journal(), answers))
}
