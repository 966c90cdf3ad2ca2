package quarantine_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/quarantine"
)

// workers is the number of workers in the tests, those of the users' smaller deployments.
const workers = 11

func task(job string) quarantine.Task { return quarantine.Task{Job: job} }

// runAge is the age in ms of the runs on a worker that crashes, of the users' shortest tasks.
const runAge = 60 * clock.Millis(1)

// isolationDelay is the time in ms for which a worker runs nothing before an isolated run.
const isolationDelay = 100 * clock.Millis(1)

// record records crashes of different workers, each with the tasks of the named jobs after they have run for the given time
// in ms.
func record(l *quarantine.Ledger, ages []clock.Millis, crashes ...[]string) {
	now := clock.Millis(0)
	for i, jobs := range crashes {
		now += ages[i]
		var suspects []quarantine.Suspect
		for _, j := range jobs {
			suspects = append(suspects, quarantine.Suspect{Task: task(j), Age: ages[i]})
		}
		l.Record(now, 0, crashID(i), suspects, workers)
	}
}

// crashID identifies the crash of a worker with the given number.
func crashID(i int) quarantine.CrashID {
	return quarantine.CrashID{Runner: fmt.Sprint("r", i), Incarnation: int64(i)}
}

// Guards against a task that crashes workers without end, and against innocent tasks that are given up for it.
func TestResponsibility(t *testing.T) {
	cases := []struct {
		name    string
		ages    []clock.Millis
		crashes [][]string
		want    map[string]bool
	}{
		{"one crash", []clock.Millis{60}, [][]string{{"a"}}, map[string]bool{"a": false}},
		{"two crashes at the same point beside others", []clock.Millis{60, 62}, [][]string{{"a", "b"}, {"a", "c"}}, map[string]bool{"a": false, "b": false, "c": false}},
		{"two crashes at the same point", []clock.Millis{60, 62}, [][]string{{"a"}, {"a"}}, map[string]bool{"a": true}},
		{"two crashes at different points", []clock.Millis{60, 100}, [][]string{{"a"}, {"a"}}, map[string]bool{"a": false}},
		{"at the end of long runs", []clock.Millis{900, 870, 920, 910}, [][]string{{"a"}, {"a"}, {"a"}, {"a"}}, map[string]bool{"a": true}},
		{"two crashes at different points of long runs", []clock.Millis{400, 870}, [][]string{{"a"}, {"a"}}, map[string]bool{"a": false}},
		{"five crashes at different points", []clock.Millis{60, 400, 870, 200, 600}, [][]string{{"a"}, {"a"}, {"a"}, {"a"}, {"a"}}, map[string]bool{"a": true}},
		{"two jobs with the same crashes", []clock.Millis{60, 60}, [][]string{{"a", "b"}, {"a", "b"}}, map[string]bool{"a": false, "b": false}},
		{"the next crashes tell them apart", []clock.Millis{60, 60, 60, 60}, [][]string{{"a", "b"}, {"a", "b"}, {"a"}, {"a"}}, map[string]bool{"a": true, "b": false}},
		{"five common crashes", []clock.Millis{60, 60, 60, 60, 60}, [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}}, map[string]bool{"a": false, "b": false}},
		{"many workers at once", []clock.Millis{1, 1, 1, 1}, [][]string{{"a"}, {"a"}, {"a"}, {"a"}}, map[string]bool{"a": false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := quarantine.NewLedger()
			record(l, c.ages, c.crashes...)
			for job, want := range c.want {
				assert.Equal(t, l.Responsible(task(job)), want, job)
			}
		})
	}
}

// Guards against innocent tasks that are held responsible for crashes of workers that ran bad tasks beside them.
func TestCompanyOfBadTasksIsNoEvidence(t *testing.T) {
	type ages map[string]clock.Millis
	cases := []struct {
		name    string
		crashes []ages
	}{
		{"a different bad task each time", []ages{{"a": 779, "1": 63}, {"a": 464, "2": 64}, {"a": 58, "3": 62}, {"a": 189, "4": 63}, {"a": 143, "5": 63}}},
		{"started together twice", []ages{{"a": 90, "bad": 13}, {"a": 84, "bad": 71}}},
		{"started again with the bad task", []ages{{"a": 65, "bad": 64}, {"a": 13, "bad": 13}, {"a": 58, "bad": 26}, {"a": 65, "bad": 64}}},
		{"the others on the worker had no earlier crash", []ages{{"a": 26, "1": 62, "2": 90}, {"a": 29, "3": 63, "4": 5}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := quarantine.NewLedger()
			now := clock.Millis(0)
			for i, suspects := range c.crashes {
				now += 200
				var all []quarantine.Suspect
				for job, age := range suspects {
					all = append(all, quarantine.Suspect{Task: task(job), Age: age})
				}
				l.Record(now, 0, quarantine.CrashID{Runner: fmt.Sprint("r", i), Incarnation: 1}, all, workers)
			}
			assert.Assert(t, !l.Responsible(task("a")))
		})
	}
}

