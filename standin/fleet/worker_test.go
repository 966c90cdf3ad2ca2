package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// callLimit bounds the wait for the answer of a call, and for an answer that must not come.
	callLimit = 500 * time.Millisecond
	// runTime is the run time of the tasks of these tests.
	runTime = 200 * time.Millisecond
)

// testWorker is a worker behind a server, with a counter of its crashes.
type testWorker struct {
	*Worker
	ledger  *Ledger
	server  *httptest.Server
	crashed chan time.Time
}

func newTestWorker(t *testing.T) *testWorker {
	w := &testWorker{ledger: NewLedger(), crashed: make(chan time.Time, 9)}
	w.Worker = NewWorker(WorkerConfig{
		ID: "w", Service: "s", ReportAddress: "127.0.0.1:1", ParsePayload: ParsePayload, Crash: func() { w.crashed <- time.Now() },
	}, w.ledger)
	w.server = httptest.NewServer(w.Handler())
	t.Cleanup(func() {
		w.Close()
		w.server.CloseClientConnections()
		w.server.Close()
	})
	return w
}

// call makes a call and returns its error and the ends that the answer lists.
func (w *testWorker) call(path, body string) ([][]any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := w.server.Client().Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Ended [][]any `json:"ended"`
	}
	return answer.Ended, json.NewDecoder(resp.Body).Decode(&answer)
}

func (w *testWorker) startTask(index int, payload string) error {
	_, err := w.call("/run-start", fmt.Sprintf(`{"task":"j.0.0.%d","run":1,"spec":%q,"untilMs":900,"fencingToken":1}`, index, payload))
	return err
}

// Guards against bad tasks that are not told from the others of their job.
func TestCrashPoint(t *testing.T) {
	for _, c := range []struct {
		payload string
		task    string
		at      time.Duration
		bad     bool
	}{
		{"3100 200", "j.0.0.3", 0, false},
		{CrashPayload("3100 200", 3, 60*time.Millisecond), "j.0.0.3", 60 * time.Millisecond, true},
		{CrashPayload("3100 200", 3, 0), "j.0.0.3", 0, true},
		{CrashPayload("3100 200", 3, 0), "j.0.0.0", 0, false},
		{CrashPayload("3100 200", 3, 0), "j.3.3.13", 0, false},
	} {
		at, bad := CrashPoint(c.payload, c.task)
		assert.Assert(t, at == c.at && bad == c.bad, "%q %s: %s %t", c.payload, c.task, at, bad)
		cpu, run := ParsePayload(c.payload)
		assert.Assert(t, cpu == 3100 && run == runTime, "%q: %d %s", c.payload, cpu, run)
	}
}

// Guards against bad tasks that crash their worker at another point than was drawn or complete, and against others that
// crash it.
func TestBadTaskCrashesItsWorker(t *testing.T) {
	for _, delay := range []time.Duration{0, 60 * time.Millisecond, runTime} {
		w := newTestWorker(t)
		payload := CrashPayload("3100 200", 1, delay)
		assert.NilError(t, w.startTask(0, payload))
		began := time.Now()
		err := w.startTask(1, payload)
		assert.Equal(t, err != nil, delay == 0, "the start is answered unless the task crashes at once: %v", err)
		select {
		case at := <-w.crashed:
			assert.Assert(t, at.Sub(began) >= delay, "crash %s after the start, drawn were %s", at.Sub(began), delay)
		case <-time.After(2 * time.Second):
			t.Fatalf("no crash, drawn for %s", delay)
		}
		assert.Equal(t, len(w.ledger.CrashTimes()["j.0.0.1"]), 1)
		assert.Equal(t, len(w.ledger.CrashTimes()), 1)
		assert.Equal(t, w.ledger.CrashedRuns("j.0.0.1"), 1)
		assert.Equal(t, w.ledger.SuccessfulRuns("j.0.0.1"), 0)
		_, err = w.call("/hold", `{"fencingToken":1}`)
		assert.Assert(t, err != nil, "a call is answered after the crash")
	}
}

// Guards against failures that count before the runner can know of them, and twice if it asks twice.
func TestFailuresCountOnceListed(t *testing.T) {
	w := newTestWorker(t)
	w.SetFaults(WorkerFaults{Fail: true})
	assert.NilError(t, w.startTask(0, "3100 1"))
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, w.ledger.Failures("j.0.0.0"), 0)
	for range 2 {
		ended, err := w.call("/hold", `{"fencingToken":1,"waitMs":400}`)
		assert.NilError(t, err)
		assert.Equal(t, len(ended), 1)
		assert.Equal(t, w.ledger.Failures("j.0.0.0"), 1)
	}
}

// Guards against lost answers of calls that were not executed, and calls that reach a silent worker.
func TestSilentWorkerAndLostAnswers(t *testing.T) {
	w := newTestWorker(t)
	w.SetFaults(WorkerFaults{Silent: true})
	assert.Assert(t, w.startTask(0, "3100 200") != nil)
	assert.Equal(t, w.Starts(), 0)
	w.SetFaults(WorkerFaults{LostAnswers: 1})
	assert.Assert(t, w.startTask(0, "3100 200") != nil)
	assert.Equal(t, w.Starts(), 1)
	w.SetFaults(WorkerFaults{})
	_, err := w.call("/hold", `{"fencingToken":1}`)
	assert.NilError(t, err)
}
