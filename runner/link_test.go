package runner

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
)

// frames passes on the frames that arrive at the gateway's end of a link.
type frames chan message.Frame

func (f frames) HandleFrame(_ *link.Link, frame message.Frame) error {
	f <- frame
	return nil
}

func (frames) Closed(*link.Link) {}

// unreachableWorker answers no call.
type unreachableWorker struct{ fakeWorker }

func (unreachableWorker) Renew(context.Context, string, lavendercourse.Renewal) (lavendercourse.WorkerRuns, lavendercourse.Reply, error) {
	return lavendercourse.WorkerRuns{}, lavendercourse.ReplyOther, lavendercourse.ErrWorkerRefused
}

// newTestLink returns the runner's end of a link to a gateway. The gateway's end passes its frames to the given handler.
func newTestLink(t *testing.T, gateway link.Handler) *link.Link {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = link.Accept(w, req, link.Config{Handler: gateway})
	}))
	t.Cleanup(s.Close)
	l, err := link.NewDialer(nil).Dial(t.Context(), strings.TrimPrefix(s.URL, "http://"), link.Config{Handler: discard{}})
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return l
}

// Guards against an order that is lost because the runner closes a link above its limit while the order is on its way:
// the gateway must have acknowledged before that it gets no more runs started, and the runs of the gateway must have
// ended.
func TestSurplusLinkIsClosedAfterAcknowledgement(t *testing.T) {
	reports, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r, err := New(Config{
		Name: "r", MaxLinks: 1, Worker: unreachableWorker{}, Reports: reports, Register: func(*mux.Router, lavendercourse.WorkerSink) {},
		Store: emptyStore{}, Decode: decodeNothing, Clock: clock.NewBoot(), Logger: zerolog.Nop(),
	})
	assert.NilError(t, err)
	// Without its services, nothing but the test changes the runner. Calls to the worker may still be ending.
	r.Kill()
	r.mu.Lock()
	defer r.mu.Unlock()
	received := make(frames, 16)
	r.roster.Learn([]message.Peer{{Name: "g1", Address: "a1"}, {Name: "g2", Address: "a2"}})
	for _, name := range []string{"g1", "g2"} {
		assert.Assert(t, r.roster.AddLink(name))
		r.gateways[name] = &gatewayLink{link: newTestLink(t, received), enrolled: true}
	}
	surplus := r.roster.SurplusLinks()
	assert.Equal(t, len(surplus), 1)
	g := r.gateways[surplus[0]]
	isClosed := func() bool {
		select {
		case <-g.link.Done():
			return true
		default:
			return false
		}
	}
	now, run := 10*clock.Second, lavendercourse.RunID{Job: "j", Run: 1}
	list := func(ended ...lavendercourse.End) {
		_, renewal, _ := r.table.NextRenewal(now)
		status := lavendercourse.WorkerStatus{Clock: now, Incarnation: 1}
		r.table.HandleRenewalReply(now, now, renewal, lavendercourse.WorkerRuns{Status: status, Ended: ended}, lavendercourse.ReplyAccepted)
	}
	r.table.InheritReport(now, lavendercourse.WorkerReport{ID: "w", Incarnation: 1, Service: "s"})
	r.table.HandleHeartbeat(now, lavendercourse.WorkerReport{ID: "w", Incarnation: 1, Service: "s", Sequence: 1})
	list()
	assert.Assert(t, r.table.AcceptsRuns(now))
	r.retireSurplusLinks(now)
	var report message.Report
	assert.NilError(t, (<-received).DecodeBody(&report))
	assert.Assert(t, !report.AcceptsRuns)
	assert.Equal(t, report.Stamp, now)
	now += 25
	r.retireSurplusLinks(now)
	assert.Assert(t, !isClosed(), "the gateway has not acknowledged the report")
	r.table.HandleOrder(now, surplus[0], message.Order{Stamp: now, Job: "j", Runs: []lavendercourse.RunID{run}})
	g.ackedAt = g.retiringSince
	r.retireSurplusLinks(now)
	assert.Assert(t, !isClosed(), "a run of the gateway has not ended")
	now += 25
	list(lavendercourse.End{Number: 1, Run: run, Kind: lavendercourse.EndDone})
	r.retireSurplusLinks(now)
	assert.Assert(t, isClosed())
	for name, other := range r.gateways {
		assert.Assert(t, slices.Contains(surplus, name) || other.retiringSince == 0)
	}
}
