package telemetry

import (
	"context"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Interceptor returns an interceptor for connect clients and handlers. A handler continues the trace in the headers of
// the request or begins one. A client puts the trace of its context into the headers; it begins none, so that polling
// makes no traces.
func (t *Tracer) Interceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		if t == nil {
			return next
		}
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			ctx, span := t.hop(ctx, req)
			defer span.End()
			resp, err := next(ctx, req)
			if err != nil {
				Fail(span, err.Error())
			}
			return resp, err
		}
	})
}

func (t *Tracer) hop(ctx context.Context, req connect.AnyRequest) (context.Context, trace.Span) {
	headers := propagation.HeaderCarrier(req.Header())
	if !req.Spec().IsClient {
		ctx = propagation.TraceContext{}.Extract(ctx, headers)
		return t.Begin(ctx, trace.SpanKindServer, req.Spec().Procedure)
	}
	ctx, span := t.Child(ctx, trace.SpanKindClient, req.Spec().Procedure)
	// The decision not to record a trace is passed on too, so that it is made once.
	propagation.TraceContext{}.Inject(ctx, headers)
	return ctx, span
}
