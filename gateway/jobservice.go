package gateway

import (
	"context"
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/queue"
)

// causeCallerGone is the cause of an answer that no caller waits for.
const causeCallerGone = "caller is gone"

// jobService implements lavendercourse.JobService for the callers of a gateway.
type jobService struct {
	*Gateway
}

// Submit submits a job to the scheduler and waits for its result, or until ctx ends because the caller has left.
func (s jobService) Submit(ctx context.Context, submission lavendercourse.Submission) lavendercourse.JobAnswer {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	q, id, ok := s.routes.Match(submission.Host, submission.Path)
	if !ok {
		defer s.mu.Unlock()
		return s.noQueueAnswer()
	}
	// What arrives at the end of a cut or a pause may have its caller's end of the connection behind it. The caller may have
	// submitted the job to another gateway, so nothing of it may run here, nor may its time limit count for a running job.
	// The check is made with g.mu held, since a submission of a burst may wait for it.
	if conn := callerConnOf(ctx); ctx.Err() != nil || conn.hasEnded() {
		contact := s.scheduler.ContactAge(now)
		s.mu.Unlock()
		s.log.On(event.CallerLeftBeforeJob).Str("job", id).Str("queue", q.Name).Int64("patience", int64(submission.CallerTimeout)).
			Int64("open", int64(conn.age(now))).Int64("contact", int64(contact)).Send()
		s.metrics.jobAnswered(lavendercourse.JobInterrupted, 0)
		return lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: causeCallerGone}
	}
	j, a, actions := s.scheduler.Submit(now, submission, q, id)
	if j == nil {
		s.mu.Unlock()
		s.log.On(event.JobRefusedAtOnce).Str("job", id).Str("queue", q.Name).Stringer("result", a.Result).Str("cause", a.Cause).
			Int64("retry", int64(a.RetryAfter)).Send()
		s.metrics.jobAnswered(a.Result, 0)
		return a
	}
	pending := s.pendingAnswers[j]
	if pending == nil {
		pending = &pendingAnswer{done: make(chan struct{})}
		s.pendingAnswers[j] = pending
		s.log.On(event.JobAccepted).Str("job", id).Str("queue", q.Name).Int64("version", s.routes.Version()).Int("tasks", j.Tasks()).
			Int64("due", int64(j.Due()-now)).Int64("patience", int64(submission.CallerTimeout)).Int("waiting", s.scheduler.JobsWithWaitingTasks()).
			Int64("open", int64(callerConnOf(ctx).age(now))).Int64("contact", int64(s.scheduler.ContactAge(now))).Send()
	}
	if peer := j.AwaitedPeer(); peer != "" {
		s.log.On(event.JobWaitsForPeer).Str("job", id).Str("peer", peer).Send()
	}
	s.perform(actions)
	s.mu.Unlock()
	select {
	case <-pending.done:
		return pending.value
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(s.scheduler.CallerLeft(s.cfg.Clock.Now(), j))
	return lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: causeCallerGone}
}

// noQueueAnswer returns the answer to a request that matches no queue. Before a configuration has been read, the
// request is refused with a retry time instead, because its queue may exist.
func (s jobService) noQueueAnswer() lavendercourse.JobAnswer {
	if !s.routes.HasConfig() {
		return lavendercourse.JobAnswer{Result: lavendercourse.JobRefused, Cause: "no configuration has been read yet", RetryAfter: queue.MinCallerRetryDelay}
	}
	return lavendercourse.JobAnswer{Result: lavendercourse.JobNoQueue}
}

// State returns whether a job of this gateway is queued or running.
func (s jobService) State(host, path string) lavendercourse.JobAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, _, ok := s.routes.Match(host, path); !ok {
		return s.noQueueAnswer()
	}
	j := s.scheduler.Job(queue.JobKey(host, path))
	if j == nil {
		return lavendercourse.JobAnswer{Result: lavendercourse.JobUnknown}
	}
	if j.Started() {
		return lavendercourse.JobAnswer{Result: lavendercourse.JobRunning}
	}
	return lavendercourse.JobAnswer{Result: lavendercourse.JobQueued}
}

