// Package quarantine decides which tasks are responsible for crashes of workers. A crash makes all tasks that the worker
// ran suspects; most of them are innocent. A task that takes part in one crash after another is isolated: it has to be the
// only one on its worker. A task is responsible, and not started again, only if workers crash that ran nothing else. The
// package does no I/O and reads no clock.
package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/lavendercourse/lavendercourse/clock"
)

const (
	// isolationThreshold is the number of unexplained crashes from which on a task is isolated.
	isolationThreshold = 2
	// minCrashes is the number of workers that must have crashed while they ran nothing but the task before it is
	// responsible. After crashLimit crashes of any kind, the starts without a verdict are counted.
	minCrashes = 2
	crashLimit = 3
	// minEvidence is the evidence from which on a task is responsible: the negative logarithm of the probability that workers
	// crash by chance while they run nothing but the task.
	minEvidence = 13.0
	// minSuspicion is the evidence from which on the queue of a task is contained, which harms less than to fail its job. It
	// counts crashes of workers that ran other tasks too, which may be responsible. minLead is the evidence by which it must
	// exceed that of the other suspects of the last crash.
	minSuspicion = 11.0
	minLead      = 2.0
	// hazardWindow, in ms, is the time over which the rate of crashes is measured. minHazard is its lower bound in crashes for
	// each worker and ms, one in 50 s, so that the first crash after a calm time does not convict a task by itself.
	hazardWindow = 5 * clock.Second
	minHazard    = 1.0 / 50000
	// minExposure, in ms, is the shortest time that a run counts as exposed to the crashes that others cause. Crashes with one
	// cause follow each other within that time.
	minExposure = 100 * clock.Millis(1)
	// minTolerance, in ms, and tolerancePercent bound the difference of two ages at which a task crashes a worker at the same
	// point of its run.
	minTolerance     = 10 * clock.Millis(1)
	tolerancePercent = 10
	// maxCrashes is the number of crashes after which a task is not started again, whether or not it is responsible. It
	// allows two starts after the third crash; the users' limit is three.
	maxCrashes = 5
	// retention is the time for which a crash is remembered, in ms. Callers repeat a submission within seconds.
	retention = 30 * clock.Second
	// maxRemembered and maxTasks bound the memory of a Ledger: the number of crashes, and of suspects in each of them.
	maxRemembered = 512
	maxTasks      = 256
	// maxEnds bounds the number of tasks whose ends are counted.
	maxEnds = 65536
	// sweepPeriod, in ms, is the time between two removals of old counts.
	sweepPeriod = clock.Second
	// commonCauseWindow, in ms, is the time within which the crashes of many workers have a common cause, such as a loss of
	// power. commonCauseDivisor and minCommonCause define many: a part of all workers, but at least so many.
	commonCauseWindow  = 30 * clock.Millis(1)
	commonCauseDivisor = 3
	minCommonCause     = 4
)

// Task identifies a task.
type Task struct {
	Job  string
	Step int
	Task int
}

// CrashID identifies a crash by the runner beside the worker and the incarnation of the worker that ended.
type CrashID struct {
	Runner      string
	Incarnation int64
}

// Suspect is a task that a worker ran when it crashed. Age is the time in ms since the run was ordered.
type Suspect struct {
	Task Task
	Age  clock.Millis
}

type crash struct {
	id       CrashID
	at       clock.Millis
	suspects []Suspect
	// workers is the number of workers at that time.
	workers int
	// convicted is set once a task is responsible, common if many workers crashed at the same time.
	convicted bool
	common    bool
}

// explained reports whether another cause is known: a task that is responsible, or a common cause.
func (c *crash) explained() bool { return c.convicted || c.common }

// isolates reports whether the worker ran nothing but one task.
func (c *crash) isolates() bool { return len(c.suspects) == 1 && !c.common }

// ageOf returns the age of a suspect of the crash in ms, or -1 if the task is none.
func (c *crash) ageOf(t Task) clock.Millis {
	i := slices.IndexFunc(c.suspects, func(s Suspect) bool { return s.Task == t })
	if i < 0 {
		return -1
	}
	return max(c.suspects[i].Age, 0)
}

// Ledger records crashes of workers with the tasks that they ran.
type Ledger struct {
	// crashes holds the remembered crashes, oldest first.
	crashes []*crash
	byID    map[CrashID]*crash
	byTask  map[Task][]*crash
	// startsAtLimit counts the starts of each task after crashLimit crashes, as long as these are remembered.
	startsAtLimit map[Task]int
	// ends counts the ends of workers under each task that its runs have shown, whether or not they were crashes.
	ends map[Task]endCount
	// sweptAt is the time in ms at which old counts were last removed.
	sweptAt clock.Millis
}

