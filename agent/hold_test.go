package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
)

// eventLog counts the log lines of each event that hold a text.
type eventLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *eventLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(b)
}

func (l *eventLog) count(e event.Event, text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range bytes.Split(l.lines.Bytes(), []byte("\n")) {
		if bytes.Contains(line, fmt.Appendf(nil, `"event":%d,`, e.Number())) && bytes.Contains(line, []byte(text)) {
			n++
		}
	}
	return n
}

var errNoStop = errors.New("no answer to the stop")

// unresponsiveBackend runs each task until its request is cancelled, and answers stops only if answersStops is set.
type unresponsiveBackend struct{ answersStops bool }

func (*unresponsiveBackend) Ping(context.Context) error { return nil }

func (*unresponsiveBackend) List(context.Context) ([]lavendercourse.TaskKey, error) { return nil, nil }

func (*unresponsiveBackend) Call(ctx context.Context, _ lavendercourse.Work) (lavendercourse.Result, error) {
	<-ctx.Done()
	return lavendercourse.Result{}, errNoStop
}

func (b *unresponsiveBackend) Run(ctx context.Context, w lavendercourse.Work) (lavendercourse.Result, error) {
	return b.Call(ctx, w)
}

func (b *unresponsiveBackend) Stop(context.Context, lavendercourse.TaskKey) error {
	if b.answersStops {
		return nil
	}
	return errNoStop
}

// Guards against a slot that is given away without proof, and a stop without an answer, of which no log tells; and
// against a log of either when the stop was answered.
func TestReleaseWithoutProofIsLogged(t *testing.T) {
	for _, tc := range []struct {
		name           string
		answersStops   bool
		stops, release int
	}{
		{"stops get no answer", false, 1, 1},
		{"stops are answered", true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var log eventLog
			a, err := New(Config{
				Name: "w", Seeds: []string{"127.0.0.1:1"}, Backend: &unresponsiveBackend{answersStops: tc.answersStops},
				Clock: clock.NewSystem(), Logger: zerolog.New(&log), Slots: slot.Config{Slots: 1, Lease: 1500},
			})
			assert.NilError(t, err)
			defer a.Kill()
			start := func(task uint32) bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				now := a.cfg.Clock.Now()
				actions, err := a.table.Start(now, "e", message.Start{
					Job: "own.0.tag", Task: task, Attempt: 1 + uint32(now), Stamp: now, Agent: string(a.cfg.Slots.Incarnation),
				})
				assert.NilError(t, err)
				a.perform(actions)
				for key := range a.running {
					if key.Task() == task {
						return true
					}
				}
				return false
			}
			await := func(task uint32) {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if start(task) {
						return poll.Success()
					}
					return poll.Continue("task %d is not started", task)
				}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
			}
			await(0)
			// The task gets no renewal, so the agent stops it when its lease has expired.
			await(1)
			assert.Equal(t, log.count(event.StopUnanswered, errNoStop.Error()), tc.stops)
			assert.Equal(t, log.count(event.SlotReleased, errNoStop.Error()), tc.release)
		})
	}
}
