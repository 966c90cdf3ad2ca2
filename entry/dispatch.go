package entry

import (
	"context"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/message"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

const (
	methodSubmit = "submit"
	methodStatus = "status"
	methodCancel = "cancel"

	// maxCallRetries bounds how often an idempotent call is sent again.
	maxCallRetries = 2
	retryAgain     = clock.Second
)

var errInvalid = eris.New("invalid request; nothing was run")

// dispatcher serves callers. Requests about a job go to the entry that owns it.
type dispatcher struct {
	*core
	peer   *exchange
	budget *budget
}

func newDispatcher(c *core, x *exchange) *dispatcher {
	return &dispatcher{core: c, peer: x, budget: newBudget()}
}

// Reserve implements the schema.
func (d *dispatcher) Reserve(_ context.Context, req *connect.Request[dispatchv1.ReserveRequest]) (*connect.Response[dispatchv1.ReserveResponse], error) {
	n := int(req.Msg.GetCount())
	if n < 1 || n > job.MaxBlock {
		return nil, invalid("count is %d, want 1 to %d", n, job.MaxBlock)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("entry is stopping; no id was issued"))
	}
	ids, err := d.jobs.Reserve(d.clock.Now(), n)
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	resp := &dispatchv1.ReserveResponse{ValidMs: uint32(d.reserveTime())}
	for _, id := range ids {
		resp.Ids = append(resp.Ids, id.String())
	}
	return connect.NewResponse(resp), nil
}

// Submit implements the schema.
func (d *dispatcher) Submit(ctx context.Context, req *connect.Request[dispatchv1.SubmitRequest]) (*connect.Response[dispatchv1.SubmitResponse], error) {
	id, err := parseID(req.Msg.GetId())
	if err != nil {
		return nil, err
	}
	if err := checkSubmit(req.Msg); err != nil {
		return nil, err
	}
	resp := &dispatchv1.SubmitResponse{}
	v, err := d.route(ctx, id, methodSubmit, req.Msg, resp, func() { resp = d.submit(ctx, id, req.Msg) })
	if err != nil {
		return nil, err
	}
	if v != nil {
		resp = &dispatchv1.SubmitResponse{Verdict: v}
	}
	return connect.NewResponse(resp), nil
}

// Status implements the schema.
func (d *dispatcher) Status(ctx context.Context, req *connect.Request[dispatchv1.StatusRequest]) (*connect.Response[dispatchv1.StatusResponse], error) {
	id, err := parseID(req.Msg.GetId())
	if err != nil {
		return nil, err
	}
	resp := &dispatchv1.StatusResponse{}
	v, err := d.route(ctx, id, methodStatus, req.Msg, resp, func() { resp = d.status(id) })
	if err != nil {
		return nil, err
	}
	if v != nil {
		resp = &dispatchv1.StatusResponse{Verdict: v}
	}
	return connect.NewResponse(resp), nil
}

// Cancel implements the schema.
func (d *dispatcher) Cancel(ctx context.Context, req *connect.Request[dispatchv1.CancelRequest]) (*connect.Response[dispatchv1.CancelResponse], error) {
	id, err := parseID(req.Msg.GetId())
	if err != nil {
		return nil, err
	}
	resp := &dispatchv1.CancelResponse{}
	v, err := d.route(ctx, id, methodCancel, req.Msg, resp, func() { resp = d.cancel(id) })
	if err != nil {
		return nil, err
	}
	if v != nil {
		resp = &dispatchv1.CancelResponse{Verdict: v}
	}
	return connect.NewResponse(resp), nil
}

// Call implements the schema.
func (d *dispatcher) Call(ctx context.Context, req *connect.Request[dispatchv1.CallRequest]) (*connect.Response[dispatchv1.CallResponse], error) {
	m := req.Msg
	if m.GetTeam() == "" || m.GetKind() == "" {
		return nil, invalid("a call needs a team and a kind")
	}
	if n := proto.Size(m); n > message.MaxData {
		return nil, invalid("the call has %d bytes, want at most %d", n, message.MaxData)
	}
	d.budget.call()
	var last *lavendercourse.Verdict
	for try := 0; ; try++ {
		v, result := d.call(ctx, m)
		if last != nil && !v.Ran {
			// The refusal of a retry must not hide that an earlier attempt ran.
			v = *last
		}
		last = &v
		again := m.GetIdempotent() && v.Outcome == lavendercourse.Failed && v.Reason != lavendercourse.ReasonDeadline
		if !again || try >= maxCallRetries || ctx.Err() != nil || !d.budget.retry() {
			return connect.NewResponse(&dispatchv1.CallResponse{Verdict: verdictOf(v), Result: result}), nil
		}
	}
}

