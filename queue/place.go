package queue

import (
	"sort"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// Dispatch assigns waiting tasks to runners that have capacity for them, in the priority order that Job.before defines,
// and returns the orders to send.
func (s *Scheduler) Dispatch(now clock.Millis) []Action {
	s.lastDispatch = now
	s.backlogged = false
	s.updatePartitions()
	s.updatePreference(now)
	if len(s.waiting) == 0 {
		return nil
	}
	sort.SliceStable(s.waiting, func(i, j int) bool { return s.waiting[i].before(s.waiting[j], now) })
	available, largestFreeCPU := s.availableRunners(now)
	var actions []Action
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		// The next tick ends a job whose callers have given up. An entry that was suspended may get here before it.
		if !j.callersGaveUp(now) && s.mayRun(now, j) && (j.minCPU <= largestFreeCPU || s.hasIsolatedTask(now, j)) {
			before := j.waiting
			actions = s.placeJob(actions, now, j, available)
			if j.waiting != before {
				largestFreeCPU = maxFreeCPU(available)
			}
		}
		if j.waiting > 0 {
			kept = append(kept, j)
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	s.backlogged = len(kept) > 0
	return actions
}

// dispatchThrottled calls Dispatch, unless many jobs wait and the last call was less than dispatchInterval ago; a later
// event or tick dispatches them then. Otherwise an entry with little CPU would spend all of it on scanning its backlog.
func (s *Scheduler) dispatchThrottled(now clock.Millis) []Action {
	if len(s.waiting) > smallBacklog && now-s.lastDispatch < dispatchInterval {
		return nil
	}
	return s.Dispatch(now)
}

// availableRunners returns the runners that may get orders now, and the largest amount of free CPU on any one of them,
// in thousandths of a core.
func (s *Scheduler) availableRunners(now clock.Millis) ([]*Runner, int) {
	available := make([]*Runner, 0, len(s.sortedRunners))
	for _, r := range s.sortedRunners {
		if r.acceptsOrders(now, s.cfg.MaxReportAge) && !s.drained[r.enrollment.Domain] {
			available = append(available, r)
		}
	}
	return available, maxFreeCPU(available)
}

// maxFreeCPU returns the largest amount of free CPU on any one runner in thousandths of a core, or -1 without runners.
func maxFreeCPU(available []*Runner) int {
	maxFree := -1
	for _, r := range available {
		maxFree = max(maxFree, r.free.CPU)
	}
	return maxFree
}

// placeJob assigns the waiting tasks of one job to runners that have capacity for them.
func (s *Scheduler) placeJob(actions []Action, now clock.Millis, j *Job, available []*Runner) []Action {
	for step := range j.steps {
		if !j.ready(step) {
			continue
		}
		var waiting []*task
		actions, waiting = s.placeIsolated(actions, now, j.waitingTasks(step))
		for len(waiting) > 0 {
			r, n := s.chooseRunner(now, j, step, waiting, available)
			if r == nil {
				break
			}
			actions = append(actions, s.orderRuns(now, j, step, r, waiting[:n]))
			waiting = waiting[n:]
		}
	}
	return actions
}

// orderRuns assigns tasks of one step to a runner and returns the order to send.
func (s *Scheduler) orderRuns(now clock.Millis, j *Job, step int, r *Runner, tasks []*task) SendOrder {
	st := j.steps[step]
	a := SendOrder{
		Runner: r.Name(), Free: r.free, Age: now - r.lastHeard,
		Order: message.Order{
			Stamp: r.report.Stamp, Job: j.id, Payload: j.payload, Need: st.Need, Estimate: st.Estimate, MaxPerWorker: st.MaxPerWorker,
			Kind: uint32(s.kindOf(j)),
		},
	}
	for _, task := range tasks {
		task.state, task.runner = taskInFlight, r
		task.runNumber++
		if task.suspect {
			s.ledger.CountStart(task.quarantineKey(), 1)
		}
		j.waiting--
		j.waitingWork -= task.work()
		j.inFlight++
		r.inFlight[task] = true
		s.runsInFlight[j.key]++
		r.reserve(st.Need)
		a.Order.Runs = append(a.Order.Runs, task.id())
	}
	r.lastOrdered = now
	return a
}

// chooseRunner returns the runner for the first waiting tasks of a step, and how many of them it gets. It returns nil
// if no runner has capacity. Tasks of one step go to few runners, since each order is a message and the job needs all
// of its tasks to complete. Suspects of a crash go alone, so that the next crash tells them apart.
func (s *Scheduler) chooseRunner(now clock.Millis, j *Job, step int, waiting []*task, available []*Runner) (*Runner, int) {
	var best *Runner
	fitCount := 0
	for _, r := range available {
		if !r.acceptsOrders(now, s.cfg.MaxReportAge) || !r.serves(j.queue.Service, j.steps[step]) || !s.allows(j.queue, r) {
			continue
		}
		n := r.fitCount(j, step, len(waiting))
		if waiting[0].suspect {
			n = min(n, 1)
		}
		if n > 0 && (best == nil || s.betterRunner(r, n, best, fitCount, waiting[0])) {
			best, fitCount = r, n
		}
	}
	return best, fitCount
}

// betterRunner tells whether r, which can take count tasks, is preferred to other, which can take otherCount. The
// criteria are, in this order: not the runner that the task should avoid; for a suspect of a crash, the runner with fewer
// other suspects, then by a hash, so that two suspects of one crash seldom meet again, even if their entries differ; a
// runner apart from tasks that slow this one or are slowed by it, if any are known; a runner in the entry's own failure domain,
// since messages between failure domains are expensive; a preferred runner, into whose room other entries order last; the runner
// that can take more of the tasks; the runner with more free CPU.
func (s *Scheduler) betterRunner(r *Runner, count int, other *Runner, otherCount int, first *task) bool {
	if a, b := r.Name() == first.avoidRunner, other.Name() == first.avoidRunner; a != b {
		return b
	}
	if first.suspect {
		if a, b := r.suspects(), other.suspects(); a != b {
			return a < b
		}
		return first.scatterRank(r) < first.scatterRank(other)
	}
	if c := s.compareNeighbours(first, r, other); c != 0 {
		return c < 0
	}
	if a, b := r.enrollment.Domain == s.cfg.Domain, other.enrollment.Domain == s.cfg.Domain; a != b {
		return a
	}
	if a, b := r.preferred && !r.Failing(), other.preferred && !other.Failing(); a != b {
		return a
	}
	if count != otherCount {
		return count > otherCount
	}
	return r.free.CPU > other.free.CPU
}

// fitCount returns how many of n tasks of a step the runner has capacity for.
func (r *Runner) fitCount(j *Job, step, n int) int {
	s := j.steps[step]
	if r.Failing() {
		n = 1
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker-r.inFlightOfStep(j, step))
	}
	for _, resource := range []struct{ need, free int }{
		{s.Need.CPU, r.free.CPU}, {s.Need.Memory, r.free.Memory}, {s.Need.Accelerators, r.free.Accelerators},
	} {
		if resource.need > 0 {
			n = min(n, resource.free/resource.need)
		}
	}
	return max(n, 0)
}

// inFlightOfStep returns the number of tasks of a step that were ordered from the runner and whose end is not known.
func (r *Runner) inFlightOfStep(j *Job, step int) int {
	n := 0
	for task := range r.inFlight {
		if task.job == j && task.step == step {
			n++
		}
	}
	return n
}

// waitingTasks returns the waiting tasks of a step. Suspects of a crash come first, then those that should avoid a runner,
// because chooseRunner applies these properties of the first task to the whole group.
func (j *Job) waitingTasks(step int) []*task {
	var waiting []*task
	for _, task := range j.tasks {
		if task.state == taskWaiting && task.step == step {
			waiting = append(waiting, task)
		}
	}
	sort.SliceStable(waiting, func(a, b int) bool {
		if waiting[a].suspect != waiting[b].suspect {
			return waiting[a].suspect
		}
		return waiting[a].avoidRunner > waiting[b].avoidRunner
	})
	return waiting
}
