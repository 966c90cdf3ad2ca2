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

	// maxCallRetries is the maximum number of retries of an idempotent call.
	maxCallRetries = 2
	// retryDelay is the time in ms after which callers are told to try again.
	retryDelay = clock.Second
	// ownerAnswerTimeout bounds the wait for the owner's answer to a request that it answers at once, in ms. A submission
	// has no such bound, since it is answered when the job has ended.
	ownerAnswerTimeout = 500 * clock.Millis(1)
)

var errInvalid = eris.New("invalid request; nothing was run")

// dispatchService implements the RPC service for callers. A request about a job is answered by the entry that owns it.
type dispatchService struct {
	*core
	exchange *peerExchange
	retries  *retryBudget
}

func newDispatchService(c *core, x *peerExchange) *dispatchService {
	return &dispatchService{core: c, exchange: x, retries: newRetryBudget()}
}

// Reserve implements dispatchv1connect.DispatchServiceHandler.
func (d *dispatchService) Reserve(_ context.Context, req *connect.Request[dispatchv1.ReserveRequest]) (*connect.Response[dispatchv1.ReserveResponse], error) {
	n := int(req.Msg.GetCount())
	if n < 1 || n > job.MaxBlockSize {
		return nil, invalidArgument("count is %d, want 1 to %d", n, job.MaxBlockSize)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("entry is stopping; no id was issued"))
	}
	now := d.clock.Now()
	d.refreshQuorumState(now)
	if !d.holdsLease(now) {
		// A majority has not heard of the incarnation yet. The other entries would take it for one that is gone, and
		// answer for its jobs.
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("this entry has no quorum lease; no id was issued"))
	}
	ids, err := d.jobs.Reserve(now, n)
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	resp := &dispatchv1.ReserveResponse{ValidMs: uint32(d.reservationTimeout())}
	for _, id := range ids {
		resp.Ids = append(resp.Ids, id.String())
	}
	return connect.NewResponse(resp), nil
}

// Submit implements dispatchv1connect.DispatchServiceHandler.
func (d *dispatchService) Submit(ctx context.Context, req *connect.Request[dispatchv1.SubmitRequest]) (*connect.Response[dispatchv1.SubmitResponse], error) {
	id, err := parseID(req.Msg.GetId())
	if err != nil {
		return nil, err
	}
	if err := validateSubmit(req.Msg); err != nil {
		return nil, err
	}
	resp := &dispatchv1.SubmitResponse{}
	v, err := d.answerOrForward(ctx, id, methodSubmit, req.Msg, resp, func() { resp = d.submit(ctx, id, req.Msg) })
	if err != nil {
		return nil, err
	}
	if v != nil {
		resp = &dispatchv1.SubmitResponse{Verdict: v}
	}
	return connect.NewResponse(resp), nil
}

// Status implements dispatchv1connect.DispatchServiceHandler.
func (d *dispatchService) Status(ctx context.Context, req *connect.Request[dispatchv1.StatusRequest]) (*connect.Response[dispatchv1.StatusResponse], error) {
	id, err := parseID(req.Msg.GetId())
	if err != nil {
		return nil, err
	}
	resp := &dispatchv1.StatusResponse{}
	v, err := d.answerOrForward(ctx, id, methodStatus, req.Msg, resp, func() { resp = d.status(id) })
	if err != nil {
		return nil, err
	}
	if v != nil {
		resp = &dispatchv1.StatusResponse{Verdict: v}
	}
	return connect.NewResponse(resp), nil
}

// Cancel implements dispatchv1connect.DispatchServiceHandler.
func (d *dispatchService) Cancel(ctx context.Context, req *connect.Request[dispatchv1.CancelRequest]) (*connect.Response[dispatchv1.CancelResponse], error) {
	id, err := parseID(req.Msg.GetId())
	if err != nil {
		return nil, err
	}
	resp := &dispatchv1.CancelResponse{}
	v, err := d.answerOrForward(ctx, id, methodCancel, req.Msg, resp, func() { resp = d.cancel(id) })
	if err != nil {
		return nil, err
	}
	if v != nil {
		resp = &dispatchv1.CancelResponse{Verdict: v}
	}
	return connect.NewResponse(resp), nil
}

