package crash_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// Checks of the oracle.
const (
	checkInnocent = "innocent job failed"
	checkCrashes  = "bad task crashed too many workers"
	checkTwice    = "task runs twice"
	checkLeft     = "job left waiting"
	checkRefusal  = "refused submission started"
	// checkCompleted guards the simulation itself: a bad task never ends as done.
	checkCompleted = "bad job completed"
)

const (
	// maxCrashesOfTask is the number of workers that a bad task may crash, crashesBeforeLimit that after which it may be
	// started only maxLateStarts more times.
	maxCrashesOfTask   = 5
	crashesBeforeLimit = 3
	maxLateStarts      = 2
	// maxIdle is the time in ms for which a job may wait although there is capacity.
	maxIdle = 3 * clock.Second
)

type violation struct{ check, text string }

// counts are the figures of one simulation.
type counts struct {
	jobs, bad, completed, failedBad, failedAttempts, failedWrong, refused, interrupted, gaveUp, unsubmitted int
	crashesBad, crashesEvent, worst                                                                         int
}

// ways counts the wrong failures by what led to them.
type ways struct {
	// fifth counts verdicts after the fifth crash, equalAges those after fewer crashes of which two came at about the same
	// age, atLimit the others. These exclude each other, the following do not.
	fifth, equalAges, atLimit int
	// together counts tasks that stood beside the same bad task in two crashes, resubmitted those that failed at once when
	// their job was submitted again, notRunning those that a report named although the worker did not run them at its end.
	together, resubmitted, notRunning int
	// noCrash counts those with an end of a worker that is no crash, incarnations those with two crashes of one worker, young
	// those at a gateway that was replaced in the last 5 s.
	noCrash, incarnations, young int
}

// truth is what really happened at the end of a process.
type truth struct {
	cause   string
	at      clock.Millis
	running map[lavendercourse.RunID]clock.Millis
	bad     []taskKey
}

// oracle knows which tasks are bad and what the workers did.
type oracle struct {
	count      counts
	ways       ways
	violations []violation
	// failures counts the ends of kind failed that workers listed, crashes the workers that ended because of a bad task, and
	// lateStarts the starts after crashesBeforeLimit of these.
	failures, crashes, lateStarts map[taskKey]int
	truths                        map[string]truth
	// verdicts holds the tasks that gateways have logged as crashing.
	verdicts map[string]taskKey
	// refusals counts the refusals by their cause.
	refusals map[string]int
}

func newOracle() oracle {
	return oracle{
		failures: map[taskKey]int{}, crashes: map[taskKey]int{}, lateStarts: map[taskKey]int{}, truths: map[string]truth{}, verdicts: map[string]taskKey{},
		refusals: map[string]int{},
	}
}

func crashName(runner string, incarnation int64) string {
	return fmt.Sprintf("%s %d", runner, incarnation)
}

// recordStart checks a run that starts now.
func (w *world) recordStart(p *process, run *workerRun) {
	key := keyOf(run.id)
	if other := w.live[key]; other != nil {
		w.violate(checkTwice, "%v starts on %s while %v runs", run.id, p.worker.name, other.id)
	}
	w.jobs[run.id.Job].startedAt = w.now
	if sub := p.worker.runner.owners[run.id]; sub != nil {
		sub.started = true
		if sub.closed && sub.result == lavendercourse.JobRefused {
			w.violate(checkRefusal, "%v starts after the refusal", run.id)
		}
	}
	if w.oracle.crashes[key] >= crashesBeforeLimit {
		w.oracle.lateStarts[key]++
		if n := w.oracle.lateStarts[key]; n > maxLateStarts && !w.events.hidesCrashes() {
			w.violate(checkCrashes, "%v is started %d times after %d crashes", run.id, n, crashesBeforeLimit)
		}
	}
}

// recordCrash records the end of a process.
func (w *world) recordCrash(b *worker, p *process, cause string) {
	t := truth{cause: cause, at: w.now, running: map[lavendercourse.RunID]clock.Millis{}}
	for id, run := range p.runs {
		t.running[id] = w.now - run.startedAt
		if !w.jobs[id.Job].tasks[id.Task].bad {
			continue
		}
		t.bad = append(t.bad, keyOf(id))
	}
	w.oracle.truths[crashName(b.runner.name, p.incarnation)] = t
	if cause != causeBad {
		w.oracle.count.crashesEvent++
		return
	}
	w.oracle.count.crashesBad++
	w.oracle.crashes[p.culprit]++
	n := w.oracle.crashes[p.culprit]
	w.oracle.count.worst = max(w.oracle.count.worst, n)
	if n > maxCrashesOfTask && !w.events.hidesCrashes() {
		w.violate(checkCrashes, "task %v has crashed %d workers", p.culprit, n)
	}
}

func (w *world) recordCrashingTask(g *gateway, key taskKey) { w.oracle.verdicts[g.name+key.job] = key }

// checkAnswer checks an answer to a caller.
func (w *world) checkAnswer(sub *submission, a lavendercourse.JobAnswer) {
	c := &w.oracle.count
	switch a.Result {
	case lavendercourse.JobCompleted:
		c.completed++
		if sub.job.bad {
			w.violate(checkCompleted, "job %s with a bad task completed", sub.job.id)
		}
	case lavendercourse.JobRefused:
		c.refused++
		w.oracle.refusals[a.Cause]++
		if sub.started {
			w.violate(checkRefusal, "job %s was refused by %s (%s) after a task had started", sub.job.id, sub.g.name, a.Cause)
		}
	case lavendercourse.JobInterrupted:
		c.interrupted++
	case lavendercourse.JobFailed:
		w.checkFailed(sub, a)
	}
}

