package queue_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Guards against submissions that a gap has held up and that count as new, and against claims of new ones long after a gap.
func TestSubmissionsAfterGap(t *testing.T) {
	// Each gap of 2 s ends with a frame or submission of the kind that was missing.
	gaps := map[string]func(h *peerHarness){
		"no frame": func(h *peerHarness) {
			h.silent["e2"] = true
			for range 2 {
				h.now += 990
				h.submit("young", 1, 10, 0)
			}
			h.now += 20
			h.scheduler.RecordContact(h.now, "d1")
		},
		"no frame from outside": func(h *peerHarness) {
			h.silent["e2"] = true
			h.advance(1990)
			h.silent["e2"] = false
			h.submit("young", 1, 10, 0)
			h.advance(10)
		},
		"no submission": func(h *peerHarness) {
			h.advance(2000)
			h.submit("young", 1, 10, 0)
		},
	}
	for name, gap := range gaps {
		for _, c := range []struct {
			delay clock.Millis
			late  bool
		}{{0, true}, {290, true}, {300, false}} {
			t.Run(fmt.Sprint(name, " ", c.delay), func(t *testing.T) {
				h := newPeerHarness("e2")
				h.submit("z", 1, 10, 0)
				gap(h)
				h.advance(c.delay)
				h.forget()
				h.takeOrders()
				h.submit("a", 1, 900, 0)
				assert.Equal(t, len(h.claimsOfA()), 0)
				assert.Equal(t, len(h.takeOrders()) == 0, c.late)
				h.advance(20)
				if !c.late {
					assert.Equal(t, len(h.claimsOfA()), 0)
					return
				}
				assert.Equal(t, len(h.claimsOfA()), 1)
				assert.Equal(t, h.claimsOfA()[0].Age, 20*clock.Millis(1))
			})
		}
	}
}

// Guards against a gap that is not noticed before the next frame, and against short gaps that cause claims.
func TestSubmissionInGap(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  func(h *peerHarness)
		want int
	}{
		{"no frame for 990 ms", func(h *peerHarness) { h.now += 990 }, 0},
		{"no frame for 1 s", func(h *peerHarness) { h.submit("y", 1, 10, 0); h.now += 1000 }, 1},
		{"no frame for 1 s, submissions go on", func(h *peerHarness) {
			h.now += 500
			h.submit("y", 1, 10, 0)
			h.now += 500
		}, 1},
		{"no submission for 1 s", func(h *peerHarness) { h.advance(1000) }, 1},
		{"no frame from outside for 1.5 s", func(h *peerHarness) {
			h.silent["e2"] = true
			h.advance(700)
			h.submit("y", 1, 10, 0)
			h.advance(800)
		}, 0},
		{"frames from an unknown domain only", func(h *peerHarness) {
			h.now += 500
			h.scheduler.RecordContact(h.now, "")
			h.submit("y", 1, 10, 0)
			h.now += 500
			h.scheduler.RecordContact(h.now, "")
			h.now += 10
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPeerHarness("e2")
			h.submit("z", 1, 10, 0)
			c.gap(h)
			h.submit("a", 1, 900, 0)
			h.advance(20)
			assert.Equal(t, len(h.claimsOfA()), c.want)
		})
	}
}

// Guards against old jobs that run while other domains are cut off, or that wait for ever for domains that are gone.
func TestOldJobsWaitForOutside(t *testing.T) {
	h := newPeerHarness("e2")
	h.submit("a", 1, 900, clock.Minute)
	run := h.takeOrders()[0]
	// The claims are repeated 2 s before the outside counts as gone, and not answered.
	h.advance(3000)
	h.answerFree("e2")
	h.silent["e2"] = true
	h.advance(1000)
	h.scheduler.RecordContact(h.now, "")
	assert.Equal(t, h.scheduler.ContactAge(h.now), clock.Millis(0))
	h.endRun(run, lavendercourse.EndLost, capacity)
	assert.Equal(t, h.ordersAfter(20*clock.Second), 9*clock.Second)
	h.silent["e2"] = false
	h.advance(10)
	assert.Equal(t, h.scheduler.ContactAge(h.now), clock.Millis(0))
	h.advance(500)
	assert.Equal(t, h.scheduler.ContactAge(h.now), clock.Millis(500))
}

// Guards against old jobs that run, or are not claimed again, after a gap in a fleet of one failure domain.
func TestGapInFleetOfOneDomain(t *testing.T) {
	h := newPeerHarness()
	h.perform(h.scheduler.PeerLinked(h.now, "e2"))
	h.submit("a", 1, 900, 0)
	run := h.takeOrders()[0]
	h.advance(1100)
	h.answerFree("e2")
	h.now += 1500
	assert.Equal(t, h.scheduler.ContactAge(h.now), clock.Millis(0))
	h.endRun(run, lavendercourse.EndLost, capacity)
	assert.Equal(t, len(h.takeOrders()), 0)
	h.scheduler.RecordContact(h.now, "d1")
	h.advance(10)
	assert.Equal(t, len(h.claims["e2"]), 2)
	assert.Equal(t, len(h.takeOrders()), 0)
}

