package lavendercourse

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/lavendercourse/lavendercourse/clock"
)

// RunID names one run of a task on a worker. A task that is started again has a higher run number.
type RunID struct {
	_ struct{} `cbor:",toarray"`
	// Job is the id that the caller chose. Step and Task are counted from 0.
	Job  string
	Step int
	Task int
	Run  int
}

// Order asks a worker to start one run.
type Order struct {
	Run     RunID
	Payload string
	// Until is the time of the worker's clock at which everything that runs there ends unless it is renewed.
	Until clock.Millis
	// Token is the fencing token of the caller.
	Token int64
}

// Renewal renews the lease of everything that runs on a worker and asks for the runs and ends.
type Renewal struct {
	Until clock.Millis
	Token int64
	// Seen is the number of the last end that was taken note of; the worker forgets the ends up to it.
	Seen int64
	// Wait is the time in ms for which the answer may wait for an end.
	Wait clock.Millis
}

// Running is a run that a worker has started and that has not ended.
type Running struct {
	Run RunID
	// Percent is the progress of the run.
	Percent int
}

// EndKind tells how a run ended.
type EndKind uint8

// The ways in which a run ends.
const (
	// EndUnknown is an end that the platform named in a way that is not known here.
	EndUnknown EndKind = 0
	EndDone    EndKind = 1
	EndFailed  EndKind = 2
	EndStopped EndKind = 3
	// EndExpired is the end of a run whose lease expired.
	EndExpired EndKind = 4
	// EndLost is the end of a run whose worker ended.
	EndLost EndKind = 5
	// EndSlow is the end of a run that was stopped because it made too little progress.
	EndSlow EndKind = 6
	// EndRefused is a run that was never started.
	EndRefused EndKind = 7
)

var endNames = [...]string{"unknown", "done", "failed", "stopped", "expired", "lost", "slow", "refused"}

// String returns the name of the kind, as used in logs and metrics.
func (k EndKind) String() string {
	if int(k) >= len(endNames) {
		return endNames[0]
	}
	return endNames[k]
}

// Well tells whether the run did what it should.
func (k EndKind) Well() bool { return k == EndDone }

// End is the end of a run as its worker lists it.
type End struct {
	// Number counts the ends of one life of the worker from 1.
	Number int64
	Run    RunID
	Kind   EndKind
}

// Sight is what a worker says of itself in the answer to a call.
type Sight struct {
	// Clock is the time of the worker's clock when it answered.
	Clock clock.Millis
	// Born identifies the life of the worker. It is 0 if the answer does not tell.
	Born int64
}

// Lists holds what runs on a worker and what has ended there.
type Lists struct {
	Sight   Sight
	Running []Running
	Ended   []End
}

// Reply tells whether a worker did what it was asked to do.
type Reply uint8

// The reasons of a worker.
const (
	// ReplyAccepted: the worker did what it was asked to do.
	ReplyAccepted Reply = 0
	// ReplyToken: the worker has seen a higher fencing token.
	ReplyToken Reply = 1
	// ReplyOld: the run was stopped or has ended, or a higher one was.
	ReplyOld Reply = 2
	// ReplyLate: the lease that the order brought had expired.
	ReplyLate Reply = 3
	// ReplyRoom: the worker has no room for the task.
	ReplyRoom Reply = 4
	// ReplyBusy: the worker is not healthy and did nothing.
	ReplyBusy Reply = 5
	// ReplyLife: another life of the worker was meant.
	ReplyLife Reply = 6
	// ReplyOther: the worker rejected the call for another reason.
	ReplyOther Reply = 7
)

var replyNames = [...]string{"accepted", "token", "old", "late", "room", "busy", "life", "other"}

// String returns the name of the reason, as used in logs.
func (r Reply) String() string {
	if int(r) >= len(replyNames) {
		return replyNames[len(replyNames)-1]
	}
	return replyNames[r]
}

// ErrWorkerDown is returned when nothing listens at the address of a worker: its process has ended.
var ErrWorkerDown = eris.New("worker is not running")

// TaskWorker is a worker that runs tasks under leases. An error means that the answer did not arrive: the call may
// have been carried out, or may still be.
type TaskWorker interface {
	Start(ctx context.Context, worker string, o Order) (Sight, Reply, error)
	Stop(ctx context.Context, worker string, run RunID, token int64) (Sight, Reply, error)
	Renew(ctx context.Context, worker string, r Renewal) (Lists, Reply, error)
}

// WorkerReport is a heartbeat of a worker.
type WorkerReport struct {
	// ID names the worker, Born its life.
	ID       string
	Born     int64
	Service  string
	Domain   string
	Capacity Resources
	Labels   []string
	Draining bool
	// Sequence rises with each report of one life.
	Sequence int64
}

// WorkerSink takes what a worker says of itself.
type WorkerSink interface {
	// Report takes a heartbeat, or returns an error if it names no worker to use.
	Report(r WorkerReport) error
	// Leave tells that a worker ends now.
	Leave(worker string)
}
