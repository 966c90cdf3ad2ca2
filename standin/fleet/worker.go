package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	// heartbeatPeriod is the time between two heartbeats of a worker.
	heartbeatPeriod = 500 * time.Millisecond
	// minLateDelay and maxLateDelay bound the delay of a call that gets no answer.
	minLateDelay = 2 * time.Second
	maxLateDelay = 12 * time.Second
	// maxLeaseMs is the longest lease that a worker accepts.
	maxLeaseMs = 1000
	// pollPeriod is the time between two checks for runs that have ended.
	pollPeriod = 2 * time.Millisecond
	// defaultCPU and defaultMemory are the capacity of a worker, in thousandths of a core and MB.
	defaultCPU    = 32000
	defaultMemory = 65536
	// capacityGrace is the time for which a capacity that has shrunk still counts: 3 s and a heartbeat.
	capacityGrace = 3*time.Second + heartbeatPeriod
	// crashMark stands in the payload of a job with a bad task, before the index of the task and its crash delay in ms.
	crashMark = " crash "
)

// WorkerConfig holds the settings of a worker.
type WorkerConfig struct {
	ID string
	// Born is the reported time of its start, in ms since the Unix epoch, and may be earlier than that of the process before. If
	// it is 0, the time of day is used.
	Born    int64
	Service string
	Domain  string
	// ReportAddress is the address to which the worker sends its heartbeats.
	ReportAddress string
	// ParsePayload derives from the payload the CPU that a task takes, in thousandths of a core, and its run time.
	ParsePayload func(payload string) (cpu int, run time.Duration)
	// Crash is called when a bad task has crashed the worker, to close its connections and its port. If it is nil, no task
	// crashes the worker.
	Crash func()
}

// WorkerFaults selects the faults that a worker injects.
type WorkerFaults struct {
	// Fail ends every run as failed.
	Fail bool
	// Hang stops the progress of all runs.
	Hang bool
	// LateEvery leaves one in every LateEvery starts without an answer and executes it 2 s later. 0 means none.
	LateEvery int
	// Unanswered is the share of all calls that get no answer and are executed 2 to 12 s later.
	Unanswered float64
	// Draining reports the state draining in heartbeats.
	Draining bool
	// NoHeartbeats suppresses heartbeats.
	NoHeartbeats bool
	// Silent drops all calls and suppresses heartbeats, as a cut of the network does.
	Silent bool
	// LostAnswers is the share of all calls that are executed at once but get no answer.
	LostAnswers float64
}

type workerRun struct {
	task string
	run  int
	// cpu is in thousandths of a core.
	cpu      int
	began    time.Time
	length   time.Duration
	progress time.Duration
	// updated is the time at which progress was last updated.
	updated time.Time
	// crashAt is the progress at which the run crashes its worker, if bad is set.
	crashAt time.Duration
	bad     bool
}

type pastCPU struct {
	cpu   int
	until time.Time
}

// Worker is a stand-in worker without admission checks of its own: it starts a second run of a task or exceeds its
// capacity when ordered to, and records the violation in the ledger.
type Worker struct {
	cfg         WorkerConfig
	incarnation int64

	mu    sync.Mutex
	began time.Time
	token int64
	// leaseEnd is the end of the lease as time since began.
	leaseEnd time.Duration
	running  map[string]*workerRun
	// highestRun holds the highest run number that was started or stopped, by task.
	highestRun map[string]int
	// ended lists the ended runs that the runner has not acknowledged, as sent by /hold.
	ended [][]any
	// lastEnded is the sequence number of the newest element of ended.
	lastEnded int
	// lastListed is the sequence number of the newest end that has been listed to the runner.
	lastListed int
	// heartbeats counts the heartbeats. leaving is set once the worker reports draining for good.
	heartbeats int
	leaving    bool
	starts     int
	faults     WorkerFaults
	// cpu is the capacity in thousandths of a core, pastCPU the earlier capacities with the times at which they ended.
	cpu       int
	pastCPU   []pastCPU
	done      chan struct{}
	closeOnce sync.Once
	ledger    *Ledger
}

