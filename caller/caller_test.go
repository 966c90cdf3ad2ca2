package caller_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/caller"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/schema/dispatch/v1/dispatchv1connect"
)

// fakeEntry answers each submission with the next of its verdicts and records the submitted ids.
type fakeEntry struct {
	dispatchv1connect.UnimplementedDispatchServiceHandler
	mu           sync.Mutex
	issued       int
	verdicts     []*dispatchv1.Verdict
	submittedIDs []string
}

func (f *fakeEntry) Reserve(context.Context, *connect.Request[dispatchv1.ReserveRequest]) (*connect.Response[dispatchv1.ReserveResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.issued++
	return connect.NewResponse(&dispatchv1.ReserveResponse{Ids: []string{fmt.Sprint("id", f.issued)}, ValidMs: 60_000}), nil
}

func (f *fakeEntry) Submit(_ context.Context, r *connect.Request[dispatchv1.SubmitRequest]) (*connect.Response[dispatchv1.SubmitResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submittedIDs = append(f.submittedIDs, r.Msg.GetId())
	v := f.verdicts[0]
	f.verdicts = f.verdicts[1:]
	return connect.NewResponse(&dispatchv1.SubmitResponse{Verdict: v}), nil
}

// Guards against a job that runs twice because it was resubmitted with a new id, and against a job that is abandoned or
// resubmitted with an id that can never run.
func TestSubmitKeepsOrReplacesTheID(t *testing.T) {
	complete := &dispatchv1.Verdict{Outcome: dispatchv1.Outcome_OUTCOME_COMPLETE}
	undecided := func(ran dispatchv1.Ran) *dispatchv1.Verdict {
		return &dispatchv1.Verdict{Outcome: dispatchv1.Outcome_OUTCOME_UNKNOWN, Reason: dispatchv1.Reason_REASON_AGAIN, Ran: ran}
	}
	refused := func(r dispatchv1.Reason) *dispatchv1.Verdict {
		return &dispatchv1.Verdict{Outcome: dispatchv1.Outcome_OUTCOME_REFUSED, Reason: r, Ran: dispatchv1.Ran_RAN_NOTHING}
	}
	for _, tc := range []struct {
		name     string
		id       string
		verdicts []*dispatchv1.Verdict
		wantIDs  []string
	}{
		{"answer may have been lost", "", []*dispatchv1.Verdict{undecided(dispatchv1.Ran_RAN_SOME), complete}, []string{"id1", "id1"}},
		{"first request did not reach the owner", "", []*dispatchv1.Verdict{undecided(dispatchv1.Ran_RAN_NOTHING), complete}, []string{"id1", "id2"}},
		{
			"a later request did not reach the owner", "",
			[]*dispatchv1.Verdict{undecided(dispatchv1.Ran_RAN_SOME), undecided(dispatchv1.Ran_RAN_NOTHING), complete},
			[]string{"id1", "id1", "id1"},
		},
		{"entry is stopping", "", []*dispatchv1.Verdict{refused(dispatchv1.Reason_REASON_STOPPING), complete}, []string{"id1", "id2"}},
		{"queue is full", "", []*dispatchv1.Verdict{refused(dispatchv1.Reason_REASON_FULL)}, []string{"id1"}},
		{"the caller's own id is never replaced", "mine", []*dispatchv1.Verdict{undecided(dispatchv1.Ran_RAN_NOTHING), complete}, []string{"mine", "mine"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &fakeEntry{verdicts: tc.verdicts}
			_, handler := dispatchv1connect.NewDispatchServiceHandler(f)
			server := httptest.NewUnstartedServer(handler)
			protocols := &http.Protocols{}
			protocols.SetHTTP1(true)
			protocols.SetUnencryptedHTTP2(true)
			server.Config.Protocols = protocols
			server.Start()
			defer server.Close()
			c := caller.New(caller.Config{Address: server.Listener.Addr().String(), RetryDelay: 1})
			_, err := c.Submit(t.Context(), &dispatchv1.SubmitRequest{Id: tc.id})
			assert.NilError(t, err)
			assert.DeepEqual(t, f.submittedIDs, tc.wantIDs)
		})
	}
}

// Guards against a job that keeps an id whose owner has stopped because its first request could not be sent: the caller
// would be told that the owner is gone although no entry has ever received the job (promise 8, TestRollingRestart).
func TestSubmitReplacesTheIDAfterFailedDial(t *testing.T) {
	f := &fakeEntry{verdicts: []*dispatchv1.Verdict{
		{Outcome: dispatchv1.Outcome_OUTCOME_UNKNOWN, Reason: dispatchv1.Reason_REASON_AGAIN, Ran: dispatchv1.Ran_RAN_NOTHING},
		{Outcome: dispatchv1.Outcome_OUTCOME_COMPLETE},
	}}
	_, handler := dispatchv1connect.NewDispatchServiceHandler(f)
	server := httptest.NewServer(handler)
	defer server.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	dials := 0
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		dials++
		address := server.Listener.Addr().String()
		if dials == 2 {
			// The first dial is for the id, the second for the first submission.
			address = closed.Addr().String()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	c := caller.New(caller.Config{
		Address: "balancer.invalid", BlockSize: 1, RetryDelay: 1,
		HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}},
	})
	resp, err := c.Submit(t.Context(), &dispatchv1.SubmitRequest{})
	assert.NilError(t, err)
	assert.Equal(t, resp.GetVerdict().GetOutcome(), dispatchv1.Outcome_OUTCOME_COMPLETE)
	assert.DeepEqual(t, f.submittedIDs, []string{"id1", "id2"})
}

// Guards against work that is reported as not run since its answer could not be decoded.
func TestUnreadableAnswerIsNoRefusal(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		_, _ = w.Write([]byte{0xff})
	}))
	defer server.Close()
	c := caller.New(caller.Config{Address: server.Listener.Addr().String(), RetryDelay: 1, HTTP: &http.Client{}})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	for name, send := range map[string]func() error{
		"call": func() error {
			_, err := c.Call(ctx, &dispatchv1.CallRequest{})
			return err
		},
		"submit": func() error {
			_, err := c.Submit(ctx, &dispatchv1.SubmitRequest{Id: "mine"})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) { assert.ErrorIs(t, send(), caller.ErrUnreachable) })
	}
}
