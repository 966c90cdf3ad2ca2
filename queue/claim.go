package queue

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

const (
	// claimAfter is the age in ms from which on an entry claims a job at other entries. The caller may have left unseen, and
	// submits the job to another entry 1.3 s later at the earliest, so that no other entry has it before.
	claimAfter = clock.Second
	// lateEndWait is the time in ms for which the claim of a submission that may be old waits for the end of its caller's
	// connection, which arrives right behind a submission that was held up.
	lateEndWait = 15 * clock.Millis(1)
	// claimRefresh is the time in ms after which a job is claimed again. Other entries remember claims for endedJobRetention.
	claimRefresh = 5 * clock.Second
	// claimTimeout is the time in ms after which an entry does not wait for the answers of single entries any more, as long as
	// another one has answered. maxClaimWait is the longest time that it waits for a first answer.
	claimTimeout = 250 * clock.Millis(1)
	maxClaimWait = clock.Second
	// maxClaimPeers is the number of entries at which a job is claimed of which nothing suggests that its caller has left. It is
	// fixed so that the cost of a job does not grow with the fleet. Other jobs are claimed at all entries.
	maxClaimPeers = 16
	// claimSweepPeriod is the time in ms between two searches for expired claims.
	claimSweepPeriod = clock.Second
	// maxClaims is the number of jobs of other entries that are remembered, at about 200 bytes each.
	maxClaims = 65536
)

// claim is a job that another entry has claimed.
type claim struct {
	peer    string
	expires clock.Millis
}

// claimWait is an unanswered claim at one other entry.
type claimWait struct {
	// claimedAt is the time in ms of the last claim there, which its answer repeats, and age the age of the job that it states.
	// Both are 0 if there was none: the other entry gives up the job after a claim of its own.
	claimedAt clock.Millis
	age       clock.Millis
	// since is the time in ms from which on the job waits. holds is set if the other entry is known to have, or to have had, the
	// job: its runs have to end first.
	since clock.Millis
	holds bool
}

// claimAnswers are the answers that other entries wait for until nothing of a job runs.
type claimAnswers struct {
	// claimedAt holds the time of the claim, by the clock of the entry that waits, by its name.
	claimedAt map[string]clock.Millis
	// notBefore is the time in ms until which runs may go on that this entry does not know.
	notBefore clock.Millis
}

// ShareClaims asks the entry to send claims to another one.
type ShareClaims struct {
	Peer string
	Jobs []message.ClaimedJob
}

// AnswerClaims asks the entry to answer claims of another one.
type AnswerClaims struct {
	Peer   string
	Answer message.ClaimAnswer
}

func (ShareClaims) action()  {}
func (AnswerClaims) action() {}

// HandleClaims handles the claims of another entry. Of two entries that have a job, the one that got it last keeps it, since a
// caller submits a job again only after it has left the first one. The other one ends it, and says so once nothing of it runs.
func (s *Scheduler) HandleClaims(now clock.Millis, name string, jobs []message.ClaimedJob) []Action {
	var actions []Action
	answer := message.ClaimAnswer{}
	for _, c := range jobs {
		settled := message.SettledJob{Key: c.Key, Claimed: c.Claimed}
		j := s.jobs[c.Key]
		s.rememberClaim(now, name, c)
		if j != nil && j.statedAge(now, name) < c.Age {
			answer.Kept = append(answer.Kept, settled)
			j.unanswered[name] = claimWait{since: now, holds: true}
			continue
		}
		// Runs of an earlier process with the name of this entry may go on for RunExpiry.
		notBefore := s.startedAt + s.cfg.RunExpiry
		if a := s.claimAnswers[c.Key]; a != nil {
			notBefore = max(notBefore, a.notBefore)
		}
		if j != nil {
			if j.awaitsOther(name) {
				notBefore = now + s.cfg.RunExpiry
			}
			actions = s.endJob(actions, now, j, lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: causeElsewhere})
		}
		if s.runsInFlight[c.Key] > 0 || now < notBefore {
			s.addClaimAnswer(name, settled, notBefore)
			continue
		}
		answer.Free = append(answer.Free, settled)
	}
	if len(answer.Free)+len(answer.Kept) > 0 {
		actions = append(actions, AnswerClaims{name, answer})
	}
	return actions
}

