package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/room"
)

// Guards against a crash that is dated to its report, and against one that gateways count although the worker answers: those that are
// linked, and those that link up later.
func TestWithdrawnCrashIsNotSent(t *testing.T) {
	received := make(frames, 64)
	r := newTestRunner(t, &fakeWorker{})
	l := newTestLink(t, received)
	r.mu.Lock()
	r.gateways["g"] = &gatewayLink{link: l, enrolled: true}
	now := r.cfg.Clock.Now()
	r.recordCrash(now, room.ReportCrash{Observed: true, Crash: message.Crash{Incarnation: 5, Ago: 100}})
	r.recordCrash(now, room.ReportCrash{Observed: true, Crash: message.Crash{Incarnation: 6}})
	assert.Equal(t, r.crashes[0].at, now-100)
	r.withdrawCrash(5)
	assert.Equal(t, len(r.crashes), 1)
	assert.Equal(t, r.crashes[0].crash.Incarnation, int64(6))
	r.mu.Unlock()
	for {
		f := <-received
		if f.Type != message.TypeCrash || f.Number == 0 {
			continue
		}
		var c message.Crash
		assert.NilError(t, f.DecodeBody(&c))
		assert.Equal(t, f.Number, uint64(message.CrashWithdrawn))
		assert.Equal(t, c.Incarnation, int64(5))
		return
	}
}

// newIdleRunner returns a runner whose worker has not answered, with its mutex held until the test ends.
func newIdleRunner(t *testing.T) *Runner {
	r := newTestRunner(t, unreachableWorker{})
	r.mu.Lock()
	t.Cleanup(r.mu.Unlock)
	return r
}

// Guards against a record of a worker that has not listed the runs of a predecessor, which the next successor would take for the one
// that this runner has called, and against the record of a draining worker that is left until then.
func TestRecordWaitsForLists(t *testing.T) {
	r := newIdleRunner(t)
	w := lavendercourse.WorkerReport{ID: "w", Incarnation: 1, Service: "s", Capacity: lavendercourse.Resources{CPU: 1000}}
	r.updateRecord(w)
	assert.Assert(t, r.desiredRecord == nil)
	r.desiredRecord = []byte("record of the worker")
	w.Draining = true
	r.updateRecord(w)
	assert.Equal(t, len(r.desiredRecord), 0)
}

// Guards against gateways that order runs for up to a report period after the worker has refused a connection.
func TestGatewaysAreToldThatWorkerCannotBeCalled(t *testing.T) {
	r := newTestRunner(t, &fakeWorker{})
	r.await(t, "the runner takes no runs", func() bool { return r.table.AcceptsRuns(r.cfg.Clock.Now()) })
	r.mu.Lock()
	defer r.mu.Unlock()
	g := &gatewayLink{link: newTestLink(t, make(frames, 64)), enrolled: true}
	r.gateways["g"] = g
	now := r.cfg.Clock.Now()
	g.reportedAt = now - 1
	r.perform(now, r.table.HandleRefusedConnection(now, now))
	assert.Assert(t, r.table.Unreachable())
	r.checkReachable(now, lavendercourse.ErrWorkerRefused)
	assert.Equal(t, g.reportedAt, now)
	g.reportedAt = now - 1
	r.checkReachable(now, lavendercourse.ErrWorkerRefused)
	assert.Equal(t, g.reportedAt, now-1, "it is reported once")
}
