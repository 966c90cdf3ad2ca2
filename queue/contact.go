package queue

import "github.com/lavendercourse/lavendercourse/clock"

// maxContactGap is the time in ms without a frame after which an entry counts as out of contact. Runners send reports every
// 300 ms each. Shorter gaps do no harm: a caller submits its job again 1.3 s after it has left, at the earliest.
const maxContactGap = clock.Second

// contact records when an entry was out of contact with all runners and other entries, because it was cut off, paused or
// suspended. Requests that arrive at the end of a gap may be as old as the gap is long.
type contact struct {
	// heardAt is the time in ms of the last frame, or 0. since is that of the first frame after the last gap, and gap the
	// length of that gap.
	heardAt clock.Millis
	since   clock.Millis
	gap     clock.Millis
}

// RecordContact records that a frame of a runner or another entry has arrived. It returns the length in ms of the gap that ends
// with it, or 0.
func (s *Scheduler) RecordContact(now clock.Millis) clock.Millis {
	c := &s.contact
	gap := c.currentGap(now)
	if gap > 0 || c.heardAt == 0 {
		c.since, c.gap = now, gap
	}
	c.heardAt = now
	return gap
}

// ContactAge returns the time in ms since the entry was last out of contact.
func (s *Scheduler) ContactAge(now clock.Millis) clock.Millis { return now - s.contact.since }

// currentGap returns the length in ms of the gap that the entry is in, or 0.
func (c *contact) currentGap(now clock.Millis) clock.Millis {
	if c.heardAt == 0 || now-c.heardAt < maxContactGap {
		return 0
	}
	return now - c.heardAt
}

// maxRequestAge returns how old, in ms, a request may be that arrives now. What a gap has held up arrives within a second after
// its end, since links are made again within that time.
func (c *contact) maxRequestAge(now clock.Millis) clock.Millis {
	if gap := c.currentGap(now); gap > 0 {
		return gap
	}
	if c.gap > 0 && now-c.since < clock.Second {
		return c.gap + now - c.since
	}
	return 0
}