// HandleClaimAnswer handles the answer of another entry to claims. Answers to earlier claims of the same job, which may have been
// held up, do not count.
func (s *Scheduler) HandleClaimAnswer(now clock.Millis, name string, a message.ClaimAnswer) []Action {
	var actions []Action
	for _, settled := range a.Free {
		if j := s.jobs[settled.Key]; j != nil && j.answers(name, settled) {
			delete(j.unanswered, name)
			j.answeredAt = now
		}
	}
	for _, settled := range a.Kept {
		if j := s.jobs[settled.Key]; j != nil {
			if !j.answers(name, settled) {
				continue
			}
			actions = s.endJob(actions, now, j, lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: causeElsewhere})
		}
		s.addClaimAnswer(name, message.SettledJob{Key: settled.Key}, 0)
	}
	actions = s.answerClaims(actions, now)
	return append(actions, s.dispatchThrottled(now)...)
}

// rememberClaim remembers that another entry has a job, in case it is submitted here.
func (s *Scheduler) rememberClaim(now clock.Millis, name string, c message.ClaimedJob) {
	if _, known := s.claims[c.Key]; known || len(s.claims) < maxClaims {
		s.claims[c.Key] = claim{peer: name, expires: now + min(c.Remaining, endedJobRetention) + s.cfg.RunExpiry}
	}
}

// sweepClaims drops the claims of jobs that must have ended and the entries that are gone, once in claimSweepPeriod.
func (s *Scheduler) sweepClaims(now clock.Millis) {
	if now-s.claimsSwept < claimSweepPeriod {
		return
	}
	s.claimsSwept = now
	for key, c := range s.claims {
		if c.expires <= now {
			delete(s.claims, key)
		}
	}
	s.dropGonePeers(now)
}

// addClaimAnswer records that another entry has to be told once nothing of a job runs, but not before the given time.
func (s *Scheduler) addClaimAnswer(name string, settled message.SettledJob, notBefore clock.Millis) {
	a := s.claimAnswers[settled.Key]
	if a == nil {
		a = &claimAnswers{claimedAt: map[string]clock.Millis{}}
		s.claimAnswers[settled.Key] = a
	}
	a.claimedAt[name], a.notBefore = settled.Claimed, max(a.notBefore, notBefore)
}

// answerClaims tells other entries which of the jobs that they wait for have no runs any more.
func (s *Scheduler) answerClaims(actions []Action, now clock.Millis) []Action {
	if len(s.claimAnswers) == 0 {
		return actions
	}
	free := map[string][]message.SettledJob{}
	for key, a := range s.claimAnswers {
		if s.runsInFlight[key] > 0 || now < a.notBefore {
			continue
		}
		for name, claimedAt := range a.claimedAt {
			free[name] = append(free[name], message.SettledJob{Key: key, Claimed: claimedAt})
		}
		delete(s.claimAnswers, key)
	}
	for _, name := range s.linkedPeers() {
		if settled := free[name]; len(settled) > 0 {
			sort.Slice(settled, func(a, b int) bool { return settled[a].Key < settled[b].Key })
			actions = append(actions, AnswerClaims{name, message.ClaimAnswer{Free: settled}})
		}
	}
	return actions
}

// claimDue claims the jobs that other entries may have by now.
func (s *Scheduler) claimDue(actions []Action, now clock.Millis) []Action {
	if len(s.peers) == 0 {
		return actions
	}
	var due []*Job
	for _, j := range s.jobs {
		if needsClaim(now, j) && !s.isClaimed(now, j) && j.age(now) >= lateEndWait {
			j.claimedAt = now
			due = append(due, j)
		}
	}
	return s.claimAt(actions, now, due, s.claimPeers)
}

// claimElsewhere claims a job that has just been submitted at the entry that has claimed it. The job waits until the runs there
// have ended.
func (s *Scheduler) claimElsewhere(now clock.Millis, j *Job) []Action {
	c, claimed := s.claims[j.key]
	if !claimed || c.expires <= now {
		return nil
	}
	j.unanswered[c.peer] = claimWait{since: now, holds: true}
	if p := s.peers[c.peer]; p == nil || !p.linked {
		return nil
	}
	return s.claimAt(nil, now, []*Job{j}, func(*Job) []string { return []string{c.peer} })
}

// claimPeers returns the names of the entries at which a job is claimed.
func (s *Scheduler) claimPeers(j *Job) []string {
	names := s.linkedPeers()
	gapEnd := max(s.contacts.since(), s.contacts.callers.since)
	if j.mayBeOld || gapEnd > j.arrived || len(names) <= maxClaimPeers {
		return names
	}
	sort.Slice(names, func(a, b int) bool { return peerRank(j.key, names[a]) < peerRank(j.key, names[b]) })
	return names[:maxClaimPeers]
}

