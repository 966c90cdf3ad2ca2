package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// violationTime is the format of times in violations: those of the logs in UTC.
const violationTime = "15:04:05.000"

// runSite is a run of a task: its number, its worker and the time of its start.
type runSite struct {
	worker string
	run    int
	began  time.Time
}

// Ledger records the runs of all workers and the guarantees that were violated.
type Ledger struct {
	mu sync.Mutex
	// running holds the present runs of a task, by task: more than one if a guarantee is violated.
	running    map[string][]runSite
	violations []string
	// done counts the successful runs, by task.
	done map[string]int
	// started holds the time of the last start of a task of each job.
	started map[string]time.Time
	// crashes holds the times at which each task crashed a worker.
	crashes map[string][]time.Time
	// failures counts the ends of kind failed that workers have listed to their runners, crashedRuns the runs that ended with
	// the process of their worker, both by task.
	failures    map[string]int
	crashedRuns map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		running: map[string][]runSite{}, done: map[string]int{}, started: map[string]time.Time{}, crashes: map[string][]time.Time{},
		failures: map[string]int{}, crashedRuns: map[string]int{},
	}
}

// Violations returns a description of each violated guarantee.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

func (l *Ledger) begin(task, worker string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, other := range l.running[task] {
		l.violations = append(l.violations, fmt.Sprintf("task %s runs on %s and %s at the same time: run %d since %s, run %d since %s", task,
			other.worker, worker, other.run, other.began.Format(violationTime), run, now.Format(violationTime)))
	}
	l.running[task] = append(l.running[task], runSite{worker: worker, run: run, began: now})
	job, _, _ := strings.Cut(task, ".")
	l.started[job] = now
}

// Started reports whether a task of the job has started.
func (l *Ledger) Started(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.started[job].IsZero()
}

// LastStart returns the time of the last start of a task of the job, or the zero time if none has started.
func (l *Ledger) LastStart(job string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started[job]
}

// recordCrash records that a task has crashed a worker.
func (l *Ledger) recordCrash(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[task] = append(l.crashes[task], time.Now())
}

// CrashTimes returns the times at which each task crashed a worker, by task.
func (l *Ledger) CrashTimes() map[string][]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string][]time.Time{}
	for task, times := range l.crashes {
		all[task] = append([]time.Time(nil), times...)
	}
	return all
}

// recordFailure counts an end of kind failed that a worker lists to its runner for the first time.
func (l *Ledger) recordFailure(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures[task]++
}

// Failures returns the number of ends of kind failed of a task that workers have listed to their runners.
func (l *Ledger) Failures(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures[task]
}

// CrashedRuns returns the number of runs of a task that ended with the process of their worker, whatever ended it.
func (l *Ledger) CrashedRuns(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashedRuns[task]
}

// Crashes returns the number of workers that tasks have crashed.
func (l *Ledger) Crashes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, times := range l.crashes {
		n += len(times)
	}
	return n
}

// SuccessfulRuns returns the number of successful runs of a task.
func (l *Ledger) SuccessfulRuns(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done[task]
}

func (l *Ledger) end(task, worker string, run int, result string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rest := slices.DeleteFunc(l.running[task], func(s runSite) bool { return s.worker == worker && s.run == run })
	l.running[task] = rest
	if len(rest) == 0 {
		delete(l.running, task)
	}
	switch result {
	case "done":
		l.done[task]++
	case "crashed":
		l.crashedRuns[task]++
	}
}

// AddViolation records a violated guarantee.
func (l *Ledger) AddViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}