// endCount is a number of ends, and the time in ms of the last one.
type endCount struct {
	n    int
	last clock.Millis
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{byID: map[CrashID]*crash{}, byTask: map[Task][]*crash{}, startsAtLimit: map[Task]int{}, ends: map[Task]endCount{}}
}

// Record records a crash of one of the given number of workers, which happened ago ms before now. It returns false if the
// crash is known already, or too old to matter.
func (l *Ledger) Record(now, ago clock.Millis, id CrashID, suspects []Suspect, workers int) bool {
	l.Expire(now)
	l.makeRoom()
	if l.byID[id] != nil || ago < 0 || ago >= retention {
		return false
	}
	at := now - ago
	c := &crash{id: id, at: at, suspects: suspects[:min(len(suspects), maxTasks)]}
	// Crashes that are reported again on a new link are older than those known already.
	i, _ := slices.BinarySearchFunc(l.crashes, at+1, func(c *crash, at clock.Millis) int { return cmp.Compare(c.at, at) })
	l.crashes = slices.Insert(l.crashes, i, c)
	l.byID[id] = c
	for _, s := range c.suspects {
		if known := l.byTask[s.Task]; !slices.Contains(known, c) {
			l.byTask[s.Task] = append(known, c)
		}
	}
	c.workers = max(workers, 1)
	l.explainCommonCause(at, workers)
	return true
}

// within returns the crashes of the given time in ms up to at.
func (l *Ledger) within(at, window clock.Millis) []*crash {
	first := slices.IndexFunc(l.crashes, func(c *crash) bool { return at-c.at <= window })
	last := slices.IndexFunc(l.crashes, func(c *crash) bool { return c.at > at })
	if last < 0 {
		last = len(l.crashes)
	}
	return l.crashes[first:last]
}

// background returns the rate, for each ms, of unexplained crashes without the task up to the given crash: of all workers, or
// of the worker that crashed if that one crashes more often.
func (l *Ledger) background(t Task, crashed *crash) float64 {
	all, same := 0, 0
	for _, c := range l.within(crashed.at, hazardWindow) {
		if c.explained() || c.ageOf(t) >= 0 {
			continue
		}
		all++
		if c.id.Runner == crashed.id.Runner {
			same++
		}
	}
	return max(float64(all)/float64(crashed.workers)/float64(hazardWindow), float64(same)/float64(hazardWindow), minHazard)
}

// unrelated returns the rate, for each worker and ms, of the crashes up to the given one of workers that ran nothing of about the
// given age. Tasks of one kind crash their workers at the same point of their runs, so the others say nothing against chance.
func (l *Ledger) unrelated(crashed *crash, age clock.Millis) float64 {
	n := 0
	for _, c := range l.within(crashed.at, hazardWindow) {
		if !slices.ContainsFunc(c.suspects, func(s Suspect) bool { return isNear(s.Age, age) }) {
			n++
		}
	}
	return max(float64(n)/float64(crashed.workers)/float64(hazardWindow), minHazard)
}

// explainCommonCause marks the crashes of the last commonCauseWindow as explained if many workers crashed in it.
func (l *Ledger) explainCommonCause(at clock.Millis, workers int) {
	crashes := l.within(at, commonCauseWindow)
	if len(crashes) < max(workers/commonCauseDivisor, minCommonCause) {
		return
	}
	for _, c := range crashes {
		c.common = true
	}
}

// Expire forgets crashes that are older than retention.
func (l *Ledger) Expire(now clock.Millis) {
	for len(l.crashes) > 0 && now-l.crashes[0].at >= retention {
		l.forgetOldest()
	}
	if now-l.sweptAt < sweepPeriod {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.ends, func(_ Task, e endCount) bool { return now-e.last >= retention })
	maps.DeleteFunc(l.startsAtLimit, func(t Task, _ int) bool { return l.lostWorkers(t) == 0 })
}

// makeRoom forgets the oldest crashes beyond maxRemembered.
func (l *Ledger) makeRoom() {
	for len(l.crashes) >= maxRemembered {
		l.forgetOldest()
	}
}

func (l *Ledger) forgetOldest() { l.forget(l.crashes[0]) }

