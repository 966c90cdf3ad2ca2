// Package queue schedules the jobs of one entry: it assigns tasks to runners and decides when and how jobs end. Its
// name stands for the scheduling of the jobs of the published queues; a queue is a route.Queue, the settings of a class
// of jobs. An entry is the daemon that owns the jobs, which is a gateway on the users' platform: callers submit jobs to
// it, and it answers them when the jobs have ended. The package does no I/O and reads no clock: the entry passes in
// events with the current time and carries out the returned actions.
package queue

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/quarantine"
	"github.com/lavendercourse/lavendercourse/room"
)

const (
	// runExpiryMargin covers the drift of the worker's clock and the time that stopping a run takes.
	runExpiryMargin = 150 * clock.Millis(1)
	// orderDelayMargin is the time that an order may take to reach its runner before the order's stamp is too old.
	orderDelayMargin = 250 * clock.Millis(1)
	// runnerRefusalPause is the time for which a runner that refused an order gets no further ones, even if its report
	// shows free resources.
	runnerRefusalPause = 20 * clock.Millis(1)
	// containedRetryDelay is the time in ms after which a caller whose queue is confined to workers without room may retry. A
	// worker that has crashed is back after some seconds, and the share of the workers grows again as soon as jobs end well.
	containedRetryDelay = 3 * clock.Second
	// maxContainments is the number of services whose contained queues are kept.
	maxContainments = 256
	// runNumberSkip is added to a task's run number when its worker already knows this run or a higher one, which
	// happens if another entry ran the job before.
	runNumberSkip = 8
	// endedJobRetention is the time for which the last run number and the answer of an ended job are kept, in case the job
	// is submitted again. A repeated request may arrive some seconds after the answer.
	endedJobRetention = 15 * clock.Second
	// smallBacklog is the largest number of waiting jobs that are scanned on every event. Longer backlogs are scanned at
	// most once per dispatchInterval.
	smallBacklog     = 16
	dispatchInterval = 5 * clock.Millis(1)
	// probeInterval is the minimum time between two runs on a failing runner.
	probeInterval = 400 * clock.Millis(1)
	// minFailures is the number of jobs that must have failed on a runner before it counts as failing.
	minFailures = 3
	// estimateMarginPercent is the safety margin added to a job's estimated run time, in percent of it. Estimates are
	// rough: jobs that start at the last moment are late by half of their estimate.
	estimateMarginPercent = 30
	// sizePenalty is the time in ms by which a job of the mean size of its queue ranks behind a job of size zero. It is
	// about the TargetLatency of the most urgent queues in the users' deployments.
	sizePenalty = 60 * clock.Millis(1)
	// maxRelativeSize caps the size that the penalty is computed from, as a multiple of the mean size.
	maxRelativeSize = 4
	// meanWorkWindow is the number of jobs over which the mean work per job of a queue is averaged.
	meanWorkWindow = 32
	// maxMeanWorkQueues is the number of queues whose mean work is kept, at about 100 bytes each.
	maxMeanWorkQueues = 4096
	// stopEstimateFactor is the multiple of its estimate that must be left to a job before its entry stops. Estimates are
	// sometimes too low by half or more, and an interrupted job is worse for its caller than a refused one.
	stopEstimateFactor = 3
	// busyIsolationDivisor and idleIsolationDivisor bound the number of isolated runs of the entry, on workers that have to
	// end other runs first and on idle ones: one for so many runners, and at least one. Each takes a whole worker.
	busyIsolationDivisor = 20
	idleIsolationDivisor = 4
	// maxContainedIdle is the time in ms after which a job of a contained queue that has begun, and of which nothing runs, may
	// use a worker that is not set aside for the queue, and after which one that has not begun is refused. The users allow 3 s
	// while workers have room, and the other runs on the worker have to end first.
	maxContainedIdle = 1500 * clock.Millis(1)
	// failingPercent is the share of failed runs from which a runner counts as failing.
	failingPercent = 40
)

