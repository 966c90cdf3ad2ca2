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

// runExpiry is Config.RunExpiry: 900 + 900 + 150 ms.
const runExpiry = 1950 * clock.Millis(1)

// keyA is the key of job "a".
var keyA = testQueue.PathPrefix + "a"

// peerHarness is an entry with a runner, whose other entries the test plays. They answer nothing by themselves.
type peerHarness struct {
	*harness
	peers []string
	// silent holds the entries that send no frames.
	silent map[string]bool
	// claims, free and kept hold what the entry has sent to each of the others.
	claims map[string][]message.ClaimedJob
	free   map[string][]message.SettledJob
	kept   map[string][]message.SettledJob
}

func newPeerHarness(peers ...string) *peerHarness {
	h := &peerHarness{harness: newHarness("d1"), peers: peers, silent: map[string]bool{}}
	h.name, h.share = "e1", h.record
	h.forget()
	h.enroll("r1", "d1")
	for _, name := range peers {
		h.perform(h.scheduler.PeerLinked(h.now, name))
	}
	// An entry that has just started does not answer for the runs of its predecessor.
	h.advance(2 * clock.Second)
	return h
}

func (h *peerHarness) forget() {
	h.claims, h.free, h.kept = map[string][]message.ClaimedJob{}, map[string][]message.SettledJob{}, map[string][]message.SettledJob{}
}

func (h *peerHarness) record(_ *harness, action queue.Action) {
	switch a := action.(type) {
	case queue.ShareClaims:
		h.claims[a.Peer] = append(h.claims[a.Peer], a.Jobs...)
	case queue.AnswerClaims:
		h.free[a.Peer] = append(h.free[a.Peer], a.Answer.Free...)
		h.kept[a.Peer] = append(h.kept[a.Peer], a.Answer.Kept...)
	}
}

// advance lets time pass in steps of 10 ms, with frames of the runner and of all entries that are not silent.
func (h *peerHarness) advance(d clock.Millis) {
	for range d / 10 {
		h.now += 10
		h.scheduler.RecordContact(h.now, "d1")
		for _, name := range h.peers {
			if !h.silent[name] {
				h.scheduler.PeerHeard(h.now, name)
				h.scheduler.RecordContact(h.now, "d2")
			}
		}
		h.report("r1", capacity)
		h.perform(h.scheduler.Tick(h.now))
	}
}

// claim delivers a claim of job "a" by another entry.
func (h *peerHarness) claim(peer string, age clock.Millis) {
	h.perform(h.scheduler.HandleClaims(h.now, peer, []message.ClaimedJob{{Key: keyA, Claimed: 77, Age: age, Remaining: clock.Minute}}))
}

// claimsOfA returns the claims of job "a" that were sent.
func (h *peerHarness) claimsOfA() []message.ClaimedJob {
	var claims []message.ClaimedJob
	for _, jobs := range h.claims {
		for _, j := range jobs {
			if j.Key == keyA {
				claims = append(claims, j)
			}
		}
	}
	return claims
}

// answerFree answers the last claim of job "a" at an entry.
func (h *peerHarness) answerFree(peer string) {
	c := h.claims[peer]
	h.answer(peer, message.ClaimAnswer{Free: []message.SettledJob{{Key: keyA, Claimed: c[len(c)-1].Claimed}}})
}

func (h *peerHarness) answer(peer string, a message.ClaimAnswer) {
	h.perform(h.scheduler.HandleClaimAnswer(h.now, peer, a))
}

// ordersAfter returns the time in ms until the next order, or limit if there is none before.
func (h *peerHarness) ordersAfter(limit clock.Millis) clock.Millis {
	began := h.now
	for len(h.takeOrders()) == 0 && h.now-began < limit {
		h.advance(10)
	}
	return h.now - began
}

