package queue

import (
	"slices"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// pendingRun is an ordered run that the runner's last report does not account for yet. sequence numbers the runs
// ordered on one link, from 1.
type pendingRun struct {
	sequence int
	need     lavendercourse.Resources
}

// Runner is an entry's view of a runner.
type Runner struct {
	enrollment message.Enroll
	linked     bool
	// linkCount counts the links that the runner has made.
	linkCount int
	report    message.Report
	// lastHeard is the time of the last report, or of the link if there was none since.
	lastHeard clock.Millis
	// free is the last reported amount of free resources less the needs of pendingRuns.
	free lavendercourse.Resources
	// orderedRuns counts the runs ordered on this link. pendingRuns holds those that the last report does not account
	// for.
	orderedRuns int
	pendingRuns []pendingRun
	// pausedUntil is the time until which the runner gets no orders because it refused one.
	pausedUntil clock.Millis
	// lastOrdered is the time of the last order. It spaces out the runs on a failing runner.
	lastOrdered clock.Millis
	// inFlight is the set of tasks ordered from the runner whose end is not known.
	inFlight map[*task]bool
	// preferred tells whether the entry orders from the runner before it orders from others.
	preferred bool
	// early is set from EnrollEarly until Enroll on the same link. earlier holds the tasks in flight whose runs were ordered on a link
	// before an EnrollEarly, with the time of the last report on that link.
	early   bool
	earlier map[*task]clock.Millis
	// isolated is the task in flight that has to be the only one on the worker, or nil.
	isolated *task
	// crashIsolated is the isolated task at the last reported crash of the worker, whose incarnation is crashed. The report may be
	// withdrawn.
	crashIsolated *task
	crashed       int64
	// hash is that of the name, and position that in the division of the runners among kinds that interfere, from 0 to 1.
	hash     uint64
	position float64
}

// Name returns the name of the runner.
func (r *Runner) Name() string { return r.enrollment.Name }

// InFlight returns the number of ordered runs whose end is not known.
func (r *Runner) InFlight() int { return len(r.inFlight) }

// beginLink resets what is known of the runner from an earlier link.
func (r *Runner) beginLink(now clock.Millis) {
	r.linked, r.linkCount, r.lastHeard = true, r.linkCount+1, now
	r.report, r.free, r.pendingRuns, r.orderedRuns, r.pausedUntil = message.Report{}, lavendercourse.Resources{}, nil, 0, 0
}

// keepEarlier records that all runs in flight were ordered on links before the one that begins.
func (r *Runner) keepEarlier() {
	if r.earlier == nil {
		r.earlier = map[*task]clock.Millis{}
	}
	for t := range r.inFlight {
		if _, known := r.earlier[t]; !known {
			r.earlier[t] = r.lastHeard
		}
	}
}

// earlierHeardBy returns the tasks whose runs were ordered on an earlier link that was last heard at the given time in ms or before.
func (r *Runner) earlierHeardBy(heard clock.Millis) map[*task]bool {
	tasks := map[*task]bool{}
	for t, at := range r.earlier {
		if at <= heard {
			tasks[t] = true
		}
	}
	return tasks
}

// remove removes a task that is not in flight on the runner any more.
func (r *Runner) remove(t *task) {
	delete(r.inFlight, t)
	delete(r.earlier, t)
	if r.isolated == t {
		r.isolated = nil
	}
	if r.crashIsolated == t {
		r.crashIsolated = nil
	}
}

// load returns the number of runs on the worker, as far as the entry knows.
func (r *Runner) load() int { return r.report.Running + len(r.pendingRuns) }

// suspects returns the number of runs in flight whose tasks were on a worker that crashed.
func (r *Runner) suspects() int {
	n := 0
	for task := range r.inFlight {
		if task.suspect {
			n++
		}
	}
	return n
}

// Failing tells whether the runner itself is at fault for failed or slow runs: runs of several jobs fail, or runs are
// too slow.
func (r *Runner) Failing() bool {
	return r.report.Slow || r.report.Failed >= minFailures && r.report.Failed*100 >= failingPercent*r.report.Ended
}

// applyReport applies a report. Runs ordered after those in report.ReceivedRuns still count against the free resources.
func (r *Runner) applyReport(now clock.Millis, report message.Report) {
	r.report, r.lastHeard = report, now
	r.free = report.Free
	kept := r.pendingRuns[:0]
	for _, p := range r.pendingRuns {
		if p.sequence > report.ReceivedRuns {
			kept = append(kept, p)
			r.free = r.free.Sub(p.need)
		}
	}
	r.pendingRuns = kept
}

// reserve deducts a newly ordered run from the free resources until a report accounts for the run.
func (r *Runner) reserve(need lavendercourse.Resources) {
	r.orderedRuns++
	r.pendingRuns = append(r.pendingRuns, pendingRun{sequence: r.orderedRuns, need: need})
	r.free = r.free.Sub(need)
}

// serves tells whether the worker could run a task of the step if it were idle.
func (r *Runner) serves(service string, step lavendercourse.Step) bool {
	return r.enrollment.Service == service && step.Need.Fits(r.enrollment.Capacity) &&
		(step.Label == "" || slices.Contains(r.enrollment.Labels, step.Label))
}

// acceptsOrders tells whether the runner may get an order now. maxReportAge is in ms. A failing runner gets one run at
// a time, at most one per probeInterval.
func (r *Runner) acceptsOrders(now, maxReportAge clock.Millis) bool {
	if !r.linked || r.isolated != nil || !r.report.AcceptsRuns || now-r.lastHeard > maxReportAge || now < r.pausedUntil {
		return false
	}
	return !r.Failing() || (len(r.inFlight) == 0 && now-r.lastOrdered >= probeInterval)
}
