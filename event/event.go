// Package event is the catalogue of numbered log events. The same list is in docs/events.md.
package event

import "github.com/rs/zerolog"

// Event is one kind of log event: its number, level and message.
type Event struct {
	number int
	level  zerolog.Level
	text   string
}

// Number returns the number of the event. The meaning of a number never changes.
func (e Event) Number() int { return e.number }

// Level returns the level at which the event is logged.
func (e Event) Level() zerolog.Level { return e.level }

// Text returns the message of the event.
func (e Event) Text() string { return e.text }

// On starts a log line for the event on the given logger. The caller adds fields and calls Send.
func (e Event) On(l zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.level).Int("event", e.number).Str(zerolog.MessageFieldName, e.text)
}

// catalogue holds all events, ordered by number.
var catalogue []Event

// register creates an event and appends it to the catalogue. Numbers must ascend.
func register(number int, level zerolog.Level, text string) Event {
	e := Event{number: number, level: level, text: text}
	catalogue = append(catalogue, e)
	return e
}

// All returns a copy of the catalogue, ordered by number.
func All() []Event { return append([]Event(nil), catalogue...) }

// Events common to all processes.
var (
	Started          = register(100, zerolog.InfoLevel, "process started")
	Stopping         = register(101, zerolog.InfoLevel, "process is stopping; no new work is accepted")
	Stopped          = register(102, zerolog.InfoLevel, "process stopped")
	ServiceRestarted = register(103, zerolog.ErrorLevel, "part of the process failed and was restarted")
	StoppedBusy      = register(104, zerolog.WarnLevel, "process stopped while work was running")
	LinesSuppressed  = register(105, zerolog.WarnLevel, "log lines were suppressed")
	Reloaded         = register(106, zerolog.InfoLevel, "settings were read again")
	// ConnectionsClosed is logged once a second at most.
	ConnectionsClosed = register(107, zerolog.WarnLevel, "connections were closed or refused to stay within the limits of the process")
)

// Events of links between processes.
var (
	LinkOpened   = register(200, zerolog.InfoLevel, "link opened")
	LinkClosed   = register(201, zerolog.InfoLevel, "link closed")
	LinkRejected = register(202, zerolog.WarnLevel, "link closed because of an invalid message")
	DialFailed   = register(203, zerolog.WarnLevel, "link cannot be made")
)

// Events of an entry.
var (
	AgentJoined          = register(300, zerolog.InfoLevel, "agent joined")
	AgentLost            = register(301, zerolog.WarnLevel, "agent did not reconnect in time; the outcome of its tasks is unknown")
	AgentLeaving         = register(302, zerolog.InfoLevel, "agent is leaving")
	AgentResumed         = register(303, zerolog.InfoLevel, "agent reconnected and was asked about unfinished tasks")
	LeaveUnanswered      = register(304, zerolog.WarnLevel, "entry did not answer the leave of this entry")
	AgentReplaced        = register(305, zerolog.InfoLevel, "agent was replaced; it keeps its unfinished tasks until its link closes")
	ReplacedAgentLost    = register(306, zerolog.WarnLevel, "link of a replaced agent is closed; the outcome of its tasks is unknown")
	JobFailed            = register(310, zerolog.InfoLevel, "job failed")
	JobRefused           = register(311, zerolog.DebugLevel, "job or call was refused; nothing of it ran")
	CallFailed           = register(312, zerolog.DebugLevel, "call failed")
	LeaseLost            = register(320, zerolog.ErrorLevel, "no majority of the entries answers; all jobs failed and a new incarnation began")
	ConfigUnconfirmed    = register(321, zerolog.WarnLevel, "configuration cannot be confirmed; no task is started")
	ConfigConfirmed      = register(322, zerolog.InfoLevel, "configuration is confirmed again")
	OwnerDeclaredGone    = register(323, zerolog.WarnLevel, "owner of a job was declared gone")
	EntriesChanged       = register(324, zerolog.InfoLevel, "list of entries changed")
	LogUnavailable       = register(330, zerolog.WarnLevel, "platform log cannot be read")
	LogAvailable         = register(331, zerolog.InfoLevel, "platform log can be read again")
	AppendFailed         = register(332, zerolog.WarnLevel, "records cannot be appended to the platform log")
	ConfigChanged        = register(340, zerolog.InfoLevel, "configuration changed")
	ConfigPublished      = register(341, zerolog.InfoLevel, "configuration change was published")
	ConfigSnapshot       = register(342, zerolog.InfoLevel, "configuration snapshot was appended")
	ConfigAdopted        = register(343, zerolog.InfoLevel, "configuration was adopted from a peer")
	ConfigRefused        = register(344, zerolog.InfoLevel, "configuration change was not published")
	ConfigOutcomeUnknown = register(345, zerolog.WarnLevel, "it is unknown whether a configuration change will take effect")
	ConfigSkipped        = register(346, zerolog.WarnLevel, "malformed configuration records were skipped")
	DomainDrained        = register(350, zerolog.InfoLevel, "failure domain was taken out of service")
	DomainRestored       = register(351, zerolog.InfoLevel, "failure domain is in service again")
	WorkerEjected        = register(360, zerolog.WarnLevel, "worker was ejected; it gets one trial task at a time")
	WorkerReadmitted     = register(361, zerolog.InfoLevel, "worker was readmitted")
)