// claimAt claims each job at the entries that peers returns for it.
func (s *Scheduler) claimAt(actions []Action, now clock.Millis, jobs []*Job, peers func(*Job) []string) []Action {
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].key < jobs[b].key })
	claims := map[string][]message.ClaimedJob{}
	for _, j := range jobs {
		for _, name := range peers(j) {
			w := j.unanswered[name]
			if !w.holds || now-w.since >= 2*s.cfg.RunExpiry {
				w.since = now
			}
			w.claimedAt, w.age = now, j.age(now)
			j.unanswered[name] = w
			claims[name] = append(claims[name], j.claimedJob(now))
		}
	}
	if len(claims) == 0 {
		return actions
	}
	for _, name := range s.linkedPeers() {
		if len(claims[name]) > 0 {
			actions = append(actions, ShareClaims{name, claims[name]})
		}
	}
	return actions
}

// needsClaim tells whether another entry may have the job.
func needsClaim(now clock.Millis, j *Job) bool { return j.mayBeOld || j.age(now) >= claimAfter }

// isClaimed tells whether the job has been claimed lately, and since the entry was last out of contact. Other entries may have got
// the job meanwhile.
func (s *Scheduler) isClaimed(now clock.Millis, j *Job) bool {
	return j.claimedAt > s.contacts.since() && now-j.claimedAt < claimRefresh
}

// mayRun tells whether runs of a job may be ordered: runs of an earlier submission have ended, and no other entry may have the
// job, or all that may have it have answered.
func (s *Scheduler) mayRun(now clock.Millis, j *Job) bool {
	if j.resubmitted && s.runsInFlight[j.key] > j.inFlight {
		return false
	}
	j.resubmitted = false
	for name, w := range j.unanswered {
		if !s.answerExpired(now, j, name, w) {
			return false
		}
		delete(j.unanswered, name)
	}
	if !needsClaim(now, j) {
		return true
	}
	// After a gap, links to the entries that run are made within maxClaimWait.
	if len(s.peers) == 0 {
		return s.ContactAge(now) >= maxClaimWait
	}
	if !s.isClaimed(now, j) || s.contacts.inGap(now) {
		return false
	}
	return s.linkedPeerCount == len(s.peers) || s.ContactAge(now) >= maxClaimWait
}

// answerExpired tells whether the answer of an entry to a claim is not needed any more.
func (s *Scheduler) answerExpired(now clock.Millis, j *Job, name string, w claimWait) bool {
	p := s.peers[name]
	if w.holds {
		// The runs of an entry that is cut off or has ended expire. That it was not heard in a gap of this entry shows nothing.
		return p == nil || now-max(p.lastHeard, s.contacts.since()) >= s.cfg.RunExpiry || now-w.since >= 2*s.cfg.RunExpiry
	}
	if p == nil || !p.linked || now-w.since >= maxClaimWait {
		return true
	}
	return now-w.since >= claimTimeout && j.answeredAt >= w.since
}

// AwaitedPeer returns the name of an entry whose runs of the job have to end first, or an empty string.
func (j *Job) AwaitedPeer() string {
	for name, w := range j.unanswered {
		if w.holds {
			return name
		}
	}
	return ""
}

// awaitsOther tells whether the runs of the job at an entry other than the given one have to end first.
func (j *Job) awaitsOther(name string) bool {
	for other, w := range j.unanswered {
		if w.holds && other != name {
			return true
		}
	}
	return false
}

// answers tells whether an answer of another entry is that to the last claim of the job there.
func (j *Job) answers(name string, settled message.SettledJob) bool {
	w, waits := j.unanswered[name]
	return waits && w.claimedAt == settled.Claimed
}

// age returns the time in ms since the last submission of the job.
func (j *Job) age(now clock.Millis) clock.Millis { return now - j.submittedAt }

// statedAge returns the age in ms that an unanswered claim at another entry states, so that two entries whose claims cross come to
// the same result, or else the age of the job.
func (j *Job) statedAge(now clock.Millis, name string) clock.Millis {
	if w := j.unanswered[name]; w.claimedAt > 0 {
		return w.age
	}
	return j.age(now)
}

// claimedJob returns the claim of the job.
func (j *Job) claimedJob(now clock.Millis) message.ClaimedJob {
	remaining := endedJobRetention
	if j.callerDeadline > 0 {
		remaining = max(j.callerDeadline-now, 0)
	}
	return message.ClaimedJob{Key: j.key, Claimed: now, Age: j.age(now), Remaining: remaining}
}
