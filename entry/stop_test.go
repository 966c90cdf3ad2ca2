package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

var errLogDown = eris.New("log is down")

// unavailableLog is a log whose calls all fail.
type unavailableLog struct{}

func (unavailableLog) Append(context.Context, string, []byte) (uint64, error) { return 0, errLogDown }

func (unavailableLog) Read(context.Context, string, uint64, int) (lavendercourse.Page, error) {
	return lavendercourse.Page{}, errLogDown
}

// startEntry starts an entry whose log is down, and whose port for callers is drained when it stops.
func startEntry(t *testing.T, name string, seeds ...string) *Entry {
	t.Helper()
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	links, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	policy, err := placement.NewPolicy("")
	assert.NilError(t, err)
	e, err := New(Config{
		Name: name, CallerListener: callers, LinkListener: links, Advertise: links.Addr().String(), SeedAddresses: seeds,
		Log: unavailableLog{}, Clock: clock.NewSystem(), Policy: policy,
	})
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	return e
}

// slowConn delays each write, so that frames are on their way for some time.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return c.Conn.Write(b)
}

func dialSlowly(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return slowConn{conn}, err
}

// forwardingEntry is an entry that acknowledges pulses, and forwards submissions until the other entry announces that it
// leaves.
type forwardingEntry struct {
	mu       sync.Mutex
	left     bool
	pending  map[uint64]bool
	verdicts []*dispatchv1.Verdict
}

func (e *forwardingEntry) HandleFrame(l *link.Link, f message.Frame) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Type {
	case message.TypePulse:
		var p message.Pulse
		if err := f.DecodeBody(&p); err != nil {
			return err
		}
		return l.Send(message.TypeAck, 0, message.Ack{Stamp: p.Stamp})
	case message.TypeLeave:
		e.left = true
		return l.Send(message.TypeReply, f.Number, message.Reply{})
	case message.TypeReply:
		var r message.Reply
		if err := f.DecodeBody(&r); err != nil {
			return err
		}
		var resp dispatchv1.SubmitResponse
		if err := proto.Unmarshal(r.Response, &resp); err != nil {
			return err
		}
		delete(e.pending, f.Number)
		e.verdicts = append(e.verdicts, resp.GetVerdict())
	}
	return nil
}

func (e *forwardingEntry) Closed(*link.Link) {}

// forward forwards the submission with the given id. It returns false once none may be sent any more.
func (e *forwardingEntry) forward(l *link.Link, number uint64, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, err := proto.Marshal(&dispatchv1.SubmitRequest{Id: id, Team: "t", Tasks: []*dispatchv1.TaskSpec{{Kind: "k"}}})
	if e.left || err != nil || l.Send(message.TypeForward, number, message.Forward{Method: methodSubmit, Request: b}) != nil {
		return false
	}
	e.pending[number] = true
	return true
}

// Guards against closing the links in Stop while submissions that other entries have forwarded are on their way. They
// would get no reply, and their callers would be told after 10 s that the owner is gone and that the job may have run.
func TestStopAnswersForwardsInFlight(t *testing.T) {
	e := startEntry(t, "a")
	peer := &forwardingEntry{pending: map[uint64]bool{}}
	l, err := link.NewDialer(dialSlowly).Dial(t.Context(), e.core.cfg.Advertise, link.Config{Handler: peer})
	assert.NilError(t, err)
	defer l.Close()
	assert.NilError(t, l.Send(message.TypeHello, 0, message.Hello{Kind: message.KindEntry, Name: "b", Incarnation: "inc-b"}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.core.mu.Lock()
		defer e.core.mu.Unlock()
		if len(e.core.entryNames) == 2 && e.core.holdsLease(e.core.clock.Now()) {
			return poll.Success()
		}
		return poll.Continue("the entry does not hold its lease yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
	e.core.mu.Lock()
	ids, err := e.core.jobs.Reserve(e.core.clock.Now(), 1000)
	e.core.stopping = true
	e.core.mu.Unlock()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	stopped := make(chan error, 1)
	time.AfterFunc(200*time.Millisecond, func() { stopped <- e.Stop(ctx) })
	for i, id := range ids {
		if !peer.forward(l, uint64(i), id.String()) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, <-stopped)
	<-l.Done()
	peer.mu.Lock()
	defer peer.mu.Unlock()
	assert.Assert(t, len(peer.verdicts) > 0)
	for _, v := range peer.verdicts {
		assert.Equal(t, v.GetReason(), dispatchv1.Reason_REASON_STOPPING)
		assert.Equal(t, v.GetRan(), dispatchv1.Ran_RAN_NOTHING)
	}
	assert.Equal(t, len(peer.pending), 0, "forwarded submissions without a reply")
}

// Guards against a submission that is taken for one that may have run although it was not sent: the caller would keep its
// id, and be told after 10 s that the owner is gone (seen in 1 of 4 copies of TestRollingRestart).
func TestForwardThatIsNotSentHasNotRun(t *testing.T) {
	scenarios := []struct {
		name string
		end  func(x *peerExchange, l *link.Link) error
	}{
		{"link closed", func(_ *peerExchange, l *link.Link) error {
			l.Close()
			return nil
		}},
		{"owner leaves", func(x *peerExchange, l *link.Link) error {
			return x.handleFrame(l, "b", message.Frame{Type: message.TypeLeave, Number: 1})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = link.Accept(w, r, link.Config{Handler: frameCollector{make(chan message.Frame, 8)}})
			}))
			defer server.Close()
			c := newCore(Config{Name: "a", Clock: clock.NewManual(clock.Minute)})
			x := newPeerExchange(t.Context(), c)
			l, err := link.NewDialer(nil).Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), link.Config{Handler: frameCollector{}})
			assert.NilError(t, err)
			defer l.Close()
			c.entryNames = []string{"a", "b"}
			c.peers["b"] = l
			c.members.SetOwner("b", "owner")
			assert.NilError(t, s.end(x, l))
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			resp, err := newDispatchService(c, x).Submit(ctx, connect.NewRequest(&dispatchv1.SubmitRequest{
				Id: lavendercourse.NewJobID("owner", 1, "tag").String(), Team: "t", Tasks: []*dispatchv1.TaskSpec{{Kind: "k"}},
			}))
			assert.NilError(t, err)
			assert.Equal(t, resp.Msg.GetVerdict().GetReason(), dispatchv1.Reason_REASON_AGAIN)
			assert.Equal(t, resp.Msg.GetVerdict().GetRan(), dispatchv1.Ran_RAN_NOTHING)
		})
	}
}