// Guards against a queue that is contained late while many workers crash, and one that is contained because of crashes by
// chance.
func TestSuspicion(t *testing.T) {
	crashes := func(second clock.Millis) *quarantine.Ledger {
		l := quarantine.NewLedger()
		for i := range 2 {
			l.Record(clock.Millis(100*i), 0, quarantine.CrashID{Runner: "other", Incarnation: int64(i)}, nil, workers)
		}
		for i, age := range []clock.Millis{60, second} {
			l.Record(400+age*clock.Millis(i), 0, quarantine.CrashID{Runner: "r", Incarnation: int64(i)}, []quarantine.Suspect{{Task: task("a"), Age: age}}, workers)
		}
		return l
	}
	assert.Assert(t, crashes(60).Suspected(task("a")))
	assert.Assert(t, !crashes(60).Responsible(task("a")))
	assert.Assert(t, !crashes(500).Suspected(task("a")))
}

// Guards against innocent tasks that are given up because the task that crashed their workers was found too late.
func TestConvictionClearsTheOthers(t *testing.T) {
	l := quarantine.NewLedger()
	record(l, []clock.Millis{60, 60, 60, 60, 60}, []string{"a", "b"}, []string{"a", "b"}, []string{"a"}, []string{"a"}, []string{"c", "b"})
	assert.DeepEqual(t, l.Convict(task("a")), []quarantine.CrashID{crashID(0), crashID(1), crashID(2), crashID(3)})
	assert.Assert(t, !l.Responsible(task("b")))
	assert.Assert(t, l.Responsible(task("a")), "a job that is submitted again fails at once")

	other := quarantine.NewLedger()
	record(other, []clock.Millis{60, 60, 60}, []string{"b", "1"}, []string{"b", "2"}, nil)
	assert.Assert(t, other.NeedsIsolation(task("b")))
	other.Explain([]quarantine.CrashID{crashID(0), {Runner: "unknown"}})
	assert.Assert(t, !other.NeedsIsolation(task("b")), "another gateway has found the responsible task")
}

// Guards against crashes that an entry is told of only after a restart, all at once: they keep their times.
func TestOldCrashesKeepTheirTimes(t *testing.T) {
	l := quarantine.NewLedger()
	for i, at := range []clock.Millis{1200, 1140, 9000, 1260, 1080} {
		suspects := []quarantine.Suspect{{Task: task("a"), Age: runAge}}
		if at == 9000 {
			suspects = nil
		}
		assert.Assert(t, l.Record(10*clock.Second, 10*clock.Second-at, crashID(i), suspects, workers))
	}
	assert.Assert(t, l.Responsible(task("a")))
	l.Record(32*clock.Second, 0, quarantine.CrashID{Runner: "r", Incarnation: 9}, nil, workers)
	assert.Equal(t, l.Crashes(task("a")), 0, "the four old crashes are forgotten")
}

// Guards against a crash that counts twice because it is reported again on a new link, and against memory that grows.
func TestLedgerIsBounded(t *testing.T) {
	l := quarantine.NewLedger()
	id := quarantine.CrashID{Runner: "r", Incarnation: 1}
	suspects := []quarantine.Suspect{{Task: task("a"), Age: runAge}}
	assert.Assert(t, l.Record(0, 0, id, suspects, workers))
	assert.Assert(t, !l.Record(5, 0, id, suspects, workers))
	assert.Equal(t, l.Crashes(task("a")), 1)
	assert.Assert(t, l.Record(5, 0, quarantine.CrashID{Runner: "twice"}, append(suspects, suspects...), workers))
	assert.Equal(t, l.Crashes(task("a")), 2, "a crash counts once for a task that is named twice")
	for _, ago := range []clock.Millis{-1, -1 << 62, clock.Second * 30, 1 << 62} {
		assert.Assert(t, !l.Record(5, ago, quarantine.CrashID{Runner: "odd", Incarnation: int64(ago)}, suspects, workers))
	}
	assert.Equal(t, l.Crashes(task("a")), 2, "a malformed time changes nothing")
	many := make([]quarantine.Suspect, 1000)
	for i := range many {
		many[i] = quarantine.Suspect{Task: quarantine.Task{Job: "many", Task: i}}
	}
	for i := range 600 {
		l.Record(10, 0, quarantine.CrashID{Runner: fmt.Sprint(i)}, many, workers)
	}
	assert.Equal(t, l.Crashes(task("a")), 0, "the oldest crash is forgotten")
	assert.Equal(t, l.Crashes(many[0].Task), 512)
	assert.Equal(t, l.Crashes(many[999].Task), 0, "a crash keeps only a part of very many tasks")
	l.Record(clock.Second*60, 0, quarantine.CrashID{Runner: "last"}, nil, workers)
	assert.Equal(t, l.Crashes(many[0].Task), 0, "crashes are forgotten after some time")
}

