package runner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/room"
)

// silentAfter, in ms, is the time without an answer after which the worker is logged as silent.
const silentAfter = 500 * clock.Millis(1)

// errWorkerTimeout means that the worker did not answer a call in time. The call stays open and may still be answered.
var errWorkerTimeout = eris.New("worker did not answer in time")

// Sources of worker reports, as logged.
const (
	sourceStore  = "store"
	sourceWorker = "worker"
)

// reportSink implements lavendercourse.WorkerSink for a Runner.
type reportSink struct {
	*Runner
}

// Report processes a heartbeat of the worker.
func (s reportSink) Report(w lavendercourse.WorkerReport) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	before, known := s.table.Worker()
	actions, changed := s.table.HandleHeartbeat(now, w)
	s.perform(now, actions)
	if changed {
		s.describeWorker()
	}
	after, current := s.table.Worker()
	if current {
		s.updateRecord(after)
	}
	if after.Draining && !(known && before.Draining) {
		s.log.On(event.WorkerDraining).Str("worker", w.ID).Int64("sequence", w.Sequence).Send()
		s.reportToAll(now)
	}
	for name, g := range s.gateways {
		s.enrollIfReady(name, g)
	}
	return nil
}

// describeWorker logs the worker's description and sends it to the gateways again. The caller holds the mutex.
func (r *Runner) describeWorker() {
	w, _ := r.table.Worker()
	r.log.On(event.WorkerReported).Str("worker", w.ID).Int64("born", w.Incarnation).Int("cpu", w.Capacity.CPU).
		Int("memory", w.Capacity.Memory).Strs("labels", w.Labels).Int64("sequence", w.Sequence).Send()
	for _, g := range r.gateways {
		if g.enrolled {
			r.sendEnroll(g, message.EnrollAgain)
		}
	}
}

// WorkerLeaving records that the worker is shutting down, and reports to the gateways that it takes no more runs.
func (s reportSink) WorkerLeaving(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.HandleDeregistration(worker)
	if w, known := s.table.Worker(); known && w.ID == worker {
		w.Draining = true
		s.updateRecord(w)
	}
	s.log.On(event.WorkerLeft).Str("worker", worker).Send()
	s.reportToAll(s.cfg.Clock.Now())
}

// renew renews the lease of the worker in a loop. The answers list the running and the ended runs.
func (r *Runner) renew(ctx context.Context) error {
	return r.renewWhile(ctx, func() bool { return true })
}

// renewMore is a second loop of renewals that overlap with those of renew while the worker loses answers, so that the
// ends of runs are seldom held up by a lost one.
func (r *Runner) renewMore(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.answersLost:
			if err := r.renewWhile(ctx, r.losesAnswers); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

func (r *Runner) losesAnswers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.LosesAnswers() && r.table.AnsweredWithin(r.cfg.Clock.Now(), silentAfter)
}

func (r *Runner) answeredLately() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.AnsweredWithin(r.cfg.Clock.Now(), silentAfter)
}

// renewWhile renews the lease of the worker as long as the condition holds.
func (r *Runner) renewWhile(ctx context.Context, condition func() bool) error {
	refusals := 0
	for ctx.Err() == nil && condition() {
		reply, err := r.renewOnce(ctx)
		if err != nil {
			// A worker that answers some calls is called again at once, a silent one is not flooded with calls.
			if !eris.Is(err, errWorkerTimeout) || !r.answeredLately() {
				daemon.Sleep(ctx, retryPause)
			}
			continue
		}
		if reply == lavendercourse.ReplyAccepted {
			refusals = 0
			r.repeatStops(ctx)
			continue
		}
		refusals++
		// The worker refuses the token if an earlier one was taken while the time of day was ahead. After the first such
		// refusal the token has been raised, and the next renewal is sent immediately.
		if refusals > 1 || reply != lavendercourse.ReplyStaleToken {
			daemon.Sleep(ctx, retryPause)
		}
	}
	return ctx.Err()
}

// repeatStops sends the stops that the worker's address refused on the channel on which it has just answered, one after the other.
func (r *Runner) repeatStops(ctx context.Context) {
	r.mu.Lock()
	stops := r.table.RefusedStops(r.cfg.Clock.Now())
	r.mu.Unlock()
	for _, a := range stops {
		// A call is handled twice at most.
		answered := make(chan struct{}, 2)
		r.mu.Lock()
		r.stopRun(a, func() { answered <- struct{}{} })
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-answered:
		}
	}
}

