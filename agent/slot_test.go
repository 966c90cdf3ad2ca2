package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/slot"
	"github.com/lavendercourse/lavendercourse/worker"
)

// disconnectingBackend breaks the connection of each task, which goes on until a stop of it is answered.
type disconnectingBackend struct {
	mu         sync.Mutex
	running    map[lavendercourse.TaskKey]bool
	maxRunning int
	started    int
	// answersStops tells whether stops are answered.
	answersStops bool
}

func (b *disconnectingBackend) Ping(context.Context) error { return nil }

func (b *disconnectingBackend) List(context.Context) ([]lavendercourse.TaskKey, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.running)), nil
}

func (b *disconnectingBackend) Call(context.Context, lavendercourse.Work) (lavendercourse.Result, error) {
	return lavendercourse.Result{}, worker.ErrUnanswered
}

func (b *disconnectingBackend) Run(_ context.Context, w lavendercourse.Work) (lavendercourse.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started++
	b.running[w.Key] = true
	b.maxRunning = max(b.maxRunning, len(b.running))
	return lavendercourse.Result{}, worker.ErrUnanswered
}

func (b *disconnectingBackend) Stop(_ context.Context, key lavendercourse.TaskKey) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.answersStops {
		return worker.ErrUnanswered
	}
	delete(b.running, key)
	return nil
}

// Guards against a slot that is given away while its task runs: a live backend server lost the connection on which the
// task was started, and the agent took that for the end of the task.
func TestSlotIsKeptUntilTaskHasEnded(t *testing.T) {
	backend := &disconnectingBackend{running: map[lavendercourse.TaskKey]bool{}}
	a, err := New(Config{
		Name: "w", Seeds: []string{"127.0.0.1:1"}, Backend: backend, Clock: clock.NewSystem(), Logger: zerolog.Nop(),
		Slots: slot.Config{Slots: 1},
	})
	assert.NilError(t, err)
	defer a.Kill()
	started := func() int {
		backend.mu.Lock()
		defer backend.mu.Unlock()
		return backend.started
	}
	// offer offers the task until the agent has started it or the time is over.
	offer := func(task uint32, timeout time.Duration) {
		before, deadline := started(), time.Now().Add(timeout)
		for attempt := uint32(1); started() == before && time.Now().Before(deadline); attempt++ {
			a.mu.Lock()
			now := a.cfg.Clock.Now()
			actions, err := a.table.Start(now, "e", message.Start{
				Job: "own.0.tag", Task: task, Attempt: attempt, Stamp: now, Agent: string(a.cfg.Slots.Incarnation),
			})
			a.perform(actions)
			a.mu.Unlock()
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
	}
	offer(0, time.Minute)
	offer(1, 300*time.Millisecond)
	assert.Equal(t, started(), 1, "the slot was given away")
	backend.mu.Lock()
	backend.answersStops = true
	backend.mu.Unlock()
	offer(1, time.Minute)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if started() == 2 {
			return poll.Success()
		}
		return poll.Continue("the slot was not given back")
	}, poll.WithTimeout(time.Minute))
	backend.mu.Lock()
	defer backend.mu.Unlock()
	assert.Equal(t, backend.maxRunning, 1)
}

// lingeringBackend runs each task for good, even when its request is cancelled.
type lingeringBackend struct {
	disconnectingBackend
}

func (b *lingeringBackend) Run(ctx context.Context, w lavendercourse.Work) (lavendercourse.Result, error) {
	_, _ = b.disconnectingBackend.Run(ctx, w)
	<-ctx.Done()
	return lavendercourse.Result{}, worker.ErrUnanswered
}

// Guards against slots that the successor of a killed agent gives away while the backend server runs the tasks of the
// killed one.
func TestSuccessorKeepsSlotsOfKilledAgent(t *testing.T) {
	backend := &lingeringBackend{disconnectingBackend{running: map[lavendercourse.TaskKey]bool{}}}
	for task := range uint32(2) {
		a, err := New(Config{
			Name: "w", Seeds: []string{"127.0.0.1:1"}, Backend: backend, Clock: clock.NewSystem(), Logger: zerolog.Nop(),
			Slots: slot.Config{Slots: 1},
		})
		assert.NilError(t, err)
		for range 30 {
			a.mu.Lock()
			now := a.cfg.Clock.Now()
			actions, err := a.table.Start(now, "e", message.Start{
				Job: "own.0.tag", Task: task, Attempt: 1 + uint32(now), Stamp: now, Agent: string(a.cfg.Slots.Incarnation),
			})
			a.perform(actions)
			a.mu.Unlock()
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		a.Kill()
	}
	backend.mu.Lock()
	defer backend.mu.Unlock()
	assert.Equal(t, backend.maxRunning, 1)
}
