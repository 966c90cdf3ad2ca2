package queue_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/queue"
)

// entries are schedulers with a runner each, which exchange claims unless one of them is cut off.
type entries struct {
	all []*harness
	cut map[string]bool
	// claims counts the claims sent.
	claims int
	// outsideRunner is set if the entries hear a runner outside their failure domain.
	outsideRunner bool
}

var entryNames = []string{"e1", "e2", "e3"}

func newEntries() *entries {
	e := &entries{cut: map[string]bool{}}
	for i, name := range entryNames {
		h := newHarness("d1")
		h.name, h.share = name, e.deliver
		e.all = append(e.all, h)
		h.enroll("r"+name, "d1")
		for _, other := range e.all[:i] {
			e.link(h, other)
		}
	}
	// An entry that has just started does not know the runs of its predecessor.
	e.advance(2 * clock.Second)
	return e
}

func (e *entries) link(a, b *harness) {
	a.perform(a.scheduler.PeerLinked(a.now, b.name))
	b.perform(b.scheduler.PeerLinked(b.now, a.name))
}

// deliver passes a claim or an answer on, unless one of the two entries is cut off.
func (e *entries) deliver(from *harness, action queue.Action) {
	if a, ok := action.(queue.ShareClaims); ok {
		e.claims += len(a.Jobs)
	}
	for _, to := range e.all {
		switch a := action.(type) {
		case queue.ShareClaims:
			if to.name == a.Peer && !e.cut[from.name] && !e.cut[to.name] {
				to.perform(to.scheduler.HandleClaims(to.now, from.name, a.Jobs))
			}
		case queue.AnswerClaims:
			if to.name == a.Peer && !e.cut[from.name] && !e.cut[to.name] {
				to.perform(to.scheduler.HandleClaimAnswer(to.now, from.name, a.Answer))
			}
		}
	}
}

// advance lets time pass. Reports and frames between entries arrive every 20 ms, except at entries that are cut off.
func (e *entries) advance(d clock.Millis) {
	for range d / 20 {
		for _, h := range e.all {
			h.now += 20
			if !e.cut[h.name] {
				e.hear(h)
			}
			h.perform(h.scheduler.Tick(h.now))
		}
	}
}

// hear delivers a report of the runner of an entry and a frame from each other entry.
func (e *entries) hear(h *harness) {
	h.scheduler.RecordContact(h.now, "d1")
	for _, other := range e.all {
		if other != h && !e.cut[other.name] {
			h.scheduler.PeerHeard(h.now, other.name)
			h.scheduler.RecordContact(h.now, "d2")
		}
	}
	if e.outsideRunner {
		h.scheduler.RecordContact(h.now, "d2")
	}
	h.report("r"+h.name, capacity)
}

// Guards against a job that runs at two entries, because the first one has not noticed that its caller has left.
func TestJobSubmittedToTwoEntries(t *testing.T) {
	e := newEntries()
	first, second := e.all[0], e.all[1]
	first.submit("a", 1, 900, 6*clock.Second)
	run := first.takeOrders()[0]
	e.advance(1300)
	assert.Equal(t, e.claims, 2, "the job is claimed once at each other entry")
	j, _ := second.submit("a", 1, 900, 6*clock.Second)
	assert.Equal(t, first.answers["a"].Result, lavendercourse.JobInterrupted)
	assert.DeepEqual(t, first.recalled, []lavendercourse.RunID{run.run})
	assert.Equal(t, j.AwaitedPeer(), "e1")
	e.advance(100)
	assert.Equal(t, len(second.takeOrders()), 0, "the first run has not ended")
	first.endRun(run, lavendercourse.EndStopped, capacity)
	assert.Equal(t, len(second.takeOrders()), 1)
	second.endRun(sentRun{runner: "re2", run: run.run}, lavendercourse.EndDone, capacity)
	assert.Equal(t, second.answers["a"].Result, lavendercourse.JobCompleted)
}

// Guards against a job that starts at a second entry while the first one is cut off and its runs may go on.
func TestJobOfEntryThatIsCutOff(t *testing.T) {
	e := newEntries()
	first, second := e.all[0], e.all[1]
	first.submit("a", 1, 900, 6*clock.Second)
	e.advance(1100)
	e.cut["e1"] = true
	e.advance(200)
	second.submit("a", 1, 900, 6*clock.Second)
	// Config.RunExpiry is 900 + 900 + 150 ms.
	e.advance(1700)
	assert.Equal(t, len(second.takeOrders()), 0)
	e.advance(60)
	assert.Equal(t, len(second.takeOrders()), 1)
}

