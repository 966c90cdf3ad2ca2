package slot

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

const base = 100 * clock.Second

// start returns a valid start of the given task of a job that is owned by the incarnation "own".
func start(task, attempt uint32) message.Start {
	return message.Start{
		Job: "own.0.tag", Task: task, Attempt: attempt, Class: 2, Stamp: base, Agent: "agent", Version: 5, Payload: []byte("p"), Wait: true,
	}
}

func named(task, attempt uint32) []message.Task {
	return []message.Task{{Job: "own.0.tag", Task: task, Attempt: attempt}}
}

func key(task uint32) lavendercourse.TaskKey {
	return lavendercourse.NewTaskKey(lavendercourse.NewJobID("own", 0, "tag"), task)
}

// describe writes actions in a short form, such as "run 0, refused 1 start has expired".
func describe(actions []Action) string {
	words := map[message.Status]string{1: "done", 2: "failed", 3: "refused", 4: "stopped", 5: "unknown"}
	var all []string
	for _, action := range actions {
		switch v := action.(type) {
		case Run:
			all = append(all, fmt.Sprintf("run %d", v.Key.Task()))
		case Halt:
			all = append(all, fmt.Sprintf("halt %d", v.Key.Task()))
		case Reply:
			text := fmt.Sprintf("%s %d %s", words[v.Done.Status], v.Done.Task, v.Done.Error)
			all = append(all, strings.TrimSpace(text))
		}
	}
	return strings.Join(all, ", ")
}

