package queue

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

const (
	// claimAfter is the age in ms from which on an entry claims a job at the other entries. The caller may have left unseen, and
	// submits the job to another entry 1.3 s later at the earliest, so that no other entry has it before.
	claimAfter = clock.Second
	// claimTimeout is the time in ms after which an entry does not wait for the answers of single entries any more, as long as
	// another one has answered. maxClaimWait is the longest time that it waits for a first answer.
	claimTimeout = 250 * clock.Millis(1)
	maxClaimWait = clock.Second
	// peerMemory is the time in ms for which an entry without a link is expected to be linked again.
	peerMemory = clock.Minute
	// claimSweepPeriod is the time in ms between two searches for expired claims.
	claimSweepPeriod = clock.Second
	// maxClaims is the number of jobs of other entries that are remembered, at about 200 bytes each.
	maxClaims = 65536
)

// peer is another entry.
type peer struct {
	linked bool
	// lastHeard is the time in ms of the last frame.
	lastHeard clock.Millis
}

// claim is a job that another entry has claimed.
type claim struct {
	peer    string
	expires clock.Millis
}

// claimWait is an unanswered claim at one other entry. holds is set if that entry is known to have, or to have had, the job: its
// runs have to end first.
type claimWait struct {
	since clock.Millis
	holds bool
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

// PeerLinked handles a new link to another entry, at which the jobs have to be claimed again.
func (s *Scheduler) PeerLinked(now clock.Millis, name string) []Action {
	p := s.peers[name]
	if p == nil {
		p = &peer{}
		s.peers[name] = p
	}
	p.linked, p.lastHeard = true, now
	var due []*Job
	for _, j := range s.jobs {
		if _, waits := j.unanswered[name]; waits || s.isClaimed(j) {
			due = append(due, j)
		}
	}
	return s.claimAt(nil, now, []string{name}, due)
}

// PeerHeard records a frame of another entry.
func (s *Scheduler) PeerHeard(now clock.Millis, name string) {
	if p := s.peers[name]; p != nil {
		p.lastHeard = now
	}
}

// PeerUnlinked handles the end of a link to another entry.
func (s *Scheduler) PeerUnlinked(name string) {
	if p := s.peers[name]; p != nil {
		p.linked = false
	}
}

// linkedPeers returns the names of the linked entries in order.
func (s *Scheduler) linkedPeers() []string {
	var names []string
	for name, p := range s.peers {
		if p.linked {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// HandleClaims handles the claims of another entry. Of two entries that have a job, the one that got it last keeps it, since a
// caller submits a job again only after it has left the first one. The other one ends it, and says so once nothing of it runs.
func (s *Scheduler) HandleClaims(now clock.Millis, name string, jobs []message.ClaimedJob) []Action {
	var actions []Action
	answer := message.ClaimAnswer{}
	for _, c := range jobs {
		j := s.jobs[c.Key]
		if j != nil && j.age(now) < c.Age {
			answer.Kept = append(answer.Kept, c.Key)
			j.waitFor(now, name)
			continue
		}
		if j != nil {
			actions = s.endJob(actions, now, j, lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: causeElsewhere})
		}
		s.rememberClaim(now, name, c)
		if s.hasRunsInFlight(c.Key, nil) {
			s.addWaitingPeer(c.Key, name)
			continue
		}
		answer.Free = append(answer.Free, c.Key)
	}
	if len(answer.Free)+len(answer.Kept) > 0 {
		actions = append(actions, AnswerClaims{name, answer})
	}
	return actions
}

// HandleClaimAnswer handles the answer of another entry to claims.
func (s *Scheduler) HandleClaimAnswer(now clock.Millis, name string, a message.ClaimAnswer) []Action {
	var actions []Action
	for _, key := range a.Free {
		if j := s.jobs[key]; j != nil {
			delete(j.unanswered, name)
			j.answeredAt = now
		}
	}
	for _, key := range a.Kept {
		if j := s.jobs[key]; j != nil {
			actions = s.endJob(actions, now, j, lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: causeElsewhere})
		}
		s.addWaitingPeer(key, name)
	}
	actions = s.answerWaitingPeers(actions)
	return append(actions, s.dispatchThrottled(now)...)
}

// rememberClaim remembers that another entry has a job, in case it is submitted here.
func (s *Scheduler) rememberClaim(now clock.Millis, name string, c message.ClaimedJob) {
	if len(s.claims) < maxClaims {
		s.claims[c.Key] = claim{peer: name, expires: now + min(c.Remaining, endedJobRetention) + s.cfg.RunExpiry}
	}
}

// dropExpiredClaims drops the claims of jobs that must have ended and the entries that are gone, once in claimSweepPeriod.
func (s *Scheduler) dropExpiredClaims(now clock.Millis) {
	if now-s.claimsSwept < claimSweepPeriod {
		return
	}
	s.claimsSwept = now
	for name, p := range s.peers {
		if !p.linked && now-p.lastHeard > peerMemory {
			delete(s.peers, name)
		}
	}
	for key, c := range s.claims {
		if c.expires <= now {
			delete(s.claims, key)
		}
	}
}

// addWaitingPeer records that another entry has to be told once nothing of a job runs.
func (s *Scheduler) addWaitingPeer(key, name string) {
	if s.waitingPeers[key] == nil {
		s.waitingPeers[key] = map[string]bool{}
	}
	s.waitingPeers[key][name] = true
}

// answerWaitingPeers tells other entries which of the jobs that they wait for have no runs any more.
func (s *Scheduler) answerWaitingPeers(actions []Action) []Action {
	free := map[string][]string{}
	for key, names := range s.waitingPeers {
		if s.hasRunsInFlight(key, nil) {
			continue
		}
		for name := range names {
			free[name] = append(free[name], key)
		}
		delete(s.waitingPeers, key)
	}
	for _, name := range s.linkedPeers() {
		if keys := free[name]; len(keys) > 0 {
			sort.Strings(keys)
			actions = append(actions, AnswerClaims{name, message.ClaimAnswer{Free: keys}})
		}
	}
	return actions
}

// hasRunsInFlight tells whether a run of any submission of a job but the given one, which may be nil, was ordered and its end is
// not known.
func (s *Scheduler) hasRunsInFlight(key string, except *Job) bool {
	for _, r := range s.sortedRunners {
		for task := range r.inFlight {
			if task.job != except && task.job.key == key {
				return true
			}
		}
	}
	return false
}

// claimDue claims the jobs that other entries may have by now.
func (s *Scheduler) claimDue(actions []Action, now clock.Millis) []Action {
	if len(s.peers) == 0 {
		return actions
	}
	var due []*Job
	for _, j := range s.jobs {
		if s.needsClaim(now, j) && !s.isClaimed(j) {
			due = append(due, j)
		}
	}
	return s.claimAt(actions, now, s.linkedPeers(), due)
}

// claimNew claims a job that has just been submitted: at all other entries if the submission may be old, or at the entry that has
// claimed the job. The job waits until the runs there have ended.
func (s *Scheduler) claimNew(now clock.Millis, j *Job) []Action {
	c, claimed := s.claims[j.key]
	claimed = claimed && c.expires > now
	if claimed {
		delete(s.claims, j.key)
		j.waitFor(now, c.peer)
	}
	if len(s.peers) > 0 && s.needsClaim(now, j) {
		return s.claimAt(nil, now, s.linkedPeers(), []*Job{j})
	}
	if p := s.peers[c.peer]; !claimed || p == nil || !p.linked {
		return nil
	}
	return []Action{ShareClaims{c.peer, []message.ClaimedJob{j.claimedJob(now)}}}
}

// claimAt claims jobs at the given entries.
func (s *Scheduler) claimAt(actions []Action, now clock.Millis, names []string, jobs []*Job) []Action {
	if len(jobs) == 0 {
		return actions
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].key < jobs[b].key })
	claims := make([]message.ClaimedJob, 0, len(jobs))
	for _, j := range jobs {
		j.claimedAt = now
		claims = append(claims, j.claimedJob(now))
		for _, name := range names {
			if !j.unanswered[name].holds {
				j.unanswered[name] = claimWait{since: now}
			}
		}
	}
	for _, name := range names {
		actions = append(actions, ShareClaims{name, claims})
	}
	return actions
}

