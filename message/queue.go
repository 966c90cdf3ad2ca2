package message

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Numbers of TypeEnroll frames.
const (
	// EnrollEnded: runs that the gateway ordered on an earlier link have ended.
	EnrollEnded = 0
	// EnrollAgain: the worker has changed. Nothing is said of runs.
	EnrollAgain = 1
	// EnrollEarly: the worker takes runs, but runs that the gateway ordered on an earlier link may go on. EnrollEnded follows on the same
	// link. Earlier versions take it for EnrollAgain and order nothing until then.
	EnrollEarly = 2
)

// Enroll registers a runner and its worker with a gateway. It is the first message of a runner on each link, and is
// sent again when the worker changes. It is also the format of the worker records in the keyed store.
type Enroll struct {
	Name    string `cbor:"name"`
	Domain  string `cbor:"domain"`
	Service string `cbor:"service"`
	// Worker is the id of the worker.
	Worker string `cbor:"worker"`
	// Incarnation is the incarnation of the worker.
	Incarnation int64                    `cbor:"born"`
	Capacity    lavendercourse.Resources `cbor:"capacity"`
	Labels      []string                 `cbor:"labels"`
	// Clock is the time of the worker's clock, in ms, when it made the report that a record holds. It is 0 in messages to
	// gateways.
	Clock clock.Millis `cbor:"clock,omitempty"`
	// Isolates is set if the runner carries out orders of isolated runs. Earlier versions ignore them.
	Isolates bool `cbor:"isolates,omitempty"`
}

// Report is the load of a runner. It is sent as an array to keep it small, since most messages of a runner contain one.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is the time when the message was sent, by the runner's clock, in ms.
	Stamp clock.Millis
	// Free holds the free resources of the worker.
	Free lavendercourse.Resources
	// Running is the number of runs that have not ended, for all gateways, including those that are starting, being
	// stopped or in doubt.
	Running int
	// AcceptsRuns tells whether new runs are accepted.
	AcceptsRuns bool
	// ReceivedRuns is the number of runs that the runner has received from the gateway on this link. Free accounts for
	// them; the gateway subtracts the runs that it ordered later.
	ReceivedRuns int
	// Ended is the number of runs that succeeded or failed in the last seconds, and Failed the number of failed ones among
	// them. All failed runs of one job count as one run.
	Failed int
	Ended  int
	// PacePercent is the measured speed of runs, in percent of the speed that their estimates imply. 0 means unknown. Slow
	// tells that the worker is too slow for runs that have to end in time.
	PacePercent int
	Slow        bool
}

// Order asks a runner to start runs of one step of a job.
type Order struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is that of the newest report from the runner. It also renews the lease of the gateway's runs.
	Stamp clock.Millis
	// Backlogged tells whether tasks at the gateway wait for capacity.
	Backlogged bool
	Job        string
	Payload    string
	// Need holds the resources that each run requires.
	Need lavendercourse.Resources
	// Estimate is the expected run time of each run, in ms.
	Estimate clock.Millis
	// MaxPerWorker is the maximum number of concurrent runs of the step on the worker. 0 means no limit.
	MaxPerWorker int
	Runs         []lavendercourse.RunID
	// Kind is the interference.Kind of the runs, or 0 if the entry does not tell it. It is sent as the number of the frame:
	// earlier versions reject a body with one more field, and ignore the number.
	Kind uint32 `cbor:"-"`
}

// Mix tells gateways how long the runs on a worker took and which kinds ran beside them, see package interference.
// Gateways of earlier versions ignore it.
type Mix struct {
	_ struct{} `cbor:",toarray"`
	// Kinds are the kinds that ran.
	Kinds []uint32
	Sums  []MixSums
}

// MixSums holds the sums over the runs of one kind on one worker.
type MixSums struct {
	_ struct{} `cbor:",toarray"`
	// Victim is the index of the kind in Mix.Kinds.
	Victim int
	// Orders is the number of orders with ended runs, Work the work of these in core seconds.
	Orders float32
	Work   float32
	// Products is the upper triangle, by rows, of the centred sums of products of the share of the run time beside each kind,
	// the load, its square, and the logarithm of the run time relative to the estimate.
	Products []float32
}

// Recall asks a runner to stop runs.
type Recall struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is that of the newest report from the runner.
	Stamp clock.Millis
	Runs  []lavendercourse.RunID
}

// RunEnd reports one run that has ended or was not started.
type RunEnd struct {
	_    struct{} `cbor:",toarray"`
	Run  lavendercourse.RunID
	Kind lavendercourse.EndKind
	// Reason is the reason why a run was not started.
	Reason lavendercourse.Reply
	// Duration is the time in ms from the order to the end of the run.
	Duration clock.Millis
}

