package queue

import (
	"container/list"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/interference"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/quarantine"
	"github.com/lavendercourse/lavendercourse/route"
)

// Causes of answers. They reach callers and logs.
const (
	causeFull       = "entry has too many jobs"
	causeImpossible = "no worker of the service can run the job"
	causeNoCapacity = "no room before the time of the job runs out"
	causeNoTime     = "job cannot end before its caller gives up"
	causeAttempts   = "a task failed as often as its queue allows"
	causeContained  = "jobs of the queue crash workers; the workers set aside for it have no room"
	causeCrashes    = "a task of the job crashes the workers that run it"
	causeExhausted  = "workers that ran a task of the job crashed, and it may not be started again"
	causeStopping   = "entry is stopping"
	causeCancelled  = "job was cancelled"
	causeCallerGone = "caller is gone"
	causeElsewhere  = "the job was submitted to another entry later"
	causeTimeLimit  = "the time limit of the caller has passed"
)

// endedJob is what is kept of an ended job until it expires, in case its caller submits it again.
type endedJob struct {
	key       string
	runNumber int
	// answer is the answer that the callers got, and digest that of the submission, see digestOf. It is 0 for a job that was
	// cancelled where it was not known.
	answer  lavendercourse.JobAnswer
	digest  uint64
	expires clock.Millis
	// unknown is set for a cancel of a job that the entry did not have. place is its place in keptCancels.
	unknown bool
	place   *list.Element
}

// final tells whether the answer holds for a repeated submission too. Otherwise the job may run again.
func (e *endedJob) final() bool {
	switch e.answer.Result {
	case lavendercourse.JobCompleted, lavendercourse.JobFailed, lavendercourse.JobCancelled:
		return true
	}
	return false
}

// enrollments holds the runners that were enrolled on new links in one enrollPeriod, which began at since, in ms. last is the time
// of the last one.
type enrollments struct {
	since   clock.Millis
	last    clock.Millis
	runners map[string]bool
}

// Scheduler schedules the jobs of one entry. It holds the jobs that have not ended and the state of the known runners.
type Scheduler struct {
	cfg     Config
	jobs    map[string]*Job
	waiting []*Job
	runners map[string]*Runner
	// sortedRunners holds all runners, sorted by name.
	sortedRunners []*Runner
	// drained is the set of failure domains that get no orders.
	drained map[string]bool
	// ledger records the crashes of workers and the tasks that they ran, also those of other entries.
	ledger *quarantine.Ledger
	// containments holds the contained queues of each service, partitions the division of its workers that follows from
	// them, as of the last dispatch.
	containments map[string]*quarantine.Containment
	partitions   map[string]quarantine.Partition
	// endedJobs holds the jobs that ended recently, by key.
	endedJobs map[string]*endedJob
	contacts  contacts
	// preference is the set of runners that the entry orders from first.
	preference preference
	// neighbours holds what is known of tasks that slow each other down, by service.
	neighbours           map[string]*interference.Table
	neighbourEvaluations int
	// startedAt is the time in ms of the first call of RecordContact or PeerLinked.
	startedAt clock.Millis
	// peers holds the other entries that are or were linked, by name.
	peers           map[string]*peer
	linkedPeerCount int
	// claims holds the jobs that other entries have claimed, claimAnswers the answers that they wait for, both by the key of the
	// job.
	claims       map[string]claim
	claimAnswers map[string]*claimAnswers
	claimsSwept  clock.Millis
	// runsInFlight counts, by the key of their job, the runs that were ordered and whose end is not known, also those of jobs
	// that have ended.
	runsInFlight map[string]int
	// meanWork is the mean work per job of each queue by queue name, in thousandths of a core times ms.
	meanWork       map[string]float64
	callerTimeouts callerTimeouts
	// expiring lists what is or was in endedJobs, about the earliest to expire first: cancels that another entry has kept for
	// a while expire before those in front of them. keptCancels lists, in the same order, the cancels of jobs that the entry did not
	// have, maxKeptCancels at most. A repeated one takes one place, at the end.
	expiring    []*endedJob
	keptCancels *list.List
	// backlogged tells whether tasks were still waiting after the last dispatch.
	backlogged  bool
	enrollments enrollments
	// lastTick is the time in ms of the last call of Tick, stalledAt that of the last one that came late, or 0.
	lastTick  clock.Millis
	stalledAt clock.Millis
	// lastDispatch is the time of the last dispatch.
	lastDispatch clock.Millis
	stopping     bool
	// stopDeadline is the time until which a stopping entry waits for the jobs that it had when Stop was called.
	stopDeadline clock.Millis
}

