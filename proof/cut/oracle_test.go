package cut_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Checks of the oracle.
const (
	checkTwice  = "task runs twice"
	checkServed = "job is not served"
	checkUsed   = "worker is not used"
)

type violation struct{ check, text string }

// oracle knows what the workers did.
type oracle struct {
	violations []violation
	// faults holds the faults and the links between gateways, for traces.
	faults []traceLine
	// starts counts the runs, claims the claims sent, awaited the submissions that waited for another gateway, givenUp the jobs
	// given up for another gateway, and goneAtArrival the submissions whose caller had left when they were read.
	starts, claims, awaited, givenUp, goneAtArrival int
	completed                                       int
	workerEvents
	// late counts the starts that were carried out late, and excluded those of them whose runs are not checked.
	late, excluded int
}

// traceLine is a line of a trace.
type traceLine struct {
	at   clock.Millis
	text string
}

// note adds a line to the trace of a job.
func (w *world) note(job, format string, args ...any) {
	if j := w.jobs[job]; j != nil {
		j.trace = append(j.trace, traceLine{w.now, fmt.Sprintf(format, args...)})
	}
}

// noteFault adds a line on faults and links to the traces of all jobs.
func (w *world) noteFault(format string, args ...any) {
	w.oracle.faults = append(w.oracle.faults, traceLine{w.now, fmt.Sprintf(format, args...)})
}

// violate records a violation with the trace of the job.
func (w *world) violate(check string, j *simJob, format string, args ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%d ms: ", w.now-startTime)
	fmt.Fprintf(&b, format, args...)
	lines := slices.Clone(j.trace)
	for _, f := range w.oracle.faults {
		if len(j.trace) > 0 && f.at >= j.trace[0].at-maxFault {
			lines = append(lines, f)
		}
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return cmp.Compare(a.at, b.at) })
	for _, l := range lines {
		fmt.Fprintf(&b, "\n      %6d ms: %s", l.at-startTime, l.text)
	}
	w.oracle.violations = append(w.oracle.violations, violation{check, b.String()})
}

// recordStart checks a run that starts now.
func (w *world) recordStart(run *workerRun) {
	w.oracle.starts++
	key := keyOf(run.id)
	w.note(run.id.Job, "worker of %s starts %v for %s", run.worker, run.id, run.gateway)
	if run.excluded {
		w.oracle.excluded++
		w.note(run.id.Job, "%v is excluded from the check", run.id)
		return
	}
	for _, other := range w.live[key] {
		w.violate(checkTwice, w.jobs[run.id.Job], "%v starts on the worker of %s for %s while %v runs on that of %s for %s, since %d ms",
			run.id, run.worker, run.gateway, other.id, other.worker, other.gateway, other.startedAt-startTime)
	}
	w.live[key] = append(w.live[key], run)
}

// recordEnd records the end of a run.
func (w *world) recordEnd(run *workerRun, kind lavendercourse.EndKind) {
	key := keyOf(run.id)
	w.note(run.id.Job, "worker of %s ends %v: %v", run.worker, run.id, kind)
	var left []*workerRun
	for _, other := range w.live[key] {
		if other != run {
			left = append(left, other)
		}
	}
	w.live[key] = left
}

// checkEnd checks that the jobs were served that were submitted when no fault could hold them up any more, and that all workers
// take runs again.
func (w *world) checkEnd() {
	quiet := w.quietFrom()
	if w.faultless() {
		quiet = 0
	}
	served := map[*gatewaySite]bool{}
	for _, j := range w.allJobs {
		completed := j.done && j.result == lavendercourse.JobCompleted
		if completed {
			w.oracle.completed++
		}
		switch {
		case j.firstAt < quiet:
		case !completed || j.submitted > 1:
			w.violate(checkServed, j, "job %s at %s: %d submissions, answered %v %v", j.id, j.last.name, j.submitted, j.done, j.result)
		default:
			served[j.last] = true
		}
	}
	for _, s := range w.sites {
		if !served[s] {
			w.violate(checkServed, &simJob{}, "%s has served no job after the faults", s.name)
		}
	}
	for _, m := range w.machines {
		if !m.runner.table.AcceptsRuns(w.now) {
			w.violate(checkUsed, &simJob{}, "%s takes no runs after the faults", m.name)
		}
	}
}

// faultless reports whether the scenario has no faults.
func (s scenario) faultless() bool { return s.faultPauses == [faultKinds]float64{} }
