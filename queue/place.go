package queue

import (
	"sort"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// Pump sends the waiting tasks for which there is room.
func (t *Table) Pump(now clock.Millis) []Action {
	t.pumped = now
	t.wants = false
	if len(t.waiting) == 0 {
		return nil
	}
	sort.SliceStable(t.waiting, func(i, j int) bool { return t.waiting[i].before(t.waiting[j], now) })
	open, room := t.open(now)
	var actions []Action
	kept := t.waiting[:0]
	for _, j := range t.waiting {
		if j.least <= room {
			before := j.waiting
			actions = t.place(actions, now, j, open)
			if j.waiting != before {
				room = mostFree(open)
			}
		}
		if j.waiting > 0 {
			kept = append(kept, j)
		}
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	t.wants = len(kept) > 0
	return actions
}

// pumpSoon sends waiting tasks now, or at the next event or tick if many jobs wait and they were looked through a
// moment ago. A small entry would spend its processor on looking through its backlog otherwise.
func (t *Table) pumpSoon(now clock.Millis) []Action {
	if len(t.waiting) > shortBacklog && now-t.pumped < pumpPeriod {
		return nil
	}
	return t.Pump(now)
}

// open returns the runners that may get orders now, and the most processor that one of them has free.
func (t *Table) open(now clock.Millis) ([]*Runner, int) {
	open := make([]*Runner, 0, len(t.order))
	for _, r := range t.order {
		if r.open(now, t.cfg.Fresh) && !t.drained[r.enroll.Domain] {
			open = append(open, r)
		}
	}
	return open, mostFree(open)
}

func mostFree(open []*Runner) int {
	most := -1
	for _, r := range open {
		most = max(most, r.free.CPU)
	}
	return most
}

// place sends the waiting tasks of one job for which there is room.
func (t *Table) place(actions []Action, now clock.Millis, j *Job, open []*Runner) []Action {
	for step := range j.steps {
		if !j.ready(step) {
			continue
		}
		waiting := j.waitingOf(step)
		for len(waiting) > 0 {
			r, n := t.choose(now, j, step, waiting, open)
			if r == nil {
				break
			}
			actions = append(actions, t.send(now, j, step, r, waiting[:n]))
			waiting = waiting[n:]
		}
	}
	return actions
}

// send orders tasks of one step from a runner.
func (t *Table) send(now clock.Millis, j *Job, step int, r *Runner, tasks []*task) Action {
	s := j.steps[step]
	a := SendOrder{
		Runner: r.Name(), Free: r.free, Age: now - r.heard,
		Order: message.Order{
			Stamp: r.report.Stamp, Job: j.id, Payload: j.payload, Need: s.Need, Estimate: s.Estimate, PerWorker: s.PerWorker,
		},
	}
	for _, task := range tasks {
		task.state, task.runner = taskSent, r
		task.run++
		j.waiting--
		j.sent++
		r.sent[task] = true
		r.order(s.Need)
		a.Order.Runs = append(a.Order.Runs, task.id())
	}
	r.tried = now
	return a
}

// choose returns the runner for the next of the waiting tasks of a step, and how many of them it gets. Tasks of one
// step go to few runners, since each order is a message and the job needs all of them to end well.
func (t *Table) choose(now clock.Millis, j *Job, step int, waiting []*task, open []*Runner) (*Runner, int) {
	var best *Runner
	fits := 0
	avoid := waiting[0].avoid
	for _, r := range open {
		if !r.open(now, t.cfg.Fresh) || !r.serves(j.queue.Service, j.steps[step]) {
			continue
		}
		n := r.fits(j, step, len(waiting))
		if n > 0 && (best == nil || t.better(r, n, best, fits, avoid)) {
			best, fits = r, n
		}
	}
	return best, fits
}

// better orders runners: not the one on which the task did not end well; one of the entry's own failure domain, since
// messages between failure domains are dear; the one that takes most of the tasks; the one with the most room.
func (t *Table) better(r *Runner, n int, other *Runner, fits int, avoid string) bool {
	if a, b := r.Name() == avoid, other.Name() == avoid; a != b {
		return b
	}
	if a, b := r.enroll.Domain == t.cfg.Domain, other.enroll.Domain == t.cfg.Domain; a != b {
		return a
	}
	if n != fits {
		return n > fits
	}
	return r.free.CPU > other.free.CPU
}

// fits returns how many of n tasks of a step the runner has room for.
func (r *Runner) fits(j *Job, step, n int) int {
	s := j.steps[step]
	if r.Failing() {
		n = 1
	}
	if s.PerWorker > 0 {
		n = min(n, s.PerWorker-r.ofStep(j, step))
	}
	for _, k := range []struct{ need, free int }{
		{s.Need.CPU, r.free.CPU}, {s.Need.Memory, r.free.Memory}, {s.Need.Accelerators, r.free.Accelerators},
	} {
		if k.need > 0 {
			n = min(n, k.free/k.need)
		}
	}
	return max(n, 0)
}

func (r *Runner) ofStep(j *Job, step int) int {
	n := 0
	for task := range r.sent {
		if task.job == j && task.step == step {
			n++
		}
	}
	return n
}

// waitingOf returns the waiting tasks of a step. Those that have to avoid a runner are first, so that they choose for
// themselves.
func (j *Job) waitingOf(step int) []*task {
	var waiting []*task
	for _, task := range j.tasks {
		if task.state == taskWaiting && task.step == step {
			waiting = append(waiting, task)
		}
	}
	sort.SliceStable(waiting, func(a, b int) bool { return waiting[a].avoid > waiting[b].avoid })
	return waiting
}
