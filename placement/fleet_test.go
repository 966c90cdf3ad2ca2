package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

const base = 100 * clock.Second

func newFleet(t *testing.T, agents ...message.Hello) *Fleet {
	t.Helper()
	policy, err := NewPolicy("home")
	assert.NilError(t, err)
	f := New(Config{Policy: policy, Entry: "e", Region: "r", Domain: "d0"})
	for _, h := range agents {
		f.Join(base, h)
	}
	return f
}

func hello(name, domain string) message.Hello {
	return message.Hello{Name: name, Incarnation: name, Region: "r", Domain: domain, Slots: 8, Connections: 64, Memory: 64, Cores: 4}
}

func attempt(n int) Attempt {
	return Attempt{Key: lavendercourse.NewTaskKey(lavendercourse.NewJobID("own", uint64(n), "tag"), 0), Attempt: 1}
}

// end sends n tasks to an agent and then ends them all with the given status.
func end(f *Fleet, at clock.Millis, agent string, n int, status message.Status) {
	for i := range n {
		f.Sent(at, agent, attempt(i), false)
	}
	for i := range n {
		f.Ended(at, agent, attempt(i), false, Ending{Status: status, Kind: agent})
	}
	f.Report(at, agent, message.Load{Window: 8})
}

// picks sends tasks until no agent has room and returns how many each agent got.
func picks(f *Fleet, now clock.Millis, want Want) string {
	count := map[string]int{}
	for i := range 1000 {
		choice, ok := f.Pick(now, want)
		if !ok {
			break
		}
		name := choice.Agent
		f.Sent(now, name, attempt(1000+i), want.Call)
		count[name]++
	}
	var all []string
	for name, n := range count {
		all = append(all, fmt.Sprintf("%s:%d", name, n))
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// Guards against tasks on agents that must not get any, and against trust in workers that have not earned it.
func TestPickScenarios(t *testing.T) {
	const done, failed = message.StatusDone, message.StatusFailed
	for _, tc := range []struct {
		name   string
		before func(f *Fleet)
		now    clock.Millis
		want   Want
		picks  string
	}{
		{"new workers get two tasks each", func(*Fleet) {}, base, Want{}, "a:2 b:2 c:2"},
		{"the window doubles with a success", func(f *Fleet) { end(f, base, "a", 1, done) }, base, Want{}, "a:4 b:2 c:2"},
		{"the agent's window bounds it", func(f *Fleet) { end(f, base, "a", 4, done) }, base, Want{}, "a:8 b:2 c:2"},
		{"four failures do not eject", func(f *Fleet) { end(f, base, "a", 4, failed) }, base, Want{}, "a:2 b:2 c:2"},
		{"a success between failures counts anew", func(f *Fleet) {
			end(f, base, "a", 4, failed)
			end(f, base, "a", 1, done)
			end(f, base, "a", 4, failed)
		}, base, Want{}, "a:4 b:2 c:2"},
		{"five failures eject", func(f *Fleet) { end(f, base, "a", 5, failed) }, base + 999, Want{}, "b:2 c:2"},
		{"refusals and stops do not eject", func(f *Fleet) {
			end(f, base, "a", 5, message.StatusRefused)
			end(f, base, "a", 5, message.StatusStopped)
		}, base, Want{}, "a:2 b:2 c:2"},
		{"one trial task after a second", func(f *Fleet) { end(f, base, "a", 5, failed) }, base + 1000, Want{}, "a:1 b:2 c:2"},
		{"tasks sent before the ejection do not prolong it", func(f *Fleet) { end(f, base, "a", 8, failed) }, base + 1000, Want{}, "a:1 b:2 c:2"},
		{"a failed trial doubles the pause", func(f *Fleet) {
			end(f, base, "a", 5, failed)
			end(f, base+1000, "a", 1, failed)
		}, base + 2999, Want{}, "b:2 c:2"},
		{"a good trial ends the ejection", func(f *Fleet) {
			end(f, base, "a", 5, failed)
			end(f, base+1000, "a", 1, done)
		}, base + 1000, Want{}, "a:2 b:2 c:2"},
		{"no more than a third is ejected", func(f *Fleet) {
			end(f, base, "a", 5, failed)
			end(f, base, "b", 5, failed)
		}, base, Want{}, "b:2 c:2"},
		{"a drained failure domain gets nothing", func(f *Fleet) { f.SetDrained(map[string]bool{"d0": true}) }, base, Want{}, "c:2"},
		{"nor a call", func(f *Fleet) { f.SetDrained(map[string]bool{"d0": true, "d1": true}) }, base, Want{Call: true}, ""},
		{"a leaving agent gets nothing", func(f *Fleet) { f.SetLeaving("b") }, base, Want{}, "a:2 c:2"},
		{"an agent that is linked again gets tasks", func(f *Fleet) { f.SetLeaving("b"); f.Join(base, hello("b", "d0")) }, base, Want{}, "a:2 b:2 c:2"},
		{"too large for any worker", func(*Fleet) {}, base, Want{Memory: 65}, ""},
		{"an agent to avoid", func(*Fleet) {}, base, Want{Avoid: "a"}, "b:2 c:2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, hello("a", "d0"), hello("b", "d0"), hello("c", "d1"))
			tc.before(f)
			assert.Equal(t, picks(f, tc.now, tc.want), tc.picks)
		})
	}
}

// Guards against trial pauses that stop growing, or grow without bound.
func TestTrialPauses(t *testing.T) {
	f := newFleet(t, hello("a", "d0"), hello("b", "d0"), hello("c", "d1"))
	end(f, base, "a", 5, message.StatusFailed)
	at := base
	for _, pause := range []clock.Millis{1, 2, 4, 8, 16, 30, 30} {
		want := Want{Avoid: "b"}
		at += pause * clock.Second
		assert.Assert(t, !f.usable(at-1, f.Agent("a"), want, f.ejectable()), "before %d s", pause)
		assert.Assert(t, f.usable(at, f.Agent("a"), want, f.ejectable()), "after %d s", pause)
		end(f, at, "a", 1, message.StatusFailed)
	}
}

// Guards against more than a third of the workers out of use, however many fail.
func TestAtMostAThirdIsEjected(t *testing.T) {
	for total := 1; total <= 12; total++ {
		for failing := 0; failing <= total; failing++ {
			f := newFleet(t)
			for i := range total {
				f.Join(base, hello(fmt.Sprintf("a%02d", i), "d0"))
			}
			for i := range failing {
				end(f, base, fmt.Sprintf("a%02d", i), 5, message.StatusFailed)
			}
			open, bound := 0, f.ejectable()
			for _, a := range f.Agents() {
				if f.usable(base, a, Want{}, bound) {
					open++
				}
			}
			assert.Equal(t, open, total-min(failing, total/3), "%d of %d fail", failing, total)
		}
	}
}

// Guards against a home policy that ignores free slots, homes, load or distance, in this order.
func TestHomePolicyOrder(t *testing.T) {
	used := func(n int) lavendercourse.Candidate { return lavendercourse.Candidate{Used: n, Limit: 8} }
	at := func(c lavendercourse.Candidate, home bool, near int) lavendercourse.Candidate {
		c.Home, c.Near = home, near
		return c
	}
	for _, tc := range []struct {
		name          string
		better, worse lavendercourse.Candidate
	}{
		{"free before a full home", at(used(7), false, 2), at(used(8), true, 0)},
		{"home before a less loaded one", at(used(5), true, 2), at(used(1), false, 0)},
		{"least loaded", at(used(1), false, 2), at(used(2), false, 0)},
		{"nearest", at(used(1), false, 0), at(used(1), false, 1)},
		{"full ones by load, not by home", at(used(8), false, 0), at(used(9), true, 0)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			policy, err := NewPolicy("home")
			assert.NilError(t, err)
			never := func(int) int { t.Fatal("the choice is not random"); return 0 }
			assert.Equal(t, policy.Choose([]lavendercourse.Candidate{tc.better, tc.worse}, never), 0)
			assert.Equal(t, policy.Choose([]lavendercourse.Candidate{tc.worse, tc.better}, never), 1)
		})
	}
}