// forwarded answers a request that another entry forwarded. It is never forwarded again.
func (d *dispatcher) forwarded(ctx context.Context, f message.Forward) message.Reply {
	var req interface {
		proto.Message
		GetId() string
	}
	switch f.Method {
	case methodSubmit:
		req = &dispatchv1.SubmitRequest{}
	case methodStatus:
		req = &dispatchv1.StatusRequest{}
	case methodCancel:
		req = &dispatchv1.CancelRequest{}
	default:
		return message.Reply{Error: "unknown method " + f.Method}
	}
	if err := proto.Unmarshal(f.Request, req); err != nil {
		return message.Reply{Error: err.Error()}
	}
	id, err := lavendercourse.ParseJobID(req.GetId())
	if err != nil {
		return message.Reply{Error: err.Error()}
	}
	ctx, span := d.cfg.Tracer.Continue(ctx, f.Trace, trace.SpanKindServer, "forward "+f.Method)
	defer span.End()
	var resp proto.Message
	switch m := req.(type) {
	case *dispatchv1.SubmitRequest:
		resp = d.submit(ctx, id, m)
	case *dispatchv1.StatusRequest:
		resp = d.status(id)
	default:
		resp = d.cancel(id)
	}
	return replyOf(resp)
}

// replyOf encodes a response. One that does not fit into a frame is replaced by a verdict that makes no claim, since the
// requester would otherwise wait for it in vain.
func replyOf(resp proto.Message) message.Reply {
	b, err := proto.Marshal(resp)
	if err != nil {
		return message.Reply{Error: err.Error()}
	}
	if len(b) <= message.MaxData {
		return message.Reply{Response: b}
	}
	return replyOf(&dispatchv1.SubmitResponse{Verdict: verdictOf(tooLarge(len(b)))})
}

// route answers here if this entry owns the job, and asks the owner otherwise. It returns a verdict if the owner has
// not answered.
func (d *dispatcher) route(ctx context.Context, id lavendercourse.JobID, method string, req, resp proto.Message, here func()) (*dispatchv1.Verdict, error) {
	if d.owns(id) {
		here()
		return nil, nil
	}
	b, err := proto.Marshal(req)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	r, err := d.peer.forward(ctx, id.Incarnation(), message.Forward{Method: method, Request: b})
	if err == nil && r.Error == "" {
		if err := proto.Unmarshal(r.Response, resp); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		return nil, nil
	}
	v := d.orphan(ctx, id)
	if v.Outcome == lavendercourse.Unknown && eris.Is(err, errUnsent) {
		// A caller that has sent this id only once may take another one.
		v.Ran = false
	}
	return verdictOf(v), nil
}

// orphan answers for a job whose owner does not.
func (d *dispatcher) orphan(ctx context.Context, id lavendercourse.JobID) lavendercourse.Verdict {
	gone, known := d.peer.fate(ctx, id.Incarnation())
	switch {
	case gone && !known:
		return lavendercourse.NoClaim(lavendercourse.ReasonExpired, "no entry knows the owner of the id", 0)
	case gone:
		d.declare(id.Incarnation())
		return ownerGone()
	default:
		return lavendercourse.NoClaim(lavendercourse.ReasonAgain, "the owner of the job does not answer; ask again with the same id", retryAgain)
	}
}

// owns tells whether this process is, or was, the incarnation in the id.
func (d *dispatcher) owns(id lavendercourse.JobID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, past := d.past[id.Incarnation()]
	return past || id.Incarnation() == d.jobs.Incarnation()
}

