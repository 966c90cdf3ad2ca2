package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatPeriod is the time between two status reports of a worker (heartbeatIntervalMs).
	heartbeatPeriod = 1500 * time.Millisecond
	// pollPeriod is the time between two checks for runs that have ended.
	pollPeriod = 2 * time.Millisecond
	// maxLease is the longest lease that a worker grants (holdMaxMs).
	maxLease = time.Second
	// workerCPU and workerMemory are the capacity of a worker, in thousandths of a core and MB.
	workerCPU    = 32000
	workerMemory = 65536
	// maxReports is the number of status reports without an ack after which a worker gives up, and pause the time between two of them.
	maxReports = 20
	pause      = 100 * time.Millisecond
	// maxListed is the number of ends in one answer at most.
	maxListed = 500
)

// workerRun is a run that a worker has.
type workerRun struct {
	task  string
	run   int
	began time.Time
	// length is the time that the run takes.
	length time.Duration
}

// worker is a sound worker: it does what the calls say, and ends what it runs when its lease lapses.
type worker struct {
	id     string
	labels []string
	rec    *record
	born   time.Time

	mu       sync.Mutex
	token    int64
	leaseEnd time.Time
	running  map[string]*workerRun
	// highest holds the highest run number that was started, stopped or ended, by task.
	highest   map[string]int
	ended     [][]any
	lastEnded int
	starts    int

	// seq numbers the status reports. draining is set before a planned end.
	seq      int
	draining bool

	server  *http.Server
	addr    string
	reports string
	zone    string
	done    chan struct{}
}

// newWorker starts a worker that listens on the given address and sends its status reports to another one.
func newWorker(id, address, reports, zone string, labels []string, rec *record) (*worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, labels: labels, rec: rec, born: time.Now(), running: map[string]*workerRun{}, highest: map[string]int{},
		addr: l.Addr().String(), reports: reports, zone: zone, done: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.repeat(pollPeriod, w.endRuns)
	go func() {
		w.heartbeat()
		w.repeat(heartbeatPeriod, w.heartbeat)
	}()
	rec.logf("worker %s: started, born %d", id, w.born.UnixMilli())
	return w, nil
}

func (w *worker) repeat(period time.Duration, do func()) {
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

// close ends the worker with all that it runs.
func (w *worker) close() {
	close(w.done)
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		w.endRun(r, "ended with its worker")
	}
}

func (w *worker) clockMs() int64 { return time.Since(w.born).Milliseconds() }

// heartbeat sends a status report, and returns whether it was acknowledged.
func (w *worker) heartbeat() { w.sendHeartbeat() }

func (w *worker) sendHeartbeat() bool {
	w.mu.Lock()
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpu": 0}, "labels": w.labels,
		"clockMs": w.clockMs(), "seq": w.seq, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	return w.post("heartbeat", body)
}

// post makes a call of the worker to its runner, and returns whether it was answered with 200 within a second.
func (w *worker) post(kind string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+w.reports+"/instances/"+w.id+"/"+kind, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// drain reports that the worker leaves until that is acknowledged, and serves on for the given time. It returns false if there was no ack.
func (w *worker) drain(span time.Duration) bool {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	for n := 0; !w.sendHeartbeat(); n++ {
		if n == maxReports {
			return false
		}
		time.Sleep(pause)
	}
	w.rec.logf("worker %s: drains, acknowledged", w.id)
	time.Sleep(span)
	return true
}

// endRuns ends the runs that are done, and all once the lease has lapsed.
func (w *worker) endRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range w.running {
		switch {
		case now.After(w.leaseEnd):
			w.endRun(r, "lapsed")
		case now.Sub(r.began) >= r.length:
			w.endRun(r, "done")
		}
	}
}

func (w *worker) endRun(r *workerRun, how string) {
	delete(w.running, r.task)
	w.lastEnded++
	w.ended = append(w.ended, []any{w.lastEnded, r.task, r.run, how, ""})
	w.rec.runEnded(w.id, r.task, r.run, how)
}

