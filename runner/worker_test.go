package runner

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/room"
)

// lossyWorker leaves lostPercent of the renewals unanswered.
type lossyWorker struct {
	fakeWorker
	lostPercent atomic.Int64
	calls       atomic.Int64
}

func (w *lossyWorker) Renew(ctx context.Context, worker string, r lavendercourse.Renewal) (lavendercourse.WorkerRuns, lavendercourse.Reply, error) {
	if w.calls.Add(1)*37%100 < w.lostPercent.Load() {
		time.Sleep((room.MaxCallTimeout + r.MaxWait).Duration())
		return lavendercourse.WorkerRuns{}, lavendercourse.ReplyOther, eris.New("no answer")
	}
	return w.fakeWorker.Renew(ctx, worker, r)
}

// newTestRunner starts a runner beside the given worker, which sends heartbeats, and ends both with the test.
func newTestRunner(t *testing.T, w lavendercourse.TaskWorker) *Runner {
	reports, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r, err := New(Config{
		Name: "r", Worker: w, Reports: reports, Register: func(*mux.Router, lavendercourse.WorkerSink) {}, Store: emptyStore{}, Decode: decodeNothing,
		Clock: clock.NewBoot(), Logger: zerolog.Nop(),
	})
	assert.NilError(t, err)
	t.Cleanup(r.Kill)
	t.Cleanup(sendHeartbeats(t, r))
	return r
}

// sendHeartbeats sends heartbeats of a worker to the runner until the returned function is called.
func sendHeartbeats(t *testing.T, r *Runner) func() {
	report := lavendercourse.WorkerReport{ID: "w", Incarnation: 1, Service: "s", Capacity: lavendercourse.Resources{CPU: 1000}, Sequence: 1}
	assert.NilError(t, reportSink{r}.Report(report))
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(500 * time.Millisecond):
				report.Sequence++
				_ = reportSink{r}.Report(report)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// await waits until the condition on the state of the runner holds.
func (r *Runner) await(t *testing.T, text string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", text)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against a runner that takes no runs any more after its worker first lost a share of the calls and then all of
// them (found by seed 617 of the soak: a loop of renewals waited for a result that was never sent).
func TestRenewalsResumeAfterSilence(t *testing.T) {
	w := &lossyWorker{}
	r := newTestRunner(t, w)
	now := func() clock.Millis { return r.cfg.Clock.Now() }
	for range 2 {
		r.await(t, "the runner takes no runs", func() bool { return r.table.AcceptsRuns(now()) })
		w.lostPercent.Store(50)
		r.await(t, "the worker does not count as losing answers", r.table.LosesAnswers)
		w.lostPercent.Store(100)
		r.await(t, "the worker does not count as silent", func() bool { return !r.table.AnsweredWithin(now(), silentAfter) })
		time.Sleep(200 * time.Millisecond)
		w.lostPercent.Store(0)
	}
	r.await(t, "the runner takes no runs after the silence", func() bool { return r.table.AcceptsRuns(now()) })
}

// refusingWorker loses the answer to the first start and refuses all connections from then on. Its renewals are answered
// late, as those of a worker whose connections end without a reset.
type refusingWorker struct {
	fakeWorker
	starts atomic.Int64
}

func (w *refusingWorker) Start(context.Context, string, lavendercourse.Order) (lavendercourse.WorkerStatus, lavendercourse.Reply, error) {
	if w.starts.Add(1) == 1 {
		return lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther, eris.New("connection reset")
	}
	return lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther, eris.Wrap(lavendercourse.ErrWorkerRefused, "connection refused")
}

func (w *refusingWorker) Stop(context.Context, string, lavendercourse.RunID, int64) (lavendercourse.WorkerStatus, lavendercourse.Reply, error) {
	return lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther, eris.Wrap(lavendercourse.ErrWorkerRefused, "connection refused")
}

func (w *refusingWorker) Renew(ctx context.Context, worker string, r lavendercourse.Renewal) (lavendercourse.WorkerRuns, lavendercourse.Reply, error) {
	if w.starts.Load() > 0 {
		<-ctx.Done()
		return lavendercourse.WorkerRuns{}, lavendercourse.ReplyOther, ctx.Err()
	}
	return w.fakeWorker.Renew(ctx, worker, r)
}

// Guards against a series of starts to a worker that refuses connections, and against runs that are left in the table when it
// does not come back.
func TestRefusedStartIsNotRepeated(t *testing.T) {
	w := &refusingWorker{}
	r := newTestRunner(t, w)
	r.await(t, "the runner takes no runs", func() bool { return r.table.AcceptsRuns(r.cfg.Clock.Now()) })
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	r.perform(now, r.table.HandleOrder(now, "g", message.Order{
		Stamp: now, Need: lavendercourse.Resources{CPU: 10}, Runs: []lavendercourse.RunID{{Job: "j", Run: 1}},
	}))
	r.mu.Unlock()
	r.await(t, "the crash is not noticed", func() bool { return len(r.crashes) == 1 })
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, w.starts.Load(), int64(2))
}