// Guards against two entries that both keep a job, or both give it up although their submissions have different ages.
func TestYoungerSubmissionIsKept(t *testing.T) {
	for _, c := range []struct {
		name string
		// claimed is set if the entry has claimed the job itself and got no answer, answered if it got one.
		claimed, answered bool
		other             clock.Millis
		kept              bool
	}{
		{"other is younger", false, false, 499, false},
		{"other has the same age", false, false, 500, false},
		{"other is older", false, false, 501, true},
		{"claims cross, other states the same age", true, false, 1000, false},
		{"claims cross, other states a higher age", true, false, 1001, true},
		{"other is older than an answered claim, but younger than the job", true, true, 1001, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPeerHarness("e2")
			h.submit("a", 1, 900, 8*clock.Second)
			h.advance(500)
			if c.claimed {
				h.advance(600)
			}
			if c.answered {
				h.answerFree("e2")
			}
			h.claim("e2", c.other)
			answer, answered := h.answers["a"]
			assert.Equal(t, answered, !c.kept)
			if c.kept {
				assert.DeepEqual(t, h.kept["e2"], settled(77))
				return
			}
			assert.Equal(t, answer.Result, lavendercourse.JobInterrupted)
			assert.Equal(t, len(h.recalled), 1)
			assert.Equal(t, len(h.kept["e2"])+len(h.free["e2"]), 0, "a run goes on")
			h.endRun(h.takeOrders()[0], lavendercourse.EndStopped, capacity)
			assert.DeepEqual(t, h.free["e2"], settled(77))
		})
	}
}

// settled returns answers to a claim of job "a" that was made at the given time.
func settled(claimed clock.Millis) []message.SettledJob {
	return []message.SettledJob{{Key: keyA, Claimed: claimed}}
}

// Guards against runs of a kept job before those of the entry that gives it up have ended, and against a job that such an entry
// holds up for ever.
func TestKeptJobWaitsForOtherEntry(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(h *peerHarness)
		want clock.Millis
	}{
		{"it is heard and does not answer", func(*peerHarness) {}, 2 * runExpiry},
		{"it falls silent", func(h *peerHarness) { h.silent["e2"] = true }, runExpiry},
		{"its link ends", func(h *peerHarness) {
			h.silent["e2"] = true
			h.scheduler.PeerUnlinked("e2")
		}, runExpiry},
		{"it answers", func(h *peerHarness) { h.answer("e2", message.ClaimAnswer{Free: settled(0)}) }, 0},
		{"another one answers", func(h *peerHarness) { h.answer("e3", message.ClaimAnswer{Free: settled(0)}) }, 2 * runExpiry},
		{"it answers another claim", func(h *peerHarness) { h.answer("e2", message.ClaimAnswer{Free: settled(5)}) }, 2 * runExpiry},
		{"a new link repeats the claim", func(h *peerHarness) {
			h.advance(1000)
			h.scheduler.PeerUnlinked("e2")
			h.perform(h.scheduler.PeerLinked(h.now, "e2"))
		}, 2*runExpiry - 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPeerHarness("e2", "e3")
			j, _ := h.submit("a", 1, 900, clock.Minute)
			run := h.takeOrders()[0]
			h.advance(1100)
			h.answerFree("e2")
			h.answerFree("e3")
			h.claim("e2", 3000)
			assert.Equal(t, j.AwaitedPeer(), "e2")
			h.endRun(run, lavendercourse.EndLost, capacity)
			c.act(h)
			assert.Equal(t, h.ordersAfter(10*clock.Second), c.want)
			assert.Equal(t, j.AwaitedPeer(), "")
		})
	}
}

// Guards against an entry that gives up a job and never says so, so that the one that keeps it waits for the longest time.
func TestAnswerToEntryThatKeepsJob(t *testing.T) {
	for _, c := range []struct {
		name string
		// runs is set if a run is under way; end lets it end.
		runs bool
		end  func(h *peerHarness, run sentRun)
	}{
		{"nothing runs", false, nil},
		{"the runner reports the end", true, func(h *peerHarness, run sentRun) { h.endRun(run, lavendercourse.EndStopped, capacity) }},
		{"the runs expire", true, func(h *peerHarness, _ sentRun) {
			h.now += runExpiry
			h.perform(h.scheduler.Tick(h.now))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPeerHarness("e2", "e3")
			h.submit("a", 1, 900, 8*clock.Second)
			run := h.takeOrders()[0]
			h.advance(1000)
			if !c.runs {
				h.endRun(run, lavendercourse.EndLost, capacity)
			}
			h.answer("e2", message.ClaimAnswer{Kept: settled(5)})
			assert.Equal(t, len(h.answers), 0, "the answer is to an earlier claim")
			h.answer("e2", message.ClaimAnswer{Kept: settled(h.claims["e2"][0].Claimed)})
			assert.Equal(t, h.answers["a"].Result, lavendercourse.JobInterrupted)
			if c.runs {
				assert.Equal(t, len(h.recalled), 1)
				h.advance(100)
				assert.Equal(t, len(h.free["e2"]), 0)
				c.end(h, run)
			}
			assert.DeepEqual(t, h.free["e2"], settled(0))
			h.advance(100)
			assert.Equal(t, len(h.free["e2"]), 1, "the answer is given once")
			assert.Equal(t, len(h.free), 1, "no other entry waits for an answer")
		})
	}
}

