package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/placement"
)

// replacement is an entry with a task on an agent whose successor may join.
type replacement struct {
	*core
	address string
	job     *job.Job
	attempt placement.Attempt
}

func newReplacement(t *testing.T) *replacement {
	c := newCore(Config{Name: "e", Clock: clock.NewManual(clock.Minute)})
	r := &linkHandler{core: c, exchange: newPeerExchange(t.Context(), c)}
	server := httptest.NewServer(http.HandlerFunc(r.serveLink))
	t.Cleanup(server.Close)
	return &replacement{core: c, address: strings.TrimPrefix(server.URL, "http://")}
}

// join links an agent of the given incarnation and returns the frames it receives after the handshake.
func (r *replacement) join(t *testing.T, inc string) (frameCollector, *link.Link) {
	t.Helper()
	agent := frameCollector{frames: make(chan message.Frame, 8)}
	l, err := link.NewDialer(nil).Dial(t.Context(), r.address, link.Config{Handler: agent})
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	assert.NilError(t, l.Send(message.TypeHello, 0, message.Hello{Kind: message.KindAgent, Name: "w", Incarnation: inc, Slots: 8}))
	assert.Equal(t, (<-agent.frames).Type, message.TypeWelcome)
	return agent, l
}

// synchronize returns once the entry has handled all earlier frames of the agent. Other frames received are returned.
func synchronize(t *testing.T, agent frameCollector, l *link.Link) []message.Type {
	t.Helper()
	assert.NilError(t, l.Send(message.TypeHeartbeat, 7, message.Load{Stamp: 1, Running: 5}))
	var received []message.Type
	for f := range agent.frames {
		if f.Type == message.TypeRenew && f.Number == 7 {
			break
		}
		received = append(received, f.Type)
	}
	return received
}

// sendTask records a task as sent to the agent.
func (r *replacement) sendTask(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.job = r.jobs.Add(now, r.jobs.NewInternalID(), job.Spec{Tasks: make([]job.Task, 1)})
	assigned, ok := r.jobs.AssignTask(now, r.job, "w")
	assert.Assert(t, ok)
	r.attempt = placement.Attempt{Key: assigned.Key, Attempt: assigned.Attempt}
	r.inFlight[r.attempt] = inFlightStart{agent: "w"}
	r.fleet.Sent(now, "w", r.attempt, false)
}

func (r *replacement) done(result string) message.Done {
	return message.Done{
		Job: r.attempt.Key.Job().String(), Task: r.attempt.Key.Task(), Attempt: r.attempt.Attempt, Status: message.StatusDone,
		Result: []byte(result), Load: message.Load{Stamp: 1, Running: 5},
	}
}

func (r *replacement) awaitEnd(t *testing.T) lavendercourse.Verdict {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.job.Ended() {
			return poll.Success()
		}
		return poll.Continue("the job has not ended")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.job.Verdict()
}

// Guards against a result of a draining agent that is lost because its successor has joined, against a load of the
// draining agent that is taken for that of its successor, and against a draining agent that takes its place again.
func TestReplacedAgentFinishesItsTasks(t *testing.T) {
	for _, tc := range []struct {
		name   string
		relink bool
		hello  bool
	}{
		{name: "on its link"},
		{name: "after another hello", hello: true},
		{name: "on a new link", relink: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newReplacement(t)
			draining, drainingLink := r.join(t, "draining")
			synchronize(t, draining, drainingLink)
			r.sendTask(t)
			successor, successorLink := r.join(t, "successor")
			synchronize(t, successor, successorLink)
			if tc.relink {
				draining, drainingLink = r.join(t, "draining")
			}
			if tc.hello {
				assert.NilError(t, drainingLink.Send(message.TypeHello, 0, message.Hello{Kind: message.KindAgent, Name: "w", Incarnation: "draining", Slots: 8}))
			}
			assert.NilError(t, drainingLink.Send(message.TypeLeave, 0, message.Leave{}))
			synchronize(t, draining, drainingLink)
			r.mu.Lock()
			assert.Assert(t, !r.job.Ended())
			w := r.fleet.Agent("w")
			assert.Equal(t, w.Hello().Incarnation, "successor")
			assert.Equal(t, w.Unfinished(), 0)
			assert.Assert(t, w.Health() != "leaving", "the leave of the draining agent counts for its successor")
			r.fleet.Report(r.clock.Now(), "w", message.Load{Window: 8})
			r.mu.Unlock()
			assert.NilError(t, drainingLink.Send(message.TypeDone, 0, r.done("result")))
			synchronize(t, draining, drainingLink)
			assert.Equal(t, r.awaitEnd(t).Outcome, lavendercourse.OutcomeComplete)
			r.mu.Lock()
			defer r.mu.Unlock()
			assert.Equal(t, string(r.job.Results()[0]), "result")
			assert.Equal(t, r.fleet.Agent("w").Load().Running, 0)
		})
	}
}

// Guards against a done that another agent of the same name sends for a task it never got.
func TestSuccessorDoesNotEndTasksOfReplacedAgent(t *testing.T) {
	r := newReplacement(t)
	r.join(t, "draining")
	r.sendTask(t)
	successor, l := r.join(t, "successor")
	assert.NilError(t, l.Send(message.TypeDone, 0, r.done("of the successor")))
	synchronize(t, successor, l)
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Assert(t, !r.job.Ended())
}

