package runner

import (
	"github.com/lavendercourse/lavendercourse/room"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// metrics holds the metrics of a runner.
type metrics struct {
	registry *telemetry.Metrics
}

func newMetrics(m *telemetry.Metrics) *metrics { return &metrics{registry: m} }

func (m *metrics) runStarted() { m.registry.Counter("runs_started_total").Inc() }

func (m *metrics) runStopped() { m.registry.Counter("runs_stopped_total").Inc() }

func (m *metrics) callUnanswered() { m.registry.Counter("worker_calls_unanswered_total").Inc() }

func (m *metrics) workerCrashed() { m.registry.Counter("worker_crashes_total").Inc() }

func (m *metrics) runEnded(a room.ReportEnd) { m.registry.RunEnded(a.Kind, a.Reason, a.Duration) }

// collect writes the current values of the gauges.
func (r *Runner) collect(w *telemetry.Samples) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	w.Gauge("runs", r.table.UnfinishedRuns())
	w.Gauge("free_millicores", r.table.Free().CPU)
	w.Gauge("gateways", len(r.gateways))
	w.Gauge("runs_in_doubt", r.table.RunsInDoubt())
	w.Gauge("worker_call_timeout_ms", int(r.table.CallTimeout()))
	w.Bool("open", r.table.AcceptsRuns(now))
}