func (d *dispatcher) submit(ctx context.Context, id lavendercourse.JobID, m *dispatchv1.SubmitRequest) *dispatchv1.SubmitResponse {
	d.mu.Lock()
	j, v := d.accept(ctx, id, specOf(m))
	if v != nil {
		d.mu.Unlock()
		return &dispatchv1.SubmitResponse{Verdict: verdictOf(*v)}
	}
	wait := d.wait(j)
	d.mu.Unlock()
	select {
	case <-wait:
	case <-ctx.Done():
		return &dispatchv1.SubmitResponse{Verdict: verdictOf(stillRunning())}
	}
	verdict, results := d.answer(j)
	return &dispatchv1.SubmitResponse{Verdict: verdictOf(verdict), Results: results}
}

// accept finds or starts a job. It returns a verdict if there is no job to wait for.
func (d *dispatcher) accept(ctx context.Context, id lavendercourse.JobID, spec job.Spec) (*job.Job, *lavendercourse.Verdict) {
	now := d.clock.Now()
	j, v, err := d.jobs.Check(now, id, spec.Digest)
	switch {
	case eris.Is(err, job.ErrOwner):
		gone := ownerGone()
		return nil, &gone
	case v != nil:
		d.refused(spec, *v)
		return nil, v
	case j != nil:
		d.joinJob(ctx, j)
		return j, nil
	}
	if v := d.admit(now, spec); v != nil {
		d.jobs.Reject(now, id, spec, *v)
		d.refused(spec, *v)
		return nil, v
	}
	if spec.Deadline > 0 {
		spec.Deadline += now
	}
	return d.enqueue(ctx, now, id, spec), nil
}

// admit tells why a new job is refused, or returns nil.
func (d *dispatcher) admit(now clock.Millis, spec job.Spec) *lavendercourse.Verdict {
	var v lavendercourse.Verdict
	switch {
	case d.stopping:
		v = lavendercourse.Refusal(lavendercourse.ReasonStopping, "this entry is stopping", 1)
	case !d.mayAnswer(now):
		v = lavendercourse.Refusal(lavendercourse.ReasonAgain, "this entry has no quorum lease", retryAgain)
	case !d.fits(spec):
		v = lavendercourse.Refusal(lavendercourse.ReasonImpossible, "a task declares more memory or cores than any worker has", 0)
	case d.late(now, spec):
		v = lavendercourse.Refusal(lavendercourse.ReasonDeadline, "the work that waits already takes longer than the deadline", retryAgain)
	default:
		return d.queueOf(spec.Call).Admit(spec.Team, len(spec.Tasks))
	}
	return &v
}

// late tells whether the deadline passes before the team's own work that goes first could have ended, even if the team
// had all slots to itself.
func (d *dispatcher) late(now clock.Millis, spec job.Spec) bool {
	slots := d.fleet.Capacity()
	if spec.Deadline == 0 || spec.Call || slots == 0 {
		return false
	}
	ahead := d.tasks.Ahead(now, d.item(now, lavendercourse.JobID{}, spec))
	return ahead/clock.Millis(slots) > spec.Deadline
}

// item describes a job for the queue, with the mean run time expected of its tasks.
func (d *dispatcher) item(now clock.Millis, id lavendercourse.JobID, spec job.Spec) *admission.Item {
	var run clock.Millis
	for _, t := range spec.Tasks {
		run += d.runs.Expect(t.Kind, t.Declared)
	}
	return admission.NewItem(now, id, spec.Team, spec.Class, len(spec.Tasks), run/clock.Millis(len(spec.Tasks)))
}

func (d *dispatcher) fits(spec job.Spec) bool {
	for _, t := range spec.Tasks {
		if !d.fleet.Fits(wantOfTask(t)) {
			return false
		}
	}
	return true
}

func (d *dispatcher) enqueue(ctx context.Context, now clock.Millis, id lavendercourse.JobID, spec job.Spec) *job.Job {
	j := d.jobs.Add(now, id, spec)
	item := d.item(now, id, spec)
	d.items[id] = item
	d.beginJob(ctx, j)
	d.queueOf(spec.Call).Push(item)
	d.pump(now)
	return j
}