// Guards against a stop that is sent to the successor of the agent that runs the task.
func TestStopReachesReplacedAgent(t *testing.T) {
	r := newReplacement(t)
	draining, drainingLink := r.join(t, "draining")
	r.sendTask(t)
	successor, successorLink := r.join(t, "successor")
	synchronize(t, successor, successorLink)
	r.mu.Lock()
	r.jobs.Fail(r.clock.Now(), r.job, lavendercourse.ReasonCancelled, "")
	r.finishEndedJobs()
	r.mu.Unlock()
	assert.DeepEqual(t, synchronize(t, draining, drainingLink), []message.Type{message.TypeStop})
	assert.Equal(t, len(synchronize(t, successor, successorLink)), 0)
}

// Guards against a job that waits for good for an agent that was killed: its successor joins before its link closes, or
// after.
func TestTasksOfKilledAgentAreLost(t *testing.T) {
	for _, tc := range []struct {
		name          string
		closedAtFirst bool
	}{
		{"link closes before the successor joins", true},
		{"link closes after the successor has joined", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newReplacement(t)
			_, killed := r.join(t, "killed")
			r.sendTask(t)
			if tc.closedAtFirst {
				killed.Close()
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					r.mu.Lock()
					defer r.mu.Unlock()
					if r.agents["w"].link == nil {
						return poll.Success()
					}
					return poll.Continue("the link is open")
				}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
			}
			successor, l := r.join(t, "successor")
			synchronize(t, successor, l)
			killed.Close()
			v := r.awaitEnd(t)
			assert.Assert(t, v.Outcome == lavendercourse.OutcomeFailed && v.MayHaveRun, "%v", v)
			r.mu.Lock()
			defer r.mu.Unlock()
			assert.Equal(t, len(r.replaced), 0)
			assert.Equal(t, len(r.inFlight), 0)
		})
	}
}

// Guards against a successor that gets no more work because its predecessor joined after it, as after a restart of the
// entry, and then left or was lost.
func TestReplacedAgentTakesPlaceOfLeavingAgent(t *testing.T) {
	for _, tc := range []struct {
		name            string
		predecessorEnds func(t *testing.T, r *replacement, agent frameCollector, l *link.Link)
	}{
		{"leaves", func(t *testing.T, _ *replacement, agent frameCollector, l *link.Link) {
			assert.NilError(t, l.Send(message.TypeLeave, 0, message.Leave{}))
			synchronize(t, agent, l)
		}},
		{"is lost", func(t *testing.T, r *replacement, _ frameCollector, l *link.Link) {
			l.Close()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.agents["w"].link == nil {
					return poll.Success()
				}
				return poll.Continue("the link is open")
			}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
			r.clock.(*clock.Manual).Advance(agentLostAfter)
			// The successor sends heartbeats meanwhile.
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, d := range r.replaced {
				d.recordStamp(r.clock.Now(), 2)
			}
			r.sweep(r.clock.Now())
			assert.Equal(t, r.fleet.Agent("w").Hello().Incarnation, "predecessor", "it may reconnect")
			r.clock.(*clock.Manual).Advance(1)
			r.sweep(r.clock.Now())
		}},
		{"leaves after the successor could not work for a while", func(t *testing.T, r *replacement, agent frameCollector, l *link.Link) {
			var successor *link.Link
			r.mu.Lock()
			for l := range r.replaced {
				successor = l
			}
			r.mu.Unlock()
			r.mu.Lock()
			assert.NilError(t, r.handleReplacedFrame(r.replaced[successor], message.Frame{Type: message.TypeLeave}))
			r.mu.Unlock()
			assert.NilError(t, l.Send(message.TypeLeave, 0, message.Leave{}))
			synchronize(t, agent, l)
			r.mu.Lock()
			defer r.mu.Unlock()
			assert.Equal(t, r.fleet.Agent("w").Hello().Incarnation, "predecessor", "both are leaving")
			r.addAgent(successor, r.replaced[successor].hello)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newReplacement(t)
			successor, successorLink := r.join(t, "successor")
			synchronize(t, successor, successorLink)
			r.sendTask(t)
			predecessor, predecessorLink := r.join(t, "predecessor")
			synchronize(t, predecessor, predecessorLink)
			r.mu.Lock()
			assert.Equal(t, r.fleet.Agent("w").Hello().Incarnation, "predecessor")
			r.mu.Unlock()
			tc.predecessorEnds(t, r, predecessor, predecessorLink)
			r.mu.Lock()
			w := r.fleet.Agent("w")
			assert.Equal(t, w.Hello().Incarnation, "successor")
			assert.Assert(t, !w.Leaving())
			assert.Equal(t, w.Unfinished(), 1)
			r.mu.Unlock()
			assert.NilError(t, successorLink.Send(message.TypeDone, 0, r.done("result")))
			assert.Equal(t, r.awaitEnd(t).Outcome, lavendercourse.OutcomeComplete)
			r.mu.Lock()
			defer r.mu.Unlock()
			assert.Equal(t, r.fleet.Agent("w").Unfinished(), 0)
		})
	}
}
