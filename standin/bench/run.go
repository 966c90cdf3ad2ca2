package bench

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/caller"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

const (
	// warmTasks is the number of tasks in each of the warmRounds jobs that run through each entry before the
	// measurement, so that no worker counts as new any more.
	warmTasks  = 300
	warmRounds = 2
	// responseTimeout bounds the wait for responses after the last arrival.
	responseTimeout = 90 * time.Second
	// leadTime is the time between the end of the set-up and the start of the trace.
	leadTime = 200 * time.Millisecond
)

// response is what a caller got for one arrival.
type response struct {
	id      string
	took    time.Duration
	verdict *dispatchv1.Verdict
	err     error
}

func (r response) complete() bool {
	return r.err == nil && r.verdict.GetOutcome() == dispatchv1.Outcome_OUTCOME_COMPLETE
}

// runner drives one trace through a system.
type runner struct {
	cfg       Config
	sys       *system
	trace     []arrival
	clients   [][]*caller.Client
	start     time.Time
	responses []response
	outage    *outage
	wg        sync.WaitGroup
}

// Run runs one bench and returns its report. It takes the time of the arrivals and some time to start and to drain.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	trace, err := newTrace(cfg)
	if err != nil {
		return nil, err
	}
	before := loadAverage()
	sys, err := newSystem(cfg)
	if err != nil {
		return nil, err
	}
	defer sys.close()
	r := &runner{cfg: cfg, sys: sys, trace: trace, responses: make([]response, len(trace))}
	r.connect()
	if err := r.warmUp(ctx); err != nil {
		return nil, err
	}
	r.injectFaults()
	// All counts leave out the starts of the warm-up.
	runtime.GC()
	first := countFrames(sys)
	cpu := processorTime()
	r.start = time.Now().Add(leadTime)
	failed := make(chan error, 1)
	go func() { failed <- r.leaveAndReturn(ctx) }()
	r.sendTrace(ctx)
	if err := <-failed; err != nil {
		return nil, err
	}
	elapsed := time.Since(r.start)
	cpu = processorTime() - cpu
	rep := newReport(r, countFrames(sys).since(first))
	rep.Seconds = elapsed.Seconds()
	rep.Cores = cpu.Seconds() / elapsed.Seconds()
	rep.LoadAverage = [2]float64{before, loadAverage()}
	return rep, nil
}

// connect creates one client for each team, or one for each team and entry if callers are pinned.
func (r *runner) connect() {
	for range teamCount {
		var clients []*caller.Client
		if r.cfg.Balance == "pinned" {
			for i := range r.sys.entries {
				clients = append(clients, r.sys.client(i))
			}
		} else {
			clients = append(clients, r.sys.balancedClient())
		}
		r.clients = append(r.clients, clients)
	}
}

func (r *runner) client(a arrival) *caller.Client {
	clients := r.clients[a.team]
	return clients[a.entry%len(clients)]
}

// warmUp runs short tasks through each entry.
func (r *runner) warmUp(ctx context.Context) error {
	for i := range r.sys.entries {
		c := r.sys.client(i)
		for range warmRounds {
			req := &dispatchv1.SubmitRequest{Team: "warm", Class: dispatchv1.Class_CLASS_BATCH}
			for range warmTasks {
				req.Tasks = append(req.Tasks, &dispatchv1.TaskSpec{Kind: "sleep", Payload: []byte("20"), DeclaredMs: 20})
			}
			resp, err := c.Submit(ctx, req)
			if err != nil {
				return eris.Wrapf(ErrSystem, "warm-up: %v", err)
			}
			if resp.GetVerdict().GetOutcome() != dispatchv1.Outcome_OUTCOME_COMPLETE {
				return eris.Wrapf(ErrSystem, "warm-up: %s", resp.GetVerdict().GetMessage())
			}
		}
	}
	return nil
}

// sendTrace sends every arrival at its time and waits for all responses.
func (r *runner) sendTrace(ctx context.Context) {
	last := time.Duration(r.cfg.Seconds) * time.Second
	ctx, cancel := context.WithDeadline(ctx, r.start.Add(last+responseTimeout))
	defer cancel()
	for i := range r.trace {
		pause(time.Until(r.start.Add(r.trace[i].at)))
		if ctx.Err() != nil {
			return
		}
		r.wg.Go(func() { r.send(ctx, i) })
	}
	r.wg.Wait()
}