// New returns a scheduler without jobs and runners.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg: cfg.withDefaults(), jobs: map[string]*Job{}, runners: map[string]*Runner{}, drained: map[string]bool{},
		endedJobs: map[string]*endedJob{}, meanWork: map[string]float64{}, callerTimeouts: callerTimeouts{}, ledger: quarantine.NewLedger(),
		containments: map[string]*quarantine.Containment{}, peers: map[string]*peer{}, claims: map[string]claim{},
		neighbours: map[string]*interference.Table{}, claimAnswers: map[string]*claimAnswers{}, runsInFlight: map[string]int{},
		keptCancels: list.New(),
	}
}

// Jobs returns the number of jobs that have not ended.
func (s *Scheduler) Jobs() int { return len(s.jobs) }

// JobsWithWaitingTasks returns the number of jobs, in all queues, with at least one waiting task.
func (s *Scheduler) JobsWithWaitingTasks() int { return len(s.waiting) }

// Backlogged tells whether tasks were left waiting for capacity by the last dispatch.
func (s *Scheduler) Backlogged() bool { return s.backlogged }

// LinkedRunners returns the number of runners that have a link to the entry.
func (s *Scheduler) LinkedRunners() int {
	n := 0
	for _, r := range s.sortedRunners {
		if r.linked {
			n++
		}
	}
	return n
}

// Job returns the job with the given key, see JobKey, or nil.
func (s *Scheduler) Job(key string) *Job { return s.jobs[key] }

// FullyWaitingJobs returns the number of jobs of a queue whose tasks are all waiting.
func (s *Scheduler) FullyWaitingJobs(q route.Queue) int {
	n := 0
	for _, j := range s.jobs {
		if j.queue.Name == q.Name && j.waiting == len(j.tasks) {
			n++
		}
	}
	return n
}

// SetDrained replaces the set of drained failure domains. Their runners get no orders.
func (s *Scheduler) SetDrained(domains []string) {
	s.drained = map[string]bool{}
	for _, d := range domains {
		s.drained[d] = true
	}
}

// Stop makes Submit refuse new jobs from now on, except those that are expected to end by deadline and before the last
// of the jobs already accepted is due. While the entry waits for long jobs anyway, it need not refuse short ones.
func (s *Scheduler) Stop(deadline clock.Millis) {
	s.stopping, s.stopDeadline = true, 0
	for _, j := range s.jobs {
		s.stopDeadline = max(s.stopDeadline, min(j.due, deadline))
	}
}

// endsBeforeStop tells whether a job is expected to end before the entry has stopped, so that it can still be accepted.
func (s *Scheduler) endsBeforeStop(now clock.Millis, j *Job) bool {
	return now+stopEstimateFactor*j.criticalPath <= s.stopDeadline
}

// Submit accepts a job and returns it with the actions to carry out. If the submission is refused or invalid, it
// returns no job and no actions, only the answer. If the queue already has a job with this id, the caller joins that
// job. If the job ended a short time ago, because the caller's answer was lost or a repeated request arrives late, the
// caller gets the same answer again, unless the job ended without a result.
func (s *Scheduler) Submit(now clock.Millis, submission lavendercourse.Submission, q route.Queue, id string) (*Job, lavendercourse.JobAnswer, []Action) {
	mayBeOld := s.contacts.recordSubmission(now)
	if j := s.jobs[q.Host+q.PathPrefix+id]; j != nil {
		j.addCaller(now, submission)
		return j, lavendercourse.JobAnswer{}, nil
	}
	if unsupported := unsupportedFeatures(submission, q); len(unsupported) > 0 {
		return nil, refusal(strings.Join(unsupported, " and ")+" are not served", 0), nil
	}
	if len(s.jobs) >= s.cfg.MaxJobs {
		return nil, refusal(causeFull, MinCallerRetryDelay), nil
	}
	lastRunNumber := 0
	if ended := s.recentlyEnded(now, q.Host+q.PathPrefix+id); ended != nil {
		if ended.final() && (ended.digest == 0 || ended.digest == digestOf(submission)) {
			return nil, ended.answer, nil
		}
		lastRunNumber = ended.runNumber
	}
	j, problem := newJob(now, submission, q, id, lastRunNumber)
	if j == nil {
		return nil, lavendercourse.JobAnswer{Result: lavendercourse.JobInvalid, Cause: problem}, nil
	}
	if s.stopping && !s.endsBeforeStop(now, j) {
		return nil, refusal(causeStopping, MinCallerRetryDelay), nil
	}
	j.subtractWaited(s.callerTimeouts.waited(submission, q))
	s.recordWork(j)
	if !s.canRun(j) {
		return nil, refusal(causeImpossible, 0), nil
	}
	s.ledger.Expire(now)
	if a, refused := s.crashAnswer(j); refused {
		s.retainJob(now, j, a)
		return nil, a, nil
	}
	if s.contains(j.queue) {
		if !s.containedJobFits(now, j) {
			return nil, refusal(causeContained, containedRetryDelay), nil
		}
	} else if s.shouldShed(now, j, s.workAhead(now, j)) {
		return nil, refusal(causeNoCapacity, s.backlogDrainTime()), nil
	}
	s.jobs[j.key] = j
	s.waiting = append(s.waiting, j)
	j.mayBeOld, j.resubmitted = mayBeOld, s.runsInFlight[j.key] > 0
	actions := s.claimElsewhere(now, j)
	return j, lavendercourse.JobAnswer{}, append(actions, s.dispatchThrottled(now)...)
}