// Withdraw forgets a crash that did not happen. The others of that time have a common cause only if they are still many.
func (l *Ledger) Withdraw(id CrashID) {
	c := l.byID[id]
	if c == nil {
		return
	}
	l.forget(c)
	if !c.common {
		return
	}
	for _, other := range l.crashes {
		other.common = other.common && max(other.at-c.at, c.at-other.at) > commonCauseWindow
	}
	for _, other := range l.crashes {
		if other.at >= c.at-commonCauseWindow && other.at <= c.at+2*commonCauseWindow {
			l.explainCommonCause(other.at, other.workers)
		}
	}
}

// forget removes a remembered crash.
func (l *Ledger) forget(c *crash) {
	i := slices.Index(l.crashes, c)
	l.crashes = slices.Delete(l.crashes, i, i+1)
	delete(l.byID, c.id)
	for _, s := range c.suspects {
		l.byTask[s.Task] = slices.DeleteFunc(l.byTask[s.Task], func(other *crash) bool { return other == c })
		if len(l.byTask[s.Task]) == 0 {
			delete(l.byTask, s.Task)
		}
	}
}

// Empty reports whether no crash is remembered.
func (l *Ledger) Empty() bool { return len(l.crashes) == 0 }

// Crashes returns the number of workers that crashed while they ran the task.
func (l *Ledger) Crashes(t Task) int { return len(l.byTask[t]) }

// Participation is the part of a task in one crash.
type Participation struct {
	ID CrashID
	// Age is the time in ms since the run of the task was ordered, and Suspects the number of runs that the worker had.
	Age      clock.Millis
	Suspects int
	// Explained is set if another cause is known: a task that is responsible, or a common cause.
	Explained bool
}

// Participations returns the crashes that the task took part in.
func (l *Ledger) Participations(t Task) []Participation {
	all := make([]Participation, 0, len(l.byTask[t]))
	for _, c := range l.byTask[t] {
		all = append(all, Participation{ID: c.id, Age: c.ageOf(t), Suspects: len(c.suspects), Explained: c.explained()})
	}
	return all
}

// CountEnd counts an end of a worker under a run of the task, which may not be reported as a crash. It returns whether the
// task may be started only few more times.
func (l *Ledger) CountEnd(now clock.Millis, t Task) bool {
	if _, known := l.ends[t]; !known && len(l.ends) >= maxEnds {
		return l.atLimit(t)
	}
	l.ends[t] = endCount{n: l.ends[t].n + 1, last: now}
	return l.atLimit(t)
}

// CountStart counts a start of the task, or takes back one that was not carried out if n is -1. Only starts after crashLimit
// crashes count.
func (l *Ledger) CountStart(t Task, n int) {
	if l.atLimit(t) {
		l.startsAtLimit[t] = max(l.startsAtLimit[t]+n, 0)
	}
}

// lostWorkers returns the number of workers that ended under the task.
func (l *Ledger) lostWorkers(t Task) int { return max(l.Crashes(t), l.ends[t].n) }

// atLimit reports whether the task may be started only few more times, because it has lost crashLimit workers.
func (l *Ledger) atLimit(t Task) bool { return l.lostWorkers(t) >= crashLimit }

// Exhausted reports whether the task may not be started again, because it has lost maxCrashes workers, or was started
// maxCrashes-crashLimit times after crashLimit of them.
func (l *Ledger) Exhausted(t Task) bool {
	return l.lostWorkers(t) >= maxCrashes || l.startsAtLimit[t] >= maxCrashes-crashLimit
}

// Settled reports whether the causes of the task's crashes are known: workers that crash for a common cause are reported
// within commonCauseWindow of each other.
func (l *Ledger) Settled(now clock.Millis, t Task) bool {
	return !slices.ContainsFunc(l.byTask[t], func(c *crash) bool { return now-c.at <= commonCauseWindow })
}

// NeedsIsolation reports whether the task has to be the only one on its worker, so that the next crash shows whether it is
// responsible. Tasks that share their workers meet the crashes of a bad one among them together, again and again.
func (l *Ledger) NeedsIsolation(t Task) bool {
	unexplained := 0
	for _, c := range l.byTask[t] {
		if !c.explained() {
			unexplained++
		}
	}
	return unexplained >= isolationThreshold || l.atLimit(t)
}

// CrashedOn reports whether the worker beside the runner has crashed while it ran the task.
func (l *Ledger) CrashedOn(t Task, runner string) bool {
	return slices.ContainsFunc(l.byTask[t], func(c *crash) bool { return c.id.Runner == runner })
}

