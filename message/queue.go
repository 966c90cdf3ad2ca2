package message

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Enroll is the first message of a runner on a link, and is sent again when its worker changes. Nothing that the entry
// ordered on an earlier link runs any more.
type Enroll struct {
	Name    string `cbor:"name"`
	Domain  string `cbor:"domain"`
	Service string `cbor:"service"`
	// Worker and Born name the worker and its life.
	Worker   string                   `cbor:"worker"`
	Born     int64                    `cbor:"born"`
	Capacity lavendercourse.Resources `cbor:"capacity"`
	Labels   []string                 `cbor:"labels"`
}

// Report is the load of a runner. It is sent as an array, since most messages hold one.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is the time of the message by the runner's clock.
	Stamp clock.Millis
	// Free is what the worker has left.
	Free lavendercourse.Resources
	// Running is the number of runs that have not ended, for all entries.
	Running int
	// Open tells whether new runs are taken.
	Open bool
	// Taken is the number of runs that the receiving entry has ordered on this link and that Free accounts for.
	Taken int
	// Failed and Ended count the runs of the last seconds that failed, and all that ended.
	Failed int
	Ended  int
	// Pace is how fast runs go, in percent of what their estimates say; 0 means not known. Slow tells that this is too
	// slow for runs that have to be in time.
	Pace int
	Slow bool
}

// Order asks a runner to start runs of one job.
type Order struct {
	_ struct{} `cbor:",toarray"`
	// Stamp is that of the newest report from the runner. It also renews the lease of the entry's runs.
	Stamp clock.Millis
	// Wants tells that the entry has more tasks than room.
	Wants   bool
	Job     string
	Payload string
	// Need is what each of the runs needs, Estimate the time in ms that one is expected to take.
	Need     lavendercourse.Resources
	Estimate clock.Millis
	// PerWorker bounds the runs of the step on the worker; 0 means no bound.
	PerWorker int
	Runs      []lavendercourse.RunID
}

// Recall asks a runner to stop runs.
type Recall struct {
	_     struct{} `cbor:",toarray"`
	Stamp clock.Millis
	Runs  []lavendercourse.RunID
}

// RunEnd is one run that has ended or was not started.
type RunEnd struct {
	_    struct{} `cbor:",toarray"`
	Run  lavendercourse.RunID
	Kind lavendercourse.EndKind
	// Reason tells why a run was not started.
	Reason lavendercourse.Reply
	// Took is the time in ms from the start to the end.
	Took clock.Millis
}

// Ended tells an entry of runs that have ended.
type Ended struct {
	_      struct{} `cbor:",toarray"`
	Report Report
	Ends   []RunEnd
}

// Keep answers a report and renews the lease of the entry's runs.
type Keep struct {
	_     struct{} `cbor:",toarray"`
	Stamp clock.Millis
	Wants bool
	// Peers is set when the list of entries has changed since the last keep or welcome on this link.
	Peers []Peer
}

// Digest tells an entry how far another one has read what operators published.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	Next  uint64
	Peers []Peer
}

// Records holds the newest records of what operators published.
type Records struct {
	_        struct{} `cbor:",toarray"`
	Settings []lavendercourse.Setting
	End      uint64
}