// Guards against changes of single rules of the agent: what it accepts, refuses, repeats, stops and forgets.
func TestTableScenarios(t *testing.T) {
	type step struct {
		do   func(x *Table) []Action
		want string
	}
	begin := func(at clock.Millis, s message.Start) func(x *Table) []Action {
		return func(x *Table) []Action { a, _ := x.Start(at, "e", s); return a }
	}
	with := func(change func(*message.Start)) message.Start {
		s := start(0, 1)
		change(&s)
		return s
	}
	end := func(at clock.Millis, task uint32, status message.Status, result string) func(x *Table) []Action {
		return func(x *Table) []Action { return x.Ended(at, key(task), status, []byte(result), "") }
	}
	stop := func(tasks []message.Task) func(x *Table) []Action {
		return func(x *Table) []Action { a, _ := x.Stop(base, "e", tasks); return a }
	}
	resume := func(at clock.Millis, tasks []message.Task) func(x *Table) []Action {
		return func(x *Table) []Action { a, _ := x.Resume(at, "e", tasks); return a }
	}
	expire := func(at clock.Millis) func(x *Table) []Action {
		return func(x *Table) []Action { return x.Expire(at) }
	}
	renew := func(at clock.Millis, inc string, version uint64) func(x *Table) []Action {
		return func(x *Table) []Action {
			x.Renew(at, "e", lavendercourse.Incarnation(inc), message.Renew{Version: version})
			return nil
		}
	}
	run := step{begin(base, start(0, 1)), "run 0"}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"a repeated start does not run again", []step{
			run, {begin(base, start(0, 1)), ""}, {end(base, 0, 1, "r"), "done 0"}, {begin(base, start(0, 1)), "done 0"},
		}},
		{"a later attempt of an accepted task has an unknown fate", []step{
			run, {begin(base, start(0, 2)), "unknown 0 another attempt of the task was accepted"},
		}},
		{"a stop before the start bars it", []step{
			{stop(named(0, 1)), "refused 0 never received"},
			{begin(base, start(0, 1)), "refused 0 never received"},
			{begin(base, start(0, 2)), "run 0"},
		}},
		{"a resume before the start bars it", []step{
			{resume(base, named(0, 1)), "refused 0 never received"}, {begin(base, start(0, 1)), "refused 0 never received"},
		}},
		{"a refused attempt stays refused", []step{
			{begin(base+3001, start(0, 1)), "refused 0 start has expired"},
			{begin(base, start(0, 1)), "refused 0 start has expired"},
			{begin(base, start(0, 2)), "run 0"},
		}},
		{"a stamp of the validity's age is accepted", []step{{begin(base+3000, start(0, 1)), "run 0"}}},
		{"a stamp from the future is refused", []step{{begin(base-1, start(0, 1)), "refused 0 start has expired"}}},
		{"a start for another incarnation claims nothing", []step{
			{begin(base, with(func(s *message.Start) { s.Agent = "old" })), "unknown 0 start is meant for another incarnation of the agent"},
		}},
		{"an old failure domain state is refused", []step{
			{renew(base, "own", 6), ""}, {begin(base, start(0, 1)), "refused 0 start was decided under an old failure domain state"},
		}},
		{"a task that waited too long is refused when a slot frees", []step{
			run, {begin(base, start(1, 1)), ""}, {end(base+3001, 0, 1, ""), "done 0, refused 1 start has expired"},
		}},
		{"no more tasks wait than there are slots", []step{
			run,
			{begin(base, start(1, 1)), ""},
			{begin(base, start(2, 1)), "refused 2 no slot is free"},
			{end(base, 0, 1, ""), "done 0, run 1"},
		}},
		{"a task waits for a connection", []step{
			{begin(base, with(func(s *message.Start) { s.Call, s.Task = true, 3 })), "run 3"},
			{begin(base, with(func(s *message.Start) { s.Call, s.Task = true, 4 })), "run 4"},
			{begin(base, start(0, 1)), ""},
			{begin(base, with(func(s *message.Start) { s.Call, s.Task = true, 5 })), "refused 5 no connection is free"},
			{end(base, 3, 1, ""), "done 3, run 0"},
		}},
		{"a stopped task is told as stopped", []step{run, {stop(named(0, 1)), "halt 0"}, {stop(named(0, 1)), ""}, {end(base, 0, 2, ""), "stopped 0"}}},
		{"a task that ended before the stop arrived is done", []step{run, {stop(named(0, 1)), "halt 0"}, {end(base, 0, 1, ""), "done 0"}}},
		{"a lease that ends stops the running and refuses the pending task", []step{
			run, {begin(base, start(1, 1)), ""}, {expire(base + 10_000), ""}, {expire(base + 10_001), "halt 0, refused 1 lease ended"},
		}},
		{"a renewal keeps the lease", []step{
			run, {renew(base+9000, "own", 0), ""}, {expire(base + 19_000), ""}, {expire(base + 19_001), "halt 0"},
		}},
		{"a renewal by another incarnation does not keep the lease", []step{
			run, {renew(base+9000, "other", 0), ""}, {expire(base + 10_001), "halt 0"},
		}},
		{"a start that is refused does not keep the lease", []step{
			run, {begin(base+9000, start(1, 1)), "refused 1 start has expired"}, {expire(base + 10_001), "halt 0"},
		}},
		{"leaving refuses the pending and every later start", []step{
			run,
			{begin(base, start(1, 1)), ""},
			{func(x *Table) []Action { return x.Leave(base) }, "refused 1 agent is leaving"},
			{begin(base, start(2, 1)), "refused 2 agent is leaving"},
			{end(base, 0, 1, ""), "done 0"},
		}},
		{"a result is kept for a resume and then dropped", []step{
			run,
			{end(base, 0, 1, "r"), "done 0"},
			{resume(base, named(0, 1)), "done 0"},
			{expire(base + 15_001), ""},
			{resume(base+15_001, named(0, 1)), "unknown 0 result is no longer kept"},
		}},
		{"a result too large to keep is told once", []step{
			run, {end(base, 0, 1, "0123456789"), "done 0"}, {resume(base, named(0, 1)), "unknown 0 result is no longer kept"},
		}},
		{"a malformed job id changes nothing", []step{{begin(base, with(func(s *message.Start) { s.Job = "x" })), ""}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			x := New(Config{Incarnation: "agent", Slots: 1, Connections: 2, KeepBytes: 8})
			for i, s := range tc.steps {
				assert.Equal(t, describe(s.do(x)), s.want, "step %d", i)
			}
		})
	}
}

