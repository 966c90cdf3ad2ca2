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

// beginJob starts the span of a job if its submission is traced.
func (c *core) beginJob(ctx context.Context, j *job.Job) {
	_, span := c.cfg.Tracer.Child(ctx, trace.SpanKindInternal, "job")
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(attribute.String("job", j.ID().String()), attribute.String("team", j.Spec().Team),
		attribute.Int("tasks", len(j.Spec().Tasks)))
	c.spans[j.ID()] = span
}

// joinJob links the span of a resubmission to the span of the job that it joins.
func (c *core) joinJob(ctx context.Context, j *job.Job) {
	if span := c.spans[j.ID()]; span != nil {
		trace.SpanFromContext(ctx).AddLink(trace.Link{SpanContext: span.SpanContext()})
	}
}

func (c *core) endJob(j *job.Job) {
	span := c.spans[j.ID()]
	if span == nil {
		return
	}
	delete(c.spans, j.ID())
	v := j.Verdict()
	span.SetAttributes(attribute.String("outcome", v.Outcome.String()))
	if v.Outcome != lavendercourse.Complete {
		telemetry.Fail(span, v.Message)
	}
	span.End()
}

// beginTask starts the span of a start, or returns nil if the job is not traced.
func (c *core) beginTask(id lavendercourse.JobID, at placement.Attempt, agent string) trace.Span {
	span := c.spans[id]
	if span == nil {
		return nil
	}
	return c.cfg.Tracer.Linked(span, "task", attribute.Int64("task", int64(at.Key.Task())),
		attribute.Int64("attempt", int64(at.Attempt)), attribute.String("agent", agent))
}

func endTask(span trace.Span, d message.Done) {
	if span == nil {
		return
	}
	span.SetAttributes(attribute.String("status", d.Status.String()))
	if d.Status != message.StatusDone {
		telemetry.Fail(span, d.Error)
	}
	span.End()
}
