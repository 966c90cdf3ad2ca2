package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/member"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// Guards against an entry that is declared gone while it answers: a paused process of the same name went on and pulsed on
// its old link, and the pulses of its successor then counted as signs of life of the old process.
func TestPulseCountsForIncarnationOfItsLink(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	c := newCore(Config{Name: "a", Clock: now})
	c.quorum = member.NewQuorum(0, member.Config{Name: "a"})
	x := newPeerExchange(t.Context(), c)
	r := &linkHandler{core: c, exchange: x}
	server := httptest.NewServer(http.HandlerFunc(r.serveLink))
	defer server.Close()
	connect := func(inc string) (frameCollector, *link.Link) {
		peer := frameCollector{frames: make(chan message.Frame, 8)}
		l, err := link.NewDialer(nil).Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), link.Config{Handler: peer})
		assert.NilError(t, err)
		t.Cleanup(l.Close)
		assert.NilError(t, l.Send(message.TypeHello, 0, message.Hello{Kind: message.KindEntry, Name: "b", Incarnation: inc}))
		assert.Equal(t, (<-peer.frames).Type, message.TypeWelcome)
		return peer, l
	}
	pulse := func(peer frameCollector, l *link.Link, inc string) {
		assert.NilError(t, l.Send(message.TypePulse, 0, message.Pulse{Stamp: 1, Incarnation: inc}))
		assert.Equal(t, (<-peer.frames).Type, message.TypeAck)
	}
	paused, pausedLink := connect("paused")
	successor, successorLink := connect("successor")
	pulse(successor, successorLink, "")
	pulse(paused, pausedLink, "resumed")
	for range 11 {
		now.Advance(clock.Second)
		pulse(successor, successorLink, "")
	}
	contacts := map[string]member.Contact{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range []string{"a", "c"} {
		contacts[name] = c.quorum.LastContact(now.Now(), lavendercourse.Incarnation("successor"))
	}
	assert.Assert(t, !c.quorum.Gone(now.Now(), now.Now(), []string{"a", "b", "c"}, contacts), "the successor is declared gone though its pulses are acknowledged")
}

// Guards against a job that is answered as failed, owner gone, while its owner finishes it: the successor of a draining
// entry has the same name, gets the forwarded requests, and is not told whether the other process has ended.
func TestSuccessorDoesNotAnswerForPredecessor(t *testing.T) {
	c := newCore(Config{Name: "b", Clock: clock.NewManual(clock.Minute)})
	d := newDispatchService(c, nil)
	id := lavendercourse.NewJobID("predecessor", 1, "tag").String()
	for method, req := range map[string]proto.Message{
		methodSubmit: &dispatchv1.SubmitRequest{Id: id, Team: "t", Tasks: []*dispatchv1.TaskSpec{{Kind: "k"}}},
		methodStatus: &dispatchv1.StatusRequest{Id: id},
		methodCancel: &dispatchv1.CancelRequest{Id: id},
	} {
		t.Run(method, func(t *testing.T) {
			b, err := proto.Marshal(req)
			assert.NilError(t, err)
			r := d.handleForwarded(t.Context(), message.Forward{Method: method, Request: b})
			assert.Assert(t, r.Error != "", "the answer is %q", r.Response)
		})
	}
}

// Guards against two answers to one job: an entry that was off the entries list for a moment, as after an outage of the
// log, answered that the owner of a complete job is gone, and later gave the results.
func TestUnlistedOwnerIsNotGone(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	c := newCore(Config{Name: "a", Clock: now})
	c.entryNames = []string{"a", "b", "c"}
	c.quorum.Acknowledged("b", now.Now(), 0, true)
	c.refreshQuorumState(now.Now())
	ids, err := c.jobs.Reserve(now.Now(), 1)
	assert.NilError(t, err)
	d := newDispatchService(c, nil)
	req := &dispatchv1.SubmitRequest{Id: ids[0].String(), Team: "t", Tasks: []*dispatchv1.TaskSpec{{Kind: "k"}}}
	j := c.jobs.Add(now.Now(), ids[0], specOf(req))
	assigned, ok := c.jobs.AssignTask(now.Now(), j, "agent")
	assert.Assert(t, ok)
	c.jobs.TaskDone(now.Now(), assigned.Key, "agent", assigned.Attempt, nil)
	for _, step := range []struct {
		names []string
		want  dispatchv1.Reason
	}{
		{[]string{"a", "b", "c"}, dispatchv1.Reason_REASON_UNSPECIFIED},
		{[]string{"b", "c"}, dispatchv1.Reason_REASON_AGAIN},
		{[]string{"a", "b", "c"}, dispatchv1.Reason_REASON_UNSPECIFIED},
	} {
		c.entryNames = step.names
		assert.Equal(t, d.submit(t.Context(), ids[0], req).GetVerdict().GetReason(), step.want)
	}
}

// Guards against a call whose caller is asked to repeat it under its id: a call has none, and it has one answer.
func TestCallOfUnlistedEntryHasFailed(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	c := newCore(Config{Name: "a", Clock: now})
	c.entryNames = []string{"b", "c"}
	j := c.jobs.Add(now.Now(), c.jobs.NewInternalID(), job.Spec{Call: true, Tasks: make([]job.Task, 1)})
	_, ok := c.jobs.AssignTask(now.Now(), j, "agent")
	assert.Assert(t, ok)
	c.jobs.Fail(now.Now(), j, lavendercourse.ReasonTask, "")
	v, _ := newDispatchService(c, nil).finalAnswer(j)
	assert.Equal(t, v.Outcome, lavendercourse.OutcomeFailed)
	assert.Assert(t, v.MayHaveRun)
}

// Guards against tasks of a live agent that are given up: it drains while its successor, of the same name, has linked.
func TestDrainingAgentKeepsItsTasks(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	c := newCore(Config{Name: "e", Clock: now})
	r := &linkHandler{core: c, exchange: newPeerExchange(t.Context(), c)}
	server := httptest.NewServer(http.HandlerFunc(r.serveLink))
	defer server.Close()
	join := func(inc string) {
		peer := frameCollector{frames: make(chan message.Frame, 8)}
		l, err := link.NewDialer(nil).Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), link.Config{Handler: peer})
		assert.NilError(t, err)
		t.Cleanup(l.Close)
		assert.NilError(t, l.Send(message.TypeHello, 0, message.Hello{Kind: message.KindAgent, Name: "w", Incarnation: inc, Slots: 8}))
		assert.NilError(t, l.Send(message.TypeHeartbeat, 1, message.Load{Stamp: 1}))
		for _, want := range []message.Type{message.TypeWelcome, message.TypeRenew} {
			assert.Equal(t, (<-peer.frames).Type, want)
		}
	}
	join("draining")
	c.mu.Lock()
	j := c.jobs.Add(now.Now(), c.jobs.NewInternalID(), job.Spec{Tasks: make([]job.Task, 1)})
	assigned, ok := c.jobs.AssignTask(now.Now(), j, "w")
	assert.Assert(t, ok)
	attempt := placement.Attempt{Key: assigned.Key, Attempt: assigned.Attempt}
	c.inFlight[attempt] = inFlightStart{agent: "w"}
	c.fleet.Sent(now.Now(), "w", attempt, false)
	c.mu.Unlock()
	join("successor")
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, !j.Ended(), "%s", j.Verdict().Message)
}