// NewWorker starts a worker, which sends heartbeats until Close is called.
func NewWorker(cfg WorkerConfig, ledger *Ledger) *Worker {
	now := time.Now()
	w := &Worker{
		cfg: cfg, incarnation: now.UnixMilli(), began: now, running: map[string]*workerRun{}, highestRun: map[string]int{},
		done: make(chan struct{}), ledger: ledger, cpu: defaultCPU,
	}
	if cfg.Born != 0 {
		w.incarnation = cfg.Born
	}
	w.repeat(pollPeriod, w.endRuns)
	// Heartbeats have a goroutine of their own: they block while the runner is paused, which must not delay the end of
	// leases.
	w.repeat(heartbeatPeriod, func() { w.PrepareHeartbeat()() })
	return w
}

func (w *Worker) repeat(period time.Duration, do func()) {
	go func() {
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
	}()
}

// Close stops the worker and ends all its runs as crashed. Calls get no answer from then on.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.close()
}

// close does the work of Close. The caller holds w.mu.
func (w *Worker) close() {
	w.closeOnce.Do(func() { close(w.done) })
	for _, r := range w.running {
		w.endRun(r, "crashed")
	}
}

func (w *Worker) closed() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// crash ends the worker because of a run. The caller holds w.mu.
func (w *Worker) crash(r *workerRun) {
	w.ledger.recordCrash(r.task)
	w.close()
	// Crash stops the worker, for which it needs w.mu.
	go w.cfg.Crash()
}

// SetFaults replaces the faults that the worker injects.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetCPU changes the capacity, in thousandths of a core.
func (w *Worker) SetCPU(cpu int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pastCPU = append(w.pastCPU, pastCPU{w.cpu, time.Now()})
	w.cpu = cpu
}

// allowedCPU returns the largest capacity of the last capacityGrace.
func (w *Worker) allowedCPU() int {
	cpu := w.cpu
	for _, p := range w.pastCPU {
		if time.Since(p.until) < capacityGrace {
			cpu = max(cpu, p.cpu)
		}
	}
	return cpu
}

// Starts returns the number of runs started. A start that the fault LateEvery delays counts on arrival, and again when
// its run starts.
func (w *Worker) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// PrepareHeartbeat returns a function that sends the heartbeat of this moment. If it is called later, also after Close, the
// heartbeat arrives late.
func (w *Worker) PrepareHeartbeat() (send func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.NoHeartbeats || w.faults.Silent {
		return func() {}
	}
	state := "ready"
	if w.faults.Draining || w.leaving {
		state = "draining"
	}
	w.heartbeats++
	body, _ := json.Marshal(map[string]any{
		"service": w.cfg.Service, "zone": w.cfg.Domain, "state": state, "born": w.incarnation, "seq": w.heartbeats,
		"clockMs":  time.Since(w.began).Milliseconds(),
		"capacity": map[string]int{"cpu": w.cpu, "memMb": defaultMemory}, "labels": []string{"a", "r1"},
	})
	return func() { w.report("heartbeat", body) }
}

// report sends a report to the runner. The error is ignored: reports are lost while the runner is away.
func (w *Worker) report(kind string, body []byte) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+w.cfg.ReportAddress+"/instances/"+w.cfg.ID+"/"+kind, "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// endRuns updates the progress of all runs and ends those that have finished. Once the lease has expired, it ends
// all runs.
func (w *Worker) endRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range w.running {
		if !w.faults.Hang {
			r.progress += now.Sub(r.updated)
		}
		r.updated = now
		switch {
		case now.Sub(w.began) > w.leaseEnd:
			w.endRun(r, "lapsed")
		case r.bad && r.progress >= r.crashAt:
			w.crash(r)
			return
		case r.progress >= r.length && w.faults.Fail:
			w.endRun(r, "failed")
		case r.progress >= r.length:
			w.endRun(r, "done")
		}
	}
}

