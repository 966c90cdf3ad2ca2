// Package room tracks the runs on the worker beside a runner and decides which runs to start and stop there. Its name
// stands for the free capacity of the worker and what runs in it. An entry is the daemon that owns the jobs, which is a
// gateway on the users' platform.
//
// The worker enforces no limits itself, so the table keeps the resources of all runs within the capacity, counts a run
// that is being stopped until its end is confirmed, and stops runs whose entry is gone. The package does no I/O and
// reads no clock: the runner passes events with their time and carries out the returned actions.
//
// A message.Order asks the runner to start runs, a lavendercourse.Order asks the worker to start one run. A run is one
// execution of a task; package slot, which agents use, has its own actions Run and Reply.
package room

import (
	"math"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// Defaults of Config, in ms. An entry considers a run ended OwnerLease + WorkerLease plus a margin after the last
// message from its runner, see queue.Config.
const (
	// DefaultWorkerLease is below the 1 s to which the platform shortens leases, and leaves time for three renewals.
	DefaultWorkerLease = 900 * clock.Millis(1)
	// DefaultOwnerLease is short enough that the runs of an unresponsive entry are stopped before the caller resubmits its
	// job, 1.3 s after the caller lost its connection. The simulated callers in standin/soak wait that long.
	DefaultOwnerLease = 900 * clock.Millis(1)
	// DefaultOrderValidity is the age above which an order is refused.
	DefaultOrderValidity = 900 * clock.Millis(1)
)

const (
	// maxPlatformLease, in ms, is the longest lease that the platform grants; longer ones are shortened to it.
	maxPlatformLease = clock.Second
	// predecessorLease, in ms, is the longest time for which a worker may keep runs that a predecessor of the runner has started.
	predecessorLease = maxPlatformLease * (100 + maxClockDriftPercent) / 100
	// maxLeaving is the number of draining workers whose last report is kept. Two workers of one machine may overlap; a heartbeat that
	// is delayed beyond several replacements is too old to be used.
	maxLeaving = 8
	// renewalWait, in ms, is how long the worker may delay the answer to a renewal until a run ends. Three renewals fit
	// into the lease of the worker.
	renewalWait = 200 * clock.Millis(1)
	// lossyRenewalWait, in ms, replaces renewalWait while the worker loses answers: a lost answer holds up the ends of runs
	// for as long as it may be delayed.
	lossyRenewalWait = 20 * clock.Millis(1)
	// stopRetryInterval, in ms, is the time after which a stop is sent again if the run has not ended. A worker takes
	// up to 50 ms to stop a run.
	stopRetryInterval = 100 * clock.Millis(1)
	// leaseExtensionCutoff, in ms, is the time without an answer after which renewals no longer extend the lease.
	// Otherwise the lease of a worker that has ended would never expire and its runs would not be given up.
	leaseExtensionCutoff = 350 * clock.Millis(1)
	// silentAfter, in ms, is the time without an answer after which a worker gets no new runs.
	silentAfter = 500 * clock.Millis(1)
	// maxStartAttempts is how often a start is sent in total while none is answered. Starts are idempotent: the worker
	// recognizes the run.
	maxStartAttempts = 8
	// maxFastStops is how often a stop that got no answer is sent again at once. Further ones follow at
	// stopRetryInterval.
	maxFastStops = 6
	// resubmitDelay, in ms, is the time after which the users' callers submit a job again, at any entry, once their connection
	// has broken.
	resubmitDelay = 1300 * clock.Millis(1)
	// stopDuration, in ms, is the longest time that a worker takes to stop a run.
	stopDuration = 50 * clock.Millis(1)
	// maxLeaseWithoutOwner, in ms, is the longest time after the last stamp of an entry for which the worker's lease may
	// go on while the worker has a run of the entry, and after the first stop of a run that has not ended. The caller of the run
	// may have lost its connection, or left, just before.
	maxLeaseWithoutOwner = resubmitDelay - stopDuration
	// minStartLease, in ms, is the shortest lease that a start is sent with: time to repeat the start once and to extend the
	// lease after that. Orders are refused for it only if stops of a silent entry's runs have had no effect for 170 ms.
	minStartLease = 150 * clock.Millis(1)
	// minLeaseForWait, in ms, is the lease below which the worker may delay the answer to a renewal for no longer than
	// lossyRenewalWait. Three renewals with renewalWait fit into it. A healthy entry does not shorten the lease that far.
	minLeaseForWait = 600 * clock.Millis(1)
	// maxClockDriftPercent is how much slower than the runner's clock the clock of a worker may run.
	maxClockDriftPercent = 2
	// initialTokenStep, in ms, is added to a fencing token that the worker refused; each further step is larger by the
	// factor tokenStepGrowth, up to maxTokenStep, which is ten years in ms. Tokens are taken from the time of day,
	// which may jump by a few seconds.
	initialTokenStep = 1000
	tokenStepGrowth  = 8
	maxTokenStep     = 10 * 365 * 24 * 3600 * 1000
	// inheritedReportTimeout, in ms, is how long a worker report taken over from a predecessor is used without a
	// heartbeat. The worker may have reported in the meantime that it is draining, and must get no runs 2 s after that.
	inheritedReportTimeout = clock.Second
	// isolationDelay, in ms, is the time without other runs before an isolated run starts, and for which a run that has ended
	// is still named in a crash.
	isolationDelay = 100 * clock.Millis(1)
	// maxIsolationWait, in ms, is how long an isolated run may wait for the other runs to end, during which the worker takes
	// no new ones. The users allow a job to wait for 3 s while workers have room.
	maxIsolationWait = 2500 * clock.Millis(1)
	// reportAgeMargin, in ms, is the time by which the last report of a worker may be older than its heartbeats are apart. The
	// capacity may have shrunk right after the report; the users allow 3 s and one heartbeat until starts must heed that, and
	// a start may be carried out up to 900 ms after it was sent.
	reportAgeMargin = 2 * clock.Second
	// defaultHeartbeatInterval, in ms, is used until two heartbeats of the worker have arrived, and minHeartbeatInterval is
	// the lower bound of the measured interval.
	defaultHeartbeatInterval = 1500 * clock.Millis(1)
	minHeartbeatInterval     = 250 * clock.Millis(1)
	// maxClock is an age that no report has.
	maxClock = clock.Millis(math.MaxInt64)
	// overdueRenewalWait, in ms, replaces renewalWait while a run takes longer than expected, so that a stalled worker
	// is detected quickly.
	overdueRenewalWait = 40 * clock.Millis(1)
	// overduePercent is the running time, in percent of the estimate, above which a run takes longer than expected.
	overduePercent = 130
	// minPaceJobs is the number of jobs that a measurement of the pace needs, and minPaceTime the time in ms for which
	// each of them must have been observed. A run is judged by its own progress only after minPaceTime, too. The fastest
	// job determines the pace: estimates of single jobs are often too low by half or more, while a slow worker slows all
	// jobs.
	minPaceJobs = 4
	minPaceTime = 60 * clock.Millis(1)
	// stalledPercent is the time without progress, in percent of the estimate, after which a run counts as stalled. A
	// healthy run advances by about 5 percent in that time even if its estimate is three times too low; the worker lists
	// progress in smaller steps. minStalledTime, in ms, is the lower bound of that time.
	stalledPercent = 16
	minStalledTime = 100 * clock.Millis(1)
	// slowPercent is the pace, in percent, below which runs are stopped if they would end sooner on another worker.
	slowPercent = 45
	// moveOverhead is the time in ms that it costs to stop a run and order it on another worker.
	moveOverhead = 60 * clock.Millis(1)
	// maxHistoryLength is the number of succeeded and failed runs that the failure rate is computed from.
	maxHistoryLength = 24
	// maxHistoryAge, in ms, is the age above which a run in the history no longer counts for the failure rate.
	maxHistoryAge = 4 * clock.Second
)

// Config holds the settings of a Table. All times are in ms; a lease or validity of 0 selects the default.
type Config struct {
	// WorkerLease is how long the worker keeps its runs without a renewal.
	WorkerLease clock.Millis
	// OwnerLease is how long runs continue without a message from their owner, the entry that ordered them. The worker's
	// lease ends maxLeaseWithoutOwner after that message, which has to leave time to stop the runs.
	OwnerLease clock.Millis
	// OrderValidity is the age above which an order is refused, measured from its stamp: the entry copies the newest
	// timestamp that it received from this runner, so the age needs no synchronized clocks.
	OrderValidity clock.Millis
	// Epoch is the time of day, in ms since the Unix epoch, at time 0 of the runner's clock. Fencing tokens are the
	// time of day computed from it.
	Epoch clock.Millis
	// Neighbours makes the table measure which kinds of tasks slow each other down.
	Neighbours bool
}

func (c Config) withDefaults() Config {
	if c.WorkerLease == 0 {
		c.WorkerLease = DefaultWorkerLease
	}
	if c.OwnerLease == 0 {
		c.OwnerLease = DefaultOwnerLease
	}
	if c.OrderValidity == 0 {
		c.OrderValidity = DefaultOrderValidity
	}
	return c
}

// inDoubtTimeout returns how long, in ms, after the end of a worker's incarnation an unanswered start may still take
// effect in the next one: the longest time that the start may be in flight, plus the lease that it grants, plus
// stopRetryInterval as a margin.
func (c Config) inDoubtTimeout() clock.Millis {
	return c.OrderValidity + c.WorkerLease + stopRetryInterval
}

// Action is an instruction to the runner: StartRun, StopRun, ReportCrash, WithdrawCrash, ReportReturn,
// ReportEnd or DescribeWorker.
type Action interface{ action() }

// StartRun instructs the runner to start a run on the worker and to pass the answer to Table.HandleStartReply.
type StartRun struct {
	Worker string
	// Entry is the entry that ordered the run.
	Entry string
	Order lavendercourse.Order
	// Timeout is the time in ms to wait for the answer.
	Timeout clock.Millis
}

// StopRun instructs the runner to stop a run on the worker and to pass the answer to Table.HandleStopReply.
type StopRun struct {
	Worker string
	Run    lavendercourse.RunID
	Token  int64
	// Timeout is the time in ms to wait for the answer.
	Timeout clock.Millis
}

// ReportEnd instructs the runner to notify an entry that a run has ended or was refused.
type ReportEnd struct {
	Entry string
	Run   lavendercourse.RunID
	Kind  lavendercourse.EndKind
	// Reason is why the run was not started. It is only meaningful if Kind is EndRefused.
	Reason lavendercourse.Reply
	// Duration is the time in ms from the order to the end.
	Duration clock.Millis
	// Cause is a log text that explains why the run was stopped or not started.
	Cause string
}

// ReportCrash instructs the runner to log that the worker's process ended, or has probably ended, while it may have executed the
// given runs. It comes before the ReportEnd actions of these runs, which may follow later. A crash of an idle worker has no runs: it
// shows that the worker crashes for other reasons.
type ReportCrash struct {
	Crash message.Crash
	// Observed is set if the worker answered until its process ended, and was not shutting down. Only then the runs may have
	// crashed it, and entries are told. A worker that was silent may have lost its power or restarted behind a cut.
	Observed bool
	// States holds the state of each run in Crash.Runs, for logs.
	States []string
	// Silent is the time in ms since the worker's last answer, and Draining tells whether the worker was shutting down.
	Silent   clock.Millis
	Draining bool
	// Evidence is what shows that the process ended, for logs.
	Evidence string
}

// WithdrawCrash instructs the runner to tell entries that the worker has not crashed: it answers in the given incarnation.
type WithdrawCrash struct{ Incarnation int64 }

// ReportReturn instructs the runner to log that the worker answers in an incarnation whose runs were reported as ended.
type ReportReturn struct {
	Incarnation int64
	// Away is the time in ms since the runs were reported as ended, and Running the number of runs that the worker has.
	Away    clock.Millis
	Running int
}

// DescribeWorker instructs the runner to send entries the worker's description again: another worker or incarnation has taken the
// place of the one before, and has sent its heartbeat already.
type DescribeWorker struct{}

func (StartRun) action()       {}
func (StopRun) action()        {}
func (ReportCrash) action()    {}
func (WithdrawCrash) action()  {}
func (ReportReturn) action()   {}
func (ReportEnd) action()      {}
func (DescribeWorker) action() {}