// send submits one arrival and records the response. Response times count from the time at which it was due.
func (r *runner) send(ctx context.Context, i int) {
	a := r.trace[i]
	if a.call {
		resp, err := r.client(a).Call(ctx, &dispatchv1.CallRequest{
			Team: teamName(a.team), Kind: "sleep", Payload: payload(int64(a.runs[0])), Idempotent: true,
		})
		r.responses[i] = response{took: r.since(a), verdict: resp.GetVerdict(), err: err}
		return
	}
	c := r.client(a)
	id, err := c.Reserve(ctx)
	if err != nil {
		r.responses[i] = response{err: err}
		return
	}
	if a.cancel > 0 {
		cancel := time.AfterFunc(time.Until(r.start.Add(a.cancel)), func() {
			// A cancellation that fails shows in the report as a job that completed.
			_, _ = c.Cancel(ctx, id)
		})
		defer cancel.Stop()
	}
	req := &dispatchv1.SubmitRequest{Id: id, Team: teamName(a.team), Class: dispatchv1.Class_CLASS_BATCH}
	if a.class == lavendercourse.ClassQuick {
		req.Class = dispatchv1.Class_CLASS_QUICK
	}
	for n, run := range a.runs {
		req.Tasks = append(req.Tasks, &dispatchv1.TaskSpec{
			Kind: "sleep", Payload: payload(int64(run)), DeclaredMs: uint32(a.declared[n]),
		})
	}
	resp, err := c.Submit(ctx, req)
	r.responses[i] = response{id: id, took: r.since(a), verdict: resp.GetVerdict(), err: err}
}

func (r *runner) since(a arrival) time.Duration { return time.Since(r.start) - a.at }

// injectFaults sets the faults of the workers that the shape makes faulty.
func (r *runner) injectFaults() {
	for i := range r.faultyWorkers() {
		f := shapeFaults(r.cfg.Shape)
		r.sys.nodes[i*rackSize].worker.SetFaults(f)
	}
}

// faultyWorkers returns the number of workers with injected faults. They are in different racks.
func (r *runner) faultyWorkers() int {
	switch r.cfg.Shape {
	case "fail":
		return 1
	case "straggle":
		return 2
	}
	return 0
}

// leaveAndReturn takes a failure domain out of service and brings it back. The recorded times are the strictest for the
// system: a drain counts from when it is accepted, a return from when it is requested.
func (r *runner) leaveAndReturn(ctx context.Context) error {
	if !r.cfg.outage() {
		return nil
	}
	o := &outage{group: 1, kill: r.cfg.Shape == "kill"}
	pause(time.Until(r.start.Add(time.Duration(outageStart * float64(r.cfg.Seconds) * float64(time.Second)))))
	if err := r.leave(ctx, o); err != nil {
		return err
	}
	o.leave = time.Since(r.start)
	pause(outageDuration)
	o.back = time.Since(r.start)
	r.outage = o
	if !o.kill {
		return r.setDomain(ctx, o.group, false)
	}
	for _, n := range r.sys.nodes {
		if n.group == o.group {
			if err := n.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *runner) leave(ctx context.Context, o *outage) error {
	if !o.kill {
		return r.setDomain(ctx, o.group, true)
	}
	for _, n := range r.sys.nodes {
		if n.group == o.group {
			n.kill()
		}
	}
	return nil
}

func (r *runner) setDomain(ctx context.Context, group int, drained bool) error {
	resp, err := r.sys.operator(0).SetDomain(ctx, connect.NewRequest(&dispatchv1.SetDomainRequest{
		Domain: r.sys.net.domains[group], Drained: drained,
	}))
	if err != nil {
		return eris.Wrapf(ErrSystem, "set domain: %v", err)
	}
	if !resp.Msg.GetAccepted() {
		return eris.Wrapf(ErrSystem, "set domain: %s", resp.Msg.GetMessage())
	}
	return nil
}

// processorTime returns the user and system CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func teamName(i int) string { return fmt.Sprint("team-", i) }

func payload(ms int64) []byte { return fmt.Append(nil, ms) }