// unsupportedFeatures names the features that a job or its queue asks for and that are not supported.
func unsupportedFeatures(submission lavendercourse.Submission, q route.Queue) []string {
	var features []string
	for _, feature := range []string{submission.Unsupported, q.Unsupported} {
		if feature != "" {
			features = append(features, feature)
		}
	}
	return features
}

// recordWork sets the relative size of a job and updates the mean work of its queue.
func (s *Scheduler) recordWork(j *Job) {
	work, meanWork := float64(j.work()), s.meanWork[j.queue.Name]
	if meanWork == 0 {
		meanWork = work
	}
	if len(s.meanWork) >= maxMeanWorkQueues {
		// The means of deleted queues would accumulate otherwise. Those of the other queues are computed anew.
		clear(s.meanWork)
	}
	if meanWork > 0 {
		j.relativeSize = work / meanWork
	}
	s.meanWork[j.queue.Name] = meanWork + (work-meanWork)/meanWorkWindow
}

func refusal(cause string, retryAfter clock.Millis) lavendercourse.JobAnswer {
	return lavendercourse.JobAnswer{Result: lavendercourse.JobRefused, Cause: cause, RetryAfter: retryAfter}
}

// canRun tells whether for each step there is a known worker that could run its tasks. It returns true if no worker of
// the service is known yet.
func (s *Scheduler) canRun(j *Job) bool {
	for _, step := range j.steps {
		serviceKnown, fits := false, false
		for _, r := range s.sortedRunners {
			serviceKnown = serviceKnown || r.enrollment.Service == j.queue.Service
			fits = fits || r.serves(j.queue.Service, step)
		}
		if serviceKnown && !fits {
			return false
		}
	}
	return true
}

// CallerLeft handles the departure of a caller of a job. When the last caller has left, the job ends and its runs are
// recalled.
func (s *Scheduler) CallerLeft(now clock.Millis, j *Job) []Action {
	j.callers--
	if j.callers > 0 || j.ended {
		return nil
	}
	return s.endJob(nil, now, j, lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: causeCallerGone})
}

// Enroll registers a runner or updates what it offers. On a new link, or after EnrollEarly on the present one, all runs that the entry
// ordered on an earlier link have ended and their tasks wait again. sameLink is set if the runner repeats its enrollment on its current
// link since its worker has changed. Each enrollment after the one that has told of earlier links counts as such.
func (s *Scheduler) Enroll(now clock.Millis, e message.Enroll, sameLink bool) []Action {
	r := s.describe(e)
	if sameLink || r.linked && !r.early {
		return nil
	}
	tasks := r.inFlight
	if r.early {
		tasks = r.earlierHeardBy(now)
	} else {
		s.recordEnrollment(now, e.Name)
		r.beginLink(now)
	}
	actions := s.requeueAll(nil, now, tasks)
	r.early, r.earlier = false, nil
	return append(actions, s.Dispatch(now)...)
}

// EnrollEarly registers a runner on a new link, while runs that the entry ordered on an earlier one may go on at another worker than the
// one described. They end with the next Enroll on the same link, or once Config.RunExpiry has passed since the last report on the link
// that they were ordered on, also if further links end before.
func (s *Scheduler) EnrollEarly(now clock.Millis, e message.Enroll) []Action {
	r := s.describe(e)
	if r.early {
		return nil
	}
	r.early = true
	r.keepEarlier()
	s.recordEnrollment(now, e.Name)
	r.beginLink(now)
	return s.Dispatch(now)
}