// Guards against an answer to a claim while runs go on that the entry does not know: those of its predecessor, and those at a third
// entry.
func TestClaimIsAnsweredOnceNoRunsAreLeft(t *testing.T) {
	t.Run("the entry has just started", func(t *testing.T) {
		for _, link := range []bool{true, false} {
			h := newPeerHarness()
			h.peers = []string{"e2", "e3"}
			h.scheduler = queue.New(queue.Config{Domain: "d1"})
			if link {
				h.perform(h.scheduler.PeerLinked(h.now, "e2"))
				h.now += 100
				h.perform(h.scheduler.PeerLinked(h.now, "e3"))
			} else {
				h.scheduler.RecordContact(h.now, "d1")
				h.now += 100
				h.perform(h.scheduler.PeerLinked(h.now, "e2"))
			}
			h.claim("e2", 1000)
			h.advance(runExpiry - 110)
			assert.Equal(t, len(h.free["e2"]), 0)
			h.advance(10)
			assert.DeepEqual(t, h.free["e2"], settled(77))
		}
	})
	t.Run("the entry waits for a third one", func(t *testing.T) {
		h := newPeerHarness("e2", "e3", "e4")
		h.claim("e2", 1000)
		h.forget()
		h.submit("a", 1, 900, clock.Minute)
		h.advance(1000)
		h.claim("e3", 0)
		h.advance(1000)
		h.claim("e4", 0)
		h.answer("e4", message.ClaimAnswer{Kept: settled(5)})
		h.advance(runExpiry - 1010)
		assert.Equal(t, len(h.free["e3"])+len(h.free["e4"]), 0)
		h.advance(10)
		assert.DeepEqual(t, h.free["e3"], settled(77))
		assert.Equal(t, len(h.free["e4"]), 1)
	})
	t.Run("the entry waits for the one that claims", func(t *testing.T) {
		h := newPeerHarness("e2", "e3")
		h.claim("e2", 1000)
		h.forget()
		h.submit("a", 1, 900, clock.Minute)
		h.claim("e2", 0)
		assert.DeepEqual(t, h.free["e2"], settled(77))
	})
	t.Run("another entry has not answered", func(t *testing.T) {
		h := newPeerHarness("e2", "e3")
		j, _ := h.submit("a", 1, 900, clock.Minute)
		run := h.takeOrders()[0]
		h.advance(1000)
		h.endRun(run, lavendercourse.EndLost, capacity)
		assert.Equal(t, j.AwaitedPeer(), "", "an entry that has not answered need not have the job")
		h.claim("e2", 0)
		assert.DeepEqual(t, h.free["e2"], settled(77))
	})
}

// Guards against a submission that is told of an entry with the job and does not claim it there, or waits for one that is gone.
func TestSubmissionOfClaimedJob(t *testing.T) {
	for _, c := range []struct {
		name   string
		act    func(h *peerHarness)
		claims int
		want   clock.Millis
	}{
		{"the entry is linked", func(*peerHarness) {}, 1, 2 * runExpiry},
		{"the entry answers", func(h *peerHarness) { h.answerFree("e2") }, 1, 0},
		{"the links have ended", func(h *peerHarness) {
			h.silent["e2"] = true
			h.scheduler.PeerUnlinked("e2")
			h.scheduler.PeerUnlinked("e3")
		}, 0, runExpiry},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPeerHarness("e2", "e3")
			h.claim("e2", 1000)
			h.forget()
			if c.claims == 0 {
				c.act(h)
			}
			h.submit("a", 1, 900, clock.Minute)
			assert.Equal(t, len(h.claims["e2"]), c.claims)
			assert.Equal(t, len(h.claims["e3"]), 0)
			if c.claims > 0 {
				c.act(h)
			}
			assert.Equal(t, h.ordersAfter(10*clock.Second), c.want)
		})
	}
}

// Guards against claims that are repeated at every tick, or never.
func TestClaimsAreRepeated(t *testing.T) {
	h := newPeerHarness("e2", "e3")
	h.submit("a", 1, 900, 0)
	h.advance(12 * clock.Second)
	var ages []clock.Millis
	for _, c := range h.claims["e2"] {
		ages = append(ages, c.Age)
	}
	assert.DeepEqual(t, ages, []clock.Millis{1000, 6000, 11000})
}

