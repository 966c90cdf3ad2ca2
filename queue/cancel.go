package queue

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// maxKeptCancels is the number of cancels of jobs that the entry does not have that are kept. Each takes about 300 bytes, 1.3 KB at most,
// and callers may cancel jobs that do not exist. In 15 s, it is reached by 4,300 cancels a second at all entries together.
const maxKeptCancels = 65536

// cancelExtension is the time in ms by which a cancel must extend what is kept of an ended job to count. Without it, a caller that
// repeats one cancel would fill the list of ended jobs.
const cancelExtension = clock.Second

// cancelledAnswer is the answer to the callers of a cancelled job.
var cancelledAnswer = lavendercourse.JobAnswer{Result: lavendercourse.JobCancelled, Cause: causeCancelled}

// JobKey returns the key of the job that callers name by a host and a path. It does not depend on the configured queues, so
// that the job of a queue that has been removed can be asked for and cancelled.
func JobKey(host, path string) string { return host + path }

// Cancel handles the cancel of the job with the given key. If the entry has the job, it ends it, recalls its runs and answers its
// callers that it was cancelled. Otherwise another entry may have it. Other entries are told in both cases, since the submission may
// arrive there once more.
func (s *Scheduler) Cancel(now clock.Millis, key string) (lavendercourse.JobAnswer, []Action) {
	c := message.CancelledJob{Key: key, Remaining: endedJobRetention}
	a := lavendercourse.JobAnswer{Result: lavendercourse.JobUnknown}
	if j := s.jobs[key]; j != nil {
		c.Digest, a = j.digest, cancelledAnswer
	}
	return a, append(s.HandleCancel(now, c), ShareCancel{c})
}

// HandleCancel handles a cancel at another entry: it ends the job, or keeps the cancel in case the job is submitted here. If too many
// are kept, the oldest one is dropped: the newest is the one whose job may still be submitted.
func (s *Scheduler) HandleCancel(now clock.Millis, c message.CancelledJob) []Action {
	if j := s.jobs[c.Key]; j != nil {
		if c.Digest != 0 && c.Digest != j.digest {
			return nil
		}
		return s.endJob(nil, now, j, cancelledAnswer)
	}
	e := &endedJob{key: c.Key, answer: cancelledAnswer, digest: c.Digest, expires: now + min(c.Remaining, endedJobRetention), unknown: true}
	if old := s.recentlyEnded(now, c.Key); old != nil {
		e.unknown = old.unknown
		if old.final() {
			if e.expires < old.expires+cancelExtension {
				return nil
			}
			e.answer, e.digest = old.answer, old.digest
		}
		e.runNumber = old.runNumber
	}
	s.retain(now, e)
	return nil
}

// Cancels returns the cancelled jobs that are kept, for an entry that has been linked.
func (s *Scheduler) Cancels(now clock.Millis) []message.CancelledJob {
	var all []message.CancelledJob
	for key, e := range s.endedJobs {
		if e.answer.Result == lavendercourse.JobCancelled && e.expires > now {
			all = append(all, message.CancelledJob{Key: key, Digest: e.digest, Remaining: e.expires - now})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}