func (w *Worker) endRun(r *workerRun, result string) {
	w.lastEnded++
	delete(w.running, r.task)
	w.ended = append(w.ended, []any{w.lastEnded, r.task, r.run, result, ""})
	w.ledger.end(r.task, w.cfg.ID, r.run, result)
}

// Handler returns the HTTP handler of the worker's published calls.
func (w *Worker) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/run-start", w.serveStart).Methods(http.MethodPost)
	r.HandleFunc("/run-stop", w.serveStop).Methods(http.MethodPost)
	r.HandleFunc("/hold", w.serveHold).Methods(http.MethodPost)
	return w.withFaults(r)
}

// withFaults leaves calls without an answer: all of them while the worker is silent or once its process has ended, and
// otherwise the shares in WorkerFaults, of which those in Unanswered are executed later.
func (w *Worker) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		// The server notices the end of a connection, which ends the context, only once the body has been read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.mu.Lock()
		f := w.faults
		w.mu.Unlock()
		switch {
		case f.Silent || w.closed():
			<-r.Context().Done()
		case rand.Float64() < f.Unanswered:
			w.serveLate(next, r, body)
		case rand.Float64() < f.LostAnswers:
			next.ServeHTTP(discardWriter{}, r)
			<-r.Context().Done()
		default:
			next.ServeHTTP(rw, r)
			w.dropAnswer(r)
		}
	})
}

// dropAnswer ends the handling of a call whose answer must not be sent, because the worker has become silent or its process
// has ended in the meantime: the server then closes the connection.
func (w *Worker) dropAnswer(r *http.Request) {
	w.mu.Lock()
	silent := w.faults.Silent
	w.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	if silent || w.closed() {
		panic(http.ErrAbortHandler)
	}
}

// serveLate leaves a call without an answer and executes it 2 to 12 s later.
func (w *Worker) serveLate(next http.Handler, r *http.Request, body []byte) {
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(minLateDelay+rand.N(maxLateDelay-minLateDelay), func() { next.ServeHTTP(discardWriter{}, late) })
	<-r.Context().Done()
}

// discardWriter drops a response.
type discardWriter struct{}

func (discardWriter) Header() http.Header { return http.Header{} }

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func (discardWriter) WriteHeader(int) {}

