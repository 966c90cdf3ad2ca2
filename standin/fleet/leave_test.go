package fleet

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// received is a report that a worker has sent.
type received struct {
	Path  string
	State string
	Born  int64
	Seq   int
}

// newReportServer returns the address of a stand-in for the runner, and the reports that it gets.
func newReportServer(t *testing.T) (string, <-chan received) {
	all := make(chan received, 99)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got := received{Path: r.URL.Path}
		if body, err := io.ReadAll(r.Body); assert.Check(t, err) && len(body) > 0 {
			assert.Check(t, json.Unmarshal(body, &got))
		}
		all <- got
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), all
}

func next(t *testing.T, all <-chan received) received {
	select {
	case got := <-all:
		return got
	case <-time.After(5 * time.Second):
		t.Fatal("no report")
		return received{}
	}
}

// Guards against a worker that leaves without a report, ends its heartbeats while it drains, or ends its draining when another
// fault is over.
func TestLeavingWorkerReports(t *testing.T) {
	address, reports := newReportServer(t)
	w := NewWorker(WorkerConfig{ID: "w", Service: "s", ReportAddress: address}, NewLedger())
	defer w.Close()
	got := next(t, reports)
	assert.Equal(t, got, received{"/instances/w/heartbeat", "ready", w.Born(), 1})
	w.Leave()
	w.SetFaults(WorkerFaults{})
	got = next(t, reports)
	assert.Equal(t, got, received{"/instances/w/heartbeat", "draining", w.Born(), 2})
	w.Close()
	w.Deregister()
	got = next(t, reports)
	assert.Equal(t, got.Path, "/instances/w/deregister")
}

// Guards against late heartbeats that are those of the process that has started since, and a worker that ignores a time of
// birth before that of its predecessor.
func TestLateHeartbeatOfEarlierProcess(t *testing.T) {
	address, reports := newReportServer(t)
	cfg := WorkerConfig{ID: "w", Service: "s", ReportAddress: address}
	old := NewWorker(cfg, NewLedger())
	send := old.PrepareHeartbeat()
	old.Close()
	cfg.Born = old.Born() - 5000
	w := NewWorker(cfg, NewLedger())
	defer w.Close()
	assert.Equal(t, w.Born(), old.Born()-5000)
	got := next(t, reports)
	assert.Equal(t, got, received{"/instances/w/heartbeat", "ready", w.Born(), 1})
	send()
	got = next(t, reports)
	assert.Equal(t, got, received{"/instances/w/heartbeat", "ready", old.Born(), 1})
}

// Guards against a ledger that takes the end of a second run of a task for the end of the first one, which goes on, and so
// misses a third.
func TestLedgerKeepsRunsOfOneTaskApart(t *testing.T) {
	l := NewLedger()
	l.begin("j.0.0.0", "old", 1)
	l.begin("j.0.0.0", "new", 2)
	assert.Equal(t, len(l.Violations()), 1)
	l.end("j.0.0.0", "new", 2, "done")
	l.begin("j.0.0.0", "third", 3)
	assert.Equal(t, len(l.Violations()), 2, "%q", l.Violations())
	l.end("j.0.0.0", "third", 3, "done")
	l.end("j.0.0.0", "old", 1, "crashed")
	l.begin("j.0.0.0", "fourth", 4)
	assert.Equal(t, len(l.Violations()), 2, "%q", l.Violations())
	assert.Equal(t, l.SuccessfulRuns("j.0.0.0"), 2)
	assert.Equal(t, l.CrashedRuns("j.0.0.0"), 1)
}