// Guards against an entry that orders runs of an old job right after it was cut off, before it knows which jobs other entries
// have got meanwhile, and against a job that both entries then give up.
func TestEntryIsBackFromCut(t *testing.T) {
	for _, c := range []struct {
		name string
		// relink is set if the links to the other entries have to be made again, wait is the time after which the one to the entry
		// that has the job is made.
		relink bool
		wait   clock.Millis
	}{{"links have survived", false, 0}, {"links are made again", true, 0}, {"one link is made later", true, 400}} {
		t.Run(c.name, func(t *testing.T) {
			e := newEntries()
			first, second := e.all[0], e.all[1]
			first.submit("a", 1, 900, 6*clock.Second)
			e.cut["e1"] = true
			if c.relink {
				for _, other := range e.all[1:] {
					first.scheduler.PeerUnlinked(other.name)
					other.scheduler.PeerUnlinked("e1")
				}
			}
			e.advance(2500)
			second.submit("a", 1, 900, 6*clock.Second)
			assert.Equal(t, len(second.takeOrders()), 1, "the entry knows nothing of the first submission")
			first.takeOrders()
			// Frames of runners arrive before those of other entries.
			first.scheduler.RecordContact(first.now, "d1")
			first.enroll("re1", "d1")
			assert.Equal(t, len(first.takeOrders()), 0)
			e.cut["e1"] = false
			first.perform(first.scheduler.Tick(first.now))
			assert.Equal(t, len(first.takeOrders()), 0)
			if c.relink {
				e.link(first, e.all[2])
				e.advance(c.wait)
				e.link(first, second)
			}
			e.advance(1200)
			assert.Equal(t, len(first.takeOrders()), 0)
			assert.Equal(t, first.answers["a"].Result, lavendercourse.JobInterrupted)
			_, answered := second.answers["a"]
			assert.Assert(t, !answered)
		})
	}
}

// Guards against a submission that a cut or a pause has held up and that runs beside a later one of the same job.
func TestOldSubmissionAfterCut(t *testing.T) {
	e := newEntries()
	first, second := e.all[0], e.all[1]
	e.advance(100)
	e.cut["e1"] = true
	e.advance(4000)
	second.submit("a", 1, 900, 1500)
	second.takeOrders()
	first.submit("a", 1, 900, 1500)
	e.cut["e1"] = false
	e.hear(first)
	e.advance(200)
	assert.Equal(t, len(first.takeOrders()), 0)
	assert.Equal(t, first.answers["a"].Result, lavendercourse.JobInterrupted)
	first.submit("b", 1, 100, 1500)
	e.advance(20)
	assert.Equal(t, len(first.takeOrders()), 1, "a job that no other entry has is served within a tick")
}

// Guards against a submission that has waited for an entry which started behind a cut, and runs beside a later one.
func TestOldSubmissionAtStartedEntry(t *testing.T) {
	e := newEntries()
	second := e.all[1]
	h := newHarness("d1")
	h.name, h.share, h.now = "e1", e.deliver, second.now
	e.all[0] = h
	h.scheduler.RecordContact(h.now, "")
	e.cut["e1"] = true
	e.advance(3000)
	second.submit("a", 1, 900, 1500)
	assert.Equal(t, len(second.takeOrders()), 1)
	h.submit("a", 1, 900, 1500)
	e.cut["e1"] = false
	h.scheduler.RecordContact(h.now, "d1")
	h.enroll("re1", "d1")
	e.link(h, second)
	e.link(h, e.all[2])
	e.advance(200)
	assert.Equal(t, len(h.takeOrders()), 0)
	assert.Equal(t, h.answers["a"].Result, lavendercourse.JobInterrupted)
}

