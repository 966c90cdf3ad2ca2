package gateway

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// gatewayMetrics counts the jobs and runs of a gateway.
type gatewayMetrics struct {
	registry *telemetry.Metrics
}

func newGatewayMetrics(m *telemetry.Metrics) *gatewayMetrics { return &gatewayMetrics{registry: m} }

func (m *gatewayMetrics) jobAnswered(result lavendercourse.JobResult, duration clock.Millis) {
	m.registry.Counter("jobs_total", "result", result.String()).Inc()
	m.registry.Histogram("job_seconds", "result", result.String()).Observe(duration)
}

func (m *gatewayMetrics) runsOrdered(runs int) { m.registry.Counter("runs_ordered_total").Add(runs) }

func (m *gatewayMetrics) runEnded(e message.RunEnd) {
	m.registry.RunEnded(e.Kind, e.Reason, e.Duration)
}

func (m *gatewayMetrics) taskCrashesWorkers() { m.registry.Counter("crashing_tasks_total").Inc() }

func (m *gatewayMetrics) mixInvalid() { m.registry.Counter("mixes_invalid_total").Inc() }

// collect samples the gauges of the gateway when the metrics are read.
func (g *Gateway) collect(w *telemetry.Samples) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Gauge("jobs", g.scheduler.Jobs())
	w.Gauge("jobs_waiting", g.scheduler.JobsWithWaitingTasks())
	w.Gauge("queues_contained", len(g.contained))
	g.collectNeighbours(w)
	w.Gauge("runners", g.scheduler.LinkedRunners())
	w.Gauge("runners_preferred", g.scheduler.PreferredRunners())
	w.Gauge("gateways", len(g.peers))
	w.Gauge("queues_version", int(g.routes.Version()))
	w.Bool("ready", g.ready)
}