// wait returns a channel that is closed once the job has ended.
func (d *dispatcher) wait(j *job.Job) <-chan struct{} {
	ch := d.waiters[j.ID()]
	if ch == nil {
		ch = make(chan struct{})
		if j.Ended() {
			close(ch)
			return ch
		}
		d.waiters[j.ID()] = ch
	}
	return ch
}

// answer returns the whole answer of an ended job. The quorum lease is checked at the last moment: without it, another
// entry may have declared this one gone.
func (d *dispatcher) answer(j *job.Job) (lavendercourse.Verdict, [][]byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.refresh(now)
	if j.ID().Incarnation() != d.jobs.Incarnation() || !d.mayAnswer(now) {
		if j.Verdict().Outcome == lavendercourse.Refused {
			return j.Verdict(), nil
		}
		return ownerGone(), nil
	}
	return j.Verdict(), j.Results()
}

func (d *dispatcher) status(id lavendercourse.JobID) *dispatchv1.StatusResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Without its quorum lease the entry must not tell how a job ended: another one may have declared it gone.
	d.refresh(d.clock.Now())
	j, err := d.jobs.Find(id)
	switch {
	case eris.Is(err, job.ErrOwner):
		return &dispatchv1.StatusResponse{Verdict: verdictOf(ownerGone())}
	case err != nil:
		v := lavendercourse.NoClaim(lavendercourse.ReasonExpired, "the job is not known here", 0)
		return &dispatchv1.StatusResponse{Verdict: verdictOf(v)}
	}
	if j.Ended() && !d.mayAnswer(d.clock.Now()) {
		return &dispatchv1.StatusResponse{Verdict: verdictOf(noLease())}
	}
	resp := &dispatchv1.StatusResponse{Waiting: uint32(j.Waiting()), Running: uint32(j.Sent()), Finished: uint32(j.Done())}
	if j.Ended() {
		resp.Verdict = verdictOf(j.Verdict())
	}
	return resp
}

func (d *dispatcher) cancel(id lavendercourse.JobID) *dispatchv1.CancelResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.refresh(now)
	j, err := d.jobs.Find(id)
	switch {
	case eris.Is(err, job.ErrOwner):
		return &dispatchv1.CancelResponse{Verdict: verdictOf(ownerGone())}
	case err != nil:
		v := lavendercourse.NoClaim(lavendercourse.ReasonExpired, "the job is not known here", 0)
		return &dispatchv1.CancelResponse{Verdict: verdictOf(v)}
	}
	if j.Ended() && !d.mayAnswer(now) {
		return &dispatchv1.CancelResponse{Verdict: verdictOf(noLease())}
	}
	d.jobs.Fail(now, j, lavendercourse.ReasonCancelled, "the job was cancelled")
	d.settle()
	d.pump(now)
	return &dispatchv1.CancelResponse{Verdict: verdictOf(j.Verdict())}
}

// call sends a call once, as a job of one task, and waits for its answer.
func (d *dispatcher) call(ctx context.Context, m *dispatchv1.CallRequest) (lavendercourse.Verdict, []byte) {
	d.mu.Lock()
	now := d.clock.Now()
	spec := job.Spec{
		Team: m.GetTeam(), Class: lavendercourse.Quick, Call: true, Deadline: clock.Millis(m.GetDeadlineMs()),
		Tasks: []job.Task{{Kind: m.GetKind(), Payload: m.GetPayload()}},
	}
	if v := d.admit(now, spec); v != nil {
		d.refused(spec, *v)
		d.mu.Unlock()
		return *v, nil
	}
	if spec.Deadline > 0 {
		spec.Deadline += now
	}
	j := d.enqueue(ctx, now, d.jobs.Internal(), spec)
	wait := d.wait(j)
	d.mu.Unlock()
	select {
	case <-wait:
	case <-ctx.Done():
		d.cancel(j.ID())
	}
	v, results := d.answer(j)
	if len(results) == 0 {
		return v, nil
	}
	return v, results[0]
}

func (d *dispatcher) reserveTime() clock.Millis {
	if d.cfg.Jobs.Reserve > 0 {
		return d.cfg.Jobs.Reserve
	}
	return job.DefaultReserve
}
