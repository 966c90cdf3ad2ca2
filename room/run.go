package room

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/interference"
)

// state is the state of a run as known to the runner.
type state uint8

const (
	// stateStarting: the start was sent and is not answered yet.
	stateStarting state = iota
	stateRunning
	// stateStopping: a stop was sent, and may have to be repeated. The run uses capacity until its end is confirmed.
	stateStopping
	// stateInDoubt: the incarnation of the worker has ended while a start was unanswered. The next incarnation may
	// still carry out that start until it has listed its runs under a higher fencing token.
	stateInDoubt
	// stateWaiting: the run has to be the only one on the worker and waits until the others have ended. No start was sent.
	stateWaiting
)

var stateNames = [...]string{"starting", "running", "stopping", "doubt", "waiting"}

// stateForeign is the name, in logs, of the state of a run that the runner did not order.
const stateForeign = "foreign"

// stateExpired is the name, in logs, of the state of a run that was given up because the worker was silent.
const stateExpired = "expired"

// String returns the name of the state, as used in logs.
func (s state) String() string { return stateNames[s] }

// taskKey identifies a task regardless of its run number.
type taskKey struct {
	job  string
	step int
	task int
}

// keyOf returns the key of the task that a run belongs to.
func keyOf(id lavendercourse.RunID) taskKey {
	return taskKey{job: id.Job, step: id.Step, task: id.Task}
}

// trackedRun is a run in a Table. All times are in ms, and by the runner's clock unless noted.
type trackedRun struct {
	id      lavendercourse.RunID
	entry   string
	payload string
	// kind is that of the order, and orderSize the number of runs in the order.
	kind      interference.Kind
	orderSize int
	need      lavendercourse.Resources
	// estimate is the expected running time, or 0 if unknown.
	estimate  clock.Millis
	state     state
	orderedAt clock.Millis
	// worker is the id of the worker that the last start was sent to. Only that one can carry it out.
	worker string
	// firstSentAt is the time at which the first start was sent.
	firstSentAt clock.Millis
	// startedAt is the time at which the worker confirmed the start, by an answer or by listing the run.
	startedAt clock.Millis
	// startListed is set if the start was confirmed by a list, so that the run may have started long before startedAt.
	startListed bool
	// startsSent counts the starts sent, including retries; startsAnswered those whose answer arrived.
	startsSent     int
	startsAnswered int
	// workerClockAtStart is the last known reading of the worker's clock when the first start was sent. An answer with a
	// lower reading is from another incarnation: the clock restarts with each one, and answers to starts do not identify
	// theirs. The answers to several starts of a run may arrive in any order, so a later reading would be wrong.
	workerClockAtStart clock.Millis
	// percent is the progress that the worker last listed, observedAt the time of that list.
	percent    int
	observedAt clock.Millis
	// progressedAt is the time at which the progress last changed.
	progressedAt clock.Millis
	// endKind and endCause are the end that is reported for a run being stopped or in doubt, unless the worker lists it as
	// done.
	endKind  lavendercourse.EndKind
	endCause string
	// stoppingSince is the time of the first stop, stopSentAt that of the last stop, stopsSent the number of stops, stopAcceptedAt the time
	// at which the worker first accepted one, or 0.
	stoppingSince  clock.Millis
	stopSentAt     clock.Millis
	stopsSent      int
	stopAcceptedAt clock.Millis
	// inDoubtSince is the time at which the incarnation ended that the run was sent to.
	inDoubtSince clock.Millis
	// entryGone is set once the link to the entry has ended. The end of the run is then not reported. entryStamp is the
	// newest stamp that the entry had sent back by then: those on a later link are no sign of the callers of this run.
	entryGone  bool
	entryStamp clock.Millis
}

// neverStarted reports whether the worker has refused all starts of the run, or none has reached it.
func (t *trackedRun) neverStarted() bool {
	return t.state == stateStarting && t.startsAnswered == t.startsSent
}

// stalled reports whether the run has made no progress for stalledPercent of its estimate, and for at least
// minStalledTime.
func (t *trackedRun) stalled(now clock.Millis) bool {
	return t.state == stateRunning && t.estimate > 0 && now-t.progressedAt >= max(t.estimate*stalledPercent/100, minStalledTime)
}

// slow reports whether the pace of the run itself has been below slowPercent since its start, once it has run for
// minPaceTime. A run that has just started on a slow worker is not slow yet: it may show that the worker has recovered.
func (t *trackedRun) slow(now clock.Millis) bool {
	elapsed := now - t.startedAt
	return t.state == stateRunning && t.estimate > 0 && elapsed >= minPaceTime &&
		t.estimate*clock.Millis(t.percent) < elapsed*slowPercent
}

// sample is a run in the history, which succeeded or failed. at is the time of its end in ms.
type sample struct {
	at     clock.Millis
	job    string
	failed bool
}

// history holds the last runs that succeeded or failed, oldest first. Runs that ended otherwise are not recorded.
type history struct {
	samples []sample
}

func (h *history) add(s sample) {
	if len(h.samples) == maxHistoryLength {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, s)
}

// counts returns the number of failed runs and of all runs in the history within maxHistoryAge. All failures of one job
// count as one run, so that a job that can never succeed does not make its worker look unhealthy.
func (h *history) counts(now clock.Millis) (failed, ended int) {
	jobs := map[string]bool{}
	for _, s := range h.samples {
		if now-s.at > maxHistoryAge {
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

// pace measures how fast runs progress compared with their estimates: 100 percent means as fast as estimated.
type pace struct {
	// jobs holds the progress of each job since the last measurement.
	jobs map[string]*jobProgress
	// percent is the last measurement; 0 means that there is none.
	percent int
}

// jobProgress is the progress of the runs of one job since the last measurement: the time for which they were observed
// and the part of their estimated time that they completed, both in ms.
type jobProgress struct {
	elapsed   clock.Millis
	completed float64
}

// observe adds the progress of a run since it was last observed, and updates the measurement.
func (p *pace) observe(run *trackedRun, now clock.Millis, percent int) {
	if run.estimate <= 0 || now <= run.observedAt {
		return
	}
	if p.jobs == nil {
		p.jobs = map[string]*jobProgress{}
	}
	j := p.jobs[run.id.Job]
	if j == nil {
		j = &jobProgress{}
		p.jobs[run.id.Job] = j
	}
	j.elapsed += now - run.observedAt
	j.completed += float64(percent-run.percent) / 100 * float64(run.estimate)
	p.measure()
}

func (p *pace) measure() {
	jobs, fastest := 0, 0.0
	for _, j := range p.jobs {
		if j.elapsed >= minPaceTime {
			jobs++
			fastest = max(fastest, j.completed/float64(j.elapsed))
		}
	}
	// One job at or above slowPercent is enough to show that a worker is no longer slow.
	recovered := jobs > 0 && p.slow() && 100*fastest >= slowPercent
	if jobs < minPaceJobs && !recovered {
		return
	}
	p.percent = max(int(100*fastest), 1)
	clear(p.jobs)
}

// slow reports whether runs progress much slower than estimated.
func (p *pace) slow() bool { return p.percent > 0 && p.percent < slowPercent }
