package queue

import "github.com/lavendercourse/lavendercourse/clock"

const (
	// maxContactGap is the time in ms without a frame, or without a submission, after which an entry counts as out of contact.
	// Runners send reports every 300 ms each. Shorter gaps do no harm: a caller submits its job again 1.3 s after it has left, at
	// the earliest.
	maxContactGap = clock.Second
	// lateWindow is the time in ms after a gap for which what the gap has held up may still arrive. Links are made again within
	// that time.
	lateWindow = clock.Second
)

// contact records when an entry heard nothing of some others, because it was cut off, paused or suspended, or because they had
// nothing to say.
type contact struct {
	// heardAt is the time in ms of the last frame or submission, or 0. since is that of the first one after the last gap, and gap
	// the length of that gap.
	heardAt clock.Millis
	since   clock.Millis
	gap     clock.Millis
}

// record records that something has arrived. It returns the length in ms of the gap that ends with it, or 0.
func (c *contact) record(now clock.Millis) clock.Millis {
	gap := c.currentGap(now)
	if gap > 0 || c.heardAt == 0 {
		c.since, c.gap = now, gap
	}
	c.heardAt = now
	return gap
}

// currentGap returns the length in ms of the gap that the entry is in, or 0.
func (c *contact) currentGap(now clock.Millis) clock.Millis {
	if c.heardAt == 0 || now-c.heardAt < maxContactGap {
		return 0
	}
	return now - c.heardAt
}

// maxAge returns how old, in ms, something may be that arrives now.
func (c *contact) maxAge(now clock.Millis) clock.Millis {
	if gap := c.currentGap(now); gap > 0 {
		return gap
	}
	if c.gap > 0 && now-c.since < lateWindow {
		return c.gap + now - c.since
	}
	return 0
}

// RecordContact records that a frame of a runner or another entry has arrived. It returns the length in ms of the gap that ends
// with it, or 0.
func (s *Scheduler) RecordContact(now clock.Millis) clock.Millis { return s.contact.record(now) }

// ContactAge returns the time in ms since the entry was last out of contact with runners and other entries.
func (s *Scheduler) ContactAge(now clock.Millis) clock.Millis { return now - s.contact.since }

// recordSubmission records a submission, and returns the earliest time in ms at which its caller may have sent it.
func (s *Scheduler) recordSubmission(now clock.Millis) clock.Millis {
	age := max(s.contact.maxAge(now), s.callerContact.maxAge(now))
	s.callerContact.record(now)
	return now - age
}
