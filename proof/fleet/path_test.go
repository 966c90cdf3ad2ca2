// Package fleet_test proves what callers of the users' platform are promised, with real gateways and runners and
// stand-ins for the platform's store and workers.
package fleet_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/standin/fleet"
)

// Guards against a break anywhere on the way of a job, and against answers that the published calls do not know.
func TestAnswers(t *testing.T) {
	s := newSite(t, 1, 2)
	s.await(0)
	for _, c := range []struct {
		name   string
		method string
		path   string
		body   string
		want   response
	}{
		{"job", http.MethodPost, prefix + "00000000000000a1", job(20, 3100, 30, ""), response{200, "completed", ""}},
		{"job with steps", http.MethodPost, prefix + "00000000000000a2", `{"spec":"1000 20","bestEffort":true,"steps":[
			{"count":3,"cpu":1000,"estimateMs":20},{"count":2,"cpu":1000,"estimateMs":20,"after":[0]}]}`, response{200, "completed", ""}},
		{"job that no worker fits", http.MethodPost, prefix + "00000000000000a3", job(1, 64000, 30, ""), response{503, "", ""}},
		{"job with a label that no worker has", http.MethodPost, prefix + "00000000000000a4", job(1, 100, 30, `,"requiredLabel":"z"`), response{503, "", ""}},
		{"job that has to be stored", http.MethodPost, prefix + "00000000000000a5", `{"spec":"1 1","steps":[{"count":1}]}`, response{503, "", ""}},
		{"no queue", http.MethodPost, "/other/00000000000000a6", job(1, 100, 30, ""), response{404, "", ""}},
		{"no job id", http.MethodPost, prefix + "a7", job(1, 100, 30, ""), response{400, "", ""}},
		{"no JSON", http.MethodPost, prefix + "00000000000000a8", `{`, response{400, "", ""}},
		{"no tasks", http.MethodPost, prefix + "00000000000000a9", `{"bestEffort":true}`, response{400, "", ""}},
		{"step that follows itself", http.MethodPost, prefix + "00000000000000aa", job(1, 1, 1, `,"after":[0]`), response{400, "", ""}},
		{"state of an unknown job", http.MethodGet, prefix + "00000000000000ab", "", response{410, "", ""}},
		{"cancel of an unknown job", http.MethodDelete, prefix + "00000000000000ab", "", response{410, "", ""}},
		{"length of a queue", http.MethodGet, prefix, "", response{200, "", ""}},
		{"length of an unknown queue", http.MethodGet, "/other/", "", response{404, "", ""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := s.send(0, c.method, c.path, c.body)
			assert.NilError(t, err)
			assert.Equal(t, r, c.want)
		})
	}
}

// Guards against more runs at once than the workers have room for while many jobs come: the ledger of the stand-in
// workers fails the test in that case, or if a task runs twice at once.
func TestBurstStaysWithinCapacity(t *testing.T) {
	s := newSite(t, 2, 2)
	s.await(0)
	s.await(1)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			r := s.submit(i%2, id(i), job(4, 3100, 40, ""))
			assert.Check(t, r.status == http.StatusOK, "%v", r)
		})
	}
	wg.Wait()
}

func id(n int) string {
	const digits = "0123456789abcdef"
	return "00000000000c00" + string(digits[n/16%16]) + string(digits[n%16])
}

// Guards against a failing or hanging worker that fails jobs which another worker could have run.
func TestBadWorkersAreAvoided(t *testing.T) {
	for name, faults := range map[string]fleet.WorkerFaults{
		"fails": {Fail: true}, "hangs": {Hang: true}, "answers late": {LateEvery: 3},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 3)
			s.await(0)
			s.workers[0].SetFaults(faults)
			for i := range 20 {
				r := s.submit(0, id(i), job(2, 3100, 20, ""))
				assert.Equal(t, r, response{200, "completed", ""})
			}
		})
	}
}

// Guards against a run that is counted as done though its runner ended, and against a second run of the task before the
// first has ended.
func TestKilledRunner(t *testing.T) {
	s := newSite(t, 1, 2)
	s.await(0)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { assert.Check(t, s.submit(0, id(i), job(2, 3100, 400, "")).state == "completed") })
	}
	time.Sleep(150 * time.Millisecond)
	s.runners[0].Kill()
	wg.Wait()
}

// Guards against a new runner that waits for the next heartbeat of its worker, though its predecessor knew the worker.
func TestRunnerStartsAgain(t *testing.T) {
	s := newSite(t, 1, 1)
	s.await(0)
	assert.Equal(t, s.submit(0, id(1), job(1, 3100, 20, "")).state, "completed")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := s.client().Contents(s.Context(), platform.WorkerStream("d0"))
		if err == nil && len(c.Records) == 1 {
			return poll.Success()
		}
		return poll.Continue("the store has %d records of workers: %v", len(c.Records), err)
	})
	s.workers[0].SetFaults(fleet.WorkerFaults{NoHeartbeats: true})
	s.restartRunner(0)
	assert.Equal(t, s.submit(0, id(2), job(1, 3100, 20, "")).state, "completed")
}

// Guards against a gateway that knows no queues because the store does not answer at its start, though another gateway
// knows them; and against one that loses what it knows with the store's history.
func TestStoreAway(t *testing.T) {
	s := newSite(t, 2, 1)
	s.await(0)
	s.store.SetFaults(fleet.StoreFaults{Down: true})
	s.addGateway("g2")
	s.await(2)
	s.store.SetFaults(fleet.StoreFaults{})
	s.store.ExpireRecords(platform.ControlStream)
	s.store.Put(platform.ControlStream, "config", `{"version":9,"routes":[]}`)
	for i := range s.gateways {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if r, err := s.send(i, http.MethodGet, prefix, ""); err != nil || r.status != http.StatusNotFound {
				return poll.Continue("answer %v, error %v", r, err)
			}
			return poll.Success()
		}, poll.WithTimeout(patience))
	}
}

// Guards against new runs in a failure domain that operators take out of service, and against one that stays out.
func TestDrainedDomain(t *testing.T) {
	s := newSite(t, 1, 1)
	s.await(0)
	s.store.Put(platform.ControlStream, "evacuate/d0", "{}")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.logs[0].contains(`"event":350`) {
			return poll.Success()
		}
		return poll.Continue("the failure domain is in service")
	}, poll.WithTimeout(patience))
	starts := s.workers[0].Starts()
	done := make(chan response, 1)
	go func() { done <- s.submit(0, id(1), job(1, 100, 1, "")) }()
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, s.workers[0].Starts(), starts)
	s.store.Put(platform.ControlStream, "evacuate/d0", "")
	assert.Equal(t, (<-done).state, "completed")
}

// Guards against a graceful stop that cuts off jobs: callers get the answers of what was taken.
func TestGracefulStop(t *testing.T) {
	s := newSite(t, 1, 1)
	s.await(0)
	done := make(chan response, 1)
	go func() { done <- s.submit(0, id(1), job(2, 3100, 600, "")) }()
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, s.gateways[0].Stop(t.Context()))
	assert.Equal(t, (<-done).state, "completed")
}