// Call implements dispatchv1connect.DispatchServiceHandler.
func (d *dispatchService) Call(ctx context.Context, req *connect.Request[dispatchv1.CallRequest]) (*connect.Response[dispatchv1.CallResponse], error) {
	m := req.Msg
	if m.GetTeam() == "" || m.GetKind() == "" {
		return nil, invalidArgument("a call needs a team and a kind")
	}
	if n := proto.Size(m); n > message.MaxPayloadSize {
		return nil, invalidArgument("the call has %d bytes, want at most %d", n, message.MaxPayloadSize)
	}
	d.retries.creditCall()
	var last *lavendercourse.Verdict
	for try := 0; ; try++ {
		v, result := d.tryCall(ctx, m)
		if last != nil && !v.MayHaveRun {
			// A retry that is refused must not hide that an earlier attempt ran.
			v = *last
		}
		last = &v
		retryable := m.GetIdempotent() && v.Outcome == lavendercourse.OutcomeFailed && v.Reason != lavendercourse.ReasonDeadline
		if !retryable || try >= maxCallRetries || ctx.Err() != nil || !d.retries.takeRetry() {
			return connect.NewResponse(&dispatchv1.CallResponse{Verdict: verdictOf(v), Result: result}), nil
		}
	}
}

// handleForwarded answers a request that another entry forwarded. It never forwards the request again.
func (d *dispatchService) handleForwarded(ctx context.Context, f message.Forward) message.Reply {
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
	if !d.owns(id) {
		// Another process of this name issued the id. That this one has taken its place does not prove that it has ended.
		return message.Reply{Error: "this process did not issue the id"}
	}
	ctx, span := d.cfg.Tracer.StartFromRemote(ctx, f.Trace, trace.SpanKindServer, "forward "+f.Method)
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
	return encodeReply(resp)
}

// encodeReply encodes a response. A response that does not fit into a frame is replaced by a verdict with an unknown
// outcome, since the requesting entry would otherwise never get a reply.
func encodeReply(resp proto.Message) message.Reply {
	b, err := proto.Marshal(resp)
	if err != nil {
		return message.Reply{Error: err.Error()}
	}
	if len(b) <= message.MaxPayloadSize {
		return message.Reply{Response: b}
	}
	return encodeReply(&dispatchv1.SubmitResponse{Verdict: verdictOf(responseTooLargeVerdict(len(b)))})
}

// answerOrForward calls answerHere if this entry owns the job, and otherwise forwards the request to the owner and
// decodes its response into resp. If the owner did not answer, it returns a verdict instead.
func (d *dispatchService) answerOrForward(ctx context.Context, id lavendercourse.JobID, method string, req, resp proto.Message, answerHere func()) (*dispatchv1.Verdict, error) {
	if d.owns(id) {
		answerHere()
		return nil, nil
	}
	b, err := proto.Marshal(req)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	forwardCtx := ctx
	if method != methodSubmit {
		var cancel context.CancelFunc
		forwardCtx, cancel = context.WithTimeout(ctx, ownerAnswerTimeout.Duration())
		defer cancel()
	}
	r, err := d.exchange.forward(forwardCtx, id.Incarnation(), message.Forward{Method: method, Request: b})
	if err == nil && r.Error == "" {
		if err := proto.Unmarshal(r.Response, resp); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		return nil, nil
	}
	v := d.ownerSilentVerdict(ctx, id, err == nil)
	if v.Outcome == lavendercourse.OutcomeUnknown && eris.Is(err, errNotSent) {
		// The request did not reach the owner. A caller that has sent this id only once may submit under a new id.
		v.MayHaveRun = false
	}
	return verdictOf(v), nil
}

// ownerSilentVerdict returns the verdict on a job whose owner did not answer. Replaced tells whether another process of
// the owner's name answered instead.
func (d *dispatchService) ownerSilentVerdict(ctx context.Context, id lavendercourse.JobID, replaced bool) lavendercourse.Verdict {
	gone, known := d.exchange.ownerStatus(ctx, id.Incarnation(), replaced)
	switch {
	case gone && !known:
		return lavendercourse.UnknownVerdict(lavendercourse.ReasonExpired, "no entry knows the owner of the id", 0)
	case gone:
		d.logOwnerGone(id.Incarnation())
		return ownerGoneVerdict()
	default:
		return lavendercourse.UnknownVerdict(lavendercourse.ReasonAgain, "the owner of the job does not answer; ask again with the same id", retryDelay)
	}
}

// owns reports whether the incarnation in the id is the current or an earlier one of this process.
func (d *dispatchService) owns(id lavendercourse.JobID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, past := d.pastIncarnations[id.Incarnation()]
	return past || id.Incarnation() == d.jobs.Incarnation()
}

