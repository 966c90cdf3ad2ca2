package telemetry_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

const (
	submitPath = "/dispatch.v1.DispatchService/Submit"
	runPath    = "/worker.v1.WorkerService/Run"
)

// wantParents maps each span of a job that is submitted through an entry that does not own it to its parent. Spans are
// given as spanLabel returns them.
var wantParents = map[string]string{
	"caller-1 internal caller submit": "",
	"caller-1 client " + submitPath:   "caller-1 internal caller submit",
	"entry-1 server " + submitPath:    "caller-1 client " + submitPath,
	"entry-1 client forward submit":   "entry-1 server " + submitPath,
	"entry-2 server forward submit":   "entry-1 client forward submit",
	"entry-2 internal job":            "entry-2 server forward submit",
	"entry-2 client task":             "entry-2 internal job",
	"agent-1 server agent run":        "entry-2 client task",
	"agent-1 client " + runPath:       "agent-1 server agent run",
	"worker-1 server " + runPath:      "agent-1 client " + runPath,
}

// Guards against a component that drops the trace or sets the wrong parent span.
func TestTraceCoversEveryHop(t *testing.T) {
	s := newReadyCluster(t)
	id, err := s.client(1, nil).Reserve(t.Context())
	assert.NilError(t, err)
	s.spans.Reset()
	resp, err := submit(t.Context(), s.client(0, s.tracer("caller-1")), id, "sleep", "5", 2)
	assert.NilError(t, err)
	assert.Equal(t, resp.GetVerdict().GetOutcome(), dispatchv1.Outcome_OUTCOME_COMPLETE)
	spans := s.spans.GetSpans()
	labels := map[trace.SpanID]string{}
	seen := map[string]bool{}
	for _, span := range spans {
		labels[span.SpanContext.SpanID()] = spanLabel(span)
		seen[spanLabel(span)] = true
	}
	for name := range wantParents {
		assert.Assert(t, seen[name], "span %s is missing", name)
	}
	for _, span := range spans {
		want, ok := wantParents[spanLabel(span)]
		assert.Assert(t, ok, "unexpected span %s", spanLabel(span))
		assert.Equal(t, labels[span.Parent.SpanID()], want, spanLabel(span))
		assert.Equal(t, span.SpanContext.TraceID(), spans[0].SpanContext.TraceID(), spanLabel(span))
		if span.Name == "task" {
			assert.Equal(t, len(span.Links), 1)
			assert.Equal(t, labels[span.Links[0].SpanContext.SpanID()], "entry-2 internal job")
		}
	}
	t.Log("\n" + formatSpanTree(spans, trace.SpanID{}, ""))
}

// Guards against a resubmission whose trace has no link to the span of the job that it joined.
func TestResubmissionLinksToJob(t *testing.T) {
	s := newReadyCluster(t)
	c := s.client(0, s.tracer("caller-1"))
	id, err := c.Reserve(t.Context())
	assert.NilError(t, err)
	s.spans.Reset()
	first := make(chan error, 1)
	go func() {
		_, err := submit(t.Context(), c, id, "hang", "", 1)
		first <- err
	}()
	s.await("the job runs", func() bool {
		resp, err := c.Status(t.Context(), id)
		return err == nil && resp.GetRunning() == 1
	})
	var link trace.SpanID
	s.await("a resubmission has a link", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _ = submit(ctx, c, id, "hang", "", 1)
		for _, span := range s.spans.GetSpans() {
			if spanLabel(span) == "entry-1 server "+submitPath && len(span.Links) == 1 {
				link = span.Links[0].SpanContext.SpanID()
			}
		}
		return link.IsValid()
	})
	_, err = c.Cancel(t.Context(), id)
	assert.NilError(t, err)
	assert.NilError(t, <-first)
	jobs := 0
	for _, span := range s.spans.GetSpans() {
		if span.Name == "job" {
			jobs++
			assert.Equal(t, link, span.SpanContext.SpanID())
		}
	}
	assert.Equal(t, jobs, 1)
}

// spanLabel returns the process, kind and name of a span.
func spanLabel(s tracetest.SpanStub) string {
	name := ""
	for _, a := range s.Resource.Attributes() {
		if a.Key == "service.instance.id" {
			name = a.Value.AsString()
		}
	}
	return name + " " + s.SpanKind.String() + " " + s.Name
}

