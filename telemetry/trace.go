// Package telemetry makes the traces and the metrics of a process.
package telemetry

import (
	"context"
	"io"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Names of exporters.
const (
	ExportNone   = "none"
	ExportStdout = "stdout"
	ExportOTLP   = "otlp"
)

// Exporters are the names that TraceConfig takes.
var Exporters = []string{ExportNone, ExportStdout, ExportOTLP}

const scope = "github.com/lavendercourse/lavendercourse/telemetry"

// ErrExporter is returned for an exporter that does not exist or cannot be set up.
var ErrExporter = eris.New("trace exporter cannot be used")

// TraceConfig holds the settings of a tracer.
type TraceConfig struct {
	// Exporter is none, stdout or otlp. Empty means none.
	Exporter string
	// Endpoint is the URL of an OTLP/HTTP collector, such as http://127.0.0.1:4318.
	Endpoint string
	// Share is the share of traces begun here that are recorded, from 0 to 1. A trace begun elsewhere is recorded if
	// its sender records it.
	Share float64
	// Process is the kind of the process, such as entry or agent, and Name its name.
	Process string
	Name    string
	// Out is where the exporter stdout writes.
	Out io.Writer
	// Spans may be set to export to something else. Each span is then exported when it ends.
	Spans sdktrace.SpanExporter
}

// Tracer begins the spans of one process. A nil tracer is off: its methods begin nothing and allocate nothing.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// NewTracer returns a tracer, or nil if the exporter is none.
func NewTracer(ctx context.Context, cfg TraceConfig) (*Tracer, error) {
	export, err := exporter(ctx, cfg)
	if err != nil || export == nil {
		return nil, err
	}
	p := sdktrace.NewTracerProvider(
		export,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.Share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", cfg.Process), attribute.String("service.instance.id", cfg.Name),
		)),
	)
	return &Tracer{provider: p, tracer: p.Tracer(scope)}, nil
}

func exporter(ctx context.Context, cfg TraceConfig) (sdktrace.TracerProviderOption, error) {
	if cfg.Spans != nil {
		return sdktrace.WithSyncer(cfg.Spans), nil
	}
	var e sdktrace.SpanExporter
	var err error
	switch cfg.Exporter {
	case "", ExportNone:
		return nil, nil
	case ExportStdout:
		if cfg.Out == nil {
			return nil, eris.Wrap(ErrExporter, "stdout needs a writer")
		}
		e, err = stdouttrace.New(stdouttrace.WithWriter(cfg.Out))
	case ExportOTLP:
		e, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
	default:
		return nil, eris.Wrapf(ErrExporter, "%q is not none, stdout or otlp", cfg.Exporter)
	}
	if err != nil {
		return nil, eris.Wrapf(ErrExporter, "%s: %v", cfg.Exporter, err)
	}
	return sdktrace.WithBatcher(e), nil
}

// Close exports the spans that wait and ends the tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Begin starts a span below the one in ctx, or a new trace if there is none.
func (t *Tracer) Begin(ctx context.Context, kind trace.SpanKind, name string) (context.Context, trace.Span) {
	if t == nil {
		return ctx, off
	}
	return t.tracer.Start(ctx, name, trace.WithSpanKind(kind))
}

// Child starts a span below the one in ctx if that one is recorded. It begins no new trace.
func (t *Tracer) Child(ctx context.Context, kind trace.SpanKind, name string) (context.Context, trace.Span) {
	if t == nil || !trace.SpanContextFromContext(ctx).IsSampled() {
		return ctx, off
	}
	return t.tracer.Start(ctx, name, trace.WithSpanKind(kind))
}

// Continue starts a span below the one that a message names. It begins nothing if the message names none.
func (t *Tracer) Continue(ctx context.Context, parent string, kind trace.SpanKind, name string) (context.Context, trace.Span) {
	if t == nil || parent == "" {
		return ctx, off
	}
	// The copy keeps the parameter off the heap for messages that name no trace.
	text := parent
	return t.Child(propagation.TraceContext{}.Extract(ctx, textCarrier{text: &text}), kind, name)
}

// Linked starts a span below the given one, with a link to it. The link stays when a collector cuts the trace of a
// large job into parts. It returns nil if the parent is nil.
func (t *Tracer) Linked(parent trace.Span, name string, attributes ...attribute.KeyValue) trace.Span {
	if t == nil || parent == nil {
		return nil
	}
	ctx := trace.ContextWithSpan(context.Background(), parent)
	_, s := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attributes...),
		trace.WithLinks(trace.Link{SpanContext: parent.SpanContext()}))
	return s
}

// off is a span that records nothing.
var off = trace.SpanFromContext(context.Background())

// Parent returns the W3C traceparent of a recorded span, and the empty string for any other.
func Parent(s trace.Span) string {
	if s == nil || !s.SpanContext().IsSampled() {
		return ""
	}
	var parent string
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), s), textCarrier{text: &parent})
	return parent
}

// Fail marks a span as failed. It does nothing if the text is empty.
func Fail(s trace.Span, text string) {
	if text != "" {
		s.SetStatus(codes.Error, text)
	}
}

// textCarrier carries the traceparent alone, as the messages do.
type textCarrier struct {
	text *string
}

// Get implements propagation.TextMapCarrier.
func (c textCarrier) Get(key string) string {
	if key == "traceparent" {
		return *c.text
	}
	return ""
}

// Set implements propagation.TextMapCarrier.
func (c textCarrier) Set(key, value string) {
	if key == "traceparent" {
		*c.text = value
	}
}

// Keys implements propagation.TextMapCarrier.
func (c textCarrier) Keys() []string { return []string{"traceparent"} }
