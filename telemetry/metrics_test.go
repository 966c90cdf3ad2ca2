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
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// metricLine matches a line of the metrics output whose label names are one lowercase word each.
var metricLine = regexp.MustCompile(`^(#.*)?$|^[a-z_]+(\{[a-z]+="[^"]*"(,[a-z]+="[^"]*")*\})? \S+$`)

// Guards against a metric that is missing, counted twice, or counted for the wrong entry of the process.
func TestMetricsAfterJobs(t *testing.T) {
	s := newReadyCluster(t)
	c := s.client(1, nil)
	_, err := submit(t.Context(), c, "", "sleep", "5", 3)
	assert.NilError(t, err)
	_, err = submit(t.Context(), c, "", "fail", "", 1)
	assert.NilError(t, err)
	for _, tc := range []struct {
		name, address string
		want          []string
	}{
		{name: "entry without jobs", address: s.callers[0], want: []string{
			"starts_total 0", "live 0", "entries 2", `agents{health="trial"} 1`, "stopping 0",
		}},
		{name: "entry with jobs", address: s.callers[1], want: []string{
			"starts_total 4", `tasks_total{status="done"} 3`, `tasks_total{status="failed"} 1`,
			`jobs_total{outcome="complete",reason="none"} 1`, `jobs_total{outcome="failed",reason="task"} 1`,
			`frames_total{type="start",direction="sent"} 4`, `frames_total{type="done",direction="received"} 4`,
			`wait_seconds_count{class="batch"} 4`, `job_seconds_count{outcome="complete"} 1`,
			`log_failures_total{request="read"} 0`, "config_version 0", "capacity 2",
			"lease_age_seconds ", "config_age_seconds ", "parked ", "leased ", `log_total{request="append"} `,
		}},
		{name: "agent", address: s.metrics, want: []string{
			"started_total 4", `replies_total{status="done"} 3`, `replies_total{status="failed"} 1`, "slots 2", "running 0",
			"pending 0", "remembered 4", "links 2", "ready 1", "connections 62",
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, text := s.get(tc.address, telemetry.MetricsPath)
			for _, line := range tc.want {
				if !strings.HasSuffix(line, " ") {
					line += "\n"
				}
				assert.Check(t, cmp.Contains("\n"+text, "\nlavendercourse_"+line))
			}
			assert.Check(t, cmp.Contains(text, "\ngo_goroutines "))
			assert.Check(t, cmp.Contains(text, "\nprocess_resident_memory_bytes "))
			for _, line := range strings.Split(text, "\n") {
				assert.Check(t, !strings.HasPrefix(line, "lavendercourse_") || metricLine.MatchString(line), "malformed metric line, or a label name that is not one lowercase word: %q", line)
			}
		})
	}
}

// Guards against team names that break the text format, and against durations in units other than seconds.
func TestMetricsFormat(t *testing.T) {
	m := telemetry.NewMetrics(link.NewCounters())
	m.Collect(func(w *telemetry.Samples) {
		w.Gauge("waiting", 2, "team", "a\"b\\c\nd")
		w.Seconds("age_seconds", 1500)
	})
	m.Histogram("wait_seconds").Observe(250 * clock.Millis(1))
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