func (d *dispatchService) submit(ctx context.Context, id lavendercourse.JobID, m *dispatchv1.SubmitRequest) *dispatchv1.SubmitResponse {
	d.mu.Lock()
	j, v := d.findOrAddJob(ctx, id, specOf(m))
	if v != nil {
		d.mu.Unlock()
		return &dispatchv1.SubmitResponse{Verdict: verdictOf(*v)}
	}
	done := d.jobDone(j)
	d.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return &dispatchv1.SubmitResponse{Verdict: verdictOf(stillRunningVerdict())}
	}
	verdict, results := d.finalAnswer(j)
	return &dispatchv1.SubmitResponse{Verdict: verdictOf(verdict), Results: results}
}

// findOrAddJob returns the job with the given id, which it adds if it is new. It returns a verdict if there is no job
// to wait for.
func (d *dispatchService) findOrAddJob(ctx context.Context, id lavendercourse.JobID, spec job.Spec) (*job.Job, *lavendercourse.Verdict) {
	now := d.clock.Now()
	j, v, err := d.jobs.Check(now, id, spec.Digest)
	switch {
	case eris.Is(err, job.ErrOtherIncarnation):
		gone := ownerGoneVerdict()
		return nil, &gone
	case v != nil:
		d.recordRefusal(spec, *v)
		return nil, v
	case j != nil:
		d.linkJobSpan(ctx, j)
		return j, nil
	}
	if v := d.checkAdmission(now, spec); v != nil {
		d.jobs.Reject(now, id, spec, *v)
		d.recordRefusal(spec, *v)
		return nil, v
	}
	if spec.Deadline > 0 {
		spec.Deadline += now
	}
	return d.enqueue(ctx, now, id, spec), nil
}

// checkAdmission returns the verdict that refuses a new job, or nil if the job is admitted.
func (d *dispatchService) checkAdmission(now clock.Millis, spec job.Spec) *lavendercourse.Verdict {
	var v lavendercourse.Verdict
	switch {
	case d.stopping:
		v = lavendercourse.Refusal(lavendercourse.ReasonStopping, "this entry is stopping", 1)
	case !d.holdsLease(now):
		v = lavendercourse.Refusal(lavendercourse.ReasonAgain, "this entry has no quorum lease", retryDelay)
	case !d.fitsSomeWorker(spec):
		v = lavendercourse.Refusal(lavendercourse.ReasonImpossible, "a task declares more memory or cores than any worker has", 0)
	case d.missesDeadline(now, spec):
		v = lavendercourse.Refusal(lavendercourse.ReasonDeadline, "the work that waits already takes longer than the deadline", retryDelay)
	default:
		return d.queueFor(spec.Call).Admit(spec.Team, len(spec.Tasks))
	}
	return &v
}

// missesDeadline reports whether the deadline would pass before the team's own work that is ahead of the job could end,
// even if the team had all slots to itself.
func (d *dispatchService) missesDeadline(now clock.Millis, spec job.Spec) bool {
	slots := d.fleet.Capacity()
	if spec.Deadline == 0 || spec.Call || slots == 0 {
		return false
	}
	ahead := d.taskQueue.Ahead(now, d.newQueueItem(now, lavendercourse.JobID{}, spec))
	return ahead/clock.Millis(slots) > spec.Deadline
}

// newQueueItem returns the queue item of a job, with the expected mean run time of its tasks in ms.
func (d *dispatchService) newQueueItem(now clock.Millis, id lavendercourse.JobID, spec job.Spec) *admission.Item {
	var run clock.Millis
	for _, t := range spec.Tasks {
		run += d.runTimes.Expect(t.Kind, t.DeclaredRun)
	}
	return admission.NewItem(now, id, spec.Team, spec.Class, len(spec.Tasks), run/clock.Millis(len(spec.Tasks)))
}

func (d *dispatchService) fitsSomeWorker(spec job.Spec) bool {
	for _, t := range spec.Tasks {
		if !d.fleet.Fits(taskRequirements(t)) {
			return false
		}
	}
	return true
}

func (d *dispatchService) enqueue(ctx context.Context, now clock.Millis, id lavendercourse.JobID, spec job.Spec) *job.Job {
	j := d.jobs.Add(now, id, spec)
	item := d.newQueueItem(now, id, spec)
	d.queueItems[id] = item
	d.startJobSpan(ctx, j)
	d.queueFor(spec.Call).Push(item)
	d.startWaiting(now)
	return j
}

