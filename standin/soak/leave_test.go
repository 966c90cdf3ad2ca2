package soak

import (
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/standin/fleet"
)

// leavingSite is a site with one worker, and a client that keeps its connection open.
type leavingSite struct {
	*site
	worker *workerSite
	client *http.Client
}

func newLeavingSite(t *testing.T) leavingSite {
	s := &site{ledger: fleet.NewLedger()}
	w := &workerSite{address: loopback() + ":0", cfg: fleet.WorkerConfig{ID: "w", ReportAddress: "127.0.0.1:1", ParsePayload: fleet.ParsePayload}}
	assert.NilError(t, w.start(s.ledger))
	t.Cleanup(w.stop)
	return leavingSite{s, w, newCaller(t)}
}

func newCaller(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// call calls the worker for the instance with the given id, and returns the status and the body.
func (s leavingSite) call(client *http.Client, path, id, body string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.worker.address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Expect-Instance", id)
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// start starts a run of 30 s with the longest lease, on a connection that stays open.
func (s leavingSite) start(t *testing.T) {
	status, _, err := s.call(s.client, "/run-start", "w", `{"task":"j.0.0.0","run":1,"spec":"3100 30000","untilMs":1000,"fencingToken":1}`)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// runs reports whether the run is listed on the open connection.
func (s leavingSite) runs() bool {
	status, body, err := s.call(s.client, "/hold", "w", `{"fencingToken":1}`)
	return err == nil && status == http.StatusOK && strings.Contains(body, `"running":[["j.0.0.0"`)
}

// Guards against a worker that leaves and ends its runs, or its open connections, before or together with its listener, and
// one that does not come back under the id that was drawn.
func TestWorkerLeavesInOrder(t *testing.T) {
	for _, c := range []struct{ id, want string }{{"", "w"}, {"w-1", "w-1"}} {
		s := newLeavingSite(t)
		s.start(t)
		old := s.worker.present()
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.replaceAfterEnd(s.worker, departure{open: 400 * time.Millisecond}, 200*time.Millisecond, c.id)
		}()
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, s.runs(), "the run has ended while the worker serves open connections")
		_, _, err := s.call(newCaller(t), "/hold", "w", `{"fencingToken":1}`)
		assert.ErrorContains(t, err, "refused")
		assert.Equal(t, s.ledger.CrashedRuns("j.0.0.0"), 0)
		<-done
		assert.Equal(t, s.ledger.CrashedRuns("j.0.0.0"), 1)
		assert.Assert(t, s.worker.present() != old && s.worker.present().id == c.want, "%s", s.worker.present().id)
		status, _, err := s.call(newCaller(t), "/hold", c.want, `{"fencingToken":1}`)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
}

// Guards against refused connections that end the process or its runs, open connections that are kept or broken against the
// draw, and a process that cannot leave later.
func TestRefusingWorkerGoesOn(t *testing.T) {
	for _, reset := range []bool{false, true} {
		s := newLeavingSite(t)
		s.start(t)
		old := s.worker.present()
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.refuse(s.worker, 300*time.Millisecond, reset)
		}()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, s.runs(), !reset)
		_, _, err := s.call(newCaller(t), "/hold", "w", `{"fencingToken":1}`)
		assert.ErrorContains(t, err, "refused")
		<-done
		assert.Assert(t, s.runs(), "the run has ended with the refusal")
		assert.Assert(t, s.worker.present() == old && old.leave())
	}
}

// Guards against a replacement that answers for the old worker, one that does not get the address, and an old worker that ends
// or loses its open connections when the new one begins.
func TestWorkerIsReplaced(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		s := newLeavingSite(t)
		s.start(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.replaceBeforeEnd(s.worker, departure{open: 400 * time.Millisecond}, 0, "next", atOnce)
		}()
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, s.runs(), "the run has ended while the old worker serves")
		status, _, err := s.call(newCaller(t), "/hold", "w", `{"fencingToken":1}`)
		if atOnce {
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusMisdirectedRequest)
		} else {
			assert.ErrorContains(t, err, "refused")
		}
		<-done
		assert.Equal(t, s.ledger.CrashedRuns("j.0.0.0"), 1)
		status, _, err = s.call(newCaller(t), "/hold", "next", `{"fencingToken":1}`)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
}

// Guards against two processes of one worker, or none, after a crash that overlaps with its leaving.
func TestWorkerCrashesWhileItLeaves(t *testing.T) {
	for _, leave := range []func(s leavingSite){
		func(s leavingSite) {
			s.replaceAfterEnd(s.worker, departure{open: 300 * time.Millisecond}, 100*time.Millisecond, "next")
		},
		func(s leavingSite) {
			s.replaceBeforeEnd(s.worker, departure{open: 300 * time.Millisecond}, 0, "next", false)
		},
		func(s leavingSite) { s.refuse(s.worker, 300*time.Millisecond, false) },
	} {
		s := newLeavingSite(t)
		old := s.worker.present()
		done := make(chan struct{})
		go func() {
			defer close(done)
			leave(s)
		}()
		time.Sleep(100 * time.Millisecond)
		s.restartWorker(s.worker, 100*time.Millisecond)
		p := s.worker.present()
		assert.Assert(t, p != nil && p != old)
		<-done
		assert.Assert(t, s.worker.present() == p, "a second process was started")
		status, _, err := s.call(newCaller(t), "/hold", p.id, `{"fencingToken":1}`)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
}

// Guards against a restart whose time of birth is not before that of the process that has ended.
func TestWorkerRestartsEarlier(t *testing.T) {
	s := newLeavingSite(t)
	old := s.worker.present()
	s.restartEarlier(s.worker, 0, time.Minute, 0)
	assert.Equal(t, s.worker.present().worker.Born(), old.worker.Born()-time.Minute.Milliseconds())
	assert.Equal(t, s.worker.present().id, old.id)
}

// Guards against a seed that draws other faults each time, and a mode that leaves out a kind.
func TestLeavesAreDrawn(t *testing.T) {
	cfg := Config{Seed: 1, Gateways: 4, Runners: 11, Leaves: true}
	names := drawNames(newDrawingSite(cfg))
	assert.DeepEqual(t, names, drawNames(newDrawingSite(cfg)))
	all := strings.Join(names, "\n")
	for _, kind := range []string{
		`draining for 0s`, `draining for 2.`, `is back after \S+ as ""`, `is back after \S+ as "w-r`, "open ones reset: true",
		"open ones reset: false", "listener at once: true", "listener at once: false", "earlier, heartbeat", "restart all gateways",
		"restart all runners", `series that start after \[\S+ \S+ \S+\]`, "pause g", "kill r",
	} {
		assert.Check(t, regexp.MustCompile(kind).MatchString(all), "no fault %q", kind)
	}
}
