package entry

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// measures are the metrics of an entry that are counted when something happens. The others are read at a scrape.
type measures struct {
	metrics *telemetry.Metrics
	sent    *metrics.Counter
	ended   map[message.Status]*metrics.Counter
	jobs    map[result]*metrics.Counter
	waits   map[lavendercourse.Class]*telemetry.Times
	times   map[lavendercourse.Outcome]*telemetry.Times
}

type result struct {
	outcome lavendercourse.Outcome
	reason  lavendercourse.Reason
}

func newMeasures(m *telemetry.Metrics) *measures {
	s := &measures{
		metrics: m, sent: m.Counter("starts_total"), ended: map[message.Status]*metrics.Counter{},
		jobs: map[result]*metrics.Counter{},
		waits: map[lavendercourse.Class]*telemetry.Times{
			lavendercourse.Quick: m.Times("wait_seconds", "class", lavendercourse.Quick.String()),
			lavendercourse.Batch: m.Times("wait_seconds", "class", lavendercourse.Batch.String()),
		},
		times: map[lavendercourse.Outcome]*telemetry.Times{},
	}
	for status := message.StatusDone; status <= message.StatusUnknown; status++ {
		s.ended[status] = m.Counter("tasks_total", "status", status.String())
	}
	for o := lavendercourse.Complete; o <= lavendercourse.Refused; o++ {
		s.times[o] = m.Times("job_seconds", "outcome", o.String())
	}
	return s
}

// answered counts a job, call or submission that got its outcome.
func (s *measures) answered(v lavendercourse.Verdict) {
	r := result{outcome: v.Outcome, reason: v.Reason}
	c := s.jobs[r]
	if c == nil {
		c = s.metrics.Counter("jobs_total", "outcome", r.outcome.String(), "reason", r.reason.String())
		s.jobs[r] = c
	}
	c.Inc()
}

// took counts the time in ms from the submission of a job to its end.
func (s *measures) took(o lavendercourse.Outcome, span clock.Millis) {
	if t := s.times[o]; t != nil {
		t.Observe(span)
	}
}

// started counts a start that was sent, with the time in ms since the submission of its job.
func (s *measures) started(class lavendercourse.Class, wait clock.Millis) {
	s.sent.Inc()
	if t := s.waits[class]; t != nil {
		t.Observe(wait)
	}
}

func (s *measures) taskEnded(status message.Status) {
	if c := s.ended[status]; c != nil {
		c.Inc()
	}
}

// collect writes the state of the entry at a scrape.
func (c *core) collect(w *telemetry.Samples) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	w.Flag("parked", c.parked)
	w.Flag("leased", c.mayAnswer(now))
	w.Flag("stopping", c.stopping)
	w.Age("lease_age_seconds", now-c.leaseStart)
	w.Age("config_age_seconds", now-c.confirmed)
	w.Gauge("config_version", int(c.state.Version()))
	w.Gauge("config_gate", int(c.gate))
	w.Gauge("config_malformed", c.state.Malformed())
	w.Gauge("entries", len(c.names))
	w.Gauge("peers", len(c.peers))
	w.Gauge("live", c.jobs.Live())
	w.Gauge("capacity", c.fleet.Capacity())
	collectQueue(w, "tasks", c.tasks)
	collectQueue(w, "calls", c.calls)
	health := map[string]int{}
	for _, a := range c.fleet.Agents() {
		health[a.Health()]++
	}
	for _, name := range placement.HealthNames {
		w.Gauge("agents", health[name], "health", name)
	}
}

func collectQueue(w *telemetry.Samples, name string, q *admission.Queue) {
	for _, u := range q.Usage() {
		w.Gauge("waiting", u.Waiting, "queue", name, "team", u.Team)
		w.Gauge("running", u.Running, "queue", name, "team", u.Team)
	}
}

// countedLog counts the requests to the platform's log and their failures.
type countedLog struct {
	lavendercourse.Log
	reads, readFailures, appends, appendFailures *metrics.Counter
}

func newCountedLog(l lavendercourse.Log, m *telemetry.Metrics) *countedLog {
	return &countedLog{
		Log: l, reads: m.Counter("log_total", "request", "read"), readFailures: m.Counter("log_failures_total", "request", "read"),
		appends: m.Counter("log_total", "request", "append"), appendFailures: m.Counter("log_failures_total", "request", "append"),
	}
}

// Append implements lavendercourse.Log.
func (l *countedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.appends.Inc()
	offset, err := l.Log.Append(ctx, stream, data)
	if err != nil {
		l.appendFailures.Inc()
	}
	return offset, err
}

// Read implements lavendercourse.Log.
func (l *countedLog) Read(ctx context.Context, stream string, from uint64, limit int) (lavendercourse.Page, error) {
	l.reads.Inc()
	page, err := l.Log.Read(ctx, stream, from, limit)
	if err != nil {
		l.readFailures.Inc()
	}
	return page, err
}
