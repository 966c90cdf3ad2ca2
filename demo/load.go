package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/caller"
	"github.com/lavendercourse/lavendercourse/clock"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

const (
	// jobPeriod and callPeriod leave enough slots free for a failure domain to be drained.
	jobPeriod  = 120 * time.Millisecond
	callPeriod = 100 * time.Millisecond
	// responseTimeout is far above the time that any job of the demo needs.
	responseTimeout = 60 * time.Second
	// impossibleMemoryMB exceeds the memory of every worker.
	impossibleMemoryMB = 1 << 20
)

// jobVariant selects the behavior that a job of the workload exercises.
type jobVariant int

const (
	plain jobVariant = iota
	// resubmitted goes through two other entries too, while it runs.
	resubmitted
	cancelled
	// conflicting is followed by another body with the same id.
	conflicting
	impossible
)

// load submits a mixed workload and records the responses.
type load struct {
	system  *system
	clients []*caller.Client
	wg      sync.WaitGroup

	mu          sync.Mutex
	rand        *rand.Rand
	submissions []Submission
	calls       []Call
	sent        int
}

func newLoad(s *system, seed uint64) *load {
	l := &load{system: s, rand: rand.New(rand.NewPCG(seed, seed))}
	for _, address := range s.callers {
		l.clients = append(l.clients, caller.New(caller.Config{Address: address}))
	}
	return l
}

// run submits work until ctx ends, and then waits for all responses.
func (l *load) run(ctx context.Context) {
	jobs, calls := time.NewTicker(jobPeriod), time.NewTicker(callPeriod)
	defer jobs.Stop()
	defer calls.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			l.wg.Wait()
			return
		case <-jobs.C:
			l.wg.Go(l.submitJob)
		case <-calls.C:
			l.wg.Go(l.sendCall)
		}
	}
}

// progress returns the numbers of requests sent and answered.
func (l *load) progress() (sent, answered int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent, len(l.submissions) + len(l.calls)
}

// submitJob submits one job and then resubmits, cancels or conflicts with it as its variant requires.
func (l *load) submitJob() {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	variant, req, client := l.nextJob()
	id, err := l.clients[client].Reserve(ctx)
	if err != nil {
		l.record(req, false, nil, err)
		return
	}
	req.Id = id
	l.wg.Go(func() { l.submit(client, req, variant == plain || variant == resubmitted || variant == conflicting) })
	switch variant {
	case resubmitted:
		for i := range l.clients {
			if i != client {
				l.wg.Go(func() { l.submit(i, req, true) })
			}
		}
	case cancelled:
		l.cancel(ctx, client, id)
	case conflicting:
		l.conflict(ctx, client, req)
	}
}

// nextJob generates a random job and chooses the client that submits it. Most jobs are small, a few have some hundred
// tasks. Tasks last 50 ms to 1 s.
func (l *load) nextJob() (jobVariant, *dispatchv1.SubmitRequest, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	variant := []jobVariant{
		plain, plain, plain, resubmitted, plain, plain, plain, cancelled, plain, plain, conflicting, plain, impossible, plain,
	}[l.sent%14]
	n := 1 + l.rand.IntN(20)
	req := &dispatchv1.SubmitRequest{Team: "proofs", Class: dispatchv1.Class_CLASS_QUICK}
	if l.rand.IntN(3) == 0 {
		req.Team, req.Class = "layouts", dispatchv1.Class_CLASS_BATCH
		if l.rand.IntN(5) == 0 {
			n = 100 + l.rand.IntN(150)
		}
	}
	for i := range n {
		// Most tasks are short; the payload is unique, so that crossed results are noticed.
		ms := 50 + l.rand.IntN(1+l.rand.IntN(951))
		t := &dispatchv1.TaskSpec{Kind: "sleep", Payload: fmt.Appendf(nil, "%d ms, job %d, task %d", ms, l.sent, i), DeclaredMs: uint32(ms)}
		if variant == impossible {
			t.MemoryMb = impossibleMemoryMB
		}
		req.Tasks = append(req.Tasks, t)
	}
	return variant, req, l.rand.IntN(len(l.clients))
}

func (l *load) submit(client int, req *dispatchv1.SubmitRequest, plain bool) {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	resp, err := l.clients[client].Submit(ctx, req)
	l.record(req, plain, resp, err)
}

// cancel ends a job once it is known and not all of it has run.
func (l *load) cancel(ctx context.Context, client int, id string) {
	for ctx.Err() == nil {
		resp, err := l.clients[client].Status(ctx, id)
		if err == nil && (resp.GetRunning() > 0 || resp.GetVerdict().GetReason() == dispatchv1.Reason_REASON_UNSPECIFIED) {
			break
		}
		pause(ctx, 10)
	}
	// A job that had ended is recorded with its own outcome.
	_, _ = l.clients[client].Cancel(ctx, id)
}

// conflict submits a larger body with the id of a job that is known already.
func (l *load) conflict(ctx context.Context, client int, req *dispatchv1.SubmitRequest) {
	other := &dispatchv1.SubmitRequest{Id: req.GetId(), Team: req.GetTeam(), Class: req.GetClass()}
	for i := range len(req.GetTasks()) + 5 {
		other.Tasks = append(other.Tasks, &dispatchv1.TaskSpec{Kind: "sleep", Payload: fmt.Appendf(nil, "50 ms, not to run, task %d", i)})
	}
	for ctx.Err() == nil {
		resp, err := l.clients[client].Status(ctx, req.GetId())
		if err == nil && resp.GetVerdict().GetOutcome() != dispatchv1.Outcome_OUTCOME_UNKNOWN {
			break
		}
		pause(ctx, 10)
	}
	l.submit((client+1)%len(l.clients), other, false)
}

// sendCall sends one call. Every second one is idempotent.
func (l *load) sendCall() {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	l.mu.Lock()
	l.sent++
	c := Call{Payload: fmt.Sprintf("%d ms, call %d", 50+l.rand.IntN(200), l.sent), Idempotent: l.sent%2 == 0}
	client := l.rand.IntN(len(l.clients))
	l.mu.Unlock()
	resp, err := l.clients[client].Call(ctx, &dispatchv1.CallRequest{
		Team: "checks", Kind: "sleep", Payload: []byte(c.Payload), Idempotent: c.Idempotent,
	})
	var results [][]byte
	if resp.GetVerdict().GetOutcome() == dispatchv1.Outcome_OUTCOME_COMPLETE {
		results = [][]byte{resp.GetResult()}
	}
	c.Response = responseOf(resp.GetVerdict(), results, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

func (l *load) record(req *dispatchv1.SubmitRequest, plain bool, resp *dispatchv1.SubmitResponse, err error) {
	s := Submission{ID: req.GetId(), Plain: plain, Response: responseOf(resp.GetVerdict(), resp.GetResults(), err)}
	for _, t := range req.GetTasks() {
		s.Payloads = append(s.Payloads, string(t.GetPayload()))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submissions = append(l.submissions, s)
}

func responseOf(v *dispatchv1.Verdict, results [][]byte, err error) Response {
	if err != nil {
		return Response{Failure: err.Error()}
	}
	r := Response{
		Outcome: lavendercourse.Outcome(v.GetOutcome()), Reason: lavendercourse.Reason(v.GetReason()),
		Ran: v.GetRan() != dispatchv1.Ran_RAN_NOTHING,
	}
	for _, b := range results {
		r.Results = append(r.Results, string(b))
	}
	return r
}

// pause waits for the given time, or until ctx ends.
func pause(ctx context.Context, duration clock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(duration.Duration()):
	}
}