type workerCall struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"untilMs"`
	Token int64  `json:"fencingToken"`
	Seen  int    `json:"lastSeen"`
	Wait  int64  `json:"waitMs"`
}

func (w *Worker) readCall(rw http.ResponseWriter, r *http.Request) (workerCall, bool) {
	var c workerCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.cfg.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	return c, true
}

// reply answers a call, with 409 Conflict if there is a reason for a refusal. The caller holds w.mu.
func (w *Worker) reply(rw http.ResponseWriter, reason string, fields map[string]any) {
	body := map[string]any{"clockMs": time.Since(w.began).Milliseconds(), "born": w.incarnation}
	for k, v := range fields {
		body[k] = v
	}
	if reason != "" {
		body["reason"] = reason
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(http.StatusConflict)
	}
	writeJSON(rw, body)
}

// fenced reports whether the worker has seen a higher fencing token than that of the call. If not, it stores the call's
// token. The caller holds w.mu.
func (w *Worker) fenced(c workerCall) bool {
	if c.Token < w.token {
		return true
	}
	w.token = c.Token
	return false
}

func (w *Worker) extend(untilMs int64) {
	limit := time.Since(w.began).Milliseconds() + maxLeaseMs
	w.leaseEnd = max(w.leaseEnd, time.Duration(min(untilMs, limit))*time.Millisecond)
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.readCall(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	late := w.faults.LateEvery > 0 && w.starts%w.faults.LateEvery == w.faults.LateEvery-1
	w.mu.Unlock()
	if late {
		time.AfterFunc(2*time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.start(c)
		})
		w.mu.Lock()
		w.starts++
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reply(rw, w.start(c), nil)
}

func (w *Worker) start(c workerCall) string {
	if w.closed() {
		// The call was in flight when the worker was closed.
		return "fence"
	}
	switch {
	case w.fenced(c):
		return "fence"
	case w.running[c.Task] != nil && w.running[c.Task].run == c.Run:
		return ""
	case c.Run <= w.highestRun[c.Task]:
		w.extend(c.Until)
		return "old"
	case time.Since(w.began).Milliseconds() > c.Until:
		return "late"
	}
	w.extend(c.Until)
	cpu, length := w.cfg.ParsePayload(c.Spec)
	used := cpu
	for _, other := range w.running {
		used += other.cpu
	}
	if allowed := w.allowedCPU(); used > allowed {
		w.ledger.AddViolation("worker %s has %d of %d thousandths of a core in use with task %s", w.cfg.ID, used, allowed, c.Task)
	}
	now := time.Now()
	run := &workerRun{task: c.Task, run: c.Run, cpu: cpu, began: now, length: length, updated: now}
	if w.cfg.Crash != nil {
		run.crashAt, run.bad = CrashPoint(c.Spec, c.Task)
	}
	w.ledger.begin(c.Task, w.cfg.ID, c.Run)
	w.running[c.Task] = run
	w.highestRun[c.Task] = c.Run
	w.starts++
	if run.bad && run.crashAt == 0 {
		w.crash(run)
	}
	return ""
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.readCall(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c) {
		w.reply(rw, "fence", nil)
		return
	}
	w.highestRun[c.Task] = max(w.highestRun[c.Task], c.Run)
	if run := w.running[c.Task]; run != nil && run.run <= c.Run {
		w.endRun(run, "stopped")
	}
	w.reply(rw, "", nil)
}

func (w *Worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.readCall(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if w.fenced(c) {
		w.reply(rw, "fence", nil)
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
	for time.Now().Before(deadline) && r.Context().Err() == nil && w.noneEnded() {
		time.Sleep(pollPeriod)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running := [][]any{}
	for _, run := range w.running {
		percent := int(100 * run.progress / max(run.length, 1))
		running = append(running, []any{run.task, run.run, "", min(percent, 99)})
	}
	w.recordListedFailures()
	w.reply(rw, "", map[string]any{"running": running, "ended": append([][]any{}, w.ended...)})
}

// recordListedFailures counts the failed runs among the ends that are listed for the first time. The caller holds w.mu.
func (w *Worker) recordListedFailures() {
	for _, e := range w.ended {
		if e[0].(int) > w.lastListed && e[3] == "failed" {
			w.ledger.recordFailure(e[1].(string))
		}
	}
	w.lastListed = w.lastEnded
}

func (w *Worker) noneEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ended) == 0
}

// ParsePayload parses the CPU, in thousandths of a core, and the run time, in ms, from a payload such as "3100 60". A
// suffix of CrashPayload is left out.
func ParsePayload(payload string) (cpu int, run time.Duration) {
	payload, _, _ = strings.Cut(payload, crashMark)
	first, second, _ := strings.Cut(payload, " ")
	// A payload of another form parses as 0: it takes no CPU and ends immediately.
	cpu, _ = strconv.Atoi(first)
	ms, _ := strconv.Atoi(second)
	return cpu, time.Duration(ms) * time.Millisecond
}

// CrashPayload adds to the payload of a job that the task with the given index crashes its worker when its run has got on
// by delay: before the start is answered if delay is 0, instead of its end if delay is the run time.
func CrashPayload(payload string, task int, delay time.Duration) string {
	return fmt.Sprintf("%s%s%d %d", payload, crashMark, task, delay.Milliseconds())
}

// CrashPoint returns the progress at which a task, named as in /run-start, crashes its worker according to the payload, and
// whether it does so.
func CrashPoint(payload, task string) (time.Duration, bool) {
	_, crash, marked := strings.Cut(payload, crashMark)
	index, delay, _ := strings.Cut(crash, " ")
	ms, err := strconv.Atoi(delay)
	if !marked || err != nil || task[strings.LastIndexByte(task, '.')+1:] != index {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
