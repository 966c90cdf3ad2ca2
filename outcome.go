package lavendercourse

import "github.com/lavendercourse/lavendercourse/clock"

// Outcome is the kind of an answer. The numbers are those of the schema.
type Outcome uint8

// The outcomes.
const (
	// Complete: every task ended well and every result is in the answer.
	Complete Outcome = 1
	// Failed: the job ended without a complete answer.
	Failed Outcome = 2
	// Refused: nothing of the submission has run or will run.
	Refused Outcome = 3
	// Unknown: no claim is made.
	Unknown Outcome = 4
)

var outcomeNames = [...]string{"invalid", "complete", "failed", "refused", "unknown"}

// String returns the name of the outcome, as used in metrics.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return outcomeNames[0]
	}
	return outcomeNames[o]
}

// Reason says why an outcome is not complete. The numbers are those of the schema.
type Reason uint8

// The reasons.
const (
	ReasonCancelled  Reason = 1
	ReasonDeadline   Reason = 2
	ReasonTask       Reason = 3
	ReasonWorker     Reason = 4
	ReasonOwner      Reason = 5
	ReasonFull       Reason = 6
	ReasonQuota      Reason = 7
	ReasonImpossible Reason = 8
	ReasonStopping   Reason = 9
	ReasonConflict   Reason = 10
	ReasonExpired    Reason = 11
	ReasonAgain      Reason = 12
	ReasonInvalid    Reason = 13
)

var reasonNames = [...]string{
	"none", "cancelled", "deadline", "task", "worker", "owner", "full", "quota", "impossible", "stopping", "conflict",
	"expired", "again", "invalid",
}

// String returns the name of the reason, as used in metrics.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[len(reasonNames)-1]
	}
	return reasonNames[r]
}

// Verdict tells what became of a job or call.
type Verdict struct {
	Outcome Outcome
	Reason  Reason
	// Ran is false if it is certain that nothing started and nothing will. For Unknown this is said of the one request
	// that is answered, not of earlier ones with the same id.
	Ran     bool
	Message string
	// Retry is the time in ms after which the same request may succeed, or 0.
	Retry clock.Millis
}

// Refusal returns a verdict that says "not run".
func Refusal(reason Reason, message string, retry clock.Millis) Verdict {
	return Verdict{Outcome: Refused, Reason: reason, Message: message, Retry: retry}
}

// NoClaim returns a verdict that says nothing about what ran.
func NoClaim(reason Reason, message string, retry clock.Millis) Verdict {
	return Verdict{Outcome: Unknown, Reason: reason, Ran: true, Message: message, Retry: retry}
}