// Guards against a batch task, or a task of a busy entry, that takes the slot of one that should go first.
func TestPendingOrder(t *testing.T) {
	quick := start(3, 1)
	quick.Class = 1
	for _, tc := range []struct {
		name    string
		entries []string
		pending []message.Start
		want    string
	}{
		{"class", []string{"e", "e"}, []message.Start{start(2, 1), quick}, "done 0, run 3"},
		{"fewest running", []string{"e", "f"}, []message.Start{start(2, 1), start(3, 1)}, "done 0, run 3"},
		{"oldest", []string{"e", "e"}, []message.Start{start(3, 1), start(2, 1)}, "done 0, run 3"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			x := New(Config{Incarnation: "agent", Slots: 2})
			for i := range uint32(2) {
				_, err := x.Start(base, "e", start(i, 1))
				assert.NilError(t, err)
			}
			for i, s := range tc.pending {
				_, err := x.Start(base, tc.entries[i], s)
				assert.NilError(t, err)
			}
			assert.Equal(t, describe(x.Ended(base, key(0), message.StatusDone, nil, "")), tc.want)
		})
	}
}

// Guards against decisions that depend on the order of a map, which no recorded history could repeat.
func TestTableOrderIsRepeatable(t *testing.T) {
	x := New(Config{Incarnation: "agent", Slots: 4})
	for i := range uint32(8) {
		_, err := x.Start(base, "e", start(i, 1))
		assert.NilError(t, err)
	}
	assert.Equal(t, describe(x.Expire(base+11_000)),
		"halt 0, halt 1, halt 2, halt 3, refused 4 lease ended, refused 5 lease ended, refused 6 lease ended, refused 7 lease ended")
}

// Guards against a large job at one entry that keeps the small jobs of another from their even part of the slots, and
// against slots that stay empty because the other entry could claim them.
func TestWindowSharesSlotsEvenly(t *testing.T) {
	for _, tc := range []struct {
		name    string
		mine    int
		other   int
		running int
		told    bool
		want    int
	}{
		{"alone", 10, 0, 0, false, 8},
		{"the others' running tasks are left out", 10, 0, 3, false, 5},
		{"one slot is kept for an entry below its share", 400, 10, 0, false, 7},
		{"an entry that was told and did not come leaves its slots", 400, 10, 0, true, 8},
		{"an entry at its share gets no more", 10, 400, 4, false, 4},
		{"the share is free for an entry with little waiting", 1, 400, 8, false, 4},
		{"nobody waits and all slots are taken", 0, 0, 8, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			x := New(Config{Incarnation: "agent"})
			for i := range tc.running {
				_, err := x.Start(base, "other", start(uint32(i), 1))
				assert.NilError(t, err)
			}
			x.Renew(base, "e", "o", message.Renew{Backlog: tc.mine})
			x.Renew(base, "other", "p", message.Renew{Backlog: tc.other})
			x.use("other").told = tc.told
			assert.Equal(t, x.Load("e").Window, tc.want)
		})
	}
}

// Guards against an entry with waiting tasks that never learns that the tasks of another entry have left it a slot.
func TestFreeSlotIsOfferedOnce(t *testing.T) {
	x := New(Config{Incarnation: "agent", Slots: 2})
	for i := range uint32(2) {
		_, err := x.Start(base, "busy", start(i, 1))
		assert.NilError(t, err)
	}
	x.Renew(base, "waiting", "p", message.Renew{Backlog: 5})
	offers := func(task uint32) int {
		n := 0
		for _, a := range x.Ended(base+1, key(task), message.StatusDone, nil, "") {
			if o, ok := a.(Offer); ok {
				assert.Equal(t, o.Entry, "waiting")
				n++
			}
		}
		return n
	}
	assert.Equal(t, offers(0), 1)
	assert.Equal(t, offers(1), 0, "it was told and has not reported again")
}

// Guards against a task that waits at a full agent although the entry knows of free slots elsewhere.
func TestStartThatMustNotWaitIsRefused(t *testing.T) {
	x := New(Config{Incarnation: "agent", Slots: 1})
	_, err := x.Start(base, "e", start(0, 1))
	assert.NilError(t, err)
	s := start(1, 1)
	s.Wait = false
	actions, err := x.Start(base, "e", s)
	assert.NilError(t, err)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].(Reply).Done.Status, message.StatusRefused)
}