// Guards against entries with more homes than others, agents without a home, and homes that move when agents are told
// in the same order.
func TestHomesAreBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var agents, entries []string
		for i := range rapid.IntRange(0, 60).Draw(t, "agents") {
			agents = append(agents, fmt.Sprint("a", i))
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "entries") {
			entries = append(entries, fmt.Sprint("e", i, rapid.Uint16().Draw(t, "name")))
		}
		homes := Homes(agents, entries)
		count := map[string]int{}
		for _, e := range homes {
			count[e]++
		}
		for _, e := range entries {
			if n := count[e]; n != len(agents)/len(entries) && n != (len(agents)+len(entries)-1)/len(entries) {
				t.Fatalf("%s is the home of %d of %d agents with %d entries", e, n, len(agents), len(entries))
			}
		}
		slices.Reverse(entries)
		for agent, e := range Homes(agents, entries) {
			if homes[agent] != e {
				t.Fatalf("the home of %s depends on the order of the entries", agent)
			}
		}
	})
}

// Guards against attempts that are lost from sight when an agent restarts, and counts that survive it.
func TestJoinReturnsLostAttempts(t *testing.T) {
	f := newFleet(t, hello("a", "d0"))
	f.Sent(base, "a", attempt(1), false)
	again := hello("a", "d0")
	assert.Equal(t, len(f.Join(base, again)), 0)
	assert.Equal(t, f.Agent("a").Sent(), 1)
	again.Incarnation = "later"
	lost := f.Join(base, again)
	assert.Assert(t, len(lost) == 1 && lost[0] == attempt(1))
	assert.Equal(t, f.Agent("a").Sent(), 0)
	assert.Assert(t, !f.Ended(base, "a", attempt(1), false, Ending{Status: message.StatusDone}))
}

// Guards against many tasks that are sent to an agent whose free slots were last heard of long ago, and against
// questions to agents that are known to be full or tell of themselves.
func TestDoubtful(t *testing.T) {
	for _, tc := range []struct {
		name string
		load message.Load
		age  clock.Millis
		own  int
		want bool
	}{
		{"old report of free slots", message.Load{Running: 3, Window: 5}, 51, 0, true},
		{"new report of free slots", message.Load{Running: 3, Window: 5}, 50, 0, false},
		{"old report of no free slot", message.Load{Running: 8, Window: 1}, 1000, 0, false},
		{"a task of this entry will tell", message.Load{Running: 3, Window: 5}, 1000, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := New(Config{})
			f.Join(0, message.Hello{Name: "a", Incarnation: "i", Slots: 8})
			for i := range tc.own {
				f.Sent(0, "a", attempt(i), false)
			}
			f.Report(0, "a", tc.load)
			assert.Equal(t, f.Doubtful(tc.age, "a", 50), tc.want)
		})
	}
}
