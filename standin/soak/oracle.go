package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lavendercourse/lavendercourse/standin/fleet"
)

// maxCrashes is the number of workers that one task may crash: three, and less than three starts after these.
const maxCrashes = 5

// interval is a span of time.
type interval struct{ from, to time.Time }

func (i interval) overlaps(other interval) bool {
	return !i.to.Before(other.from) && !other.to.Before(i.from)
}

// mayFail reports whether a job may be answered as failed: one of its tasks crashes workers, or has failed as often as the
// queue allows. The function failures returns the failures of a task that a worker has listed.
func mayFail(j job, failures func(task string) int) bool {
	if j.bad {
		return true
	}
	for i := range j.tasks {
		if failures(j.task(i)) >= maxAttempts {
			return true
		}
	}
	return false
}

// describeTasks lists the failures of the tasks of a job and their runs that ended with the process of their worker.
func describeTasks(l *fleet.Ledger, j job) string {
	var all []string
	for i := range j.tasks {
		all = append(all, fmt.Sprintf("task %d: %d failures, %d crashes", i, l.Failures(j.task(i)), l.CrashedRuns(j.task(i))))
	}
	return strings.Join(all, "; ")
}

// excessiveCrashes describes the tasks that crashed more than maxCrashes workers, unless one of the exceptions lies between
// the first submission of the job in began and the last crash.
func excessiveCrashes(crashes map[string][]time.Time, began map[string]time.Time, exceptions []interval) []string {
	var all []string
	for _, task := range slices.Sorted(maps.Keys(crashes)) {
		times := crashes[task]
		if len(times) <= maxCrashes {
			continue
		}
		id, _, _ := strings.Cut(task, ".")
		life := interval{began[id], times[len(times)-1]}
		if !slices.ContainsFunc(exceptions, life.overlaps) {
			all = append(all, fmt.Sprintf("task %s has crashed %d workers, more than %d", task, len(times), maxCrashes))
		}
	}
	return all
}
