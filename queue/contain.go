package queue

import (
	"maps"
	"slices"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/quarantine"
	"github.com/lavendercourse/lavendercourse/route"
)

// containment returns the contained queues of a service.
func (s *Scheduler) containment(service string) *quarantine.Containment {
	c := s.containments[service]
	if c == nil {
		if len(s.containments) >= maxContainments {
			// Those of deleted services would accumulate otherwise.
			clear(s.containments)
		}
		c = quarantine.NewContainment()
		s.containments[service] = c
	}
	return c
}

// containQueue confines a queue whose jobs crash workers, and returns the action that tells the other entries. The cause
// identifies the job or the crash, so that it counts once.
func (s *Scheduler) containQueue(now clock.Millis, q route.Queue, cause string, crashes []quarantine.CrashID) Action {
	s.containment(q.Service).Hit(now, q.Name, cause)
	s.updatePartitions()
	v := message.Verdict{Service: q.Service, Queue: q.Name, Cause: cause}
	for _, c := range crashes {
		v.Crashes = append(v.Crashes, message.CrashID{Runner: c.Runner, Incarnation: c.Incarnation})
	}
	return ShareVerdict{Verdict: v}
}

// HandleVerdict confines a queue whose jobs crash workers, as another entry has found.
func (s *Scheduler) HandleVerdict(now clock.Millis, v message.Verdict) {
	if c := s.containment(v.Service); !v.Repeated || !c.Contains(v.Queue) {
		c.Hit(now, v.Queue, v.Cause)
		s.updatePartitions()
	}
	ids := make([]quarantine.CrashID, 0, len(v.Crashes))
	for _, c := range v.Crashes {
		ids = append(ids, quarantine.CrashID{Runner: c.Runner, Incarnation: c.Incarnation})
	}
	s.ledger.Explain(ids)
}

// Verdicts returns the contained queues of all services, for an entry that has just been linked.
func (s *Scheduler) Verdicts() []message.Verdict {
	var all []message.Verdict
	for _, service := range slices.Sorted(maps.Keys(s.containments)) {
		for _, name := range s.containments[service].Queues() {
			all = append(all, message.Verdict{Service: service, Queue: name, Repeated: true})
		}
	}
	return all
}

// contains reports whether a queue may use only a part of the workers.
func (s *Scheduler) contains(q route.Queue) bool {
	c := s.containments[q.Service]
	return c != nil && c.Contains(q.Name)
}

// recordCompletion counts a completed job, which is a reason to give its queue more workers again.
func (s *Scheduler) recordCompletion(now clock.Millis, j *Job) {
	if c := s.containments[j.queue.Service]; c != nil {
		c.Completed(now, j.queue.Name)
	}
}

// updatePartitions divides the workers of each service between its contained queues and the others.
func (s *Scheduler) updatePartitions() {
	s.partitions = nil
	for service, c := range s.containments {
		if len(c.Queues()) == 0 {
			continue
		}
		var workers []string
		for _, r := range s.sortedRunners {
			if r.linked && r.enrollment.Service == service && !s.drained[r.enrollment.Domain] {
				workers = append(workers, r.Name())
			}
		}
		if s.partitions == nil {
			s.partitions = map[string]quarantine.Partition{}
		}
		s.partitions[service] = c.Partition(workers)
	}
}

// allows reports whether a queue may use a runner.
func (s *Scheduler) allows(q route.Queue, r *Runner) bool {
	p, divided := s.partitions[q.Service]
	return !divided || p.Allows(q.Name, r.Name())
}

// containedJobFits reports whether a job of a contained queue that has not started can still end in time on the workers
// that the queue may use, after the jobs of the queue that wait already.
func (s *Scheduler) containedJobFits(now clock.Millis, j *Job) bool {
	if !s.allowedRunnersServe(j) {
		return false
	}
	free, inUse, accepting := 0, int64(0), false
	for _, r := range s.sortedRunners {
		if !s.allows(j.queue, r) || r.enrollment.Service != j.queue.Service {
			continue
		}
		for task := range r.inFlight {
			inUse += int64(task.job.steps[task.step].Need.CPU)
		}
		// A worker that is reserved for one run takes others once that has ended.
		accepting = accepting || r.isolated != nil
		if r.acceptsOrders(now, s.cfg.MaxReportAge) {
			accepting = true
			free += max(r.free.CPU, 0)
		}
	}
	if !accepting {
		return false
	}
	ahead := int64(0)
	for _, other := range s.waiting {
		if other != j && other.queue.Name == j.queue.Name && other.arrived <= j.arrived {
			ahead += other.work()
		}
	}
	if ahead == 0 && free >= j.minCPU {
		return true
	}
	if inUse == 0 {
		return false
	}
	return now+clock.Millis(ahead/inUse)+j.criticalPath <= j.due
}

// allowedRunnersServe reports whether each step of a job has a runner that the queue may use and whose worker could run it.
func (s *Scheduler) allowedRunnersServe(j *Job) bool {
	for _, step := range j.steps {
		if !slices.ContainsFunc(s.sortedRunners, func(r *Runner) bool { return s.allows(j.queue, r) && r.serves(j.queue.Service, step) }) {
			return false
		}
	}
	return true
}