// Guards against a submission that a cut between callers and their entry has held up, which keeps in contact with runners and
// other entries.
func TestOldSubmissionAfterCutOfCallers(t *testing.T) {
	e := newEntries()
	first, second := e.all[0], e.all[1]
	first.submit("a", 1, 100, 1500)
	first.endRun(first.takeOrders()[0], lavendercourse.EndDone, capacity)
	e.advance(2800)
	second.submit("b", 1, 900, 1500)
	second.takeOrders()
	e.advance(200)
	j, _ := first.submit("b", 1, 900, 1500)
	first.submit("c", 1, 100, 1500)
	assert.Equal(t, len(first.takeOrders()), 0)
	first.now += 3
	first.perform(first.scheduler.CallerLeft(first.now, j))
	e.advance(40)
	orders := first.takeOrders()
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].run.Job, "c", "a job that no other entry has is served within two ticks")
	_, answered := second.answers["b"]
	assert.Assert(t, !answered, "the later submission goes on")
}

// Guards against a caller whose submission loses against an earlier one elsewhere, because it is the first one at its entry for
// some time.
func TestLaterSubmissionAtIdleEntry(t *testing.T) {
	e := newEntries()
	first, second := e.all[0], e.all[1]
	second.submit("z", 1, 10, 0)
	second.takeOrders()
	e.advance(3000)
	first.submit("a", 1, 900, 6*clock.Second)
	run := first.takeOrders()[0]
	e.advance(1300)
	second.submit("a", 1, 900, 6*clock.Second)
	e.advance(100)
	assert.Equal(t, first.answers["a"].Result, lavendercourse.JobInterrupted)
	assert.Equal(t, len(second.takeOrders()), 0, "the first run has not ended")
	first.endRun(run, lavendercourse.EndStopped, capacity)
	e.advance(40)
	assert.Equal(t, len(second.takeOrders()), 1)
}

// Guards against jobs that wait for entries that are away: all of them, one of several, or one that never answers.
func TestClaimsWithoutAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		away func(e *entries)
		want clock.Millis
	}{
		{"all answer", func(*entries) {}, 0},
		{"one does not answer", func(e *entries) { e.cut["e2"] = true }, 300},
		{"nothing outside the domain is heard", func(e *entries) { e.cut["e2"], e.cut["e3"] = true, true }, 10000},
		{"none answers", func(e *entries) { e.cut["e2"], e.cut["e3"], e.outsideRunner = true, true, true }, 1000},
		{"none is linked", func(e *entries) {
			e.all[0].scheduler.PeerUnlinked("e2")
			e.all[0].scheduler.PeerUnlinked("e3")
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEntries()
			first := e.all[0]
			e.advance(1100)
			first.submit("a", 1, 900, clock.Minute)
			run := first.takeOrders()[0]
			c.away(e)
			e.advance(1000)
			first.endRun(run, lavendercourse.EndLost, capacity)
			began := first.now
			for len(first.takeOrders()) == 0 {
				assert.Assert(t, first.now-began <= c.want, "the task has waited for %d ms", first.now-began)
				e.advance(20)
			}
		})
	}
}

// Guards against jobs that are claimed although they end early, since claims are messages to all other entries.
func TestShortJobsAreNotClaimed(t *testing.T) {
	e := newEntries()
	e.all[0].submit("a", 1, 900, 6*clock.Second)
	run := e.all[0].takeOrders()[0]
	e.advance(900)
	e.all[0].endRun(run, lavendercourse.EndDone, capacity)
	e.advance(500)
	assert.Equal(t, e.claims, 0)
}

// Guards against claims of many jobs that are kept for ever.
func TestClaimsExpire(t *testing.T) {
	h := newHarness("d1")
	h.enroll("r1", "d1")
	h.perform(h.scheduler.PeerLinked(h.now, "e2"))
	h.perform(h.scheduler.HandleClaims(h.now, "e2", []message.ClaimedJob{{Key: testQueue.PathPrefix + "a", Age: 1000, Remaining: 500}}))
	h.now += 500 + 1950
	h.report("r1", capacity)
	h.perform(h.scheduler.Tick(h.now))
	h.submit("a", 1, 100, 0)
	assert.Equal(t, len(h.takeOrders()), 1)
}

