package agent_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
)

// patience is far above what any step needs, so that a busy machine does not fail a test.
var patience = []poll.SettingOp{poll.WithTimeout(60 * time.Second), poll.WithDelay(10 * time.Millisecond)}

// scriptedEntry accepts the link of an agent, records what comes and sends what the test asks for.
type scriptedEntry struct {
	mu     sync.Mutex
	link   *link.Link
	frames []message.Type
	hello  message.Hello
	stamp  clock.Millis
	done   map[uint32]message.Done
}

func (e *scriptedEntry) Frame(l *link.Link, f message.Frame) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frames = append(e.frames, f.Type)
	switch f.Type {
	case message.TypeHello:
		e.link = l
		if err := f.DecodeBody(&e.hello); err != nil {
			return err
		}
		return l.Send(message.TypeWelcome, f.Number, message.Welcome{Name: "entry-1", Incarnation: "owner"})
	case message.TypeBeat:
		var b message.Beat
		if err := f.DecodeBody(&b); err != nil {
			return err
		}
		e.stamp = b.Stamp
		return l.Send(message.TypeRenew, 0, message.Renew{Stamp: b.Stamp, Incarnation: "owner"})
	case message.TypeDone:
		var d message.Done
		if err := f.DecodeBody(&d); err != nil {
			return err
		}
		e.done[d.Task] = d
	}
	return nil
}

func (e *scriptedEntry) Closed(*link.Link) {}

// count returns the number of frames of a type.
func (e *scriptedEntry) count(t message.Type) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, f := range e.frames {
		if f == t {
			n++
		}
	}
	return n
}

func (e *scriptedEntry) start(t *testing.T, task uint32, kind string) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.NilError(t, e.link.Send(message.TypeStart, 0, message.Start{
		Job: lavendercourse.NewJobID("owner", 1, "tag").String(), Task: task, Attempt: 1, Kind: kind,
		Stamp: e.stamp, Agent: e.hello.Incarnation,
	}))
}

// ended waits for the end of a start.
func (e *scriptedEntry) ended(t *testing.T, task uint32) message.Done {
	t.Helper()
	var d message.Done
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		var ok bool
		if d, ok = e.done[task]; !ok {
			return poll.Continue("task %d has not ended", task)
		}
		return poll.Success()
	}, patience...)
	return d
}

func (e *scriptedEntry) await(t *testing.T, kind message.Type, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := e.count(kind); got < n {
			return poll.Continue("%d frames %s, want %d", got, kind, n)
		}
		return poll.Success()
	}, patience...)
}

// lines collects the log of the agent.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) await(t *testing.T, e event.Event, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if got := strings.Count(l.text.String(), `"event":`+strconv.Itoa(e.Number())+","); got < n {
			return poll.Continue("%d lines of event %d, want %d", got, e.Number(), n)
		}
		return poll.Success()
	}, patience...)
}

func serve(t *testing.T, l net.Listener, h http.Handler) *http.Server {
	t.Helper()
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return l
}