// describe records the description of a runner, which may be a new one, and returns the runner.
func (s *Scheduler) describe(e message.Enroll) *Runner {
	r := s.runners[e.Name]
	if r == nil {
		r = &Runner{inFlight: map[*task]bool{}, hash: xxhash.Sum64String(e.Name)}
		s.runners[e.Name] = r
		s.sortedRunners = append(s.sortedRunners, r)
	}
	if !r.linked || r.enrollment.Service != e.Service || r.enrollment.Domain != e.Domain {
		s.preference.stale = true
	}
	r.enrollment = e
	sort.Slice(s.sortedRunners, func(i, j int) bool { return s.sortedRunners[i].enrollment.Name < s.sortedRunners[j].enrollment.Name })
	return r
}

// Unlinked handles the end of a runner's link. The runs may go on until Config.RunExpiry has passed.
func (s *Scheduler) Unlinked(name string) {
	if r := s.runners[name]; r != nil {
		r.linked, r.early = false, false
		s.preference.stale = true
	}
}

// requeueAll makes the given tasks in flight on a runner wait again, after their runs have expired or ended.
func (s *Scheduler) requeueAll(actions []Action, now clock.Millis, tasks map[*task]bool) []Action {
	for _, task := range sortedTasks(tasks) {
		task.job.hasEndedRun, task.job.idleSince = true, now
		s.requeue(task, true)
		actions = s.giveUpCrashingTask(actions, now, task)
	}
	return actions
}

// removeRun records that the end of the run of a task on a runner is known.
func (s *Scheduler) removeRun(r *Runner, t *task) {
	if !r.inFlight[t] {
		return
	}
	r.remove(t)
	key := t.job.key
	s.runsInFlight[key]--
	if s.runsInFlight[key] == 0 {
		delete(s.runsInFlight, key)
	}
}

// requeue makes a task wait again after a run that failed, ended without a result or never started. If avoidLast is
// set, other runners than that of this run are preferred for the next one.
func (s *Scheduler) requeue(task *task, avoidLast bool) {
	j := task.job
	if task.runner != nil {
		s.removeRun(task.runner, task)
		if avoidLast {
			task.avoidRunner = task.runner.Name()
		}
	}
	task.runner = nil
	if task.state != taskInFlight || j.ended {
		return
	}
	task.state = taskWaiting
	j.inFlight--
	j.waiting++
	j.waitingWork += task.work()
	if j.waiting == 1 {
		s.waiting = append(s.waiting, j)
	}
}

// HandleReport handles a load report of a runner.
func (s *Scheduler) HandleReport(now clock.Millis, name string, report message.Report) []Action {
	r := s.runners[name]
	if r == nil || !r.linked {
		return nil
	}
	r.applyReport(now, report)
	return s.dispatchThrottled(now)
}

// HandleEnds handles the ends of runs on a runner, and the load report that comes with them.
func (s *Scheduler) HandleEnds(now clock.Millis, name string, e message.Ended) []Action {
	r := s.runners[name]
	if r == nil || !r.linked {
		return nil
	}
	r.applyReport(now, e.Report)
	var actions []Action
	for _, end := range e.Ends {
		if task := r.findTask(end.Run); task != nil {
			actions = s.endRun(actions, now, r, task, end)
		}
	}
	actions = s.answerClaims(actions, now)
	return append(actions, s.dispatchThrottled(now)...)
}

// findTask returns the task in flight with the given run, or nil.
func (r *Runner) findTask(id lavendercourse.RunID) *task {
	for task := range r.inFlight {
		if task.id() == id {
			return task
		}
	}
	return nil
}

