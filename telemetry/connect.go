package telemetry

import (
	"context"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Interceptor returns an interceptor for connect clients and handlers. A handler continues the trace in the request
// headers, or starts a new one. A client passes on the trace of its context in the headers. It never starts one, so
// that polling produces no traces.
func (t *Tracer) Interceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		if t == nil {
			return next
		}
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			ctx, span := t.startSpan(ctx, req)
			defer span.End()
			resp, err := next(ctx, req)
			if err != nil {
				SetError(span, err.Error())
			}
			return resp, err
		}
	})
}

// startSpan starts the span of one request. For a client it also writes the trace context into the request headers.
func (t *Tracer) startSpan(ctx context.Context, req connect.AnyRequest) (context.Context, trace.Span) {
	headers := propagation.HeaderCarrier(req.Header())
	if !req.Spec().IsClient {
		ctx = propagation.TraceContext{}.Extract(ctx, headers)
		return t.Start(ctx, trace.SpanKindServer, req.Spec().Procedure)
	}
	ctx, span := t.StartChild(ctx, trace.SpanKindClient, req.Spec().Procedure)
	// The headers are set even if the trace is not recorded, so that the sampling decision is made only once.
	propagation.TraceContext{}.Inject(ctx, headers)
	return ctx, span
}
