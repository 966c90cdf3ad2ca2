package telemetry

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// RunEnded counts a run of a task that ended on a worker. The duration in ms is observed only if the run succeeded.
func (m *Metrics) RunEnded(kind lavendercourse.EndKind, reason lavendercourse.Reply, duration clock.Millis) {
	m.Counter("runs_total", "kind", kind.String(), "reason", reason.String()).Inc()
	if kind.Succeeded() {
		m.Histogram("run_seconds").Observe(duration)
	}
}

// RegisterDroppedLines registers a counter of the log lines that were dropped. It does nothing if the function is nil.
func (m *Metrics) RegisterDroppedLines(dropped func() uint64) {
	if dropped != nil {
		m.Collect(func(w *Samples) { w.Count("log_lines_dropped_total", dropped()) })
	}
}