// Guards against waits for a repeated claim that count from the first one, or that answers to the first one end.
func TestWaitForRepeatedClaim(t *testing.T) {
	for _, c := range []struct {
		name string
		// first and second name the entries that answer the two claims.
		first, second []string
		want          clock.Millis
	}{
		{"all answer", []string{"e2", "e3"}, []string{"e2", "e3"}, 0},
		{"none answers the second", []string{"e2", "e3"}, nil, 1000},
		{"one answers none", []string{"e2"}, []string{"e2"}, 250},
		{"one does not answer the second", []string{"e2", "e3"}, []string{"e2"}, 250},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPeerHarness("e2", "e3")
			h.submit("a", 1, 900, clock.Minute)
			run := h.takeOrders()[0]
			h.advance(1000)
			for _, name := range c.first {
				h.answerFree(name)
			}
			h.advance(5000)
			for _, name := range c.second {
				h.answerFree(name)
			}
			h.endRun(run, lavendercourse.EndLost, capacity)
			assert.Equal(t, h.ordersAfter(10*clock.Second), c.want)
		})
	}
}

// Guards against jobs that wait for an entry whose link has ended, and against claims and answers for it.
func TestEntryWhoseLinkEnds(t *testing.T) {
	h := newPeerHarness("e2", "e3")
	h.submit("a", 1, 900, 0)
	run := h.takeOrders()[0]
	h.advance(1000)
	h.endRun(run, lavendercourse.EndLost, capacity)
	assert.Equal(t, len(h.takeOrders()), 0)
	h.scheduler.PeerUnlinked("e2")
	h.scheduler.PeerUnlinked("e2")
	h.answerFree("e3")
	assert.Equal(t, len(h.takeOrders()), 1)
	h.advance(5000)
	assert.Equal(t, len(h.claims["e2"]), 1)
	assert.Equal(t, len(h.claims["e3"]), 2)
}

// Guards against jobs that a newly linked entry is not told of, and against claims there of jobs that no other entry can have.
func TestNewLinkRepeatsClaims(t *testing.T) {
	h := newPeerHarness("e2")
	h.submit("a", 1, 900, 2*clock.Second)
	h.advance(500)
	h.submit("z", 1, 10, 0)
	h.advance(500)
	h.submit("b", 1, 900, 0)
	h.perform(h.scheduler.PeerLinked(h.now, "e3"))
	assert.Equal(t, len(h.claims["e3"]), 1)
	assert.Equal(t, h.claims["e3"][0].Key, keyA)
	assert.Equal(t, h.claims["e3"][0].Remaining, clock.Second)
	// The tick that ends the job comes later.
	h.now += 1100
	h.perform(h.scheduler.PeerLinked(h.now, "e4"))
	for _, c := range h.claims["e4"] {
		assert.Assert(t, c.Remaining >= 0)
	}
}

// Guards against two entries that both keep a job after one of them got it once more.
func TestKeptJobThatOtherEntryGetsAgain(t *testing.T) {
	h := newPeerHarness("e2")
	h.submit("a", 1, 900, 0)
	h.advance(500)
	h.claim("e2", 1000)
	assert.Equal(t, len(h.kept["e2"]), 1)
	h.claim("e2", 400)
	assert.Equal(t, h.answers["a"].Result, lavendercourse.JobInterrupted)
}

// Guards against a submission that does not wait for an entry whose link is new, or is not claimed there when the link is made again.
func TestSubmissionOfJobClaimedByNewEntry(t *testing.T) {
	h := newPeerHarness()
	h.perform(h.scheduler.PeerLinked(h.now, "e2"))
	h.claim("e2", 1000)
	h.submit("a", 1, 900, 0)
	assert.Equal(t, len(h.takeOrders()), 0)
	assert.Equal(t, len(h.claims["e2"]), 1)
	h.scheduler.PeerUnlinked("e2")
	h.perform(h.scheduler.PeerLinked(h.now, "e2"))
	assert.Equal(t, len(h.claims["e2"]), 2)
}