// renewOnce sends one renewal and waits for its answer, or until it is due to be repeated. An answer that arrives later is
// processed all the same.
func (r *Runner) renewOnce(ctx context.Context) (lavendercourse.Reply, error) {
	r.mu.Lock()
	sentAt := r.cfg.Clock.Now()
	before := r.table.Token()
	worker, renewal, timeout := r.table.NextRenewal(sentAt)
	if renewal.Token != before {
		r.log.On(event.TokenAcquired).Int64("token", renewal.Token).Int64("before", before).Send()
	}
	r.mu.Unlock()
	type result struct {
		reply lavendercourse.Reply
		err   error
	}
	// A call is handled twice at most.
	results := make(chan result, 2)
	var workerRuns lavendercourse.WorkerRuns
	var reply lavendercourse.Reply
	r.callWorker(renewal.MaxWait, timeout, func() (err error) {
		workerRuns, reply, err = r.cfg.Worker.Renew(ctx, worker, renewal)
		return err
	}, func(now clock.Millis, err error) {
		switch {
		case err == nil:
			r.handleRenewalReply(now, sentAt, renewal, workerRuns, reply)
			results <- result{reply, nil}
		default:
			results <- result{err: err}
		}
	})
	select {
	case <-ctx.Done():
		return lavendercourse.ReplyOther, ctx.Err()
	case first := <-results:
		return first.reply, first.err
	}
}

// handleRenewalReply processes the answer to a renewal. The caller holds the mutex.
func (r *Runner) handleRenewalReply(now, sentAt clock.Millis, renewal lavendercourse.Renewal, workerRuns lavendercourse.WorkerRuns, reply lavendercourse.Reply) {
	r.perform(now, r.table.HandleRenewalReply(now, sentAt, renewal, workerRuns, reply))
	if after := r.table.Token(); after > renewal.Token {
		r.log.On(event.TokenAcquired).Int64("token", after).Int64("before", renewal.Token).Int64("clock", int64(workerRuns.Status.Clock)).
			Stringer("reply", reply).Send()
	}
}

// callWorker makes a call to the worker in the background, which may take maxWait ms longer than others. handle gets nil
// once the call is answered, and the error if it fails. If the call is not answered within timeout ms, handle first
// gets errWorkerTimeout, and later nil if an answer arrives after all, or the error if the worker is not running. It is
// called with the mutex held, and must use what call has stored only if it gets nil.
func (r *Runner) callWorker(maxWait, timeout clock.Millis, call func() error, handle func(now clock.Millis, err error)) {
	sentAt := r.cfg.Clock.Now()
	// ended and late are guarded by the mutex.
	ended, late := false, false
	onTimeout := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if ended || r.ctx.Err() != nil {
			return
		}
		late = true
		r.table.RecordLostAnswer()
		r.metrics.callUnanswered()
		handle(r.cfg.Clock.Now(), errWorkerTimeout)
	}
	var timer *time.Timer
	// The call itself ends at the longest time-out.
	if timeout < maxWait+room.MaxCallTimeout {
		timer = time.AfterFunc(timeout.Duration(), onTimeout)
	}
	go func() {
		err := call()
		if timer != nil {
			timer.Stop()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		ended = true
		now := r.cfg.Clock.Now()
		// A worker that answers a renewal before maxWait has passed does so at the end of a run, which says nothing about
		// its speed.
		took := now - sentAt - maxWait
		switch {
		case err != nil && late && !eris.Is(err, lavendercourse.ErrWorkerRefused):
			return
		case err == nil && late:
			r.table.RecordLateAnswer(took)
		case err == nil && took >= 0:
			r.table.RecordAnswerTime(took)
		case eris.Is(err, lavendercourse.ErrWorkerRefused):
			r.perform(now, r.table.HandleRefusedConnection(now, sentAt))
		case err != nil && r.ctx.Err() == nil:
			r.table.RecordLostAnswer()
			r.metrics.callUnanswered()
		}
		handle(now, err)
		r.checkReachable(now, err)
	}()
}

