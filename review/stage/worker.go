package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is heartbeatIntervalMs of the platform's settings.
	heartbeatInterval = 1500 * time.Millisecond
	// holdMax is holdMaxMs: longer leases are shortened to it.
	holdMax = time.Second
	// stopTime is the time that a stop takes, within stopMs.
	stopTime = 20 * time.Millisecond
	// workerPoll is the time between two looks at the runs of a worker.
	workerPoll = 2 * time.Millisecond
	// maxListedEnds is the number of ends in one answer.
	maxListedEnds = 500
	// idleTimeout is the time after which a worker closes a channel without calls, as servers do.
	idleTimeout   = 2 * time.Second
	workerCPU     = 32000
	workerMemory  = 65536
	workerService = "storefront"
)

type workerRun struct {
	execution *execution
	task      string
	run       int
	cpu       int
	length    time.Duration
	began     time.Time
	// stopAt is the time at which a stop takes effect, or zero.
	stopAt time.Time
}

// worker is one life of a stand-in worker. It serves the calls of its runner and sends heartbeats.
type worker struct {
	id      string
	born    int64
	domain  string
	reports string
	ledger  *ledger
	began   time.Time
	server  *http.Server
	done    chan struct{}

	mu       sync.Mutex
	listener net.Listener
	token    int64
	leaseEnd time.Duration
	running  map[string]*workerRun
	// highest holds the highest run that was started or stopped, by task.
	highest  map[string]int
	ended    [][]any
	lastEnd  int
	sequence int
	draining bool
	// drainAcked is set once a heartbeat with the state draining was acknowledged.
	drainAcked bool
	closed     bool
}

func newWorker(id, domain, reports string, l *ledger) *worker {
	w := &worker{
		id: id, born: time.Now().UnixMilli(), domain: domain, reports: reports, ledger: l, began: time.Now(), done: make(chan struct{}),
		running: map[string]*workerRun{}, highest: map[string]int{},
	}
	w.server = &http.Server{Handler: w, IdleTimeout: idleTimeout}
	go w.loop(workerPoll, w.step)
	return w
}

func (w *worker) loop(period time.Duration, do func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-t.C:
			do()
		}
	}
}

// bind takes the address.
func (w *worker) bind(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener = l
	w.mu.Unlock()
	go func() { _ = w.server.Serve(l) }()
	return nil
}

// register begins to send heartbeats.
func (w *worker) register() {
	w.ledger.note("%s registers", w)
	go func() {
		w.heartbeat()
		w.loop(heartbeatInterval, w.heartbeat)
	}()
}

// heartbeats returns the number of heartbeats so far.
func (w *worker) heartbeats() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence
}

// refuse closes the address and keeps the open connections, as a server that drains does.
func (w *worker) refuse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.listener.Close()
}

// leave makes the worker report that it drains, at once and from now on.
func (w *worker) leave() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.ledger.note("worker %s is told to leave", w.id)
	w.heartbeat()
}

// deregister tells the runner that the worker is about to end, and ends it.
func (w *worker) deregister() {
	_ = w.report("deregister", nil)
	w.close("left")
}

// close ends the worker with all its runs.
func (w *worker) close(how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	close(w.done)
	for _, r := range w.running {
		w.end(r, how)
	}
	_ = w.server.Close()
	w.ledger.note("worker %s has ended: %s", w.id, how)
}