// Guards against a task that is responsible although one worker alone crashes, under whatever it runs.
func TestCrashesOfOneWorkerAreNoEvidence(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 4 {
		l.Record(clock.Second*clock.Millis(i), 0, quarantine.CrashID{Runner: "r", Incarnation: int64(i)}, []quarantine.Suspect{{Task: task("a"), Age: runAge}}, workers)
	}
	assert.Assert(t, !l.Responsible(task("a")))

	l = quarantine.NewLedger()
	for i := range 8 {
		runner := fmt.Sprint("r", i%2)
		l.Record(500*clock.Millis(i), 0, quarantine.CrashID{Runner: runner, Incarnation: int64(i)}, []quarantine.Suspect{{Task: task(fmt.Sprint("j", i/2)), Age: 700}}, workers)
	}
	assert.Assert(t, !l.Responsible(task("j3")), "both workers crash again and again")
}

// Guards against a task that is responsible for crashes of workers that crash as often while they are idle.
func TestCrashesOfIdleWorkersWeakenTheEvidence(t *testing.T) {
	for _, idle := range []int{0, 3} {
		l := quarantine.NewLedger()
		for i := range 2 {
			runner := fmt.Sprint("r", i)
			at := 10 * clock.Second * clock.Millis(i+1)
			for n := range idle {
				l.Record(at-clock.Second*clock.Millis(n+1), 0, quarantine.CrashID{Runner: runner, Incarnation: int64(n)}, nil, workers)
			}
			l.Record(at, 0, quarantine.CrashID{Runner: runner, Incarnation: 9}, []quarantine.Suspect{{Task: task("a"), Age: runAge}}, workers)
		}
		assert.Equal(t, l.Responsible(task("a")), idle == 0)
	}
}

// Guards against a bad task that is never found among innocent ones, at any delay of its crashes: it is responsible after
// five crashes at the latest.
func TestBadTaskIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := quarantine.NewLedger()
		now := clock.Millis(0)
		delay := clock.Millis(rapid.SampledFrom([]int{0, 50, 900}).Draw(t, "delay"))
		crashes := 0
		for ; !l.Responsible(task("bad")); crashes++ {
			assert.Assert(t, !l.Exhausted(task("bad")), "%d crashes", crashes)
			now += delay + clock.Millis(rapid.IntRange(0, 200).Draw(t, "distance"))
			suspects := []quarantine.Suspect{{Task: task("bad"), Age: delay}}
			if l.NeedsIsolation(task("bad")) {
				now += isolationDelay
				l.Record(now, 0, crashID(crashes), suspects, workers)
				continue
			}
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 0, 12, rapid.ID[int]).Draw(t, "beside") {
				suspects = append(suspects, quarantine.Suspect{Task: task(fmt.Sprint(n)), Age: clock.Millis(rapid.IntRange(0, 900).Draw(t, "age"))})
			}
			l.Record(now, 0, crashID(crashes), suspects, workers)
		}
		assert.Assert(t, crashes <= maxCrashes, "%d crashes", crashes)
	})
}

// Guards against bad tasks of one kind that hide each other: each crashes its first worker beside others, and the rate of crashes
// seems to explain them all.
func TestBadTasksOfOneKindAreSuspected(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 6 {
		l.Record(clock.Millis(100*i), 0, crashID(i), []quarantine.Suspect{{Task: task(fmt.Sprint("bad", i)), Age: runAge}}, workers)
	}
	l.Record(700, 0, crashID(6), []quarantine.Suspect{{Task: task("bad5"), Age: runAge + 2}}, workers)
	assert.Assert(t, l.Suspected(task("bad5")))
	assert.Assert(t, !l.Suspected(task("bad1")))
}

// Guards against evidence from a crash that turned out not to have happened.
func TestWithdrawnCrashIsForgotten(t *testing.T) {
	l := quarantine.NewLedger()
	record(l, []clock.Millis{60, 62}, []string{"a", "b"}, []string{"a"})
	l.Withdraw(crashID(0))
	l.Withdraw(crashID(7))
	assert.Equal(t, l.Crashes(task("a")), 1)
	assert.Equal(t, l.Crashes(task("b")), 0)
	assert.Assert(t, l.Record(200, 0, crashID(0), nil, workers), "the incarnation may crash later")
}
