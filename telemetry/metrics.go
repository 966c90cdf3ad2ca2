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

// MetricsPath is the HTTP path at which processes serve their metrics.
const MetricsPath = "/metrics"

// metricPrefix is the prefix of the names of all metrics of this module.
const metricPrefix = "lavendercourse_"

// Metrics holds the metrics of one component, such as an entry or agent. A process may have several.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics that include the frame counters of links.
func NewMetrics(c *link.Counters) *Metrics {
	m := &Metrics{set: metrics.NewSet()}
	m.Collect(func(w *Samples) {
		for t := range message.Type(message.TypeCount) {
			writeFrameCounts(w, t, "sent", c.Sent(t))
			writeFrameCounts(w, t, "received", c.Received(t))
		}
		w.Count("malformed_total", c.Malformed())
	})
	return m
}

// writeFrameCounts writes the counts of one frame type and direction, unless they are zero.
func writeFrameCounts(w *Samples, t message.Type, direction string, c link.Count) {
	if c.Frames == 0 {
		return
	}
	w.Count("frames_total", c.Frames, "type", t.String(), "direction", direction)
	w.Count("bytes_total", c.Bytes, "type", t.String(), "direction", direction)
}

// Counter returns the counter with the given name. Labels are pairs of name and value.
func (m *Metrics) Counter(name string, labels ...string) *metrics.Counter {
	return m.set.GetOrCreateCounter(metricName(name, labels))
}

// Histogram returns the duration histogram with the given name and labels. Its largest bucket bound is 65.536 s.
func (m *Metrics) Histogram(name string, labels ...string) *Histogram {
	bounds := metrics.ExponentialBuckets(0.001, 2, 17)
	return &Histogram{histogram: m.set.GetOrCreatePrometheusHistogramExt(metricName(name, labels), bounds)}
}

// Collect registers a function that is called at each scrape to write samples.
func (m *Metrics) Collect(collect func(w *Samples)) {
	m.set.RegisterMetricsWriter(func(w io.Writer) { collect(&Samples{w: w}) })
}

// ServeHTTP writes the metrics, followed by those of the process, in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Histogram is a histogram of durations. It is exported in seconds.
type Histogram struct {
	histogram *metrics.PrometheusHistogram
}

// Observe adds a duration in ms to the histogram.
func (h *Histogram) Observe(duration clock.Millis) { h.histogram.Update(seconds(duration)) }

// Samples writes the values of one scrape.
type Samples struct {
	w io.Writer
}

// Gauge writes a value that can go up and down.
func (s *Samples) Gauge(name string, value int, labels ...string) {
	metrics.WriteGaugeFloat64(s.w, metricName(name, labels), float64(value))
}

// Bool writes a gauge that is 1 for true and 0 for false.
func (s *Samples) Bool(name string, value bool) {
	n := 0
	if value {
		n = 1
	}
	s.Gauge(name, n)
}

// Seconds writes a gauge in seconds for a duration in ms.
func (s *Samples) Seconds(name string, duration clock.Millis) {
	metrics.WriteGaugeFloat64(s.w, metricName(name, nil), seconds(duration))
}

// Count writes a counter, a value that only increases.
func (s *Samples) Count(name string, value uint64, labels ...string) {
	metrics.WriteCounterUint64(s.w, metricName(name, labels), value)
}

// seconds converts a duration in ms to seconds.
func seconds(duration clock.Millis) float64 { return float64(duration) / float64(clock.Second) }

// labelEscaper escapes label values. Callers choose the names of teams, so these can contain any character.
var labelEscaper = strings.NewReplacer("\\", `\\`, "\"", `\"`, "\n", `\n`)

// metricName returns the full name of a metric with its labels, which are pairs of name and value.
func metricName(name string, labels []string) string {
	if len(labels) == 0 {
		return metricPrefix + name
	}
	var b strings.Builder
	b.WriteString(metricPrefix + name)
	for i := 0; i+1 < len(labels); i += 2 {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		b.WriteByte(separator)
		b.WriteString(labels[i] + `="` + labelEscaper.Replace(labels[i+1]) + `"`)
	}
	b.WriteByte('}')
	return b.String()
}
