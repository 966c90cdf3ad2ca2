package main

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// execution is one run of a task on a worker, as the worker has seen it.
type execution struct {
	task   string
	run    int
	worker string
	began  time.Duration
	// ended is the time of the end, and how its kind. how is empty while the run goes on.
	ended time.Duration
	how   string
}

// ledger records what callers and workers have seen, with times since its creation.
type ledger struct {
	mu    sync.Mutex
	start time.Time
	out   io.WriteCloser
	// executions holds the runs in the order of their starts.
	executions []*execution
}

func newLedger(file string) (*ledger, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &ledger{start: time.Now(), out: f}, nil
}

// now returns the time since the creation of the ledger.
func (l *ledger) now() time.Duration { return time.Since(l.start) }

// note writes a line to the record.
func (l *ledger) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(format, args...)
}

func (l *ledger) write(format string, args ...any) {
	// The error is ignored: the result of the case does not depend on the record.
	_, _ = fmt.Fprintf(l.out, "%8.3f  %s\n", l.now().Seconds(), fmt.Sprintf(format, args...))
}

// begin records the start of a run.
func (l *ledger) begin(worker, task string, run int) *execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &execution{task: task, run: run, worker: worker, began: l.now()}
	l.executions = append(l.executions, e)
	l.write("worker %s starts task %s run %d", worker, task, run)
	return e
}

// end records the end of a run.
func (l *ledger) end(e *execution, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.ended, e.how = l.now(), how
	l.write("worker %s ends task %s run %d: %s", e.worker, e.task, e.run, how)
}

// overlaps returns the pairs of runs of one task that were under way at the same time, with the length of the overlap.
func (l *ledger) overlaps() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	byTask := map[string][]*execution{}
	for _, e := range l.executions {
		byTask[e.task] = append(byTask[e.task], e)
	}
	var found []string
	for task, all := range byTask {
		for i, a := range all {
			for _, b := range all[i+1:] {
				if a.how == "" || a.ended > b.began {
					found = append(found, fmt.Sprintf("TWICE: task %s: run %d on %s from %s to %s, run %d on %s from %s to %s", task,
						a.run, a.worker, stamp(a.began), endOf(a), b.run, b.worker, stamp(b.began), endOf(b)))
				}
			}
		}
	}
	sort.Strings(found)
	return found
}

func endOf(e *execution) string {
	if e.how == "" {
		return "the end of the case"
	}
	return stamp(e.ended) + " (" + e.how + ")"
}

func stamp(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }

// of returns copies of the runs of the tasks whose names begin with a prefix.
func (l *ledger) of(prefix string) []execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []execution
	for _, e := range l.executions {
		if strings.HasPrefix(e.task, prefix) {
			found = append(found, *e)
		}
	}
	return found
}

// close ends the record.
func (l *ledger) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.out.Close()
}