// Cancel cancels a job. A job that this gateway does not have is cancelled at the gateway that has it, and refused wherever
// it is submitted again. This does not depend on the configuration: the queue of the job may have been removed, or this gateway may
// not have read of it yet. The answer waits until the cancel is recorded in the store, since gateways may all end at once.
func (s jobService) Cancel(ctx context.Context, host, path string) lavendercourse.JobAnswer {
	key := queue.JobKey(host, path)
	s.mu.Lock()
	a, actions := s.scheduler.Cancel(s.cfg.Clock.Now(), key)
	s.perform(actions)
	pending := s.pendingCancels[key]
	s.mu.Unlock()
	unconfirmed := lavendercourse.JobAnswer{
		Result: lavendercourse.JobUnconfirmed, Cause: "the cancel could not be recorded", RetryAfter: queue.MinCallerRetryDelay,
	}
	if pending == nil {
		// Too many cancels wait for the store.
		return unconfirmed
	}
	select {
	case <-pending.done:
		if pending.stored {
			return a
		}
	case <-ctx.Done():
	}
	return unconfirmed
}

// Pending returns the number of jobs of a queue whose tasks are all waiting.
func (s jobService) Pending(host, path string) (int, lavendercourse.JobAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, _, ok := s.routes.Match(host, path)
	if !ok {
		return 0, s.noQueueAnswer()
	}
	return s.scheduler.FullyWaitingJobs(q), lavendercourse.JobAnswer{}
}

// perform carries out the actions that the scheduler returned. g.mu must be held.
func (g *Gateway) perform(actions []queue.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case queue.SendOrder:
			g.sendOrder(a)
		case queue.SendRecall:
			g.sendRecall(a)
		case queue.LogSilentRunner:
			g.log.On(event.RunnerSilent).Str("runner", a.Runner).Int("runs", a.Runs).Int64("silent", int64(a.Silent)).Send()
		case queue.LogCrashingTask:
			g.recordCrashingTask(a)
		case queue.ShareVerdict:
			g.shareVerdict(a.Verdict)
		case queue.ShareCancel:
			g.shareCancel(a.Job)
		case queue.ShareClaims:
			g.shareClaims(a)
		case queue.AnswerClaims:
			g.answerClaims(a)
		case queue.AnswerCallers:
			g.answerCallers(a)
		}
	}
}

// recordCrashingTask logs and counts a task that is not started again. g.mu must be held.
func (g *Gateway) recordCrashingTask(a queue.LogCrashingTask) {
	crashes := make([]string, 0, len(a.Crashes))
	for _, c := range a.Crashes {
		crashes = append(crashes, fmt.Sprintf("%s %d age=%d runs=%d explained=%t", c.ID.Runner, c.ID.Incarnation, c.Age, c.Suspects, c.Explained))
	}
	e := event.TaskNotStartedAgain
	if a.Responsible {
		e = event.TaskCrashesWorkers
		g.metrics.taskCrashesWorkers()
	}
	g.log.On(e).Str("job", a.Job.ID()).Str("queue", a.Job.Queue().Name).Int("step", a.Step).Int("task", a.Task).
		Strs("crashes", crashes).Send()
}

// shareVerdict sends a verdict to all other gateways. g.mu must be held.
func (g *Gateway) shareVerdict(v message.Verdict) {
	for _, p := range g.peers {
		// The error is ignored: the gateway is sent the contained queues on its next link.
		_ = p.link.Send(message.TypeVerdict, 0, v)
	}
}

// answerCallers logs and counts the result of a job and passes it to the callers that wait for it. g.mu must be held.
func (g *Gateway) answerCallers(f queue.AnswerCallers) {
	now := g.cfg.Clock.Now()
	j := f.Job
	g.log.On(event.JobAnswered).Str("job", j.ID()).Str("queue", j.Queue().Name).Stringer("result", f.Answer.Result).
		Str("cause", f.Answer.Cause).Int64("took", int64(now-j.Arrived())).Bool("late", now > j.Due()).Send()
	g.metrics.jobAnswered(f.Answer.Result, now-j.Arrived())
	if pending := g.pendingAnswers[j]; pending != nil {
		delete(g.pendingAnswers, j)
		pending.value = f.Answer
		close(pending.done)
	}
}