// endRun handles the end of one run.
func (s *Scheduler) endRun(actions []Action, now clock.Millis, r *Runner, task *task, end message.RunEnd) []Action {
	j := task.job
	if end.Kind != lavendercourse.EndRefused {
		j.hasEndedRun, j.idleSince = true, now
	}
	switch end.Kind {
	case lavendercourse.EndDone:
		s.removeRun(r, task)
		if j.ended {
			return actions
		}
		task.state, task.runner = taskDone, nil
		j.inFlight--
		j.remaining[task.step]--
		if j.inFlight == 0 && j.waiting == 0 {
			s.recordCompletion(now, j)
			return s.endJob(actions, now, j, lavendercourse.JobAnswer{Result: lavendercourse.JobCompleted})
		}
	case lavendercourse.EndFailed:
		task.failures++
		s.requeue(task, true)
		if task.failures >= j.queue.MaxAttempts && !j.ended {
			return s.endJob(actions, now, j, lavendercourse.JobAnswer{Result: lavendercourse.JobFailed, Cause: causeAttempts})
		}
	case lavendercourse.EndRefused:
		if task.suspect {
			s.ledger.CountStart(task.quarantineKey(), -1)
		}
		s.requeue(task, end.Reason == lavendercourse.ReplyUnavailable)
		if end.Reason == lavendercourse.ReplyStaleRun {
			task.runNumber += runNumberSkip
		}
		r.pausedUntil = now + runnerRefusalPause
	case lavendercourse.EndCrashed:
		task.suspect = s.ledger.CountEnd(now, task.quarantineKey()) || task.suspect
		s.requeue(task, true)
	default:
		s.requeue(task, true)
	}
	return s.giveUpCrashingTask(actions, now, task)
}

// endJob ends a job: it appends the actions that answer the callers and recall the runs in flight.
func (s *Scheduler) endJob(actions []Action, now clock.Millis, j *Job, a lavendercourse.JobAnswer) []Action {
	if j.ended {
		return actions
	}
	j.ended = true
	delete(s.jobs, j.key)
	s.retainJob(now, j, a)
	if j.waiting > 0 {
		s.removeWaiting(j)
	}
	actions = append(actions, AnswerCallers{Job: j, Answer: a})
	byRunner := map[*Runner][]*task{}
	for _, task := range j.tasks {
		if task.state == taskInFlight && task.runner != nil {
			byRunner[task.runner] = append(byRunner[task.runner], task)
		}
	}
	for _, r := range s.sortedRunners {
		tasks := byRunner[r]
		if len(tasks) == 0 {
			continue
		}
		recall := message.Recall{Stamp: r.report.Stamp}
		for _, task := range tasks {
			recall.Runs = append(recall.Runs, task.id())
		}
		if r.linked {
			actions = append(actions, SendRecall{Runner: r.Name(), Recall: recall})
		}
	}
	return actions
}