// checkLostAnswers starts the second loop of renewals while the worker leaves calls unanswered, and logs when it starts or
// stops to do so.
func (r *Runner) checkLostAnswers() {
	losesAnswers := r.table.LosesAnswers()
	if losesAnswers {
		select {
		case r.answersLost <- struct{}{}:
		default:
		}
	}
	if losesAnswers == r.workerLosesAnswers {
		return
	}
	r.workerLosesAnswers = losesAnswers
	e := event.WorkerAnswersAll
	if losesAnswers {
		e = event.WorkerLosesAnswers
	}
	r.log.On(e).Int64("timeout", int64(r.table.CallTimeout())).Int("doubt", r.table.RunsInDoubt()).Int("running", r.table.UnfinishedRuns()).Send()
}

// checkReachable logs when the worker cannot be called any more, and reports to the gateways that it takes no runs. err is the result
// of the last call. The caller holds the mutex.
func (r *Runner) checkReachable(now clock.Millis, err error) {
	before := r.workerUnreachable
	r.workerUnreachable = r.table.Unreachable()
	if before || !r.workerUnreachable {
		return
	}
	r.log.On(event.WorkerRefuses).Int("running", r.table.UnfinishedRuns()).Err(err).Send()
	r.reportToAll(now)
}

// checkWorkerSilence logs when the worker stops answering or answers again, and reports the load to the gateways.
func (r *Runner) checkWorkerSilence(now clock.Millis) {
	workerSilent := !r.table.AnsweredWithin(now, silentAfter)
	if workerSilent == r.workerSilent {
		return
	}
	r.workerSilent = workerSilent
	e := event.WorkerAnswers
	if workerSilent {
		e = event.WorkerSilent
	}
	r.log.On(e).Int("running", r.table.UnfinishedRuns()).Send()
	r.reportToAll(now)
}

// perform carries out the actions that the run table has returned, and notifies the gateways of runs that have ended.
// The caller holds the mutex.
func (r *Runner) perform(now clock.Millis, actions []room.Action) {
	ends := map[string][]message.RunEnd{}
	for _, a := range actions {
		switch a := a.(type) {
		case room.StartRun:
			r.startRun(a)
		case room.StopRun:
			r.stopRun(a, func() {})
		case room.ReportCrash:
			r.recordCrash(now, a)
		case room.WithdrawCrash:
			r.withdrawCrash(a.Incarnation)
		case room.DescribeWorker:
			r.describeWorker()
			w, _ := r.table.Worker()
			r.updateRecord(w)
		case room.ReportReturn:
			r.log.On(event.WorkerReturned).Int64("born", a.Incarnation).Int64("away", int64(a.Away)).Int("running", a.Running).Send()
		case room.ReportEnd:
			r.recordRunEnd(a)
			ends[a.Entry] = append(ends[a.Entry], message.RunEnd{Run: a.Run, Kind: a.Kind, Reason: a.Reason, Duration: a.Duration})
		}
	}
	for name, list := range ends {
		r.runsEnded = true
		g := r.gateways[name]
		if g == nil || !g.enrolled {
			continue
		}
		g.loadSentAt = now
		// The error is ignored: when a link closes, the gateway treats all runs that it ordered on it as ended.
		_ = g.link.Send(message.TypeEnded, 0, message.Ended{Report: r.loadReport(now, g), Ends: list})
	}
}

// startRun sends a start to the worker in the background and passes the answer to the run table.
func (r *Runner) startRun(a room.StartRun) {
	r.log.On(event.RunStarted).Str("job", a.Order.Run.Job).Int("step", a.Order.Run.Step).Int("task", a.Order.Run.Task).
		Int("run", a.Order.Run.Run).Str("entry", a.Entry).Int64("token", a.Order.Token).Int64("until", int64(a.Order.LeaseExpiry)).Int("free", r.table.Free().CPU).Send()
	r.metrics.runStarted()
	var status lavendercourse.WorkerStatus
	var reply lavendercourse.Reply
	r.callWorker(0, a.Timeout, func() (err error) {
		status, reply, err = r.cfg.Worker.Start(r.ctx, a.Worker, a.Order)
		if eris.Is(err, lavendercourse.ErrWorkerRefused) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.table.HandleUndeliveredStart(a.Order.Run)
		}
		return err
	}, func(now clock.Millis, err error) {
		if err != nil {
			r.perform(now, r.table.HandleStartReply(now, a.Order.Run, a.Order.Token, lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther, err))
			return
		}
		r.perform(now, r.table.HandleStartReply(now, a.Order.Run, a.Order.Token, status, reply, nil))
	})
}

