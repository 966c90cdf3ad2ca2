package agent

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/lavendercourse/lavendercourse/intake"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// agentMetrics holds the counters of an agent. The gauges are computed by collect at each scrape.
type agentMetrics struct {
	registry *telemetry.Metrics
	started  *metrics.Counter
	replies  map[message.Status]*metrics.Counter
}

func newAgentMetrics(m *telemetry.Metrics) *agentMetrics {
	s := &agentMetrics{registry: m, started: m.Counter("started_total"), replies: map[message.Status]*metrics.Counter{}}
	for status := message.StatusDone; status <= message.StatusUnknown; status++ {
		s.replies[status] = m.Counter("replies_total", "status", status.String())
	}
	return s
}

func (s *agentMetrics) countReply(status message.Status) {
	if c := s.replies[status]; c != nil {
		c.Inc()
	}
}

// collect writes the gauges of the agent.
func (a *Agent) collect(w *telemetry.Samples) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.table.Usage()
	w.Gauge("slots", a.cfg.Slots.Slots)
	w.Gauge("running", u.Running)
	w.Gauge("pending", u.Pending)
	w.Gauge("connections", a.cfg.Slots.Connections)
	w.Gauge("calls", u.Calls)
	w.Gauge("remembered", a.table.TaskRecordCount())
	w.Gauge("links", len(a.links))
	w.Bool("leaving", a.leaving)
	w.Bool("ready", a.backend.up)
}

// health answers with status 200 if the agent accepts work, else with 503.
func (a *Agent) health(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	ready := a.backend.up && !a.leaving
	a.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// httpServer returns the HTTP server for the metrics and the health of the agent.
func (a *Agent) httpServer() *http.Server {
	r := mux.NewRouter()
	r.Handle(telemetry.MetricsPath, a.metrics.registry)
	r.HandleFunc("/health", a.health)
	return &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: intake.MaxHead}
}
