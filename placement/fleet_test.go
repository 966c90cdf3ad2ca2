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

// startTime is the time in ms at which the agents of the tests join.
const startTime = 100 * clock.Second

func newFleet(t *testing.T, agents ...message.Hello) *Fleet {
	t.Helper()
	policy, err := NewPolicy("home")
	assert.NilError(t, err)
	f := New(Config{Policy: policy, Entry: "e", Region: "r", Domain: "d0"})
	for _, h := range agents {
		f.Join(startTime, h)
	}
	return f
}

func hello(name, domain string) message.Hello {
	return message.Hello{Name: name, Incarnation: name, Region: "r", Domain: domain, Slots: 8, Connections: 64, Memory: 64, Cores: 4}
}

func attempt(n int) Attempt {
	return Attempt{Key: lavendercourse.NewTaskKey(lavendercourse.NewJobID("own", uint64(n), "tag"), 0), Attempt: 1}
}

// runTasks sends n tasks to an agent and then ends them all with the given status.
func runTasks(f *Fleet, now clock.Millis, agent string, n int, status message.Status) {
	for i := range n {
		f.Sent(now, agent, attempt(i), false)
	}
	for i := range n {
		f.Ended(now, agent, attempt(i), false, AttemptResult{Status: status, Kind: agent})
	}
	f.Report(now, agent, message.Load{Window: 8})
}

// picks sends up to 1000 tasks or calls, until no agent can take another one. It returns how many each agent got, in
// the form "a:2 b:4".
func picks(f *Fleet, now clock.Millis, req Requirements) string {
	count := map[string]int{}
	for i := range 1000 {
		choice, ok := f.Pick(now, req)
		if !ok {
			break
		}
		name := choice.Agent
		f.Sent(now, name, attempt(1000+i), req.Call)
		count[name]++
	}
	var counts []string
	for name, n := range count {
		counts = append(counts, fmt.Sprintf("%s:%d", name, n))
	}
	slices.Sort(counts)
	return strings.Join(counts, " ")
}

// Guards against tasks for agents that must not get any, and against more tasks than the window of a worker that is new
// or fails.
func TestPickScenarios(t *testing.T) {
	const done, failed = message.StatusDone, message.StatusFailed
	for _, tc := range []struct {
		name  string
		setup func(f *Fleet)
		now   clock.Millis
		req   Requirements
		picks string
	}{
		{"a new worker gets two tasks", func(*Fleet) {}, startTime, Requirements{}, "a:2 b:2 c:2"},
		{"a success doubles the window", func(f *Fleet) { runTasks(f, startTime, "a", 1, done) }, startTime, Requirements{}, "a:4 b:2 c:2"},
		{"the window in the load report is the upper limit", func(f *Fleet) { runTasks(f, startTime, "a", 4, done) }, startTime, Requirements{}, "a:8 b:2 c:2"},
		{"four failures in a row do not eject", func(f *Fleet) { runTasks(f, startTime, "a", 4, failed) }, startTime, Requirements{}, "a:2 b:2 c:2"},
		{"a success restarts the count of failures", func(f *Fleet) {
			runTasks(f, startTime, "a", 4, failed)
			runTasks(f, startTime, "a", 1, done)
			runTasks(f, startTime, "a", 4, failed)
		}, startTime, Requirements{}, "a:4 b:2 c:2"},
		{"five failures in a row eject", func(f *Fleet) { runTasks(f, startTime, "a", 5, failed) }, startTime + 999, Requirements{}, "b:2 c:2"},
		{"refusals and stops do not eject", func(f *Fleet) {
			runTasks(f, startTime, "a", 5, message.StatusRefused)
			runTasks(f, startTime, "a", 5, message.StatusStopped)
		}, startTime, Requirements{}, "a:2 b:2 c:2"},
		{"one trial task after an ejection of 1 s", func(f *Fleet) { runTasks(f, startTime, "a", 5, failed) }, startTime + 1000, Requirements{}, "a:1 b:2 c:2"},
		{"failures of tasks sent before the ejection do not prolong it", func(f *Fleet) { runTasks(f, startTime, "a", 8, failed) }, startTime + 1000, Requirements{}, "a:1 b:2 c:2"},
		{"a failed trial doubles the ejection time", func(f *Fleet) {
			runTasks(f, startTime, "a", 5, failed)
			runTasks(f, startTime+1000, "a", 1, failed)
		}, startTime + 2999, Requirements{}, "b:2 c:2"},
		{"a successful trial ends the ejection", func(f *Fleet) {
			runTasks(f, startTime, "a", 5, failed)
			runTasks(f, startTime+1000, "a", 1, done)
		}, startTime + 1000, Requirements{}, "a:2 b:2 c:2"},
		{"at most a third of the workers is ejected", func(f *Fleet) {
			runTasks(f, startTime, "a", 5, failed)
			runTasks(f, startTime, "b", 5, failed)
		}, startTime, Requirements{}, "b:2 c:2"},
		{"a drained failure domain gets no tasks", func(f *Fleet) { f.SetDrained(map[string]bool{"d0": true}) }, startTime, Requirements{}, "c:2"},
		{"a drained failure domain gets no calls", func(f *Fleet) { f.SetDrained(map[string]bool{"d0": true, "d1": true}) }, startTime, Requirements{Call: true}, ""},
		{"a leaving agent gets no tasks", func(f *Fleet) { f.SetLeaving("b") }, startTime, Requirements{}, "a:2 c:2"},
		{"a leaving agent that reconnects gets tasks", func(f *Fleet) { f.SetLeaving("b"); f.Join(startTime, hello("b", "d0")) }, startTime, Requirements{}, "a:2 b:2 c:2"},
		{"a task that needs more memory than any worker has", func(*Fleet) {}, startTime, Requirements{Memory: 65}, ""},
		{"an excluded agent gets no tasks", func(*Fleet) {}, startTime, Requirements{Exclude: "a"}, "b:2 c:2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, hello("a", "d0"), hello("b", "d0"), hello("c", "d1"))
			tc.setup(f)
			assert.Equal(t, picks(f, tc.now, tc.req), tc.picks)
		})
	}
}

