package proof

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/message"
)

// steps is the number of random steps before all faults end.
const steps = 1000

// kinds are the kinds of step, as often as they are to be chosen.
var kinds = weighted([]string{
	"transmit", "place", "beat", "confirm", "submit", "finish", "advance", "connect",
	"jump", "cancel", "cut", "resubmit", "pause", "drain", "agent end", "owner end",
}, []int{18, 10, 7, 7, 5, 8, 5, 4, 1, 1, 1, 1, 1, 1, 1, 1})

func weighted(names []string, weights []int) []string {
	var all []string
	for i, name := range names {
		all = append(all, slices.Repeat([]string{name}, weights[i])...)
	}
	return all
}

// step does one random thing: mostly progress, sometimes a fault.
func (w *world) step() {
	o, a := w.owners[w.pick("owner", len(w.owners))], w.agents[w.pick("agent", len(w.agents))]
	switch kinds[w.pick("kind", len(kinds))] {
	case "transmit":
		for range 1 + w.pick("packets", 8) {
			w.transmit()
		}
	case "place":
		for range 1 + w.pick("starts", 8) {
			w.placeAny(o, a)
		}
	case "beat":
		for _, a := range w.agents {
			w.beat(a)
		}
	case "confirm":
		if !o.paused {
			w.confirm(o)
		}
	case "submit":
		if !o.paused {
			w.submit(o)
		}
	case "finish":
		if n := len(a.order); n > 0 {
			w.finish(a, w.pick("work", n), message.Status(w.pick("status", 4)/3+1))
		}
	case "advance":
		w.advance(clock.Millis(w.pick("ms", 1500)))
	case "connect":
		o.paused = false
		w.connect(o, a)
	case "jump":
		w.advance(clock.Millis(w.pick("jump", int(memory+10*clock.Second))))
	default:
		w.fault(kinds[w.pick("fault", 7)+len(kinds)-7], o, a)
	}
}

func (w *world) fault(kind string, o *owner, a *agent) {
	switch kind {
	case "cancel":
		if len(o.live) > 0 && !o.paused {
			o.table.Fail(w.ownerTime(o), o.live[w.pick("job", len(o.live))], lavendercourse.ReasonCancelled, "cancelled")
			w.settle(o)
		}
	case "cut":
		w.cut(o, a)
	case "resubmit":
		if n := len(w.jobs); n > 0 {
			w.resubmit(w.jobs[w.pick("submission", n)])
		}
	case "pause":
		o.paused = true
	case "drain":
		if domain := a.index % 2; w.drained[domain] == 0 {
			w.drained[domain] = w.now
		} else {
			delete(w.drained, domain)
		}
		w.version++
	case "agent end":
		switch n := w.pick("agent end", 4); {
		case n == 0 || a.left:
			w.restart(a)
		case n == 1:
			a.left = true
			w.perform(a, a.table.Leave(w.agentTime(a)))
		}
	case "owner end":
		if w.pick("owner end", 4) == 0 && !o.paused {
			o.table.FailAll(w.ownerTime(o), lavendercourse.ReasonOwner, "lease lost")
			w.settle(o)
			w.rebirth(o)
		}
	}
}

// transmit delivers, repeats or loses any packet under way.
func (w *world) transmit() {
	if len(w.net) == 0 {
		return
	}
	i := w.pick("packet", len(w.net))
	p := w.net[i]
	if !p.toAgent && w.owners[p.owner].paused {
		return
	}
	fate := w.pick("fate", 8)
	if fate > 1 {
		w.net = append(w.net[:i], w.net[i+1:]...)
	}
	if fate != 2 {
		w.deliver(p)
	}
}

func (w *world) placeAny(o *owner, a *agent) {
	if len(o.live) > 0 {
		w.place(o, o.live[w.pick("job", len(o.live))], a)
	}
}

// heal ends all faults and lets time pass until everything must have ended.
func (w *world) heal() {
	w.drained = map[int]clock.Millis{}
	for range 40 {
		for _, o := range w.owners {
			o.paused = false
			for _, a := range w.agents {
				w.connect(o, a)
			}
		}
		for _, a := range w.agents {
			w.beat(a)
		}
		w.drainNetwork()
		for _, o := range w.owners {
			w.confirm(o)
			for i, j := range append([]*job.Job(nil), o.live...) {
				w.place(o, j, w.agents[i%len(w.agents)])
			}
		}
		w.drainNetwork()
		for _, a := range w.agents {
			for len(a.order) > 0 {
				w.finish(a, 0, message.StatusDone)
			}
		}
		w.drainNetwork()
		w.advance(5 * clock.Second)
	}
	for _, o := range w.owners {
		if n := o.table.RecordCount(); n != 0 || o.table.Live() != 0 {
			w.fail("%s still holds %d records", o.name(), n)
		}
	}
	for _, a := range w.agents {
		// Each linked entry has a lease of its own.
		if n := a.table.RecordCount(); n > len(w.owners) || a.table.ActiveCount() != 0 {
			w.fail("%s still holds %d records, %d of them active", a.name(), n, a.table.ActiveCount())
		}
	}
}

func (w *world) drainNetwork() {
	for len(w.net) > 0 && w.err == nil {
		p := w.net[0]
		w.net = w.net[1:]
		w.deliver(p)
	}
}

// dispatch runs one random history and returns the first broken promise.
func dispatch(t *rapid.T, broken variant) error {
	w := newWorld(t, broken)
	for i := 0; i < steps && w.err == nil; i++ {
		w.step()
	}
	if w.err == nil {
		w.heal()
	}
	return w.err
}

// Guards against tasks that run twice, incomplete answers, false refusals, overbooked workers, starts that outlive a
// drain and memory that leaks, under any order, loss and repetition of messages and any two of the faults on the
// design page.
func TestDispatchKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := dispatch(t, sound); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against checks of TestDispatchKeepsPromises that cannot fail: each breaks one rule on purpose, and the same
// histories must show it.
func TestDispatchChecksCatchBrokenRules(t *testing.T) {
	for _, tc := range []struct {
		broken variant
		want   string
	}{
		{wiped, "second time"},
		{lax, "stamp that is"},
		{lax, "failure domain was drained"},
		{blind, "failure domain was drained"},
		{lenient, "without its owner"},
		{moved, "second time"},
		{overbooked, "tasks run on 2 slots"},
		{overcalled, "run on 3 connections"},
		{hollow, "is complete but result"},
		{denied, "said not to have run"},
		{hoarding, "still holds"},
		{amnesic, "second time"},
	} {
		t.Run(string(tc.broken)+": "+tc.want, func(t *testing.T) {
			histories := rapid.Custom(func(t *rapid.T) string {
				if err := dispatch(t, tc.broken); err != nil {
					return err.Error()
				}
				return ""
			})
			seed, report := find(histories, tc.want)
			assert.Assert(t, seed >= 0, "no history shows %q", tc.want)
			t.Logf("history %d: %s", seed, report)
		})
	}
}
