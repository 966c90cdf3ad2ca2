package queue

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// batch is an order that is being put together.
type batch struct {
	runner *Runner
	step   int
	runs   []lavendercourse.RunID
	free   lavendercourse.Resources
}

// Pump sends the waiting tasks for which there is room.
func (t *Table) Pump(now clock.Millis) []Action {
	t.wants = false
	if len(t.waiting) == 0 {
		return nil
	}
	sort.SliceStable(t.waiting, func(i, j int) bool { return t.waiting[i].before(t.waiting[j], now) })
	var actions []Action
	kept := t.waiting[:0]
	for _, j := range t.waiting {
		actions = t.place(actions, now, j)
		if j.waiting > 0 {
			kept = append(kept, j)
		}
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	t.wants = len(kept) > 0
	return actions
}

// place sends the waiting tasks of one job for which there is room.
func (t *Table) place(actions []Action, now clock.Millis, j *Job) []Action {
	var batches []*batch
	for _, task := range j.tasks {
		if task.state != taskWaiting || !j.ready(task.step) {
			continue
		}
		r := t.choose(now, j, task)
		if r == nil {
			continue
		}
		batches = t.assign(batches, now, task, r)
	}
	for _, b := range batches {
		step := j.steps[b.step]
		actions = append(actions, SendOrder{
			Runner: b.runner.Name(), Free: b.free, Age: now - b.runner.heard,
			Order: message.Order{
				Stamp: b.runner.report.Stamp, Job: j.id, Payload: j.payload, Need: step.Need, Estimate: step.Estimate,
				PerWorker: step.PerWorker, Runs: b.runs,
			},
		})
	}
	return actions
}

func (t *Table) assign(batches []*batch, now clock.Millis, task *task, r *Runner) []*batch {
	j := task.job
	var b *batch
	for _, other := range batches {
		if other.runner == r && other.step == task.step {
			b = other
		}
	}
	if b == nil {
		b = &batch{runner: r, step: task.step, free: r.free}
		batches = append(batches, b)
	}
	task.state, task.runner, task.life = taskSent, r, r.life
	task.run++
	j.waiting--
	j.sent++
	r.sent[task] = true
	r.tried = now
	r.order(j.steps[task.step].Need)
	b.runs = append(b.runs, task.id())
	return batches
}

// choose returns the runner for a task: one of the entry's own failure domain if there is room, since messages between
// failure domains are dear, and otherwise any; among these the one with the most room.
func (t *Table) choose(now clock.Millis, j *Job, task *task) *Runner {
	step := j.steps[task.step]
	var best *Runner
	for _, r := range t.order {
		if !r.open(now, t.cfg.Fresh) || t.drained[r.enroll.Domain] || !r.serves(j.queue.Service, step) || !step.Need.Fits(r.free) {
			continue
		}
		if step.PerWorker > 0 && r.ofStep(j, task.step) >= step.PerWorker {
			continue
		}
		if best == nil || t.better(r, best, task.avoid) {
			best = r
		}
	}
	return best
}

func (t *Table) better(r, other *Runner, avoid string) bool {
	if a, b := r.Name() == avoid, other.Name() == avoid; a != b {
		return b
	}
	if a, b := r.enroll.Domain == t.cfg.Domain, other.enroll.Domain == t.cfg.Domain; a != b {
		return a
	}
	return r.free.CPU > other.free.CPU
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
