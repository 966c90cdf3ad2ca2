package queue

import (
	"github.com/lavendercourse/lavendercourse/clock"
)

const (
	// minBacklog is the number of waiting jobs below which no job is refused for lack of capacity: runs end every few ms,
	// so a short backlog does not indicate overload.
	minBacklog = 8
	// enrollPeriod is the time in ms for which, after a part of the runners has been enrolled, the CPU in use is not the rate at
	// which the backlog is worked off: after a loss of power all runners come back within some 300 ms, and the first ones take the
	// first jobs. returnDivisor is what the number of runners is divided by to get that part: a few that lose their links are none.
	enrollPeriod  = 300 * clock.Millis(1)
	returnDivisor = 4
	// stallTime is the time in ms between two ticks from which the entry counts as stalled: three periods.
	stallTime = 60 * clock.Millis(1)
	// lateWorkFactor multiplies the expected wait of a job that will be late, since jobs that arrive later and can still end
	// in time are served first.
	lateWorkFactor = 2
	// lateWaitDivisor limits the wait of a late job during a backlog to the caller's time-out divided by it. Jobs that can
	// still end in time are served first, so the late job is unlikely to be served after that.
	lateWaitDivisor = 4
	// maxCallerRetryDelay limits the retry delay given to callers that are refused for lack of capacity.
	maxCallerRetryDelay = 10 * clock.Second
)

// work returns the estimated CPU time of the waiting tasks of the job, in thousandths of a core times ms.
func (j *Job) work() int64 { return j.waitingWork }

// work returns the estimated CPU time of the task, in thousandths of a core times ms.
func (t *task) work() int64 {
	step := t.job.steps[t.step]
	return int64(step.Need.CPU) * int64(step.Estimate)
}

// cpuInUse returns the CPU that the entry's runs use, in thousandths of a core. While jobs wait, this is also the rate
// at which the entry works off its backlog.
func (s *Scheduler) cpuInUse() int64 {
	sum := int64(0)
	for _, r := range s.sortedRunners {
		for task := range r.inFlight {
			sum += int64(task.job.steps[task.step].Need.CPU)
		}
	}
	return sum
}

// workAhead returns the work of the waiting jobs that are served before j, in thousandths of a core times ms.
func (s *Scheduler) workAhead(now clock.Millis, j *Job) int64 {
	sum := int64(0)
	for _, other := range s.waiting {
		// Jobs of contained queues wait for workers of their own.
		if other != j && !s.contains(other.queue) && other.before(j, now) {
			sum += other.work()
		}
	}
	return sum
}

// shouldShed tells whether a waiting job is expected to get no capacity before its caller gives up, given the work
// ahead of it in thousandths of a core times ms. This sheds load under overload: a caller that cannot be served is told so
// at once instead of when its time is over, and with Config.RefuseLate an answer that would be late takes no capacity from
// jobs that can still end in time. The rate is not known without runs in progress, nor while runners come back, so no job is
// refused then.
func (s *Scheduler) shouldShed(now clock.Millis, j *Job, workAhead int64) bool {
	if len(s.waiting) < minBacklog || j.callerDeadline == 0 || s.runnersReturn(now) {
		return false
	}
	rate := s.cpuInUse()
	if rate == 0 {
		return false
	}
	wait := clock.Millis(workAhead / rate)
	if now+wait+j.criticalPath <= j.due {
		return false
	}
	if s.cfg.RefuseLate && now > j.refusableFrom && !j.waitsForOtherRuns() && !s.wasStalled(now) {
		return true
	}
	if !j.inTime(now) && now-j.arrived > (j.callerDeadline-j.arrived)/lateWaitDivisor {
		return true
	}
	return now+lateWorkFactor*wait+j.criticalPath > j.callerDeadline
}

// recordEnrollment records that a runner has been enrolled on a new link.
func (s *Scheduler) recordEnrollment(now clock.Millis, runner string) {
	if s.enrollments.runners == nil || now-s.enrollments.since >= enrollPeriod {
		s.enrollments = enrollments{since: now, runners: map[string]bool{}}
	}
	s.enrollments.runners[runner] = true
	s.enrollments.last = now
}

// runnersReturn tells whether a part of the runners has been enrolled just now, as after a loss of power.
func (s *Scheduler) runnersReturn(now clock.Millis) bool {
	return now-s.enrollments.last < enrollPeriod && len(s.enrollments.runners) > 1 &&
		len(s.enrollments.runners)*returnDivisor >= len(s.runners)
}

// recordTick records a call of Tick.
func (s *Scheduler) recordTick(now clock.Millis) {
	if s.lastTick > 0 && now-s.lastTick >= stallTime {
		s.stalledAt = now
	}
	s.lastTick = now
}

// wasStalled tells whether the entry had no processor time shortly before now. Reports and ends of runs may wait to be handled
// then, so that lateness is no sign of a lack of room.
func (s *Scheduler) wasStalled(now clock.Millis) bool {
	return s.stalledAt > 0 && now-s.stalledAt < stallTime
}

// backlogDrainTime returns the estimated time in ms until the present backlog is done, at least MinCallerRetryDelay and
// at most maxCallerRetryDelay. Refused callers get it as their retry delay.
func (s *Scheduler) backlogDrainTime() clock.Millis {
	rate := s.cpuInUse()
	if rate == 0 {
		return MinCallerRetryDelay
	}
	sum := int64(0)
	for _, j := range s.waiting {
		sum += j.work()
	}
	return min(max(clock.Millis(sum/rate), MinCallerRetryDelay), maxCallerRetryDelay)
}