// needsClaim tells whether another entry may have the job.
func (s *Scheduler) needsClaim(now clock.Millis, j *Job) bool { return j.age(now) >= claimAfter }

// isClaimed tells whether the job has been claimed since the entry was last out of contact. Other entries may have got the job
// meanwhile.
func (s *Scheduler) isClaimed(j *Job) bool {
	return j.claimedAt > 0 && j.claimedAt > s.contact.since
}

// mayRun tells whether runs of a job may be ordered: runs of an earlier submission have ended, and no other entry may have the
// job, or all that may have it have answered.
func (s *Scheduler) mayRun(now clock.Millis, j *Job) bool {
	if j.resubmitted && s.hasRunsInFlight(j.key, j) {
		return false
	}
	j.resubmitted = false
	for name, w := range j.unanswered {
		if !s.answerExpired(now, j, name, w) {
			return false
		}
	}
	if len(s.peers) == 0 || !s.needsClaim(now, j) {
		return true
	}
	// After a gap, links to the entries that run are made within maxClaimWait.
	return s.isClaimed(j) && (len(s.linkedPeers()) == len(s.peers) || s.ContactAge(now) >= maxClaimWait)
}

// answerExpired tells whether the answer of an entry to a claim is not needed any more.
func (s *Scheduler) answerExpired(now clock.Millis, j *Job, name string, w claimWait) bool {
	p := s.peers[name]
	if w.holds {
		// The runs of an entry that is cut off or has ended expire.
		return p == nil || now-p.lastHeard >= s.cfg.RunExpiry || now-w.since >= 2*s.cfg.RunExpiry
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

// age returns the time in ms for which the caller of the job may have been waiting.
func (j *Job) age(now clock.Millis) clock.Millis { return now - j.submittedAt }

// waitFor makes the job wait until its runs at another entry have ended.
func (j *Job) waitFor(now clock.Millis, name string) {
	j.unanswered[name] = claimWait{since: now, holds: true}
}

// claimedJob returns the claim of the job.
func (j *Job) claimedJob(now clock.Millis) message.ClaimedJob {
	remaining := endedJobRetention
	if j.callerDeadline > 0 {
		remaining = max(j.callerDeadline-now, 0)
	}
	return message.ClaimedJob{Key: j.key, Age: j.age(now), Remaining: remaining}
}
