package telemetry

import (
	"io"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
)

// MetricsPath is where processes serve their metrics.
const MetricsPath = "/metrics"

// prefix starts the name of every metric of this module.
const prefix = "lavendercourse_"

// Metrics holds the metrics of one entry or agent. Several may live in one process.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics that hold the frames of the given counters.
func NewMetrics(c *link.Counters) *Metrics {
	m := &Metrics{set: metrics.NewSet()}
	m.Collect(func(w *Samples) {
		for t := range message.Type(message.TypeCount) {
			frames(w, t, "sent", c.Sent(t))
			frames(w, t, "received", c.Received(t))
		}
		w.Count("malformed_total", c.Broken())
	})
	return m
}

func frames(w *Samples, t message.Type, direction string, c link.Count) {
	if c.Frames == 0 {
		return
	}
	w.Count("frames_total", c.Frames, "type", t.String(), "direction", direction)
	w.Count("bytes_total", c.Bytes, "type", t.String(), "direction", direction)
}

// Counter returns the counter with the given name and labels, in pairs of name and value.
func (m *Metrics) Counter(name string, labels ...string) *metrics.Counter {
	return m.set.GetOrCreateCounter(metricName(name, labels))
}

// Times returns the histogram of a time with the given name and labels. Its buckets end at 65.536 s.
func (m *Metrics) Times(name string, labels ...string) *Times {
	bounds := metrics.ExponentialBuckets(0.001, 2, 17)
	return &Times{histogram: m.set.GetOrCreatePrometheusHistogramExt(metricName(name, labels), bounds)}
}

// Collect calls a function at each scrape to write samples.
func (m *Metrics) Collect(collect func(w *Samples)) {
	m.set.RegisterMetricsWriter(func(w io.Writer) { collect(&Samples{w: w}) })
}

// ServeHTTP writes the metrics and those of the process in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Times is a histogram of a time. It is served in seconds.
type Times struct {
	histogram *metrics.PrometheusHistogram
}

// Observe counts one time in ms.
func (t *Times) Observe(span clock.Millis) { t.histogram.Update(seconds(span)) }

// Samples receives the values of one scrape.
type Samples struct {
	w io.Writer
}

// Gauge writes a value that may fall.
func (s *Samples) Gauge(name string, value int, labels ...string) {
	metrics.WriteGaugeFloat64(s.w, metricName(name, labels), float64(value))
}

// Flag writes 1 for true and 0 for false.
func (s *Samples) Flag(name string, value bool) {
	n := 0
	if value {
		n = 1
	}
	s.Gauge(name, n)
}

// Age writes a span of time in seconds.
func (s *Samples) Age(name string, span clock.Millis) {
	metrics.WriteGaugeFloat64(s.w, metricName(name, nil), seconds(span))
}

// Count writes a value that only rises.
func (s *Samples) Count(name string, value uint64, labels ...string) {
	metrics.WriteCounterUint64(s.w, metricName(name, labels), value)
}

func seconds(span clock.Millis) float64 { return float64(span) / float64(clock.Second) }

// escaper is needed because callers choose the names of teams.
var escaper = strings.NewReplacer("\\", `\\`, "\"", `\"`, "\n", `\n`)

func metricName(name string, labels []string) string {
	if len(labels) == 0 {
		return prefix + name
	}
	var b strings.Builder
	b.WriteString(prefix + name)
	for i := 0; i+1 < len(labels); i += 2 {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		b.WriteByte(separator)
		b.WriteString(labels[i] + `="` + escaper.Replace(labels[i+1]) + `"`)
	}
	b.WriteByte('}')
	return b.String()
}
