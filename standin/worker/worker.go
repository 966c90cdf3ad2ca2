// Package worker provides a stand-in for a backend server in tests, benchmarks and the demo. It records every start in
// a journal, which is the independent record that guarantees are checked against.
package worker

import (
	"context"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"

	workerv1 "github.com/lavendercourse/lavendercourse/schema/worker/v1"
	"github.com/lavendercourse/lavendercourse/schema/worker/v1/workerv1connect"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// Config holds the settings of the stand-in.
type Config struct {
	Name   string
	Domain string
	// Tracer traces requests. It may be nil.
	Tracer *telemetry.Tracer
}

// Faults selects the faults that the stand-in injects. They can be changed while it runs.
type Faults struct {
	// Fail makes all tasks and calls fail.
	Fail bool `json:"fail"`
	// Hang makes all tasks and calls run until they are stopped.
	Hang bool `json:"hang"`
	// Lag scales run times, in percent. 0 and 100 leave them unchanged.
	Lag int `json:"lag"`
}

// Start is a journal entry: the start of a task or call.
type Start struct {
	Job    string    `json:"job"`
	Task   uint32    `json:"task"`
	Call   bool      `json:"call"`
	Worker string    `json:"worker"`
	Domain string    `json:"domain"`
	Time   time.Time `json:"time"`
	// Payload is set for calls only, so that a call can be traced to its sender.
	Payload string `json:"payload,omitempty"`
}

type taskKey struct {
	job  string
	task uint32
}

// Worker is a stand-in for a backend server.
type Worker struct {
	cfg     Config
	mu      sync.Mutex
	faults  Faults
	journal []Start
	cancels map[taskKey]context.CancelFunc
	usages  []*workerv1.Usage
}

// New returns a stand-in without faults.
func New(cfg Config) *Worker {
	return &Worker{cfg: cfg, cancels: map[taskKey]context.CancelFunc{}}
}

// Register adds the handler of the worker service to a router.
func (w *Worker) Register(r *mux.Router) {
	path, handler := workerv1connect.NewWorkerServiceHandler(w, connect.WithInterceptors(w.cfg.Tracer.Interceptor()))
	r.PathPrefix(path).Handler(handler)
}

// SetFaults replaces the faults that the stand-in injects.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Journal returns all starts so far, in order.
func (w *Worker) Journal() []Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Start(nil), w.journal...)
}

// Run implements WorkerService. The payload of the kinds sleep and burn is the run time in ms; other kinds take 1 ms.
// The result is the payload.
func (w *Worker) Run(ctx context.Context, req *connect.Request[workerv1.RunRequest]) (*connect.Response[workerv1.RunResponse], error) {
	m := req.Msg
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	key := taskKey{job: m.GetJob(), task: m.GetTask()}
	w.begin(Start{Job: m.GetJob(), Task: m.GetTask()}, key, cancel)
	began := time.Now()
	failure := w.execute(ctx, m.GetKind(), m.GetPayload())
	w.end(key, m.GetKind(), time.Since(began))
	resp := &workerv1.RunResponse{Error: failure}
	if failure == "" {
		resp.Result = m.GetPayload()
	}
	return connect.NewResponse(resp), nil
}

// Call implements WorkerService. The result is the payload.
func (w *Worker) Call(ctx context.Context, req *connect.Request[workerv1.CallRequest]) (*connect.Response[workerv1.CallResponse], error) {
	m := req.Msg
	w.begin(Start{Job: m.GetId(), Call: true, Payload: string(m.GetPayload())}, taskKey{}, nil)
	failure := w.execute(ctx, m.GetKind(), m.GetPayload())
	resp := &workerv1.CallResponse{Error: failure}
	if failure == "" {
		resp.Result = m.GetPayload()
	}
	return connect.NewResponse(resp), nil
}

// Stop implements WorkerService.
func (w *Worker) Stop(_ context.Context, req *connect.Request[workerv1.StopRequest]) (*connect.Response[workerv1.StopResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cancel := w.cancels[taskKey{job: req.Msg.GetJob(), task: req.Msg.GetTask()}]; cancel != nil {
		cancel()
	}
	return connect.NewResponse(&workerv1.StopResponse{}), nil
}

// Checkpoint implements WorkerService. The stand-in has no progress to save.
func (w *Worker) Checkpoint(context.Context, *connect.Request[workerv1.CheckpointRequest]) (*connect.Response[workerv1.CheckpointResponse], error) {
	return connect.NewResponse(&workerv1.CheckpointResponse{}), nil
}

// Throttle implements WorkerService. The stand-in's tasks use no processor time that could be limited.
func (w *Worker) Throttle(context.Context, *connect.Request[workerv1.ThrottleRequest]) (*connect.Response[workerv1.ThrottleResponse], error) {
	return connect.NewResponse(&workerv1.ThrottleResponse{}), nil
}

// Usage implements WorkerService. It reports the tasks that ended since the last report.
func (w *Worker) Usage(context.Context, *connect.Request[workerv1.UsageRequest]) (*connect.Response[workerv1.UsageResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	resp := &workerv1.UsageResponse{Usages: w.usages}
	w.usages = nil
	return connect.NewResponse(resp), nil
}

// List implements WorkerService.
func (w *Worker) List(context.Context, *connect.Request[workerv1.ListRequest]) (*connect.Response[workerv1.ListResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	resp := &workerv1.ListResponse{}
	for key := range w.cancels {
		resp.Tasks = append(resp.Tasks, &workerv1.RunningTask{Job: key.job, Task: key.task})
	}
	return connect.NewResponse(resp), nil
}

func (w *Worker) begin(s Start, key taskKey, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.Worker, s.Domain, s.Time = w.cfg.Name, w.cfg.Domain, time.Now()
	w.journal = append(w.journal, s)
	if cancel != nil {
		w.cancels[key] = cancel
	}
}

func (w *Worker) end(key taskKey, kind string, run time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cancels, key)
	if len(w.usages) < 10_000 {
		w.usages = append(w.usages, &workerv1.Usage{Job: key.job, Task: key.task, Kind: kind, CpuMs: uint32(run.Milliseconds())})
	}
}

// execute executes a task or call, and returns its error text, or an empty text if it succeeded.
func (w *Worker) execute(ctx context.Context, kind string, payload []byte) string {
	w.mu.Lock()
	f := w.faults
	w.mu.Unlock()
	span := runTime(kind, payload)
	if f.Lag > 0 {
		span = span * time.Duration(f.Lag) / 100
	}
	switch {
	case f.Fail || kind == "fail":
		return "failed as told"
	case f.Hang || kind == "hang":
		<-ctx.Done()
		return "stopped"
	case kind == "burn":
		burn(ctx, span)
	default:
		select {
		case <-ctx.Done():
		case <-time.After(span):
		}
	}
	if ctx.Err() != nil {
		return "stopped"
	}
	return ""
}

func runTime(kind string, payload []byte) time.Duration {
	ms := 1
	if kind == "sleep" || kind == "burn" {
		// Text after the number is ignored, so that payloads with the same run time can differ.
		digits := payload
		for i, b := range payload {
			if b < '0' || b > '9' {
				digits = payload[:i]
				break
			}
		}
		if n, err := strconv.Atoi(string(digits)); err == nil {
			ms = n
		}
	}
	return time.Duration(ms) * time.Millisecond
}

// burn keeps one core busy for span or until ctx ends.
func burn(ctx context.Context, span time.Duration) {
	end := time.Now().Add(span)
	for sum := 0; time.Now().Before(end) && ctx.Err() == nil; sum++ {
		sum ^= sum << 1
	}
}
