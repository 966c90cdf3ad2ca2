package queue

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/route"
)

// maxKeptCancels is the number of ended jobs from which on no cancels of jobs that the entry does not have are kept. Each takes
// about 200 bytes, and callers may cancel jobs that do not exist.
const maxKeptCancels = 65536

// cancelledAnswer is the answer to the callers of a cancelled job.
var cancelledAnswer = lavendercourse.JobAnswer{Result: lavendercourse.JobCancelled, Cause: causeCancelled}

// Cancel ends a job, recalls its runs and answers its callers that it was cancelled. Other entries are told, since the
// submission may arrive there once more.
func (s *Scheduler) Cancel(now clock.Millis, j *Job) []Action {
	actions := s.endJob(nil, now, j, cancelledAnswer)
	return append(actions, ShareCancel{message.CancelledJob{Key: j.key, Digest: j.digest, Remaining: endedJobRetention}})
}

// CancelUnknown handles the cancel of a job that this entry does not have. Another one may have it.
func (s *Scheduler) CancelUnknown(now clock.Millis, q route.Queue, id string) []Action {
	c := message.CancelledJob{Key: q.Host + q.PathPrefix + id, Remaining: endedJobRetention}
	return append(s.HandleCancel(now, c), ShareCancel{c})
}

// HandleCancel handles a cancel at another entry: it ends the job, or keeps the cancel in case the job is submitted here.
func (s *Scheduler) HandleCancel(now clock.Millis, c message.CancelledJob) []Action {
	if j := s.jobs[c.Key]; j != nil {
		if c.Digest != 0 && c.Digest != j.digest {
			return nil
		}
		return s.endJob(nil, now, j, cancelledAnswer)
	}
	s.dropExpired(now)
	if len(s.endedJobs) >= maxKeptCancels {
		return nil
	}
	e := &endedJob{key: c.Key, answer: cancelledAnswer, digest: c.Digest, expires: now + min(c.Remaining, endedJobRetention)}
	if old := s.recentlyEnded(now, c.Key); old != nil {
		if old.final() {
			return nil
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
