package room_test

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/room"
)

func (h *harness) orderIsolated(id lavendercourse.RunID) []room.Action {
	return h.table.HandleIsolatedOrder(h.now, entryName, message.Order{Stamp: h.now, Payload: "p", Need: need, Estimate: 2000, Runs: []lavendercourse.RunID{id}})
}

// wait lets time pass while the worker lists the given runs and the entry renews its lease. It returns the actions of ticks.
func (h *harness) wait(time clock.Millis, running ...lavendercourse.RunID) []room.Action {
	var actions []room.Action
	for until := h.now + time; h.now < until; h.now += 24 {
		h.renew(lavendercourse.ReplyAccepted, running...)
		h.table.RenewOwnerLease(entryName, h.now)
		actions = append(actions, h.table.Tick(h.now)...)
	}
	return actions
}

// Guards against a run that shares its worker although it has to show whether it crashes workers.
func TestIsolatedRunIsAlone(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	assert.DeepEqual(t, describe(h.orderIsolated(runID(1))), []string{})
	assert.Equal(t, h.table.Free(), lavendercourse.Resources{})
	assert.DeepEqual(t, describe(h.order(runID(2))), []string{"refused 2"})
	assert.DeepEqual(t, describe(h.orderIsolated(runID(3))), []string{"refused 3"})
	assert.DeepEqual(t, describe(h.wait(300, runID(0))), []string{})
	h.end(runID(0), lavendercourse.EndDone)
	// The run that has just ended may still crash the worker.
	assert.DeepEqual(t, describe(h.wait(75)), []string{})
	assert.DeepEqual(t, describe(h.wait(75)), []string{"start 1"})
	assert.DeepEqual(t, describe(h.order(runID(2))), []string{"refused 2"})
	assert.DeepEqual(t, crashes(h.refuseUntilLeaseExpires()), [][]lavendercourse.RunID{{runID(1)}})
}

// Guards against a worker that stays reserved, and against a run that starts long after its order or is reported as started
// although it never was.
func TestIsolatedRunThatDoesNotStart(t *testing.T) {
	cases := []struct {
		name string
		end  func(h *harness) []room.Action
	}{
		{"others do not end", func(h *harness) []room.Action { return h.wait(2600, runID(0)) }},
		{"recalled", func(h *harness) []room.Action {
			return h.table.HandleRecall(h.now, entryName, h.now, []lavendercourse.RunID{runID(1)})
		}},
		{"entry silent", func(h *harness) []room.Action {
			h.now += 950
			h.renew(lavendercourse.ReplyAccepted, runID(0))
			return h.table.Tick(h.now)
		}},
		{"worker drains", func(h *harness) []room.Action {
			h.heartbeat(firstIncarnation, true)
			return h.wait(24, runID(0))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t)
			h.order(runID(0))
			h.renew(lavendercourse.ReplyAccepted, runID(0))
			assert.DeepEqual(t, describe(h.orderIsolated(runID(1))), []string{})
			ended := slices.DeleteFunc(describe(c.end(h)), func(s string) bool { return strings.HasPrefix(s, "stop") })
			assert.DeepEqual(t, ended, []string{"refused 1"})
			assert.Equal(t, h.table.Free(), capacity.Sub(need))
		})
	}
}

// Guards against a run that waits for its worker and counts as a suspect of a crash of that worker.
func TestIsolatedRunThatWaitsIsNoSuspect(t *testing.T) {
	h := newReadyHarness(t)
	h.order(runID(0))
	h.renew(lavendercourse.ReplyAccepted, runID(0))
	h.orderIsolated(runID(1))
	actions := h.refuseUntilLeaseExpires()
	assert.DeepEqual(t, crashes(actions), [][]lavendercourse.RunID{{runID(0)}})
	assert.DeepEqual(t, describe(actions), []string{"refused 1", "crashed 0"})
}