// formatSpanTree returns the descendants of a span as an indented list with their durations.
func formatSpanTree(spans tracetest.SpanStubs, parent trace.SpanID, indent string) string {
	sort.Slice(spans, func(i, j int) bool { return spans[i].StartTime.Before(spans[j].StartTime) })
	var text strings.Builder
	for _, s := range spans {
		if s.Parent.SpanID() == parent {
			text.WriteString(indent + spanLabel(s) + " " + s.EndTime.Sub(s.StartTime).Round(10_000).String() + "\n")
			text.WriteString(formatSpanTree(append(tracetest.SpanStubs(nil), spans...), s.SpanContext.SpanID(), indent+"  "))
		}
	}
	return text.String()
}

// Guards against sampling that ignores the configured ratio or the decision of the sender.
func TestSampling(t *testing.T) {
	for _, tc := range []struct {
		name        string
		sampleRatio float64
		flags       string
		want        int
	}{
		{name: "ratio 0 records no new trace", sampleRatio: 0, want: 0},
		{name: "ratio 1 records every new trace", sampleRatio: 1, want: 1},
		{name: "the sender records", sampleRatio: 0, flags: "01", want: 1},
		{name: "the sender does not record", sampleRatio: 1, flags: "00", want: 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			spans := tracetest.NewInMemoryExporter()
			tracer, err := telemetry.NewTracer(t.Context(), telemetry.TraceConfig{SampleRatio: tc.sampleRatio, CustomExporter: spans})
			assert.NilError(t, err)
			_, span := tracer.Start(t.Context(), trace.SpanKindServer, "hop")
			if tc.flags != "" {
				traceparent := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-" + tc.flags
				_, span = tracer.StartFromRemote(t.Context(), traceparent, trace.SpanKindServer, "hop")
			}
			span.End()
			assert.Equal(t, len(spans.GetSpans()), tc.want)
		})
	}
}

// Guards against an exporter that loses spans, and against unknown exporter names that are accepted.
func TestExporters(t *testing.T) {
	var out bytes.Buffer
	requests := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { requests <- r.URL.Path }))
	defer collector.Close()
	for _, name := range []string{telemetry.ExportNone, telemetry.ExportStdout, telemetry.ExportOTLP} {
		cfg := telemetry.TraceConfig{Exporter: name, SampleRatio: 1, Out: &out, Endpoint: collector.URL + "/v1/traces"}
		tracer, err := telemetry.NewTracer(t.Context(), cfg)
		assert.NilError(t, err)
		_, span := tracer.Start(t.Context(), trace.SpanKindServer, "hop "+name)
		span.End()
		assert.NilError(t, tracer.Close(t.Context()))
	}
	assert.Equal(t, strings.Count(out.String(), `"hop `), 1)
	assert.Equal(t, <-requests, "/v1/traces")
	_, err := telemetry.NewTracer(t.Context(), telemetry.TraceConfig{Exporter: "file"})
	assert.ErrorIs(t, err, telemetry.ErrExporter)
}

// traceTask starts and ends the spans that tracing adds to one task.
func traceTask(ctx context.Context, t *telemetry.Tracer, job trace.Span) {
	task := t.StartLinked(job, "task")
	ctx, run := t.StartFromRemote(ctx, telemetry.Traceparent(task), trace.SpanKindServer, "agent run")
	_, call := t.StartChild(ctx, trace.SpanKindClient, runPath)
	call.End()
	run.End()
	if task != nil {
		task.End()
	}
}

// Guards against allocations by tracing for a task that is not traced.
func TestUntracedTaskAllocatesNothing(t *testing.T) {
	tracer, err := telemetry.NewTracer(t.Context(), telemetry.TraceConfig{SampleRatio: 0, CustomExporter: tracetest.NewNoopExporter()})
	assert.NilError(t, err)
	ctx := t.Context()
	assert.Equal(t, testing.AllocsPerRun(100, func() { traceTask(ctx, nil, nil) }), 0.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { traceTask(ctx, tracer, nil) }), 0.0)
}

func BenchmarkTask(b *testing.B) {
	spans := tracetest.NewNoopExporter()
	for _, bc := range []struct {
		name        string
		sampleRatio float64
		on          bool
	}{{name: "off"}, {name: "unsampled", on: true}, {name: "sampled", on: true, sampleRatio: 1}} {
		b.Run(bc.name, func(b *testing.B) {
			var tracer *telemetry.Tracer
			var job trace.Span
			if bc.on {
				var err error
				tracer, err = telemetry.NewTracer(b.Context(), telemetry.TraceConfig{SampleRatio: bc.sampleRatio, CustomExporter: spans})
				assert.NilError(b, err)
			}
			if bc.sampleRatio > 0 {
				_, job = tracer.Start(b.Context(), trace.SpanKindInternal, "job")
			}
			b.ReportAllocs()
			for b.Loop() {
				traceTask(b.Context(), tracer, job)
			}
		})
	}
}
