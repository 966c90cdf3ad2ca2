package main

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, and keeps the runs of each task.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
	// running holds the workers that run a task, by task.
	running map[string][]string
	// twice lists the tasks that ran at two workers at once. started holds the time of the last start of each task.
	twice   []string
	started map[string]time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now(), running: map[string][]string{}, started: map[string]time.Time{}}, nil
}

// logf writes a line with the time in ms since the start.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8d  %s\n", time.Since(r.began).Milliseconds(), fmt.Sprintf(format, args...))
}

func (r *record) runStarted(worker, task string, run int, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("start  %s run %d at %s, spec %.40q", task, run, worker, spec)
	if others := r.running[task]; len(others) > 0 {
		r.twice = append(r.twice, task)
		r.write("TWICE  %s runs at %s and %s", task, strings.Join(others, ", "), worker)
	}
	r.running[task] = append(r.running[task], worker)
	r.started[task] = time.Now()
}

func (r *record) runEnded(worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("end    %s run %d at %s, %s", task, run, worker, how)
	if i := slices.Index(r.running[task], worker); i >= 0 {
		r.running[task] = slices.Delete(r.running[task], i, i+1)
	}
}

// ranTwice returns the tasks that ran at two workers at once.
func (r *record) ranTwice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.twice)
}

// lastStarts returns the time of the last start of each task.
func (r *record) lastStarts() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.started)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
