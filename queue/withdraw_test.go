package queue_test

import (
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Guards against an isolated run that no longer counts as one after a false report of a crash.
func TestIsolatedRunGoesOnAfterWithdrawnCrash(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
		h.enroll(name, "d1")
	}
	first := crashTwice(t, h, "a")
	assert.Assert(t, first.isolated)
	h.crash(first.runner, first.run)
	h.scheduler.WithdrawCrash(first.runner, h.crashed)
	h.submit("b", 1, 60, 20*clock.Second)
	for range 2 {
		sent := h.takeOrders()
		assert.Equal(t, len(sent), 1)
		h.now += 300
		h.crash(sent[0].runner, sent[0].run, lavendercourse.RunID{Job: "beside b", Run: 1})
		h.endRun(sent[0], lavendercourse.EndCrashed, capacity)
	}
	assert.Equal(t, len(h.takeOrders()), 0, "the first isolated run has not ended")
}

// Guards against an order for the worker on which an isolated run goes on, after a false report of a crash.
func TestWorkerOfIsolatedRunGetsNoOrdersAfterWithdrawnCrash(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4"} {
		h.enroll(name, "d1")
	}
	first := crashTwice(t, h, "a")
	h.crash(first.runner, first.run)
	h.scheduler.WithdrawCrash(first.runner, h.crashed)
	h.submit("b", 20, 60, 20*clock.Second)
	for _, s := range h.takeOrders() {
		assert.Assert(t, s.runner != first.runner, "%+v", s)
	}
}

// Guards against a queue that stays contained because of crashes that were all withdrawn.
func TestWithdrawnCrashesDoNotContain(t *testing.T) {
	h := newHarness("d1")
	for _, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		h.enroll(name, "d1")
	}
	h.submit("good", 1, 60, 20*clock.Second)
	first := h.takeOrders()
	h.now += 60
	h.crash(first[0].runner, first[0].run)
	h.endRun(first[0], lavendercourse.EndCrashed, capacity)
	second := h.takeOrders()
	h.now += 60
	h.crash(second[0].runner, second[0].run)
	h.scheduler.WithdrawCrash(second[0].runner, h.crashed)
	assert.Equal(t, len(h.scheduler.Verdicts()), 0)
	assert.Equal(t, len(h.verdicts), 0)
}