// Guards against an entry that takes part in a cut of its failure domain, hears its own runner all the time, and orders an old
// submission or a task of an old job when the cut ends or before.
func TestEntryInDomainThatIsCutOff(t *testing.T) {
	e := newEntries()
	first, second := e.all[0], e.all[1]
	first.submit("z", 1, 900, 6*clock.Second)
	first.endRun(first.takeOrders()[0], lavendercourse.EndDone, capacity)
	first.submit("a", 1, 900, 6*clock.Second)
	run := first.takeOrders()[0]
	e.cut["e1"] = true
	for range 4000 / 20 {
		e.advance(20)
		first.scheduler.RecordContact(first.now, "d1")
		first.report("re1", capacity)
	}
	second.submit("a", 1, 900, 6*clock.Second)
	second.submit("b", 1, 900, 1500)
	assert.Equal(t, len(second.takeOrders()), 2)
	first.endRun(run, lavendercourse.EndLost, capacity)
	assert.Equal(t, len(first.takeOrders()), 0, "other entries may have the job")
	first.submit("b", 1, 900, 1500)
	assert.Equal(t, len(first.takeOrders()), 0, "the submission may be old")
	e.cut["e1"] = false
	e.hear(first)
	e.advance(200)
	assert.Equal(t, len(first.takeOrders()), 0)
	assert.Equal(t, first.answers["a"].Result, lavendercourse.JobInterrupted)
	assert.Equal(t, first.answers["b"].Result, lavendercourse.JobInterrupted)
}

// Guards against an entry that answers for the process before it, whose runs may go on.
func TestRestartedEntryDoesNotAnswerForItsPredecessor(t *testing.T) {
	e := newEntries()
	first, second := e.all[0], e.all[1]
	first.submit("a", 1, 900, 6*clock.Second)
	e.advance(1300)
	second.submit("a", 1, 900, 6*clock.Second)
	second.scheduler.PeerUnlinked("e1")
	e.advance(200)
	h := newHarness("d1")
	h.name, h.share, h.now = "e1", e.deliver, second.now
	e.all[0] = h
	e.link(h, second)
	e.advance(1900)
	assert.Equal(t, len(second.takeOrders()), 0)
	e.advance(60)
	assert.Equal(t, len(second.takeOrders()), 1)
	assert.Assert(t, first != h)
}

// Guards against an entry that answers that nothing of a job runs while it waits for the runs at a third one.
func TestJobSubmittedToThreeEntries(t *testing.T) {
	e := newEntries()
	first, second, third := e.all[0], e.all[1], e.all[2]
	first.submit("a", 1, 900, 6*clock.Second)
	run := first.takeOrders()[0]
	e.advance(1300)
	second.submit("a", 1, 900, 6*clock.Second)
	e.advance(1300)
	third.submit("a", 1, 900, 6*clock.Second)
	e.advance(1800)
	assert.Equal(t, len(second.takeOrders())+len(third.takeOrders()), 0, "the run at the first entry has not ended")
	first.endRun(run, lavendercourse.EndStopped, capacity)
	e.advance(200)
	assert.Equal(t, len(second.takeOrders()), 0)
	assert.Equal(t, len(third.takeOrders()), 1)
}

// Guards against answers to an earlier claim, which a pause has held up, that are taken for those to a later one.
func TestAnswersToEarlierClaims(t *testing.T) {
	e := newEntries()
	first, second := e.all[0], e.all[1]
	var held []queue.AnswerClaims
	for _, h := range e.all[1:] {
		h.share = func(_ *harness, a queue.Action) {
			if a, ok := a.(queue.AnswerClaims); ok {
				held = append(held, a)
			}
		}
	}
	first.submit("a", 1, 900, 8*clock.Second)
	first.takeOrders()
	e.advance(1040)
	assert.Equal(t, len(held), 2)
	e.cut["e1"] = true
	e.advance(3000)
	second.submit("a", 1, 900, 8*clock.Second)
	assert.Equal(t, len(second.takeOrders()), 1, "the runs of the first entry have expired")
	e.cut["e1"] = false
	e.hear(first)
	first.enroll("re1", "d1")
	first.perform(first.scheduler.Tick(first.now))
	for _, a := range held {
		first.perform(first.scheduler.HandleClaimAnswer(first.now, "e2", a.Answer))
		first.perform(first.scheduler.HandleClaimAnswer(first.now, "e3", a.Answer))
	}
	assert.Equal(t, len(first.takeOrders()), 0)
}

