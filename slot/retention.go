package slot

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// finish moves a task that has ended or was refused from active to finished, and releases its payload.
func (t *Table) finish(now clock.Millis, rec *taskRecord) {
	delete(t.active, rec.key)
	rec.endedAt = now
	rec.start.Payload = nil
	t.finished = append(t.finished, rec)
}

// keepResult keeps the result of an ended task so that a resume can be answered. It drops the oldest results while
// their total size exceeds Config.MaxResultBytes.
func (t *Table) keepResult(rec *taskRecord) {
	t.keptResults = append(t.keptResults, rec)
	t.resultBytes += len(rec.done.Result)
	for t.resultBytes > t.cfg.MaxResultBytes {
		t.dropOldestResult()
	}
}

// dropOldestResult drops the oldest kept result. Only a done status needs its result to be sent again.
func (t *Table) dropOldestResult() {
	rec := t.keptResults[0]
	t.keptResults = t.keptResults[1:]
	t.resultBytes -= len(rec.done.Result)
	rec.done.Result = nil
	rec.canResend = rec.done.Status != message.StatusDone
}

// evictExpired removes results, finished tasks and lease renewals whose retention time has passed, and entries whose
// usage is zero.
func (t *Table) evictExpired(now clock.Millis) {
	for len(t.keptResults) > 0 && now-t.keptResults[0].endedAt > t.cfg.ResultRetention {
		t.dropOldestResult()
	}
	for len(t.finished) > 0 && now-t.finished[0].endedAt > t.cfg.RecordRetention {
		rec := t.finished[0]
		t.finished = t.finished[1:]
		if t.tasks[rec.key] == rec {
			delete(t.tasks, rec.key)
		}
	}
	for inc, at := range t.renewedAt {
		if now-at > t.cfg.RecordRetention {
			delete(t.renewedAt, inc)
		}
	}
	for name, u := range t.entries {
		if *u == (entryUsage{}) {
			delete(t.entries, name)
		}
	}
}

func (t *Table) forget(key lavendercourse.TaskKey) {
	delete(t.tasks, key)
}
