package queue

import (
	"fmt"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/quarantine"
	"github.com/lavendercourse/lavendercourse/route"
)

// HandleCrash records that the process of a runner's worker ended with the given runs, whichever entry ordered them. The
// ends of this entry's runs are reported apart.
func (s *Scheduler) HandleCrash(now clock.Millis, runner string, c message.Crash) []Action {
	suspects := make([]quarantine.Suspect, 0, len(c.Runs))
	for _, r := range c.Runs {
		suspects = append(suspects, quarantine.Suspect{Task: quarantine.Task{Job: r.Run.Job, Step: r.Run.Step, Task: r.Run.Task}, Age: r.Age})
	}
	isNew := s.ledger.Record(now, c.Ago, quarantine.CrashID{Runner: runner, Incarnation: c.Incarnation}, suspects, s.LinkedRunners())
	r := s.runners[runner]
	if r == nil || !isNew {
		return nil
	}
	// The worker that was reserved is gone.
	r.crashIsolated, r.crashed, r.isolated = r.isolated, c.Incarnation, nil
	s.markSuspects(suspects)
	var actions []Action
	cause := fmt.Sprintf("%s %d", runner, c.Incarnation)
	for _, task := range sortedTasks(r.inFlight) {
		if !task.suspect {
			continue
		}
		q := task.job.queue
		if !task.contained && s.ledger.Suspected(task.quarantineKey()) {
			task.contained = true
			actions = append(actions, s.containQueue(now, q, task.job.id, nil))
			continue
		}
		if s.contains(q) && !s.knowsCause(q, cause) && !s.explainsCrash(q, c) {
			actions = append(actions, s.containQueue(now, q, cause, nil))
		}
	}
	return actions
}

// WithdrawCrash forgets a crash that was reported by mistake: the worker answers in the same incarnation. An isolated run that it had
// goes on.
func (s *Scheduler) WithdrawCrash(runner string, incarnation int64) {
	s.ledger.Withdraw(quarantine.CrashID{Runner: runner, Incarnation: incarnation})
	if r := s.runners[runner]; r != nil && r.crashed == incarnation && r.isolated == nil {
		r.isolated, r.crashIsolated = r.crashIsolated, nil
	}
}

// markSuspects marks the tasks of a crash, wherever they are now: the entry may be told of the crash after the runs have
// ended, on a new link.
func (s *Scheduler) markSuspects(suspects []quarantine.Suspect) {
	keys := map[quarantine.Task]bool{}
	for _, suspect := range suspects {
		keys[suspect.Task] = true
	}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			t.suspect = t.suspect || keys[t.quarantineKey()]
		}
	}
}

// judgeSuspects judges the tasks that wait again since a crash whose cause was not settled then.
func (s *Scheduler) judgeSuspects(actions []Action, now clock.Millis) []Action {
	if s.ledger.Empty() {
		return actions
	}
	for _, j := range append([]*Job(nil), s.waiting...) {
		for _, t := range j.tasks {
			actions = s.giveUpCrashingTask(actions, now, t)
		}
	}
	return actions
}

// knowsCause reports whether a job or a crash has counted against a queue.
func (s *Scheduler) knowsCause(q route.Queue, cause string) bool {
	return s.containment(q.Service).Knows(q.Name, cause)
}

// explainsCrash reports whether a job that has counted against the queue was on the worker that crashed.
func (s *Scheduler) explainsCrash(q route.Queue, c message.Crash) bool {
	for _, r := range c.Runs {
		if s.knowsCause(q, r.Run.Job) {
			return true
		}
	}
	return false
}

// giveUpCrashingTask ends the job of a task that waits again after a run: as failed if the task is responsible for crashes of
// workers, and as interrupted if it was started as often as its crashes allow. If it is only suspected, its queue is
// contained.
func (s *Scheduler) giveUpCrashingTask(actions []Action, now clock.Millis, t *task) []Action {
	key := t.quarantineKey()
	if t.job.ended || t.state != taskWaiting || !t.suspect {
		return actions
	}
	log := LogCrashingTask{Job: t.job, Step: t.step, Task: t.index, Crashes: s.ledger.Participations(key), Responsible: s.ledger.Responsible(key)}
	switch {
	case log.Responsible && !s.ledger.Settled(now, key):
		// The next tick judges it.
		return actions
	case log.Responsible:
	case s.ledger.Exhausted(key):
		return s.endJob(append(actions, log), now, t.job, lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: causeExhausted})
	case !t.contained && s.ledger.Suspected(key):
		t.contained = true
		return append(actions, s.containQueue(now, t.job.queue, t.job.id, nil))
	default:
		return actions
	}
	crashes := s.ledger.Convict(key)
	actions = append(actions, log, s.containQueue(now, t.job.queue, t.job.id, crashes))
	return s.endJob(actions, now, t.job, lavendercourse.JobAnswer{Result: lavendercourse.JobFailed, Cause: causeCrashes})
}

// crashAnswer returns the answer to a submitted job that cannot be served because of crashes of workers, which happened
// while another entry had the job. It also marks the suspects among its tasks.
func (s *Scheduler) crashAnswer(j *Job) (lavendercourse.JobAnswer, bool) {
	if s.ledger.Empty() {
		return lavendercourse.JobAnswer{}, false
	}
	exhausted := false
	for _, t := range j.tasks {
		key := t.quarantineKey()
		t.suspect = s.ledger.Crashes(key) > 0
		if t.suspect && s.ledger.Responsible(key) {
			return lavendercourse.JobAnswer{Result: lavendercourse.JobFailed, Cause: causeCrashes}, true
		}
		exhausted = exhausted || s.ledger.Exhausted(key)
	}
	return lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: causeExhausted}, exhausted
}
