package entry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

// startJobSpan starts the span of a job if its submission is traced.
func (c *core) startJobSpan(ctx context.Context, j *job.Job) {
	_, span := c.cfg.Tracer.StartChild(ctx, trace.SpanKindInternal, "job")
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(attribute.String("job", j.ID().String()), attribute.String("team", j.Spec().Team),
		attribute.Int("tasks", len(j.Spec().Tasks)))
	c.jobSpans[j.ID()] = span
}

// linkJobSpan links the span of a resubmission to the span of the existing job.
func (c *core) linkJobSpan(ctx context.Context, j *job.Job) {
	if span := c.jobSpans[j.ID()]; span != nil {
		trace.SpanFromContext(ctx).AddLink(trace.Link{SpanContext: span.SpanContext()})
	}
}

func (c *core) endJobSpan(j *job.Job) {
	span := c.jobSpans[j.ID()]
	if span == nil {
		return
	}
	delete(c.jobSpans, j.ID())
	v := j.Verdict()
	span.SetAttributes(attribute.String("outcome", v.Outcome.String()))
	if v.Outcome != lavendercourse.OutcomeComplete {
		telemetry.SetError(span, v.Message)
	}
	span.End()
}

// startTaskSpan starts the span of a start, or returns nil if the job is not traced.
func (c *core) startTaskSpan(id lavendercourse.JobID, attempt placement.Attempt, agent string) trace.Span {
	span := c.jobSpans[id]
	if span == nil {
		return nil
	}
	return c.cfg.Tracer.StartLinked(span, "task", attribute.Int64("task", int64(attempt.Key.Task())),
		attribute.Int64("attempt", int64(attempt.Attempt)), attribute.String("agent", agent))
}

func endTaskSpan(span trace.Span, d message.Done) {
	if span == nil {
		return
	}
	span.SetAttributes(attribute.String("status", d.Status.String()))
	if d.Status != message.StatusDone {
		telemetry.SetError(span, d.Error)
	}
	span.End()
}