func (w *world) checkFailed(sub *submission, a lavendercourse.JobAnswer) {
	j, c := sub.job, &w.oracle.count
	if j.bad {
		c.failedBad++
		return
	}
	for i := range j.tasks {
		if w.oracle.failures[taskKey{j.id, i}] >= j.kind.queue.MaxAttempts {
			c.failedAttempts++
			return
		}
	}
	c.failedWrong++
	key, logged := w.oracle.verdicts[sub.g.name+j.id]
	if !logged {
		// A submission that fails at once is not logged: the task with most crashes is the likely one.
		for i := range j.tasks {
			if k := (taskKey{j.id, i}); len(sub.g.reports[k]) > len(sub.g.reports[key]) {
				key = k
			}
		}
		w.oracle.ways.resubmitted++
	}
	w.violate(checkInnocent, "job %s of queue %s, task %d, failed by %s (up for %d ms, submission %d): %s", j.id, j.kind.queue.Name, key.task, sub.g.name,
		w.now-sub.g.bornAt, j.submitted, w.explain(sub.g, key, a.Cause))
}

// explain describes the crashes that a gateway knew of a task, and counts the ways that led to the verdict.
func (w *world) explain(g *gateway, key taskKey, cause string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%q", cause)
	var ages []clock.Millis
	known, runners := map[string]bool{}, map[string]int{}
	notRunning, noCrash, beside := false, false, map[taskKey]int{}
	for _, r := range g.reports[key] {
		name := crashName(r.runner, r.incarnation)
		if known[name] {
			continue
		}
		known[name] = true
		runners[r.runner]++
		ages = append(ages, r.run.Age)
		for _, other := range r.all {
			if w.jobs[other.Run.Job].tasks[other.Run.Task].bad {
				beside[keyOf(other.Run)]++
			}
		}
		t := w.oracle.truths[name]
		age, ran := t.running[r.run.Run]
		notRunning = notRunning || !ran
		noCrash = noCrash || t.cause == causePower || t.cause == causeReplace || t.cause == causeCut
		fmt.Fprintf(&b, "\n      %s at %d ms, run %d, age %d, %d others; really %s at %d ms, in progress %v for %d ms, bad runs %v", name, r.at-startTime,
			r.run.Run.Run, r.run.Age, len(r.all)-1, t.cause, t.at-startTime, ran, age, t.bad)
	}
	o := &w.oracle.ways
	count := func(n *int, condition bool) {
		if condition {
			*n++
		}
	}
	equal := slices.ContainsFunc(ages, func(a clock.Millis) bool {
		n := 0
		for _, other := range ages {
			if d := max(a-other, other-a); d <= max(a/10, 10) {
				n++
			}
		}
		return n > 1
	})
	count(&o.fifth, len(ages) >= 5)
	count(&o.equalAges, len(ages) < 5 && equal)
	count(&o.atLimit, len(ages) < 5 && !equal)
	count(&o.notRunning, notRunning)
	count(&o.noCrash, noCrash)
	count(&o.young, g.bornAt > startTime && w.now-g.bornAt < 5*clock.Second)
	more := func(n int) bool { return n > 1 }
	count(&o.together, slices.ContainsFunc(slices.Collect(maps.Values(beside)), more))
	count(&o.incarnations, slices.ContainsFunc(slices.Collect(maps.Values(runners)), more))
	return b.String()
}

// checkWaiting checks that no job waits for long while there is capacity.
func (w *world) checkWaiting() {
	for _, sub := range w.open {
		if !sub.g.alive || sub.queued == nil || w.isRunning(sub.job) || !w.hasCapacity(sub.g) {
			sub.idleSince = 0
			continue
		}
		if sub.idleSince == 0 || sub.job.startedAt > sub.idleSince {
			sub.idleSince = w.now
		}
		if w.now-sub.idleSince == maxIdle {
			q := sub.job.kind.queue.Name
			contained := slices.ContainsFunc(sub.g.scheduler.Verdicts(), func(v message.Verdict) bool { return v.Queue == q })
			w.violate(checkLeft, "job %s of queue %s (contained: %v) waits at %s", sub.job.id, q, contained, sub.g.name)
		}
	}
}

func (w *world) isRunning(j *simJob) bool {
	for i := range j.tasks {
		if w.live[taskKey{j.id, i}] != nil {
			return true
		}
	}
	return false
}

// hasCapacity reports whether less than half of the workers that a gateway reaches is in use, and half of all workers is
// reached.
func (w *world) hasCapacity(g *gateway) bool {
	reached, used := 0, 0
	for _, r := range w.runners {
		l := g.links[r.name]
		if p := r.worker.proc; l != nil && !l.broken && l.enrolled && p != nil && r.worker.reachable() && !p.draining {
			reached++
			used += len(p.runs)
		}
	}
	return reached*2 >= len(w.runners) && used*2 < reached*runsPerWorker
}

// checkEnd checks what is left at the end.
func (w *world) checkEnd() {
	for _, j := range w.jobs {
		if j.bad {
			w.oracle.count.bad++
		}
	}
	for _, sub := range w.open {
		if !w.isRunning(sub.job) {
			w.violate(checkLeft, "job %s at %s is not answered at the end", sub.job.id, sub.g.name)
		}
	}
}
