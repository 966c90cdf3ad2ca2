package queue

import (
	"slices"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

const (
	// cancelAppendInterval is the minimum time in ms between the beginnings of two appends. A partition of the store takes 500
	// appends a second, so that 48 entries can use one.
	cancelAppendInterval = 100 * clock.Millis(1)
	// cancelRetryInterval is the time in ms between two appends while the store does not answer.
	cancelRetryInterval = 400 * clock.Millis(1)
	// maxWaitingCancels is the number of cancels that may wait for an append.
	maxWaitingCancels = 4096
	// maxCancelsPerAppend and maxCancelBytes bound an append: a record may have 256 KB, and keys may have 1 KB.
	maxCancelsPerAppend = 1000
	maxCancelBytes      = 64 << 10
)

// CancelLog decides when the cancels of an entry are appended to the store, and which ones together. An entry acknowledges a
// cancel when it is stored, since entries may all end at once. It is not safe for concurrent use.
type CancelLog struct {
	// waiting holds the cancels that are not stored, the earliest first, and expires the times at which they need not be stored any
	// more, by key. The first inFlight of them are being appended.
	waiting  []message.CancelledJob
	expires  map[string]clock.Millis
	inFlight int
	// maxBatch is the number of cancels in an append at most. It is halved when an append of several fails, since the store may refuse
	// one of them for ever, and doubled when one succeeds.
	maxBatch int
	// notBefore is the time in ms before which no append begins.
	notBefore clock.Millis
}

// NewCancelLog returns a CancelLog without cancels.
func NewCancelLog() *CancelLog {
	return &CancelLog{expires: map[string]clock.Millis{}, maxBatch: maxCancelsPerAppend}
}

// Add adds a cancel unless it is waiting already. It returns false if too many are waiting, or if it does not fit into an append.
func (l *CancelLog) Add(now clock.Millis, c message.CancelledJob) bool {
	if _, waits := l.expires[c.Key]; !waits {
		if len(l.waiting) >= maxWaitingCancels || len(c.Key) > maxCancelBytes {
			return false
		}
		l.waiting = append(l.waiting, c)
	}
	l.expires[c.Key] = now + c.Remaining
	return true
}

// Next returns the cancels to append now, if there are any. The entry then calls Settle. Otherwise it returns the time in ms after
// which to call Next again, or 0 if nothing is waiting.
func (l *CancelLog) Next(now clock.Millis) ([]message.CancelledJob, clock.Millis) {
	if l.inFlight > 0 {
		return nil, 0
	}
	l.dropExpired(now)
	if len(l.waiting) == 0 {
		return nil, 0
	}
	if now < l.notBefore {
		return nil, l.notBefore - now
	}
	size := 0
	for _, c := range l.waiting {
		size += len(c.Key)
		if l.inFlight == l.maxBatch || l.inFlight > 0 && size > maxCancelBytes {
			break
		}
		l.inFlight++
	}
	l.notBefore = now + cancelAppendInterval
	return append([]message.CancelledJob(nil), l.waiting[:l.inFlight]...), 0
}

// Settle handles the result of an append. If the cancels were not stored, or it is not known, they wait for another append until
// they expire, behind those that have waited meanwhile.
func (l *CancelLog) Settle(now clock.Millis, stored bool) {
	batch := l.waiting[:l.inFlight]
	l.waiting = append([]message.CancelledJob(nil), l.waiting[l.inFlight:]...)
	l.inFlight = 0
	if stored {
		l.maxBatch = min(2*l.maxBatch, maxCancelsPerAppend)
	} else {
		l.maxBatch = max(1, len(batch)/2)
		l.notBefore = max(l.notBefore, now+cancelRetryInterval)
	}
	for _, c := range batch {
		if stored {
			delete(l.expires, c.Key)
		} else {
			l.waiting = append(l.waiting, c)
		}
	}
}

// dropExpired drops the cancels that need not be stored any more.
func (l *CancelLog) dropExpired(now clock.Millis) {
	l.waiting = slices.DeleteFunc(l.waiting, func(c message.CancelledJob) bool {
		if l.expires[c.Key] > now {
			return false
		}
		delete(l.expires, c.Key)
		return true
	})
}