// Guards against claims that other entries forget before the job ends, because its time limit is long, or because a caller that
// joined it has extended the limit.
func TestClaimsLastAsLongAsTheJob(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit clock.Millis
		joins bool
		wait  clock.Millis
	}{
		{"long limit", 60 * clock.Second, false, 40 * clock.Second},
		{"no limit", 0, false, 40 * clock.Second},
		{"a caller joins", 2 * clock.Second, true, 20 * clock.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEntries()
			first, second := e.all[0], e.all[1]
			first.submit("a", 1, 900, c.limit)
			e.advance(1500)
			if c.joins {
				first.submit("a", 1, 900, 60*clock.Second)
			}
			e.advance(c.wait)
			second.submit("a", 1, 900, 6*clock.Second)
			assert.Equal(t, len(second.takeOrders()), 0)
			assert.Equal(t, first.answers["a"].Result, lavendercourse.JobInterrupted)
		})
	}
}

// Guards against a claim that counts for the first submission of the job only.
func TestClaimCountsForLaterSubmissions(t *testing.T) {
	e := newEntries()
	first, second := e.all[0], e.all[1]
	first.submit("a", 1, 900, 6*clock.Second)
	first.takeOrders()
	e.advance(1300)
	j, _ := second.submit("a", 1, 900, 6*clock.Second)
	second.perform(second.scheduler.CallerLeft(second.now, j))
	e.advance(100)
	second.submit("a", 1, 900, 6*clock.Second)
	assert.Equal(t, len(second.takeOrders()), 0, "the run at the first entry has not ended")
}

// Guards against claims at all entries of a large fleet of jobs whose callers wait as far as is known.
func TestClaimsAreBounded(t *testing.T) {
	h := newHarness("d1")
	h.enroll("r1", "d1")
	claims := 0
	h.share = func(_ *harness, a queue.Action) {
		if c, ok := a.(queue.ShareClaims); ok {
			claims += len(c.Jobs)
		}
	}
	for i := range 100 {
		h.perform(h.scheduler.PeerLinked(h.now, fmt.Sprintf("e%d", i)))
	}
	h.submit("a", 1, 900, 6*clock.Second)
	for range 60 {
		h.now += 20
		h.scheduler.RecordContact(h.now, "d1")
		h.perform(h.scheduler.Tick(h.now))
	}
	assert.Equal(t, claims, 16)
}

// Guards against a job that is submitted again to the same entry and starts while a run of the earlier submission goes on.
func TestRunsOfEarlierSubmissionEndFirst(t *testing.T) {
	for _, c := range []struct {
		name string
		// end lets the run end, for the entry.
		end func(h *harness, run sentRun)
	}{
		{"the runner reports the end", func(h *harness, run sentRun) { h.endRun(run, lavendercourse.EndStopped, capacity) }},
		{"the runner is silent", func(h *harness, _ sentRun) {
			h.scheduler.Unlinked("r1")
			h.now += 1950
			h.report("r2", capacity)
			h.perform(h.scheduler.Tick(h.now))
		}},
		{"the runner makes a new link", func(h *harness, _ sentRun) { h.enroll("r1", "d1") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness("d1")
			h.enroll("r1", "d1")
			j, _ := h.submit("a", 1, 100, 0)
			run := h.takeOrders()[0]
			h.enroll("r2", "d1")
			h.perform(h.scheduler.CallerLeft(h.now, j))
			h.submit("a", 1, 100, 0)
			h.submit("b", 1, 100, 0)
			assert.Equal(t, h.takeOrders()[0].run.Job, "b", "other jobs do not wait")
			h.perform(h.scheduler.Tick(h.now))
			assert.Equal(t, len(h.takeOrders()), 0)
			c.end(h, run)
			orders := h.takeOrders()
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, orders[0].run, lavendercourse.RunID{Job: "a", Run: 2})
		})
	}
}

// Guards against a job that starts beside a run of an earlier submission that has not ended for longer than ended jobs are kept.
func TestLongRunOfEarlierSubmission(t *testing.T) {
	h := newHarness("d1")
	h.enroll("r1", "d1")
	j, _ := h.submit("a", 1, 100, 0)
	assert.Equal(t, len(h.takeOrders()), 1)
	h.perform(h.scheduler.CallerLeft(h.now, j))
	for range 16 {
		h.now += clock.Second
		h.report("r1", capacity)
		h.perform(h.scheduler.Tick(h.now))
	}
	assert.Equal(t, h.scheduler.InFlightOn("r1"), 1)
	h.submit("a", 1, 100, 0)
	assert.Equal(t, len(h.takeOrders()), 0)
}
