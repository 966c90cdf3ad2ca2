package room

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

type state uint8

const (
	// stateStarting: the start was sent; no answer yet.
	stateStarting state = iota
	stateRunning
	// stateStopping: a stop was sent, or has to be; the run counts until its end is known.
	stateStopping
)

// taskKey names a task, whatever its run.
type taskKey struct {
	job  string
	step int
	task int
}

func keyOf(r lavendercourse.RunID) taskKey { return taskKey{job: r.Job, step: r.Step, task: r.Task} }

type run struct {
	id       lavendercourse.RunID
	entry    string
	payload  string
	need     lavendercourse.Resources
	estimate clock.Millis
	state    state
	// began is the time of the order, started that of the worker's answer.
	began   clock.Millis
	started clock.Millis
	starts  int
	// percent is the progress last seen, moved the time at which it last changed.
	percent int
	moved   clock.Millis
	// kind and cause tell why the run is being stopped.
	kind  lavendercourse.EndKind
	cause string
	// stopSent is the time of the last stop; barred that of the first answer to one, or 0.
	stopSent clock.Millis
	barred   clock.Millis
	// silent runs are not told of, since their entry is gone.
	silent bool
}

// sample is an ended run, for the failure rate and the pace.
type sample struct {
	at     clock.Millis
	job    string
	failed bool
}

// history holds the last ends.
type history struct {
	samples []sample
}

func (h *history) add(s sample) {
	if len(h.samples) == historyLength {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, s)
}

// rates returns the failures and the ends of the last seconds. The failures of one job count once, so that a job that
// can never end well does not speak against its worker.
func (h *history) rates(now clock.Millis) (failed, ended int) {
	jobs := map[string]bool{}
	for _, s := range h.samples {
		if now-s.at > historyAge {
			continue
		}
		if !s.failed {
			ended++
			continue
		}
		if !jobs[s.job] {
			jobs[s.job] = true
			failed++
			ended++
		}
	}
	return failed, ended
}
