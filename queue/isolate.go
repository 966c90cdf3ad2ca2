package queue

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// needsIsolation reports whether the next run of a task has to be the only one on its worker.
func (s *Scheduler) needsIsolation(now clock.Millis, t *task) bool {
	return t.suspect && s.ledger.NeedsIsolation(t.quarantineKey()) || s.isOverdue(now, t.job)
}

// isOverdue reports whether a job has waited too long for the workers set aside for its queue. Its tasks may be bad, so they
// run alone on other workers.
func (s *Scheduler) isOverdue(now clock.Millis, j *Job) bool {
	return j.hasEndedRun && j.inFlight == 0 && now-j.idleSince >= maxContainedIdle && s.contains(j.queue)
}

// hasIsolatedTask reports whether a waiting task of the job needs a worker of its own. Such a task may be ordered from a
// runner without free capacity, which then takes no other runs.
func (s *Scheduler) hasIsolatedTask(now clock.Millis, j *Job) bool {
	if s.ledger.Empty() {
		return s.isOverdue(now, j)
	}
	for _, t := range j.tasks {
		if t.state == taskWaiting && s.needsIsolation(now, t) {
			return true
		}
	}
	return false
}

// placeIsolated orders those of the waiting tasks that need a worker of their own, as far as there are workers for them, and
// returns the others.
func (s *Scheduler) placeIsolated(actions []Action, now clock.Millis, waiting []*task) ([]Action, []*task) {
	others := waiting[:0]
	for _, t := range waiting {
		if !s.needsIsolation(now, t) {
			others = append(others, t)
			continue
		}
		// A responsible task waits for its verdict, see giveUpCrashingTask.
		if t.suspect && s.ledger.Responsible(t.quarantineKey()) {
			continue
		}
		if r := s.chooseIsolationRunner(now, t); r != nil {
			actions = append(actions, s.orderIsolated(now, t, r))
		}
	}
	return actions, others
}

// orderIsolated assigns a task to a runner as the only one there, and returns the order to send.
func (s *Scheduler) orderIsolated(now clock.Millis, t *task, r *Runner) Action {
	order := s.orderRuns(now, t.job, t.step, r, []*task{t})
	order.Isolated = r.enrollment.Isolates
	r.isolated = t
	return order
}

// isolatedRuns returns the number of isolated runs that are in flight.
func (s *Scheduler) isolatedRuns() int {
	n := 0
	for _, r := range s.sortedRunners {
		if r.isolated != nil {
			n++
		}
	}
	return n
}

// chooseIsolationRunner returns the runner for a task that needs a worker of its own, or nil if there is none now.
func (s *Scheduler) chooseIsolationRunner(now clock.Millis, t *task) *Runner {
	n, linked := s.isolatedRuns(), s.LinkedRunners()
	if n >= max(linked/idleIsolationDivisor, 1) {
		return nil
	}
	busyAllowed, overdue := n < max(linked/busyIsolationDivisor, 1), s.isOverdue(now, t.job)
	var best *Runner
	step := t.job.steps[t.step]
	for _, r := range s.sortedRunners {
		// A runner without anything free is reserved for the isolated run of another entry.
		if !r.acceptsOrders(now, s.cfg.MaxReportAge) || r.report.Free == (lavendercourse.Resources{}) ||
			s.drained[r.enrollment.Domain] || !r.serves(t.job.queue.Service, step) {
			continue
		}
		if !busyAllowed && r.load() > 0 || !overdue && !s.allows(t.job.queue, r) {
			continue
		}
		if best == nil || s.betterForIsolation(r, best, t) {
			best = r
		}
	}
	return best
}

// betterForIsolation tells whether r is preferred to other for an isolated run of the task. The criteria are, in this
// order: it can isolate runs; its worker has not crashed under the task, since each further worker is more evidence; its
// worker has crashed less often for unknown reasons; fewer runs have to end first; a hash.
func (s *Scheduler) betterForIsolation(r, other *Runner, t *task) bool {
	key := t.quarantineKey()
	if a, b := r.enrollment.Isolates, other.enrollment.Isolates; a != b {
		return a
	}
	if a, b := s.ledger.CrashedOn(key, r.Name()), s.ledger.CrashedOn(key, other.Name()); a != b {
		return b
	}
	if a, b := s.ledger.WorkerCrashes(r.Name()), s.ledger.WorkerCrashes(other.Name()); a != b {
		return a < b
	}
	if a, b := r.load(), other.load(); a != b {
		return a < b
	}
	return t.scatterRank(r) < t.scatterRank(other)
}