func (s *Scheduler) removeWaiting(j *Job) {
	for i, other := range s.waiting {
		if other == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// recentlyEnded returns what is kept of the ended job with the given key, or nil.
func (s *Scheduler) recentlyEnded(now clock.Millis, key string) *endedJob {
	if e := s.endedJobs[key]; e != nil && e.expires > now {
		return e
	}
	return nil
}

// retainJob keeps the run number and the answer of an ended job for endedJobRetention.
func (s *Scheduler) retainJob(now clock.Millis, j *Job, a lavendercourse.JobAnswer) {
	s.retain(now, &endedJob{key: j.key, runNumber: j.maxRunNumber(), answer: a, digest: j.digest, expires: now + endedJobRetention})
}

// retain keeps an ended job until it expires, and drops expired ones.
func (s *Scheduler) retain(now clock.Millis, e *endedJob) {
	if e.runNumber > 0 || e.final() {
		if old := s.endedJobs[e.key]; old != nil && old.unknown {
			s.keptCancels.Remove(old.place)
		}
		s.endedJobs[e.key] = e
		if e.unknown {
			e.place = s.keptCancels.PushBack(e)
		} else {
			s.expiring = append(s.expiring, e)
		}
	}
	s.dropExpired(now)
}

// dropExpired drops the ended jobs that have expired, and the oldest cancels if there are more than maxKeptCancels.
func (s *Scheduler) dropExpired(now clock.Millis) {
	for len(s.expiring) > 0 && s.expiring[0].expires <= now {
		if s.endedJobs[s.expiring[0].key] == s.expiring[0] {
			delete(s.endedJobs, s.expiring[0].key)
		}
		s.expiring = s.expiring[1:]
	}
	for first := s.keptCancels.Front(); first != nil; first = s.keptCancels.Front() {
		e, ok := first.Value.(*endedJob)
		if ok && e.expires > now && s.keptCancels.Len() <= maxKeptCancels {
			return
		}
		s.keptCancels.Remove(first)
		if ok {
			delete(s.endedJobs, e.key)
		}
	}
}

// Tick handles the passing of time: it expires the runs of silent runners, ends the jobs whose callers have given up,
// refuses waiting jobs that cannot end before that, and dispatches waiting tasks.
func (s *Scheduler) Tick(now clock.Millis) []Action {
	var actions []Action
	for _, r := range s.sortedRunners {
		if len(r.inFlight) > 0 && now-r.lastHeard >= s.cfg.RunExpiry {
			actions = append(actions, LogSilentRunner{Runner: r.Name(), Runs: r.InFlight(), Silent: now - r.lastHeard})
			actions = s.requeueAll(actions, now, r.inFlight)
		}
		if expired := r.earlierHeardBy(now - s.cfg.RunExpiry); len(expired) > 0 {
			actions = append(actions, LogSilentRunner{Runner: r.Name(), Runs: len(expired), Silent: s.cfg.RunExpiry})
			actions = s.requeueAll(actions, now, expired)
		}
	}
	actions = s.endAbandonedJobs(actions, now)
	actions = s.claimDue(actions, now)
	actions = s.answerClaims(actions, now)
	s.sweepClaims(now)
	for _, c := range s.containments {
		c.Tick(now)
	}
	s.updatePartitions()
	s.ledger.Expire(now)
	s.evaluateNeighbours(now)
	actions = s.judgeSuspects(actions, now)
	s.recordTick(now)
	if s.cfg.RefuseLate {
		// Jobs that fit into the room that was reported since the last dispatch are not refused.
		actions = append(actions, s.Dispatch(now)...)
	}
	work := int64(0)
	for _, j := range append([]*Job(nil), s.waiting...) {
		switch {
		case j.mayHaveRun():
			// A job that may have run must not be refused.
		case s.contains(j.queue):
			if !s.containedJobFits(now, j) || now-j.arrived >= maxContainedIdle {
				actions = s.endJob(actions, now, j, refusal(causeContained, containedRetryDelay))
			}
			continue
		case j.callerDeadline > 0 && now+j.criticalPath > j.callerDeadline:
			actions = s.endJob(actions, now, j, refusal(causeNoTime, s.backlogDrainTime()))
			continue
		case !j.inTime(now) && s.shouldShed(now, j, work):
			actions = s.endJob(actions, now, j, refusal(causeNoCapacity, s.backlogDrainTime()))
			continue
		}
		work += j.work()
	}
	return append(actions, s.Dispatch(now)...)
}

// endAbandonedJobs ends the jobs whose callers have given up, and recalls their runs. The entry need not notice that a
// caller leaves: a cut may swallow the end of its connection.
func (s *Scheduler) endAbandonedJobs(actions []Action, now clock.Millis) []Action {
	var abandoned []*Job
	for _, j := range s.jobs {
		if j.callersGaveUp(now) {
			abandoned = append(abandoned, j)
		}
	}
	return s.interrupt(actions, now, abandoned, causeTimeLimit)
}

// Interrupt ends the jobs that are left when an entry stops. Jobs that cannot have run are refused, the others are
// interrupted. The callers may submit them to another entry.
func (s *Scheduler) Interrupt(now clock.Millis) []Action {
	all := make([]*Job, 0, len(s.jobs))
	for _, j := range s.jobs {
		all = append(all, j)
	}
	return s.interrupt(nil, now, all, causeStopping)
}

// interrupt ends jobs in the order of their keys, with the given cause. Jobs that cannot have run are refused.
func (s *Scheduler) interrupt(actions []Action, now clock.Millis, jobs []*Job, cause string) []Action {
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].key < jobs[b].key })
	for _, j := range jobs {
		a := lavendercourse.JobAnswer{Result: lavendercourse.JobInterrupted, Cause: cause}
		if !j.mayHaveRun() {
			a = refusal(cause, MinCallerRetryDelay)
		}
		actions = s.endJob(actions, now, j, a)
	}
	return actions
}

func sortedTasks(set map[*task]bool) []*task {
	all := make([]*task, 0, len(set))
	for task := range set {
		all = append(all, task)
	}
	sort.Slice(all, func(a, b int) bool {
		if all[a].job.key != all[b].job.key {
			return all[a].job.key < all[b].job.key
		}
		if all[a].step != all[b].step {
			return all[a].step < all[b].step
		}
		return all[a].index < all[b].index
	})
	return all
}

// InFlightOn returns the number of runs ordered from the named runner whose end is not known.
func (s *Scheduler) InFlightOn(name string) int {
	if r := s.runners[name]; r != nil {
		return r.InFlight()
	}
	return 0
}

// Failing tells whether the named runner is known and failing, see Runner.Failing.
func (s *Scheduler) Failing(name string) bool {
	r := s.runners[name]
	return r != nil && r.Failing()
}
