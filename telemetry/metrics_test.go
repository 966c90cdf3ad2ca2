package telemetry_test

import (
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// Guards against a metric that is missing, counted twice, or counted for another entry of the same process.
func TestMetricsAfterJobs(t *testing.T) {
	s := newSite(t)
	c := s.client(t, 1, nil)
	resp, err := submit(t.Context(), c, "", "sleep", "5", 3)
	assert.NilError(t, err)
	assert.Equal(t, resp.GetVerdict().GetOutcome(), dispatchv1.Outcome_OUTCOME_COMPLETE)
	resp, err = submit(t.Context(), c, "", "fail", "", 1)
	assert.NilError(t, err)
	assert.Equal(t, resp.GetVerdict().GetOutcome(), dispatchv1.Outcome_OUTCOME_FAILED)

	idle, busy, agent := scrape(t, s.callers[0]), scrape(t, s.callers[1]), scrape(t, s.agent)
	for _, tc := range []struct {
		name, text string
		want       []string
	}{
		{name: "entry without jobs", text: idle, want: []string{
			"starts_total 0", "live 0", "entries 2", `agents{health="trial"} 1`, "stopping 0",
		}},
		{name: "entry with jobs", text: busy, want: []string{
			"starts_total 4", `tasks_total{status="done"} 3`, `tasks_total{status="failed"} 1`,
			`jobs_total{outcome="complete",reason="none"} 1`, `jobs_total{outcome="failed",reason="task"} 1`,
			`frames_total{type="start",direction="sent"} 4`, `frames_total{type="done",direction="received"} 4`,
			`wait_seconds_count{class="batch"} 4`, `job_seconds_count{outcome="complete"} 1`, `log_failures_total{request="read"} 0`,
			"config_version 0", "capacity 8",
		}},
		{name: "agent", text: agent, want: []string{
			"started_total 4", `replies_total{status="done"} 3`, `replies_total{status="failed"} 1`, "slots 8", "running 0",
			"pending 0", "remembered 4", "links 2", "ready 1", "connections 62",
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, line := range tc.want {
				assert.Check(t, cmp.Contains(tc.text, "\nlavendercourse_"+line+"\n"))
			}
			for _, name := range []string{"go_goroutines", "process_resident_memory_bytes"} {
				assert.Check(t, cmp.Contains(tc.text, "\n"+name+" "))
			}
		})
	}
	assert.Equal(t, status(t, "http://"+s.agent+"/health"), 200)
	for _, name := range []string{"parked", "leased", "lease_age_seconds", "config_age_seconds", `log_total{request="read"}`, `log_total{request="append"}`} {
		assert.Check(t, cmp.Contains(busy, "\nlavendercourse_"+name+" "))
	}
	for _, line := range strings.Split(idle+busy+agent, "\n") {
		if strings.HasPrefix(line, "lavendercourse_") {
			assert.Check(t, plain.MatchString(line), "a label of %q is not one word", line)
		}
	}
}

var plain = regexp.MustCompile(`^[a-z_]+(\{[a-z]+="[^"]*"(,[a-z]+="[^"]*")*\})? \S+$`)

// scrape returns the metrics with a line break before the first one.
func scrape(t *testing.T, address string) string {
	t.Helper()
	return "\n" + get(t, "http://"+address+telemetry.MetricsPath)
}

// Guards against a team whose name breaks the format, and against times in another unit than seconds.
func TestMetricsFormat(t *testing.T) {
	m := telemetry.NewMetrics(link.NewCounters())
	m.Collect(func(w *telemetry.Samples) {
		w.Gauge("waiting", 2, "team", "a\"b\\c\nd")
		w.Age("age_seconds", 1500)
	})
	m.Times("wait_seconds").Observe(250 * clock.Millis(1))
	out := httptest.NewRecorder()
	m.ServeHTTP(out, nil)
	for _, line := range []string{
		`lavendercourse_waiting{team="a\"b\\c\nd"} 2`, "lavendercourse_age_seconds 1.5",
		`lavendercourse_wait_seconds_bucket{le="0.256"} 1`, `lavendercourse_wait_seconds_bucket{le="0.128"} 0`,
		"lavendercourse_wait_seconds_sum 0.25",
	} {
		assert.Check(t, cmp.Contains(out.Body.String(), line+"\n"))
	}
}
