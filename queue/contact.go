package queue

import "github.com/lavendercourse/lavendercourse/clock"

const (
	// maxContactGap is the time in ms without a frame, or without a submission, after which an entry counts as out of contact.
	// Runners send reports every 300 ms each. Shorter gaps do no harm: a caller submits its job again 1.3 s after it has left, at
	// the earliest.
	maxContactGap = clock.Second
	// maxOutsideGap is the time in ms after which what is outside the failure domain counts as gone rather than cut off.
	maxOutsideGap = 10 * clock.Second
	// lateWindow is the time in ms after a gap for which what the gap has held up may still arrive. The longer it is, the more
	// new jobs are claimed for nothing.
	lateWindow = 300 * clock.Millis(1)
)

// contact records when an entry heard nothing of some others, because it was cut off, paused or suspended, or because they had
// nothing to say.
type contact struct {
	// heardAt is the time in ms of the last frame or submission, or 0. since is that of the first one after the last gap, and gap
	// the length of that gap; both are 0 if there was none.
	heardAt clock.Millis
	since   clock.Millis
	gap     clock.Millis
}

// record records that something has arrived. It returns the length in ms of the gap that ends with it, or 0.
func (c *contact) record(now clock.Millis) clock.Millis {
	gap := c.currentGap(now)
	if gap > 0 {
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

// isLate tells whether something that arrives now may have been held up by a gap.
func (c *contact) isLate(now clock.Millis) bool {
	return c.currentGap(now) > 0 || c.gap > 0 && now-c.since < lateWindow
}

// contacts are the contacts of an entry: with all runners and other entries, with those outside its failure domain, which may be
// cut off as a whole, and with callers.
type contacts struct {
	all     contact
	outside contact
	callers contact
}

// since returns the time in ms at which the last gap in the contact with runners and other entries ended.
func (c *contacts) since() clock.Millis { return max(c.all.since, c.outside.since) }

// inGap tells whether the entry is out of contact with all runners and other entries, or cut off from those outside its failure
// domain.
func (c *contacts) inGap(now clock.Millis) bool {
	outside := c.outside.currentGap(now)
	return c.all.currentGap(now) > 0 || outside > 0 && outside < maxOutsideGap
}

// recordSubmission records a submission, and tells whether it may be old. While only the contact with the outside is lost, what
// arrives is not held up.
func (c *contacts) recordSubmission(now clock.Millis) bool {
	late := c.all.isLate(now) || c.callers.isLate(now) || c.outside.currentGap(now) == 0 && c.outside.isLate(now)
	c.callers.record(now)
	return late
}

// RecordContact records that a frame of a runner or another entry has arrived, or that the entry has started. The domain is the
// failure domain of the sender, or empty if that is not known. It returns the length in ms of the gap without any frame that ends with it, or 0.
func (s *Scheduler) RecordContact(now clock.Millis, domain string) clock.Millis {
	if domain != "" && domain != s.cfg.Domain {
		s.contacts.outside.record(now)
	}
	if s.startedAt == 0 {
		s.startedAt = now
	}
	return s.contacts.all.record(now)
}

// ContactAge returns the time in ms since the entry was last out of contact with runners and other entries.
func (s *Scheduler) ContactAge(now clock.Millis) clock.Millis {
	if s.contacts.inGap(now) {
		return 0
	}
	return now - s.contacts.since()
}
