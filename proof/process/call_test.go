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

type callAnswer struct {
	payload string
	resp    *dispatchv1.CallResponse
}

// calls makes non-idempotent calls with payloads of their own from many callers until stopped.
func (c *cluster) calls(callers int) (stop func() []callAnswer) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []callAnswer
	for i := range callers {
		client := caller.New(caller.Config{Address: "balancer.invalid", HTTP: c.balanced(true)})
		wg.Go(func() {
			for ctx.Err() == nil {
				payload := fmt.Sprintf("once %d", serial.Add(1))
				if i%2 == 0 {
					payload += strings.Repeat(" ", int(serial.Load()%2000))
				}
				one, end := context.WithTimeout(context.Background(), patience)
				resp, err := client.Call(one, &dispatchv1.CallRequest{Team: "proof", Kind: "echo", Payload: []byte(payload)})
				end()
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

// judgeCalls compares the answers of calls with the journal.
func judgeCalls(j journal, answers []callAnswer) []string {
	findings := j.startedTwice()
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
			findings = append(findings, fmt.Sprintf("call %q got the answer %q", a.payload, a.resp.GetResult()))
		case v.GetRan() == dispatchv1.Ran_RAN_NOTHING && starts[a.payload] > 0:
			findings = append(findings, fmt.Sprintf("said \"not run\" of call %q", a.payload))
		}
	}
	return findings
}

// TestCalls guards against non-idempotent calls that run twice and against crossed answers, under cuts and kills
// (promises 4, 5 and 6).
func TestCalls(t *testing.T) {
	c := newCluster(t)
	stop := c.calls(64)
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
	c.ready()
	answers := stop()
	whole := 0
	for _, a := range answers {
		if a.resp.GetVerdict().GetOutcome() == complete {
			whole++
		}
	}
	t.Logf("%d of %d calls complete", whole, len(answers))
	assert.Check(t, whole > len(answers)/2)
	check(t, judgeCalls(c.journal(), answers))
}

// TestRetryBudget guards against retries that multiply the load when all workers fail, and against a "not run" for a
// call whose first attempt ran (promises 5 and 6).
func TestRetryBudget(t *testing.T) {
	c := newCluster(t)
	for i := range agents {
		c.workerFaults(i, worker.Faults{Fail: true})
	}
	client := caller.New(caller.Config{Address: "balancer.invalid", HTTP: c.balanced(true)})
	const calls = 200
	var mu sync.Mutex
	var answers []callAnswer
	parallel(10, func(int) {
		for range calls / 10 {
			payload := fmt.Sprintf("again %d", serial.Add(1))
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
	j := c.journal()
	t.Logf("%d sends for %d calls", len(j), calls)
	assert.Check(t, len(j) <= calls*12/10, "%d sends for %d calls", len(j), calls)
	check(t, judgeCalls(j, answers))
}

// TestJudgeCalls shows that the check of calls reports falsified journals and answers.
func TestJudgeCalls(t *testing.T) {
	ran := journal{{Call: true, Payload: "once 1"}}
	whole := callAnswer{"once 1", &dispatchv1.CallResponse{Verdict: &dispatchv1.Verdict{Outcome: complete}, Result: []byte("once 1")}}
	crossed := callAnswer{"once 2", whole.resp}
	unrun := callAnswer{"once 1", &dispatchv1.CallResponse{Verdict: &dispatchv1.Verdict{Outcome: refused, Ran: dispatchv1.Ran_RAN_NOTHING}}}
	assert.Equal(t, len(judgeCalls(ran, []callAnswer{whole})), 0)
	assert.Equal(t, len(judgeCalls(append(ran, ran...), []callAnswer{whole})), 1)
	assert.Equal(t, len(judgeCalls(ran, []callAnswer{crossed})), 1)
	assert.Equal(t, len(judgeCalls(ran, []callAnswer{unrun})), 1)
}

// TestRetryRefused guards against a "not run" for an idempotent call whose first attempt ran and whose retry was
// refused by an entry that is stopping (promise 5).
func TestRetryRefused(t *testing.T) {
	c := newCluster(t)
	const calls = 8
	answers := make([]callAnswer, calls)
	parallel(calls+1, func(i int) {
		if i < calls {
			payload := fmt.Sprintf("600 again %d", serial.Add(1))
			resp, err := caller.New(caller.Config{Address: c.callers[0]}).Call(context.Background(), &dispatchv1.CallRequest{
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
			_, err := c.dispatch(0).Reserve(context.Background(), connect.NewRequest(&dispatchv1.ReserveRequest{Count: 1}))
			if err == nil {
				return errors.New("the entry is not stopping yet")
			}
			return nil
		})
		for w := range agents {
			c.killWorker(w)
		}
	})
	check(t, judgeCalls(c.journal(), answers))
}
