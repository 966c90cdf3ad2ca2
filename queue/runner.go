package queue

import (
	"slices"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// pendingOrder is a run that was ordered and that the last report does not account for.
type pendingOrder struct {
	number int
	need   lavendercourse.Resources
}

// Runner is what an entry knows of a runner.
type Runner struct {
	enroll message.Enroll
	linked bool
	// life counts the links of the runner.
	life   int
	report message.Report
	// heard is the time of the last report.
	heard clock.Millis
	free  lavendercourse.Resources
	// ordered counts the runs ordered on this link; pending holds those that the last report does not account for.
	ordered int
	pending []pendingOrder
	paused  clock.Millis
	// tried is the time of the last order to a failing runner.
	tried clock.Millis
	sent  map[*task]bool
}

// Name returns the name of the runner.
func (r *Runner) Name() string { return r.enroll.Name }

// Sent returns the number of runs whose end is not known.
func (r *Runner) Sent() int { return len(r.sent) }

// Failing tells whether runs of the runner do not end as they should, whatever their job: most fail, or they go too
// slowly.
func (r *Runner) Failing() bool {
	return r.report.Slow || r.report.Failed >= minFailures && r.report.Failed*100 >= failingPercent*r.report.Ended
}

func (r *Runner) update(now clock.Millis, report message.Report) {
	r.report, r.heard = report, now
	r.free = report.Free
	kept := r.pending[:0]
	for _, p := range r.pending {
		if p.number > report.Taken {
			kept = append(kept, p)
			r.free = r.free.Minus(p.need)
		}
	}
	r.pending = kept
}

func (r *Runner) order(need lavendercourse.Resources) {
	r.ordered++
	r.pending = append(r.pending, pendingOrder{number: r.ordered, need: need})
	r.free = r.free.Minus(need)
}

// serves tells whether the worker could ever run a task of the step.
func (r *Runner) serves(service string, step lavendercourse.Step) bool {
	return r.enroll.Service == service && step.Need.Fits(r.enroll.Capacity) &&
		(step.Label == "" || slices.Contains(r.enroll.Labels, step.Label))
}

// open tells whether the runner may get an order now.
func (r *Runner) open(now, fresh clock.Millis) bool {
	if !r.linked || !r.report.Open || now-r.heard > fresh || now < r.paused {
		return false
	}
	return !r.Failing() || (len(r.sent) == 0 && now-r.tried >= trialPeriod)
}