// call is the body of any call of the runner.
type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Token    int64  `json:"fencingToken"`
	LastSeen int    `json:"lastSeen"`
	WaitMs   int64  `json:"waitMs"`
}

func (w *worker) read(rw http.ResponseWriter, req *http.Request) (call, bool) {
	var c call
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	if id := req.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	return c, true
}

func (w *worker) reply(rw http.ResponseWriter, reason string, fields map[string]any) {
	body := map[string]any{"clockMs": w.clockMs(), "born": w.born.UnixMilli()}
	for k, v := range fields {
		body[k] = v
	}
	rw.Header().Set("Content-Type", "application/json")
	if reason != "" {
		body["reason"] = reason
		rw.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(rw).Encode(body)
}

// fenced reports whether the worker has seen a higher fence number than that of the call, and keeps the highest.
func (w *worker) fenced(c call) bool {
	if c.Token < w.token {
		return true
	}
	w.token = c.Token
	return false
}

func (w *worker) extend(untilMs int64) {
	end := w.born.Add(time.Duration(untilMs) * time.Millisecond)
	if limit := time.Now().Add(maxLease); end.After(limit) {
		end = limit
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) serveStart(rw http.ResponseWriter, req *http.Request) {
	c, ok := w.read(rw, req)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reply(rw, w.start(c), nil)
}

// start begins a run and returns the reason of a refusal, if any. The payload of a job is the run time of its tasks in ms.
func (w *worker) start(c call) string {
	switch {
	case w.fenced(c):
		return "fence"
	case w.running[c.Task] != nil && w.running[c.Task].run == c.Run:
		return ""
	case c.Run <= w.highest[c.Task]:
		w.extend(c.UntilMs)
		return "old"
	case w.clockMs() > c.UntilMs:
		return "late"
	}
	w.extend(c.UntilMs)
	first, _, _ := strings.Cut(c.Spec, " ")
	ms, _ := strconv.Atoi(first)
	w.running[c.Task] = &workerRun{task: c.Task, run: c.Run, began: time.Now(), length: time.Duration(ms) * time.Millisecond}
	w.highest[c.Task] = c.Run
	w.starts++
	w.rec.runStarted(w.id, c.Task, c.Run, c.Spec)
	return ""
}

func (w *worker) serveStop(rw http.ResponseWriter, req *http.Request) {
	c, ok := w.read(rw, req)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c) {
		w.reply(rw, "fence", nil)
		return
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.run <= c.Run {
		w.endRun(r, "stopped")
	}
	w.reply(rw, "", nil)
}

func (w *worker) serveHold(rw http.ResponseWriter, req *http.Request) {
	c, ok := w.read(rw, req)
	if !ok {
		return
	}
	w.mu.Lock()
	if w.fenced(c) {
		w.reply(rw, "fence", nil)
		w.mu.Unlock()
		return
	}
	if c.UntilMs > 0 {
		w.extend(c.UntilMs)
	}
	for len(w.ended) > 0 && w.ended[0][0].(int) <= c.LastSeen {
		w.ended = w.ended[1:]
	}
	w.mu.Unlock()
	for end := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond); time.Now().Before(end) && req.Context().Err() == nil; {
		w.mu.Lock()
		n := len(w.ended)
		w.mu.Unlock()
		if n > 0 {
			break
		}
		time.Sleep(pollPeriod)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running := [][]any{}
	for _, r := range w.running {
		percent := 99
		if r.length > 0 {
			percent = min(int(100*time.Since(r.began)/r.length), 99)
		}
		running = append(running, []any{r.task, r.run, "", percent})
	}
	w.reply(rw, "", map[string]any{"running": running, "ended": append([][]any{}, w.ended[:min(len(w.ended), maxListed)]...)})
}

// describe returns the number of starts, for the record.
func (w *worker) describe() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("worker %s %s: %d starts, %d running", w.id, strings.Join(w.labels, ","), w.starts, len(w.running))
}
