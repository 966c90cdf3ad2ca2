package lavendercourse

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/lavendercourse/lavendercourse/clock"
)

// RunID identifies one run of a task on a worker. Each restart of a task has a higher run number.
type RunID struct {
	_ struct{} `cbor:",toarray"`
	// Job is the job id that the caller chose.
	Job string
	// Step is the index of the step in the job, and Task that of the task in the step, both from 0.
	Step int
	Task int
	Run  int
}

// Order asks a worker to start one run.
type Order struct {
	Run     RunID
	Payload string
	// LeaseExpiry is when the lease of all runs on the worker expires unless it is renewed, in ms of the worker's clock.
	LeaseExpiry clock.Millis
	// Token is the fencing token of the sender.
	Token int64
}

// Renewal renews the lease of all runs on a worker and asks for its active and ended runs.
type Renewal struct {
	// LeaseExpiry is when the renewed lease expires, in ms of the worker's clock.
	LeaseExpiry clock.Millis
	// Token is the fencing token of the sender.
	Token int64
	// AckedEnd is the number of the last end that the sender has processed. The worker removes the ends up to it.
	AckedEnd int64
	// MaxWait is the time in ms for which the worker may delay its answer until a run ends.
	MaxWait clock.Millis
}

// Running is an active run on a worker.
type Running struct {
	Run RunID
	// Percent is the progress of the run in percent.
	Percent int
}

// EndKind is the way in which a run ended.
type EndKind uint8

// Values of EndKind.
const (
	// EndUnknown: the platform reported an end of a kind that this program does not know.
	EndUnknown EndKind = 0
	EndDone    EndKind = 1
	EndFailed  EndKind = 2
	EndStopped EndKind = 3
	// EndExpired: the lease of the run expired.
	EndExpired EndKind = 4
	// EndLost: the worker does not list the run any more.
	EndLost EndKind = 5
	// EndSlow: the run was stopped because it made too little progress.
	EndSlow EndKind = 6
	// EndRefused: the run was never started.
	EndRefused EndKind = 7
	// EndCrashed: the process of the worker ended while it may have executed the run.
	EndCrashed EndKind = 8
)

var endKindNames = [...]string{"unknown", "done", "failed", "stopped", "expired", "lost", "slow", "refused", "crashed"}

// String returns the name of the kind, as used in logs and metrics.
func (k EndKind) String() string {
	if int(k) >= len(endKindNames) {
		return endKindNames[0]
	}
	return endKindNames[k]
}

// Succeeded reports whether the run succeeded.
func (k EndKind) Succeeded() bool { return k == EndDone }

// End is an ended run as reported by its worker.
type End struct {
	// Number counts the ends within one incarnation of the worker, from 1.
	Number int64
	Run    RunID
	Kind   EndKind
}

// WorkerStatus is the state of a worker that each of its answers carries.
type WorkerStatus struct {
	// Clock is the time of the worker's clock at the answer, in ms.
	Clock clock.Millis
	// Incarnation identifies the incarnation of the worker: the time of day of its start, in ms since the Unix epoch. It is 0 if the
	// answer does not contain it.
	Incarnation int64
}

// WorkerRuns holds the active runs of a worker, and the ended ones that no renewal has acknowledged yet.
type WorkerRuns struct {
	Status  WorkerStatus
	Running []Running
	Ended   []End
}

// Reply tells whether a worker carried out a request, and if not, why. A runner gives the same reasons to the entry for
// runs that it refuses itself.
type Reply uint8

// Values of Reply.
const (
	// ReplyAccepted: the worker carried out the request.
	ReplyAccepted Reply = 0
	// ReplyStaleToken: the worker has already seen a higher fencing token.
	ReplyStaleToken Reply = 1
	// ReplyStaleRun: this run or a later run of the same task has already been stopped or has ended.
	ReplyStaleRun Reply = 2
	// ReplyLate: the lease in the order had expired when the order arrived, or the runner refused an order whose stamp was
	// too old.
	ReplyLate Reply = 3
	// ReplyNoCapacity: the worker does not have enough free resources for the task.
	ReplyNoCapacity Reply = 4
	// ReplyUnavailable: the worker is overloaded or unavailable and did nothing, or the runner takes no new runs.
	ReplyUnavailable Reply = 5
	// ReplyIncarnation: the request was meant for another incarnation of the worker.
	ReplyIncarnation Reply = 6
	// ReplyOther: the worker rejected the request for another reason.
	ReplyOther Reply = 7
)

var replyNames = [...]string{"accepted", "token", "old", "late", "room", "busy", "life", "other"}

// String returns the name of the reply, as used in logs.
func (r Reply) String() string {
	if int(r) >= len(replyNames) {
		return replyNames[len(replyNames)-1]
	}
	return replyNames[r]
}

// ErrWorkerRefused is returned when the address of a worker refuses the connection for a request, which therefore was not
// delivered. The worker may still run: it closes its listener before it shuts down.
var ErrWorkerRefused = eris.New("worker refused the connection")

// TaskWorker sends requests to workers that run tasks under leases. An error means that no answer arrived: the request
// may have been carried out, or may still be.
type TaskWorker interface {
	// Start asks a worker to start a run.
	Start(ctx context.Context, worker string, o Order) (WorkerStatus, Reply, error)
	// Stop asks a worker to stop a run. The token is the fencing token of the sender.
	Stop(ctx context.Context, worker string, run RunID, token int64) (WorkerStatus, Reply, error)
	// Renew renews the lease of all runs on a worker and returns its active and ended runs.
	Renew(ctx context.Context, worker string, r Renewal) (WorkerRuns, Reply, error)
}

// WorkerReport is a heartbeat of a worker.
type WorkerReport struct {
	// ID is the instance id of the worker.
	ID string
	// Incarnation identifies the incarnation of the worker, as in WorkerStatus.
	Incarnation int64
	Service     string
	Domain      string
	Capacity    Resources
	Labels      []string
	Draining    bool
	// Sequence increases with each report of one incarnation.
	Sequence int64
	// Clock is the time of the worker's clock when it made the report, in ms, or 0 if the report does not contain it.
	Clock clock.Millis
}

// WorkerSink receives the heartbeats and the deregistrations of workers.
type WorkerSink interface {
	// Report handles a heartbeat. It returns an error if the heartbeat is not from a worker that may be used.
	Report(r WorkerReport) error
	// WorkerLeaving reports that the worker with the given id is stopping.
	WorkerLeaving(worker string)
}