// jobDone returns a channel that is closed when the job has ended.
func (d *dispatchService) jobDone(j *job.Job) <-chan struct{} {
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

// finalAnswer returns the verdict and the results of an ended job. It checks the quorum lease again immediately before:
// once the lease has expired, another entry may have declared this one gone. An entry that is off the entries list keeps
// its incarnation and may be listed again, so its jobs are undecided until then. Calls have no id to ask again with.
func (d *dispatchService) finalAnswer(j *job.Job) (lavendercourse.Verdict, [][]byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.refreshQuorumState(now)
	ended := j.ID().Incarnation() != d.jobs.Incarnation()
	switch {
	case !ended && d.holdsLease(now):
		return j.Verdict(), j.Results()
	case j.Verdict().Outcome == lavendercourse.OutcomeRefused:
		return j.Verdict(), nil
	case ended || j.Spec().Call:
		return ownerGoneVerdict(), nil
	default:
		return noLeaseVerdict(), nil
	}
}

func (d *dispatchService) status(id lavendercourse.JobID) *dispatchv1.StatusResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Without the quorum lease the outcome must not be reported, since another entry may have declared this one gone.
	d.refreshQuorumState(d.clock.Now())
	j, err := d.jobs.Find(id)
	switch {
	case eris.Is(err, job.ErrOtherIncarnation):
		return &dispatchv1.StatusResponse{Verdict: verdictOf(ownerGoneVerdict())}
	case err != nil:
		v := lavendercourse.UnknownVerdict(lavendercourse.ReasonExpired, "the job is not known here", 0)
		return &dispatchv1.StatusResponse{Verdict: verdictOf(v)}
	}
	if j.Ended() && !d.holdsLease(d.clock.Now()) {
		return &dispatchv1.StatusResponse{Verdict: verdictOf(noLeaseVerdict())}
	}
	resp := &dispatchv1.StatusResponse{Waiting: uint32(j.Waiting()), Running: uint32(j.Sent()), Finished: uint32(j.Done())}
	if j.Ended() {
		resp.Verdict = verdictOf(j.Verdict())
	}
	return resp
}

func (d *dispatchService) cancel(id lavendercourse.JobID) *dispatchv1.CancelResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.refreshQuorumState(now)
	j, err := d.jobs.Find(id)
	switch {
	case eris.Is(err, job.ErrOtherIncarnation):
		return &dispatchv1.CancelResponse{Verdict: verdictOf(ownerGoneVerdict())}
	case err != nil:
		v := lavendercourse.UnknownVerdict(lavendercourse.ReasonExpired, "the job is not known here", 0)
		return &dispatchv1.CancelResponse{Verdict: verdictOf(v)}
	}
	if j.Ended() && !d.holdsLease(now) {
		return &dispatchv1.CancelResponse{Verdict: verdictOf(noLeaseVerdict())}
	}
	d.jobs.Fail(now, j, lavendercourse.ReasonCancelled, "the job was cancelled")
	d.finishEndedJobs()
	d.startWaiting(now)
	return &dispatchv1.CancelResponse{Verdict: verdictOf(j.Verdict())}
}

// tryCall makes one attempt at a call, as a job with a single task, and waits for the result.
func (d *dispatchService) tryCall(ctx context.Context, m *dispatchv1.CallRequest) (lavendercourse.Verdict, []byte) {
	d.mu.Lock()
	now := d.clock.Now()
	spec := job.Spec{
		Team: m.GetTeam(), Class: lavendercourse.ClassQuick, Call: true, Deadline: clock.Millis(m.GetDeadlineMs()),
		Tasks: []job.Task{{Kind: m.GetKind(), Payload: m.GetPayload()}},
	}
	if v := d.checkAdmission(now, spec); v != nil {
		d.recordRefusal(spec, *v)
		d.mu.Unlock()
		return *v, nil
	}
	if spec.Deadline > 0 {
		spec.Deadline += now
	}
	j := d.enqueue(ctx, now, d.jobs.NewInternalID(), spec)
	done := d.jobDone(j)
	d.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		d.cancel(j.ID())
	}
	v, results := d.finalAnswer(j)
	if len(results) == 0 {
		return v, nil
	}
	return v, results[0]
}

func (d *dispatchService) reservationTimeout() clock.Millis {
	if d.cfg.Jobs.ReservationTimeout > 0 {
		return d.cfg.Jobs.ReservationTimeout
	}
	return job.DefaultReservationTimeout
}
