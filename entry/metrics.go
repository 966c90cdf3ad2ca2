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

// entryMetrics holds the metrics that are updated when something happens. The others are computed by collect.
type entryMetrics struct {
	registry   *telemetry.Metrics
	starts     *metrics.Counter
	tasksEnded map[message.Status]*metrics.Counter
	jobsEnded  map[verdictKey]*metrics.Counter
	waitTimes  map[lavendercourse.Class]*telemetry.Histogram
	jobTimes   map[lavendercourse.Outcome]*telemetry.Histogram
}

type verdictKey struct {
	outcome lavendercourse.Outcome
	reason  lavendercourse.Reason
}

func newEntryMetrics(m *telemetry.Metrics) *entryMetrics {
	s := &entryMetrics{
		registry: m, starts: m.Counter("starts_total"), tasksEnded: map[message.Status]*metrics.Counter{},
		jobsEnded: map[verdictKey]*metrics.Counter{},
		waitTimes: map[lavendercourse.Class]*telemetry.Histogram{
			lavendercourse.ClassQuick: m.Histogram("wait_seconds", "class", lavendercourse.ClassQuick.String()),
			lavendercourse.ClassBatch: m.Histogram("wait_seconds", "class", lavendercourse.ClassBatch.String()),
		},
		jobTimes: map[lavendercourse.Outcome]*telemetry.Histogram{},
	}
	for status := message.StatusDone; status <= message.StatusUnknown; status++ {
		s.tasksEnded[status] = m.Counter("tasks_total", "status", status.String())
	}
	for o := lavendercourse.OutcomeComplete; o <= lavendercourse.OutcomeRefused; o++ {
		s.jobTimes[o] = m.Histogram("job_seconds", "outcome", o.String())
	}
	return s
}

// countVerdict counts a verdict on a job, call or submission.
func (s *entryMetrics) countVerdict(v lavendercourse.Verdict) {
	key := verdictKey{outcome: v.Outcome, reason: v.Reason}
	c := s.jobsEnded[key]
	if c == nil {
		c = s.registry.Counter("jobs_total", "outcome", key.outcome.String(), "reason", key.reason.String())
		s.jobsEnded[key] = c
	}
	c.Inc()
}

// observeJobTime records the time in ms from the submission of a job to its end.
func (s *entryMetrics) observeJobTime(o lavendercourse.Outcome, elapsed clock.Millis) {
	if h := s.jobTimes[o]; h != nil {
		h.Observe(elapsed)
	}
}

// countStart counts a start that was sent, and records the time in ms since the submission of its job.
func (s *entryMetrics) countStart(class lavendercourse.Class, wait clock.Millis) {
	s.starts.Inc()
	if h := s.waitTimes[class]; h != nil {
		h.Observe(wait)
	}
}

func (s *entryMetrics) countTaskEnd(status message.Status) {
	if c := s.tasksEnded[status]; c != nil {
		c.Inc()
	}
}

// collect writes the current state of the entry when its metrics are scraped.
func (c *core) collect(w *telemetry.Samples) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	w.Bool("parked", c.startsSuspended)
	w.Bool("leased", c.holdsLease(now))
	w.Bool("stopping", c.stopping)
	w.Seconds("lease_age_seconds", now-c.leaseStart)
	w.Seconds("config_age_seconds", now-c.configConfirmedAt)
	w.Gauge("config_version", int(c.configState.Version()))
	w.Gauge("config_gate", int(c.domainsVersion))
	w.Gauge("config_malformed", c.configState.Malformed())
	w.Gauge("entries", len(c.entryNames))
	w.Gauge("peers", len(c.peers))
	w.Gauge("live", c.jobs.LiveCount())
	w.Gauge("capacity", c.fleet.Capacity())
	collectQueue(w, "tasks", c.taskQueue)
	collectQueue(w, "calls", c.callQueue)
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