// Guards against jobs that are claimed at some entries only although a gap may have hidden that their callers have left, and against
// claims at all entries of later ones.
func TestEntriesAtWhichJobsAreClaimed(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(h *peerHarness)
		want int
	}{
		{"no gap", func(h *peerHarness) {
			h.submit("a", 1, 900, 0)
			h.advance(1000)
		}, 16},
		{"gap in all contact", func(h *peerHarness) {
			h.submit("a", 1, 900, 0)
			h.now += 1500
			h.advance(10)
		}, 20},
		{"gap in the contact with the outside", func(h *peerHarness) {
			h.submit("a", 1, 900, 0)
			for _, name := range h.peers {
				h.silent[name] = true
			}
			h.advance(990)
			h.silent = map[string]bool{}
			h.now += 10
			h.advance(10)
		}, 20},
		{"gap of callers", func(h *peerHarness) {
			h.submit("a", 1, 900, 0)
			h.advance(990)
			h.now += 10
			h.submit("b", 1, 900, 0)
			h.advance(10)
		}, 20},
		{"gap before the submission", func(h *peerHarness) {
			h.now += 1500
			h.advance(310)
			h.submit("z", 1, 10, 0)
			h.advance(310)
			h.submit("a", 1, 900, 0)
			h.advance(1000)
		}, 16},
		{"submission in a gap", func(h *peerHarness) {
			h.submit("z", 1, 10, 0)
			h.now += 1000
			h.submit("a", 1, 900, 0)
			h.advance(10)
			assert.Equal(t, len(h.claimsOfA()), 0, "the end of the caller's connection may follow")
			h.advance(10)
		}, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			names := make([]string, 20)
			for i := range names {
				names[i] = fmt.Sprintf("p%02d", i)
			}
			h := newPeerHarness(names...)
			c.act(h)
			assert.Equal(t, len(h.claimsOfA()), c.want)
		})
	}
}

// Guards against a job that is claimed at other entries than at the last time, or jobs that are all claimed at the same ones.
func TestJobsAreClaimedAtDifferentEntries(t *testing.T) {
	names := make([]string, 40)
	for i := range names {
		names[i] = fmt.Sprintf("p%02d", i)
	}
	h := newPeerHarness(names...)
	for i := range 20 {
		h.submit(fmt.Sprint("j", i), 1, 900, 0)
	}
	h.advance(1000)
	assert.Assert(t, len(h.claims) > 30, "%d of 40 entries got claims", len(h.claims))
	first := map[string]int{}
	for name, jobs := range h.claims {
		first[name] = len(jobs)
	}
	h.advance(5000)
	for name, jobs := range h.claims {
		assert.Equal(t, len(jobs), 2*first[name])
	}
}

// Guards against a job whose age counts from another submission than the last one.
func TestAgeOfJobThatCallersJoin(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is the time without frames before the submission, wait that before the caller joins; silent is set if no frames
		// arrive then.
		before, wait clock.Millis
		silent       bool
		want         clock.Millis
	}{
		{"new submission", 0, 500, false, 1000},
		{"new submission after claim", 0, 1000, false, 1000},
		{"submission that may be old", 0, 1200, true, 1000},
		{"submission that may be older than the first", 500, 600, true, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPeerHarness("e2")
			h.now += c.before
			h.submit("a", 1, 900, 0)
			if c.silent {
				h.now += c.wait
			} else {
				h.advance(c.wait / 2)
				h.submit("z", 1, 10, 0)
				h.advance(c.wait / 2)
			}
			h.forget()
			h.submit("a", 1, 900, 0)
			for len(h.claimsOfA()) == 0 {
				h.advance(10)
			}
			assert.Equal(t, h.claimsOfA()[0].Age, c.want)
			assert.Equal(t, h.answers["a"], lavendercourse.JobAnswer{})
		})
	}
}

// Guards against a submission that a gap has held up and that runs unclaimed in a large fleet.
func TestLateSubmissionInLargeFleet(t *testing.T) {
	for _, n := range []int{16, 17, 20} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("p%02d", i)
			}
			h := newPeerHarness(names...)
			h.now += 1500
			h.advance(200)
			h.submit("a", 1, 900, 0)
			assert.Equal(t, len(h.takeOrders()), 0)
			h.advance(4000)
			assert.Equal(t, len(h.claimsOfA()), n)
		})
	}
}
