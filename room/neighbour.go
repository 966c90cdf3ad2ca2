package room

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/interference"
	"github.com/lavendercourse/lavendercourse/message"
)

// TakeMix returns what was measured of the kinds of tasks on the worker, if it is time to send that to entries.
func (t *Table) TakeMix(now clock.Millis) (message.Mix, bool) {
	if t.recorder == nil {
		return message.Mix{}, false
	}
	return t.recorder.Take(now)
}

// recordNeighbourStart records that the worker has started a run.
func (t *Table) recordNeighbourStart(now clock.Millis, run *trackedRun) {
	if t.recorder == nil {
		return
	}
	t.recorder.Start(now, interference.RunStart{
		Run: run.id, Kind: run.kind, Estimate: run.estimate, CPU: run.need.CPU, OrderSize: run.orderSize,
		Load: float64(run.need.CPU) / float64(max(t.worker.Capacity.CPU, 1)),
	})
}

// recordNeighbourEnd records that a run has ended. It shows nothing of its neighbours if it did not end well, if its worker
// is slow, or if its start was repeated or confirmed by a list, so that the time of the start is not known.
func (t *Table) recordNeighbourEnd(now clock.Millis, run *trackedRun, kind lavendercourse.EndKind) {
	if t.recorder == nil {
		return
	}
	t.recorder.End(now, run.id, kind.Succeeded() && run.startsSent == 1 && !run.startListed && !t.pace.slow())
}