// Events of an agent.
var (
	EntryLinked      = register(400, zerolog.InfoLevel, "linked to entry")
	LinkRetired      = register(401, zerolog.InfoLevel, "link is closed, since enough gateways of a higher rank are linked")
	LeasesExpired    = register(410, zerolog.WarnLevel, "tasks are being stopped because their owner did not renew their leases")
	StartRefused     = register(411, zerolog.DebugLevel, "start was refused")
	SlotReleased     = register(412, zerolog.WarnLevel, "slot was released without proof that its task has ended")
	StopUnanswered   = register(413, zerolog.DebugLevel, "backend server did not answer the stop of a task")
	WorkerDown       = register(420, zerolog.ErrorLevel, "backend server does not answer")
	WorkerUp         = register(421, zerolog.InfoLevel, "backend server answers")
	PredecessorTasks = register(422, zerolog.InfoLevel, "backend server runs tasks of a predecessor; their slots are held")
	TasksNotListed   = register(423, zerolog.WarnLevel, "backend server does not list its running tasks; all slots are granted")
)

// Events of a gateway.
var (
	JobAccepted         = register(500, zerolog.InfoLevel, "job was taken")
	JobRefusedAtOnce    = register(501, zerolog.InfoLevel, "job was refused at once; nothing of it ran")
	RunsOrdered         = register(502, zerolog.InfoLevel, "runs were ordered from a runner")
	RunUnsuccessful     = register(503, zerolog.InfoLevel, "run did not end well")
	RunsRecalled        = register(504, zerolog.InfoLevel, "runs were recalled from a runner")
	JobAnswered         = register(505, zerolog.InfoLevel, "job was answered")
	RunnerEnrolled      = register(510, zerolog.InfoLevel, "runner enrolled its worker")
	RunnerLost          = register(511, zerolog.WarnLevel, "link to a runner ended")
	RunnerSilent        = register(512, zerolog.WarnLevel, "runs of a runner have expired, since it or its predecessor was silent; they are ordered again")
	RunnerFailing       = register(513, zerolog.WarnLevel, "too many runs of a runner fail or are slow; it gets one run at a time")
	RunnerHealthy       = register(514, zerolog.InfoLevel, "runner is healthy again")
	TaskCrashesWorkers  = register(515, zerolog.WarnLevel, "task crashed the workers that ran it; its job failed")
	QueueContained      = register(516, zerolog.WarnLevel, "jobs of a queue crash workers; it may use only a part of the workers")
	QueueReleased       = register(517, zerolog.InfoLevel, "queue may use all workers again")
	TaskNotStartedAgain = register(518, zerolog.WarnLevel, "task is not started again after crashes of workers that ran it; it is not known to be responsible")
	QueuesChanged       = register(520, zerolog.InfoLevel, "queues changed")
	ReadyChanged        = register(521, zerolog.InfoLevel, "readiness changed")
	ContactRegained     = register(522, zerolog.WarnLevel, "gateway was out of contact with all runners and gateways")
	CallerLeftBeforeJob = register(523, zerolog.InfoLevel, "caller had left before its job was taken; nothing of it ran")
	JobWaitsForPeer     = register(524, zerolog.InfoLevel, "job waits until its runs at another gateway have ended")
	CancelsRecorded     = register(525, zerolog.DebugLevel, "cancels were recorded in the platform's store")
	CancelsNotRecorded  = register(526, zerolog.WarnLevel, "cancels could not be recorded in the platform's store; their callers were told to ask again")
	CancelsNotRead      = register(527, zerolog.WarnLevel, "cancels in the platform's store could not be read; the gateway takes jobs without them")
	CancelsSkipped      = register(528, zerolog.WarnLevel, "malformed cancels in the platform's store were skipped")
	NeighboursInterfere = register(530, zerolog.InfoLevel, "tasks of one queue slow those of another one on the same worker; they are kept apart where there is room")
	NeighboursHarmless  = register(531, zerolog.InfoLevel, "tasks of two queues are no longer kept apart")
)

// Events of a runner.
var (
	WorkerReported      = register(600, zerolog.InfoLevel, "worker reported new or changed properties")
	WorkerDraining      = register(601, zerolog.InfoLevel, "worker is draining; it gets no new runs")
	WorkerLeft          = register(602, zerolog.InfoLevel, "worker deregistered")
	TokenAcquired       = register(603, zerolog.InfoLevel, "fencing token was acquired")
	WorkerSilent        = register(604, zerolog.WarnLevel, "worker does not answer")
	WorkerAnswers       = register(605, zerolog.InfoLevel, "worker answers")
	WorkerRefuses       = register(606, zerolog.WarnLevel, "worker cannot be called; it gets no new runs, and its lease is not renewed")
	ReportInherited     = register(607, zerolog.InfoLevel, "worker report was inherited from the previous runner")
	WorkerRecordInvalid = register(608, zerolog.WarnLevel, "worker record cannot be decoded or encoded")
	RunStarted          = register(610, zerolog.InfoLevel, "run was sent to the worker")
	RunNotStarted       = register(611, zerolog.InfoLevel, "run was not started")
	RunStopped          = register(612, zerolog.InfoLevel, "run is being stopped")
	RunEnded            = register(613, zerolog.InfoLevel, "run ended")
	WorkerLosesAnswers  = register(614, zerolog.WarnLevel, "worker leaves a share of the calls unanswered")
	WorkerAnswersAll    = register(615, zerolog.InfoLevel, "worker answers all calls again")
	WorkerCrashed       = register(616, zerolog.WarnLevel, "process of the worker ended, or has probably ended")
	WorkerReturned      = register(617, zerolog.WarnLevel, "worker has runs in an incarnation whose runs were reported as ended")
	WorkerNotCrashed    = register(618, zerolog.InfoLevel, "worker answers; it has not crashed")
)