// Ended reports ended runs to the gateway that ordered them.
type Ended struct {
	_      struct{} `cbor:",toarray"`
	Report Report
	Ends   []RunEnd
}

// CrashWithdrawn is the number of a TypeCrash frame that withdraws the crash of an incarnation, which turned out to be running.
const CrashWithdrawn = 1

// Crash reports to all gateways of a runner that the process of its worker ended, with the runs that it had, whichever
// gateway ordered them.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation identifies the process that ended.
	Incarnation int64
	// Ago is the time in ms since the end of the process. It is not 0 if the report is repeated on a new link.
	Ago  clock.Millis
	Runs []CrashedRun
}

// CrashedRun is a run on a worker whose process ended. Age is the time in ms since the runner got its order.
type CrashedRun struct {
	_   struct{} `cbor:",toarray"`
	Run lavendercourse.RunID
	Age clock.Millis
}

// Verdict tells other gateways that jobs of a queue crash workers.
type Verdict struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Queue   string
	// Crashes holds the crashes that a task of the queue is responsible for, if one was found.
	Crashes []CrashID
	// Cause identifies the job or the crash that the verdict is about.
	Cause string
	// Repeated is set if the verdict is not new, but sent because two gateways have linked up.
	Repeated bool
}

// CrashID identifies a crash by the runner beside the worker and the incarnation of the worker that ended.
type CrashID struct {
	_           struct{} `cbor:",toarray"`
	Runner      string
	Incarnation int64
}

// ReportAck answers a report and renews the lease of the gateway's runs.
type ReportAck struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is copied from the report.
	Stamp clock.Millis
	// Backlogged tells whether tasks at the gateway wait for capacity.
	Backlogged bool
	// Peers is set when the list of gateways has changed since the last report ack or welcome on this link.
	Peers []Peer
}

// Drain tells a runner whether its failure domain is out of service, as far as the gateway knows. Runners of earlier
// versions ignore it.
type Drain struct {
	_ struct{} `cbor:",toarray"`
	// NextOffset is the offset of the next record that the gateway has to read. The runner believes the gateway that has
	// read the most.
	NextOffset uint64
	Drained    bool
	// Current tells whether the store answers the gateway. If it does not, the gateway may not know the newest records.
	Current bool
}

// Cancel tells other gateways of jobs that their callers have cancelled. None of them may start such a job when its
// submission arrives once more. Gateways of earlier versions ignore it.
type Cancel struct {
	_    struct{} `cbor:",toarray"`
	Jobs []CancelledJob
}

// CancelledJob is a job that its caller has cancelled.
type CancelledJob struct {
	_ struct{} `cbor:",toarray"`
	// Key identifies the job: the host and the path that its caller used, see queue.JobKey.
	Key string
	// Digest is that of the submission, or 0 if the gateway that was asked to cancel the job did not have it.
	Digest uint64
	// Remaining is the time in ms for which the cancel has to be kept.
	Remaining clock.Millis
}

// Claim tells another gateway of jobs that callers have submitted to the sender, and that the receiver may have as well.
// Gateways of earlier versions ignore it.
type Claim struct {
	_    struct{} `cbor:",toarray"`
	Jobs []ClaimedJob
}

// ClaimedJob is a job that a gateway has.
type ClaimedJob struct {
	_ struct{} `cbor:",toarray"`
	// Key identifies the job, as in CancelledJob.
	Key string
	// Claimed is the time of the claim in ms by the sender's clock.
	Claimed clock.Millis
	// Age is the time in ms for which the caller may have been waiting at the sender. Of two gateways, the one with the lower
	// age keeps the job.
	Age clock.Millis
	// Remaining is the time in ms after which the sender gives up the job, if it has not ended before.
	Remaining clock.Millis
}

// ClaimAnswer answers claims. A job that the receiver of a claim gives up is answered once its runs have ended.
type ClaimAnswer struct {
	_ struct{} `cbor:",toarray"`
	// Free holds the jobs of which nothing runs at the sender, Kept those that the sender keeps.
	Free []SettledJob
	Kept []SettledJob
}

// SettledJob is a job in a ClaimAnswer.
type SettledJob struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// Claimed is that of the claim. It is 0 if the sender gives up a job that the receiver keeps.
	Claimed clock.Millis
}

// Digest tells a gateway how far another one has read the settings that operators published. A pull has the same body;
// it is answered with records if the receiver has read further.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// NextOffset is the offset of the next record that the sender has to read.
	NextOffset uint64
	// Peers is set when the list of gateways has changed since the last digest or welcome on this link.
	Peers []Peer
}

// Records holds the newest record of each setting that operators published.
type Records struct {
	_        struct{} `cbor:",toarray"`
	Settings []lavendercourse.KeyRecord
	// End is the offset that the next record gets.
	End uint64
}
