// Package telemetry provides the traces, metrics and log output of a process.
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

// Names of trace exporters.
const (
	ExportNone   = "none"
	ExportStdout = "stdout"
	ExportOTLP   = "otlp"
)

// Exporters lists the valid values of TraceConfig.Exporter.
var Exporters = []string{ExportNone, ExportStdout, ExportOTLP}

// instrumentationScope identifies this package as the source of its spans.
const instrumentationScope = "github.com/lavendercourse/lavendercourse/telemetry"

// ErrExporter is returned if the trace exporter does not exist or cannot be set up.
var ErrExporter = eris.New("trace exporter cannot be used")

// TraceConfig holds the settings of a Tracer.
type TraceConfig struct {
	// Exporter is none, stdout or otlp. Empty means none.
	Exporter string
	// Endpoint is the URL of an OTLP/HTTP collector, such as http://127.0.0.1:4318.
	Endpoint string
	// SampleRatio is the sampling ratio, from 0 to 1, of the traces that start in this process. A trace that started in
	// another process is recorded if its sender records it.
	SampleRatio float64
	// ServiceName is the kind of process, such as entry or agent (the attribute service.name), and Name the name of this
	// process (service.instance.id).
	ServiceName string
	Name        string
	// Out is the writer of the exporter stdout, which requires it.
	Out io.Writer
	// CustomExporter replaces Exporter if it is not nil. It gets each span synchronously when the span ends.
	CustomExporter sdktrace.SpanExporter
}

// Tracer starts the spans of one process. A nil Tracer is disabled: its methods start no spans and allocate nothing.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// NewTracer returns a Tracer, or nil if the exporter is none.
func NewTracer(ctx context.Context, cfg TraceConfig) (*Tracer, error) {
	option, err := exporterOption(ctx, cfg)
	if err != nil || option == nil {
		return nil, err
	}
	p := sdktrace.NewTracerProvider(
		option,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", cfg.ServiceName), attribute.String("service.instance.id", cfg.Name),
		)),
	)
	return &Tracer{provider: p, tracer: p.Tracer(instrumentationScope)}, nil
}

// exporterOption returns the provider option for the configured exporter, or nil if the exporter is none.
func exporterOption(ctx context.Context, cfg TraceConfig) (sdktrace.TracerProviderOption, error) {
	if cfg.CustomExporter != nil {
		return sdktrace.WithSyncer(cfg.CustomExporter), nil
	}
	var e sdktrace.SpanExporter
	var err error
	switch cfg.Exporter {
	case "", ExportNone:
		return nil, nil
	case ExportStdout:
		if cfg.Out == nil {
			return nil, eris.Wrap(ErrExporter, "stdout requires TraceConfig.Out")
		}
		e, err = stdouttrace.New(stdouttrace.WithWriter(cfg.Out))
	case ExportOTLP:
		e, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
	default:
		return nil, eris.Wrapf(ErrExporter, "unknown exporter %q; want none, stdout or otlp", cfg.Exporter)
	}
	if err != nil {
		return nil, eris.Wrapf(ErrExporter, "%s: %v", cfg.Exporter, err)
	}
	return sdktrace.WithBatcher(e), nil
}

// Close exports the buffered spans and shuts the tracer down.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Start starts a child of the span in ctx, or a new trace if ctx has no span.
func (t *Tracer) Start(ctx context.Context, kind trace.SpanKind, name string) (context.Context, trace.Span) {
	if t == nil {
		return ctx, noopSpan
	}
	return t.tracer.Start(ctx, name, trace.WithSpanKind(kind))
}

// StartChild starts a child of the span in ctx if that span is recorded. It never starts a new trace.
func (t *Tracer) StartChild(ctx context.Context, kind trace.SpanKind, name string) (context.Context, trace.Span) {
	if t == nil || !trace.SpanContextFromContext(ctx).IsSampled() {
		return ctx, noopSpan
	}
	return t.tracer.Start(ctx, name, trace.WithSpanKind(kind))
}

// StartFromRemote starts a child of the remote span whose W3C traceparent a message carries, if that span is recorded.
// It starts no span if traceparent is empty.
func (t *Tracer) StartFromRemote(ctx context.Context, traceparent string, kind trace.SpanKind, name string) (context.Context, trace.Span) {
	if t == nil || traceparent == "" {
		return ctx, noopSpan
	}
	// Taking the address of a copy keeps the parameter off the heap for messages without a trace.
	value := traceparent
	return t.StartChild(propagation.TraceContext{}.Extract(ctx, traceparentCarrier{traceparent: &value}), kind, name)
}

// StartLinked starts a child of the given span that also has a link to it. The link remains when a collector splits the
// trace of a large job. It returns nil if the tracer or the parent is nil.
func (t *Tracer) StartLinked(parent trace.Span, name string, attributes ...attribute.KeyValue) trace.Span {
	if t == nil || parent == nil {
		return nil
	}
	ctx := trace.ContextWithSpan(context.Background(), parent)
	_, s := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attributes...),
		trace.WithLinks(trace.Link{SpanContext: parent.SpanContext()}))
	return s
}

// noopSpan is a span that records nothing.
var noopSpan = trace.SpanFromContext(context.Background())

// Traceparent returns the W3C traceparent of a span, or the empty string if the span is nil or not recorded.
func Traceparent(s trace.Span) string {
	if s == nil || !s.SpanContext().IsSampled() {
		return ""
	}
	var traceparent string
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), s), traceparentCarrier{traceparent: &traceparent})
	return traceparent
}

// SetError sets the status of a span to error with the given text. It does nothing if the text is empty.
func SetError(s trace.Span, text string) {
	if text != "" {
		s.SetStatus(codes.Error, text)
	}
}

// traceparentCarrier is a propagation.TextMapCarrier that holds only the traceparent, as messages do.
type traceparentCarrier struct {
	traceparent *string
}

// Get implements propagation.TextMapCarrier.
func (c traceparentCarrier) Get(key string) string {
	if key == "traceparent" {
		return *c.traceparent
	}
	return ""
}

// Set implements propagation.TextMapCarrier.
func (c traceparentCarrier) Set(key, value string) {
	if key == "traceparent" {
		*c.traceparent = value
	}
}

// Keys implements propagation.TextMapCarrier.
func (c traceparentCarrier) Keys() []string { return []string{"traceparent"} }