// Guards against an ejection time that stops doubling with each failed trial, or that grows beyond 30 s.
func TestEjectionTimeDoublesUpToLimit(t *testing.T) {
	f := newFleet(t, hello("a", "d0"), hello("b", "d0"), hello("c", "d1"))
	runTasks(f, startTime, "a", 5, message.StatusFailed)
	now := startTime
	for _, ejectionTime := range []clock.Millis{1, 2, 4, 8, 16, 30, 30} {
		req := Requirements{Exclude: "b"}
		now += ejectionTime * clock.Second
		assert.Assert(t, !f.usable(now-1, f.Agent("a"), req, f.ejectionBudget()), "trial task allowed before %d s", ejectionTime)
		assert.Assert(t, f.usable(now, f.Agent("a"), req, f.ejectionBudget()), "no trial task allowed after %d s", ejectionTime)
		runTasks(f, now, "a", 1, message.StatusFailed)
	}
}

// Guards against the ejection of more than a third of the workers, however many of them fail.
func TestAtMostAThirdIsEjected(t *testing.T) {
	for total := 1; total <= 12; total++ {
		for failing := 0; failing <= total; failing++ {
			f := newFleet(t)
			for i := range total {
				f.Join(startTime, hello(fmt.Sprintf("a%02d", i), "d0"))
			}
			for i := range failing {
				runTasks(f, startTime, fmt.Sprintf("a%02d", i), 5, message.StatusFailed)
			}
			allowed, budget := 0, f.ejectionBudget()
			for _, a := range f.Agents() {
				if f.usable(startTime, a, Requirements{}, budget) {
					allowed++
				}
			}
			assert.Equal(t, allowed, total-min(failing, total/3), "%d of %d workers fail", failing, total)
		}
	}
}

// Guards against a home policy that does not compare free slots, then homes, then load, then distance.
func TestHomePolicyOrder(t *testing.T) {
	used := func(n int) lavendercourse.Candidate { return lavendercourse.Candidate{Used: n, Limit: 8} }
	at := func(c lavendercourse.Candidate, home bool, distance int) lavendercourse.Candidate {
		c.Home, c.Distance = home, distance
		return c
	}
	for _, tc := range []struct {
		name          string
		better, worse lavendercourse.Candidate
	}{
		{"a free agent before a full home agent", at(used(7), false, 2), at(used(8), true, 0)},
		{"a home agent before a less loaded one", at(used(5), true, 2), at(used(1), false, 0)},
		{"the less loaded agent", at(used(1), false, 2), at(used(2), false, 0)},
		{"nearest", at(used(1), false, 0), at(used(1), false, 1)},
		{"the less loaded of two full agents, although the other one is a home agent", at(used(8), false, 0), at(used(9), true, 0)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			policy, err := NewPolicy("home")
			assert.NilError(t, err)
			noRandom := func(int) int { t.Fatal("random choice between candidates that are not equal"); return 0 }
			assert.Equal(t, policy.Choose([]lavendercourse.Candidate{tc.better, tc.worse}, noRandom), 0)
			assert.Equal(t, policy.Choose([]lavendercourse.Candidate{tc.worse, tc.better}, noRandom), 1)
		})
	}
}

// Guards against homes that are spread unevenly over the entries, agents without a home, and homes that depend on the
// order of the entries.
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
				t.Fatalf("%s is the home of %d agents, want an even share of %d agents among %d entries", e, n, len(agents), len(entries))
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

// Guards against a restart of an agent after which its unfinished attempts are not reported as lost, or still count.
func TestJoinReturnsLostAttempts(t *testing.T) {
	f := newFleet(t, hello("a", "d0"))
	f.Sent(startTime, "a", attempt(1), false)
	rejoined := hello("a", "d0")
	assert.Equal(t, len(f.Join(startTime, rejoined)), 0)
	assert.Equal(t, f.Agent("a").Unfinished(), 1)
	rejoined.Incarnation = "later"
	lost := f.Join(startTime, rejoined)
	assert.Assert(t, len(lost) == 1 && lost[0] == attempt(1))
	assert.Equal(t, f.Agent("a").Unfinished(), 0)
	assert.Assert(t, !f.Ended(startTime, "a", attempt(1), false, AttemptResult{Status: message.StatusDone}))
}

// Guards against many tasks that are sent to an agent because of an old report of free slots, and against needless load
// requests to agents that were full at their last report or that will report when a task ends.
func TestLoadOutdated(t *testing.T) {
	for _, tc := range []struct {
		name  string
		load  message.Load
		age   clock.Millis
		tasks int
		want  bool
	}{
		{"old report of free slots", message.Load{Running: 3, Window: 5}, 51, 0, true},
		{"new report of free slots", message.Load{Running: 3, Window: 5}, 50, 0, false},
		{"old report of no free slot", message.Load{Running: 8, Window: 1}, 1000, 0, false},
		{"the end of a task of this entry will bring a report", message.Load{Running: 3, Window: 5}, 1000, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := New(Config{})
			f.Join(0, message.Hello{Name: "a", Incarnation: "i", Slots: 8})
			for i := range tc.tasks {
				f.Sent(0, "a", attempt(i), false)
			}
			f.Report(0, "a", tc.load)
			assert.Equal(t, f.LoadOutdated(tc.age, "a", 50), tc.want)
		})
	}
}