// WorkerCrashes returns the number of unexplained crashes of the worker beside the runner.
func (l *Ledger) WorkerCrashes(runner string) int {
	n := 0
	for _, c := range l.crashes {
		if c.id.Runner == runner && !c.explained() {
			n++
		}
	}
	return n
}

// suspicion returns the evidence against a task from all crashes that it took part in. An innocent run meets the crashes of
// others at any age, while a bad task crashes its workers at the same point of its run. So the first crash counts by how
// unlikely it is that a run of that age meets one, and those at about the same age by how unlikely it is to meet one just
// then.
func (l *Ledger) suspicion(t Task) float64 {
	var crashes []*crash
	var ages []clock.Millis
	for _, c := range l.byTask[t] {
		if c.explained() {
			continue
		}
		crashes = append(crashes, c)
		ages = append(ages, c.ageOf(t))
	}
	best := 0.0
	for i, reference := range ages {
		sum := -logChance(l.unrelated(crashes[i], reference), max(reference, minExposure))
		for k, age := range ages {
			if k != i && isNear(age, reference) {
				sum -= logChance(l.unrelated(crashes[k], reference), 2*tolerance(reference))
			}
		}
		best = max(best, sum)
	}
	return best
}

// tolerance returns the difference from the given age, in ms, of another age at the same point of a run.
func tolerance(age clock.Millis) clock.Millis { return max(age*tolerancePercent/100, minTolerance) }

// isNear reports whether two ages may be the same point of a run.
func isNear(age, reference clock.Millis) bool {
	return max(age-reference, reference-age) <= tolerance(reference)
}

// isolatedCrashes returns the crashes of workers that ran nothing but the task, the first of each worker.
func (l *Ledger) isolatedCrashes(t Task) []*crash {
	var all []*crash
	for _, c := range l.byTask[t] {
		if c.isolates() && !slices.ContainsFunc(all, func(o *crash) bool { return o.id.Runner == c.id.Runner }) {
			all = append(all, c)
		}
	}
	return all
}

// evidence returns the evidence against a task from crashes of workers that ran nothing else, and their number. Each counts
// by how unlikely it is that the worker crashes by chance during the run, or just at the age that another crash has shown.
func (l *Ledger) evidence(t Task) (float64, int) {
	isolated := l.isolatedCrashes(t)
	if len(isolated) < minCrashes {
		return 0, len(isolated)
	}
	best := 0.0
	for _, reference := range l.byTask[t] {
		age, sum := reference.ageOf(t), 0.0
		for _, c := range isolated {
			window := max(c.ageOf(t), minExposure)
			if c != reference && isNear(c.ageOf(t), age) {
				window = min(window, 2*tolerance(age))
			}
			sum -= logChance(l.background(t, c), window)
		}
		best = max(best, sum)
	}
	return best, len(isolated)
}

// logChance returns the logarithm of the probability of a crash within the given time in ms.
func logChance(hazard float64, time clock.Millis) float64 {
	return math.Log(1 - math.Exp(-hazard*float64(time)))
}

// Responsible reports whether the task is held responsible for crashes of workers.
func (l *Ledger) Responsible(t Task) bool {
	evidence, n := l.evidence(t)
	return n >= minCrashes && evidence >= minEvidence
}

// Suspected reports whether the task is probably responsible for the crashes that it took part in, but not certainly.
func (l *Ledger) Suspected(t Task) bool {
	evidence := l.suspicion(t)
	return evidence >= minSuspicion && l.leads(t, evidence)
}

// leads reports whether the evidence against the task exceeds that against the other suspects of its last crash.
func (l *Ledger) leads(t Task, evidence float64) bool {
	crashes := l.byTask[t]
	for _, s := range crashes[len(crashes)-1].suspects {
		if s.Task.Job == t.Job {
			continue
		}
		if l.suspicion(s.Task) > evidence-minLead {
			return false
		}
	}
	return true
}

// Convict holds the task responsible for all crashes that it took part in, so that they no longer count against the other
// tasks, and returns them.
func (l *Ledger) Convict(t Task) []CrashID {
	ids := make([]CrashID, 0, len(l.byTask[t]))
	for _, c := range l.byTask[t] {
		c.convicted = true
		ids = append(ids, c.id)
	}
	return ids
}

// Explain marks crashes as explained, because another gateway has found the task that is responsible for them.
func (l *Ledger) Explain(ids []CrashID) {
	for _, id := range ids {
		if c := l.byID[id]; c != nil {
			c.convicted = true
		}
	}
}
