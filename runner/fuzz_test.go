package runner

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/route"
)

// fakeWorker accepts everything and runs nothing.
type fakeWorker struct{}

func (fakeWorker) Start(context.Context, string, lavendercourse.Order) (lavendercourse.WorkerStatus, lavendercourse.Reply, error) {
	return lavendercourse.WorkerStatus{Clock: 1, Incarnation: 1}, lavendercourse.ReplyAccepted, nil
}

func (fakeWorker) Stop(context.Context, string, lavendercourse.RunID, int64) (lavendercourse.WorkerStatus, lavendercourse.Reply, error) {
	return lavendercourse.WorkerStatus{Clock: 1, Incarnation: 1}, lavendercourse.ReplyAccepted, nil
}

func (fakeWorker) Renew(_ context.Context, _ string, r lavendercourse.Renewal) (lavendercourse.WorkerRuns, lavendercourse.Reply, error) {
	time.Sleep(r.MaxWait.Duration())
	return lavendercourse.WorkerRuns{Status: lavendercourse.WorkerStatus{Clock: 1, Incarnation: 1}}, lavendercourse.ReplyAccepted, nil
}

// decodeNothing decodes the records of a stream that has none.
func decodeNothing(string, []byte) (route.Update, error) { return route.Update{}, nil }

// emptyStore holds no records.
type emptyStore struct{}

func (emptyStore) Contents(context.Context, string) (lavendercourse.Contents, error) {
	return lavendercourse.Contents{}, nil
}

func (emptyStore) Changes(context.Context, string, uint64, clock.Millis) (lavendercourse.Changes, error) {
	return lavendercourse.Changes{}, nil
}

func (emptyStore) Put(context.Context, string, string, []byte) error { return nil }

// discard drops the frames that arrive at the gateway's end of a link.
type discard struct{}

func (discard) HandleFrame(*link.Link, message.Frame) error { return nil }

func (discard) Closed(*link.Link) {}

// Guards against a frame that crashes a runner, or that makes it offer more than its worker's capacity.
func FuzzGatewayFrame(f *testing.F) {
	run := lavendercourse.RunID{Job: "j", Run: 1}
	for t, body := range map[message.Type]any{
		message.TypeWelcome:       message.Welcome{Name: "g2", Peers: []message.Peer{{Name: "g2", Address: "x"}}},
		message.TypeIsolatedOrder: message.Order{Stamp: 2, Job: "i", Need: lavendercourse.Resources{CPU: 1}, Runs: []lavendercourse.RunID{run}},
		message.TypeOrder:         message.Order{Stamp: 1, Job: "j", Need: lavendercourse.Resources{CPU: 1}, Runs: []lavendercourse.RunID{run, run}},
		message.TypeRecall:        message.Recall{Runs: []lavendercourse.RunID{run, run}},
		message.TypeReportAck:     message.ReportAck{Stamp: 1 << 60},
		message.TypeDrain:         message.Drain{NextOffset: 1 << 63, Drained: true},
	} {
		b, err := message.Encode(t, 0, body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	reports, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	r, err := New(Config{
		Name: "r", Worker: fakeWorker{}, Reports: reports, Register: func(*mux.Router, lavendercourse.WorkerSink) {}, Store: emptyStore{}, Decode: decodeNothing,
		Clock: clock.NewBoot(), Logger: zerolog.Nop(),
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(r.Kill)
	capacity := lavendercourse.Resources{CPU: 1000, Memory: 100}
	if err := (reportSink{r}).Report(lavendercourse.WorkerReport{ID: "w", Incarnation: 1, Service: "s", Capacity: capacity, Sequence: 1}); err != nil {
		f.Fatal(err)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = link.Accept(w, req, link.Config{Handler: discard{}})
	}))
	f.Cleanup(s.Close)
	l, err := link.NewDialer(nil).Dial(context.Background(), strings.TrimPrefix(s.URL, "http://"), link.Config{Handler: discard{}})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := message.Decode(data)
		if err != nil {
			return
		}
		l.SetTag("g")
		r.mu.Lock()
		r.gateways["g"] = &gatewayLink{link: l, enrolled: true}
		r.mu.Unlock()
		_ = r.HandleFrame(l, frame)
		r.mu.Lock()
		free := r.table.Free()
		r.mu.Unlock()
		if !free.Fits(capacity) {
			t.Fatalf("free: %+v", free)
		}
	})
}