// stopRun sends a stop to the worker in the background and passes the answer to the run table. It calls answered then, and once the call
// has timed out.
func (r *Runner) stopRun(a room.StopRun, answered func()) {
	r.log.On(event.RunStopped).Str("job", a.Run.Job).Int("step", a.Run.Step).Int("task", a.Run.Task).Int("run", a.Run.Run).
		Int64("token", a.Token).Str("cause", r.table.StopCause(a.Run)).Send()
	r.metrics.runStopped()
	var status lavendercourse.WorkerStatus
	var reply lavendercourse.Reply
	r.callWorker(0, a.Timeout, func() (err error) {
		status, reply, err = r.cfg.Worker.Stop(r.ctx, a.Worker, a.Run, a.Token)
		return err
	}, func(now clock.Millis, err error) {
		defer answered()
		if err != nil {
			r.perform(now, r.table.HandleStopReply(now, a.Run, a.Token, lavendercourse.WorkerStatus{}, lavendercourse.ReplyOther, err))
			return
		}
		r.perform(now, r.table.HandleStopReply(now, a.Run, a.Token, status, reply, nil))
	})
}

// recordCrash counts the end of the worker's process and logs the runs that it had, in one line so that the budget of log
// lines does not drop some of them. If the runs may have crashed the worker, all gateways are told.
func (r *Runner) recordCrash(now clock.Millis, a room.ReportCrash) {
	if len(a.Crash.Runs) > 0 {
		r.metrics.workerCrashed()
	}
	runs := make([]string, 0, len(a.Crash.Runs))
	for i, c := range a.Crash.Runs {
		runs = append(runs, fmt.Sprintf("%s.%d.%d.%d %d %s", c.Run.Job, c.Run.Step, c.Run.Task, c.Run.Run, c.Age, a.States[i]))
	}
	r.log.On(event.WorkerCrashed).Int64("born", a.Crash.Incarnation).Int64("silent", int64(a.Silent)).Bool("draining", a.Draining).
		Bool("counted", a.Observed).Str("evidence", a.Evidence).Strs("runs", runs).Send()
	if !a.Observed {
		return
	}
	r.crashes = append(r.crashes, pastCrash{at: now - a.Crash.Ago, crash: a.Crash})
	if len(r.crashes) > maxCrashes {
		r.crashes = r.crashes[1:]
	}
	for _, g := range r.gateways {
		if g.enrolled {
			// The error is ignored: the gateway is sent the crashes again on its next link.
			_ = g.link.Send(message.TypeCrash, 0, a.Crash)
		}
	}
}

// withdrawCrash tells all gateways that the worker has not crashed in the given incarnation.
func (r *Runner) withdrawCrash(incarnation int64) {
	r.log.On(event.WorkerNotCrashed).Int64("born", incarnation).Send()
	r.crashes = slices.DeleteFunc(r.crashes, func(c pastCrash) bool { return c.crash.Incarnation == incarnation })
	for _, g := range r.gateways {
		if g.enrolled {
			// The error is ignored: the crash counts there until the gateway forgets it, after 30 s.
			_ = g.link.Send(message.TypeCrash, message.CrashWithdrawn, message.Crash{Incarnation: incarnation})
		}
	}
}

// recordRunEnd counts the end of a run, and logs it unless the run succeeded.
func (r *Runner) recordRunEnd(a room.ReportEnd) {
	r.metrics.runEnded(a)
	if a.Kind.Succeeded() {
		return
	}
	e := event.RunEnded
	if a.Kind == lavendercourse.EndRefused {
		e = event.RunNotStarted
	}
	r.log.On(e).Str("job", a.Run.Job).Int("step", a.Run.Step).Int("task", a.Run.Task).Int("run", a.Run.Run).Str("entry", a.Entry).
		Stringer("kind", a.Kind).Stringer("reason", a.Reason).Str("cause", a.Cause).Int64("took", int64(a.Duration)).
		Int("free", r.table.Free().CPU).Send()
}