// MinCallerRetryDelay is the shortest time in ms after which a temporarily refused caller may retry.
const MinCallerRetryDelay = clock.Second

// Config holds the settings of a Scheduler. Zero values select the defaults.
type Config struct {
	// Name is the name of the entry.
	Name string
	// Domain is the failure domain of the entry.
	Domain string
	// RunExpiry is the time in ms without a message from a runner after which its runs are known to have ended.
	RunExpiry clock.Millis
	// MaxReportAge is the age in ms of a runner's last report above which the runner gets no orders.
	MaxReportAge clock.Millis
	// MaxJobs limits the number of jobs that the entry holds at once.
	MaxJobs int
	// PreferRunners makes the entries of a failure domain divide its runners among them. Each orders from its own ones first.
	PreferRunners bool
	// RefuseLate makes the entry refuse a job at once that waits during a backlog and cannot end in time any more, instead of
	// letting it wait for a quarter of its caller's time limit.
	RefuseLate bool
	// Neighbours makes the entry keep tasks apart that slow each other down, where there is room.
	Neighbours bool
}

// DefaultMaxJobs keeps the jobs of an entry within a small part of its memory: a job takes about 4 KB.
const DefaultMaxJobs = 4000

func (c Config) withDefaults() Config {
	if c.RunExpiry == 0 {
		c.RunExpiry = room.DefaultOwnerLease + room.DefaultWorkerLease + runExpiryMargin
	}
	if c.MaxReportAge == 0 {
		c.MaxReportAge = room.DefaultOrderValidity - orderDelayMargin
	}
	if c.MaxJobs == 0 {
		c.MaxJobs = DefaultMaxJobs
	}
	return c
}

// Action is something that a Scheduler asks its entry to do: SendOrder, SendRecall, LogSilentRunner, LogCrashingTask,
// ShareVerdict, ShareCancel or AnswerCallers.
type Action interface{ action() }

// SendOrder asks the entry to send an order to a runner.
type SendOrder struct {
	Runner string
	Order  message.Order
	// Free is the estimate of the runner's free resources before the order. Age is the age in ms of the report that the
	// estimate is based on.
	Free lavendercourse.Resources
	Age  clock.Millis
	// Isolated is set if the run has to be the only one on the worker.
	Isolated bool
}

// SendRecall asks the entry to send a recall to a runner.
type SendRecall struct {
	Runner string
	Recall message.Recall
}

// LogSilentRunner asks the entry to log that runs of a runner expired because no message arrived for too long on the link that they
// were ordered on. The runner may send messages on a later link.
type LogSilentRunner struct {
	Runner string
	// Runs is the number of expired runs, whose tasks are ordered again. Silent is the time in ms since the last such
	// message, or Config.RunExpiry for runs of an earlier link.
	Runs   int
	Silent clock.Millis
}

// LogCrashingTask asks the entry to log that a task is not started again after crashes of workers.
type LogCrashingTask struct {
	Job  *Job
	Step int
	Task int
	// Crashes are the crashes that the task took part in.
	Crashes []quarantine.Participation
	// Responsible tells whether the task was shown to be responsible for them.
	Responsible bool
}

// ShareVerdict asks the entry to send a verdict to all other entries.
type ShareVerdict struct {
	Verdict message.Verdict
}

// ShareCancel asks the entry to tell all other entries of a job that its caller has cancelled, and to record that in the store.
type ShareCancel struct {
	Job message.CancelledJob
}

// AnswerCallers asks the entry to answer the callers of a job.
type AnswerCallers struct {
	Job    *Job
	Answer lavendercourse.JobAnswer
}

func (SendOrder) action()       {}
func (SendRecall) action()      {}
func (LogSilentRunner) action() {}
func (LogCrashingTask) action() {}
func (ShareVerdict) action()    {}
func (ShareCancel) action()     {}
func (AnswerCallers) action()   {}