// Guards against jobs that wait for links to entries that are gone for good, and against linked entries that are forgotten.
func TestGoneEntriesAreForgotten(t *testing.T) {
	for _, c := range []struct {
		name     string
		away     clock.Millis
		unlinked bool
		want     clock.Millis
	}{
		{"link ended lately", 57 * clock.Second, true, 990},
		{"link ended a minute ago", 62 * clock.Second, true, 0},
		{"linked, but silent", 62 * clock.Second, false, 0},
		{"linked again", clock.Second, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPeerHarness("e2", "e3")
			h.silent["e3"] = true
			if c.unlinked {
				h.scheduler.PeerUnlinked("e3")
			} else {
				h.perform(h.scheduler.PeerLinked(h.now, "e3"))
				h.scheduler.PeerUnlinked("e3")
				h.scheduler.PeerUnlinked("e3")
				h.perform(h.scheduler.PeerLinked(h.now, "e3"))
			}
			h.advance(c.away)
			h.submit("a", 1, 900, 0)
			run := h.takeOrders()[0]
			h.now += 1500
			h.scheduler.RecordContact(h.now, "d2")
			h.advance(10)
			if !c.unlinked {
				assert.Equal(t, len(h.claims["e3"]), 1)
				h.answerFree("e3")
			}
			h.answerFree("e2")
			h.endRun(run, lavendercourse.EndLost, capacity)
			assert.Equal(t, h.ordersAfter(10*clock.Second), c.want)
		})
	}
}

// Guards against claims of other entries that fill the memory, and against expired ones that keep later ones out.
func TestRememberedClaimsAreBounded(t *testing.T) {
	const maxClaims = 65536
	h := newPeerHarness("e2")
	claims := make([]message.ClaimedJob, maxClaims)
	for i := range claims {
		claims[i] = message.ClaimedJob{Key: fmt.Sprint(testQueue.PathPrefix, i), Remaining: clock.Second}
	}
	h.perform(h.scheduler.HandleClaims(h.now, "e2", claims))
	h.claim("e2", 1000)
	j, _ := h.submit("a", 1, 900, 0)
	assert.Equal(t, j.AwaitedPeer(), "", "there was no room for the claim")
	h.perform(h.scheduler.CallerLeft(h.now, j))
	claims[0].Remaining = clock.Minute
	h.perform(h.scheduler.HandleClaims(h.now, "e2", claims[:1]))
	h.advance(clock.Second + runExpiry + 1000)
	j, _ = h.submit("0", 1, 900, 0)
	assert.Equal(t, j.AwaitedPeer(), "e2", "the claim was renewed")
	h.claim("e2", 1000)
	j, _ = h.submit("a", 1, 900, 0)
	assert.Equal(t, j.AwaitedPeer(), "e2", "the other claims have expired")
}

// Guards against claims that are remembered for less or much longer than the job may go on at the other entry.
func TestExpiryOfClaims(t *testing.T) {
	for _, c := range []struct{ remaining, want clock.Millis }{
		{0, runExpiry}, {500, 500 + runExpiry}, {15 * clock.Second, 15*clock.Second + runExpiry}, {clock.Minute, 15*clock.Second + runExpiry},
	} {
		h := newPeerHarness("e2")
		h.perform(h.scheduler.HandleClaims(h.now, "e2", []message.ClaimedJob{{Key: keyA, Remaining: c.remaining}, {Key: testQueue.PathPrefix + "b", Remaining: c.remaining}}))
		h.advance(c.want - 10)
		j, _ := h.submit("a", 1, 900, 0)
		assert.Equal(t, j.AwaitedPeer(), "e2")
		h.now += 10
		j, _ = h.submit("b", 1, 900, 0)
		assert.Equal(t, j.AwaitedPeer(), "")
	}
}

// Guards against a wait for another entry that counts for the first submission of a kept job only.
func TestKeptJobIsSubmittedAgain(t *testing.T) {
	h := newPeerHarness("e2")
	j, _ := h.submit("a", 1, 900, 0)
	run := h.takeOrders()[0]
	h.advance(500)
	h.claim("e2", 1000)
	assert.Equal(t, j.AwaitedPeer(), "e2")
	h.perform(h.scheduler.CallerLeft(h.now, j))
	h.endRun(run, lavendercourse.EndStopped, capacity)
	h.advance(1300)
	assert.Equal(t, len(h.free["e2"]), 0)
	j, _ = h.submit("a", 1, 900, clock.Minute)
	assert.Check(t, j.AwaitedPeer() == "e2")
	assert.Equal(t, len(h.takeOrders()), 0, "e2 has not answered")
}