// heartbeat sends one status report.
func (w *worker) heartbeat() {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	draining := w.draining
	body, _ := json.Marshal(map[string]any{
		"service": workerService, "address": "", "zone": w.domain, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpu": 0}, "labels": []string{"a", "r1"},
		"clockMs": w.clock(), "seq": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	acked := w.report("heartbeat", body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if draining && acked && !w.drainAcked {
		w.drainAcked = true
		w.ledger.note("worker %s: its report that it drains is acknowledged", w.id)
	}
}

// report sends a status report and returns whether it was acknowledged within a second.
func (w *worker) report(kind string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.reports+"/instances/"+w.id+"/"+kind, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() }

// step ends the runs that are done, stopped, or have outlived the lease.
func (w *worker) step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range w.running {
		switch {
		case time.Since(w.began) > w.leaseEnd:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.end(r, "stopped")
		case now.Sub(r.began) >= r.length:
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *workerRun, how string) {
	delete(w.running, r.task)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.run, how, ""})
	w.ledger.end(r.execution, how)
}

type workerCall struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"untilMs"`
	Token int64  `json:"fencingToken"`
	Seen  int    `json:"lastSeen"`
	Wait  int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var c workerCall
	if json.Unmarshal(body, &c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/run-start":
		w.serveStart(rw, c)
	case "/run-stop":
		w.serveStop(rw, c)
	case "/hold":
		w.serveHold(rw, r, c)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// answer answers a call, with 409 if there is a reason for a refusal. The caller holds the mutex.
func (w *worker) answer(rw http.ResponseWriter, reason string, fields map[string]any) {
	body := map[string]any{"clockMs": w.clock(), "born": w.born}
	for k, v := range fields {
		body[k] = v
	}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	writeJSON(rw, status, body)
}

// fenced reports whether the worker has seen a higher token. The caller holds the mutex.
func (w *worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *worker) extend(until int64) {
	end := min(time.Duration(until)*time.Millisecond, time.Since(w.began)+holdMax)
	w.leaseEnd = max(w.leaseEnd, end)
}

func (w *worker) serveStart(rw http.ResponseWriter, c workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		panic(http.ErrAbortHandler)
	}
	present := w.running[c.Task]
	switch {
	case w.fenced(c.Token):
		w.answer(rw, "fence", nil)
		return
	case present != nil && present.run == c.Run:
		w.extend(c.Until)
		w.answer(rw, "", nil)
		return
	case c.Run <= w.highest[c.Task]:
		w.extend(c.Until)
		w.answer(rw, "old", nil)
		return
	case w.clock() > c.Until:
		w.answer(rw, "late", nil)
		return
	}
	w.extend(c.Until)
	cpu, length := parseSpec(c.Spec, c.Task)
	w.highest[c.Task] = c.Run
	w.running[c.Task] = &workerRun{
		execution: w.ledger.begin(w.id, c.Task, c.Run), task: c.Task, run: c.Run, cpu: cpu, length: length, began: time.Now(),
	}
	w.answer(rw, "", nil)
}

func (w *worker) serveStop(rw http.ResponseWriter, c workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c.Token) {
		w.answer(rw, "fence", nil)
		return
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.run <= c.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	w.answer(rw, "", nil)
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request, c workerCall) {
	w.mu.Lock()
	if w.fenced(c.Token) {
		w.answer(rw, "fence", nil)
		w.mu.Unlock()
		return
	}
	if c.Until > 0 {
		w.extend(c.Until)
	}
	for len(w.ended) > 0 && w.ended[0][0].(int) <= c.Seen {
		w.ended = w.ended[1:]
	}
	w.mu.Unlock()
	deadline := time.Now().Add(time.Duration(c.Wait) * time.Millisecond)
	for time.Now().Before(deadline) && r.Context().Err() == nil && !w.hasEnds() {
		time.Sleep(workerPoll)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, run := range w.running {
		percent := min(int(100*time.Since(run.began)/max(run.length, 1)), 99)
		running = append(running, []any{run.task, run.run, "", percent, run.cpu})
	}
	w.answer(rw, "", map[string]any{"running": running, "ended": w.ended[:min(len(w.ended), maxListedEnds)]})
}

func (w *worker) hasEnds() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ended) > 0
}

// runs returns the number of runs on the worker.
func (w *worker) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// parseSpec returns the processor need and the run time of a task. The spec of a job holds the processor need in thousandths of a
// core and the run times in ms of its steps, as in "3100 900 200". Another spec gives a task that ends at once.
func parseSpec(spec, task string) (int, time.Duration) {
	fields := strings.Fields(spec)
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0, 0
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step+1 >= len(fields) {
		return 0, 0
	}
	// Fields of another form count as 0.
	cpu, _ := strconv.Atoi(fields[0])
	ms, _ := strconv.Atoi(fields[step+1])
	return cpu, time.Duration(ms) * time.Millisecond
}

// String returns the name of the worker, for the record.
func (w *worker) String() string { return fmt.Sprintf("worker %s, born %d", w.id, w.born) }
