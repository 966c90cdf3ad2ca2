package lavendercourse

import "github.com/lavendercourse/lavendercourse/clock"

// Outcome is the kind of answer to a job or call. The numbers are those of the enum Outcome in the schema.
type Outcome uint8

// Values of Outcome.
const (
	// OutcomeComplete: every task succeeded and the answer contains every result.
	OutcomeComplete Outcome = 1
	// OutcomeFailed: the job ended without a complete answer. Verdict.MayHaveRun tells whether tasks may have run.
	OutcomeFailed Outcome = 2
	// OutcomeRefused: no task of the submission has run or will run.
	OutcomeRefused Outcome = 3
	// OutcomeUnknown: it is not known what ran. The caller asks again with the same id.
	OutcomeUnknown Outcome = 4
)

var outcomeNames = [...]string{"invalid", "complete", "failed", "refused", "unknown"}

// String returns the name of the outcome, as used in metrics.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return outcomeNames[0]
	}
	return outcomeNames[o]
}

// Reason explains why an outcome is not OutcomeComplete. The numbers are those of the enum Reason in the schema.
type Reason uint8

// Values of Reason.
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

// Verdict tells a caller how a job or call ended.
type Verdict struct {
	Outcome Outcome
	Reason  Reason
	// MayHaveRun is false only if it is certain that no task has started or will start. For OutcomeUnknown this holds for
	// the answered request alone, not for earlier requests with the same id.
	MayHaveRun bool
	Message    string
	// RetryAfter is the time in ms after which the same request may succeed, or 0.
	RetryAfter clock.Millis
}

// Refusal returns a verdict with OutcomeRefused, which guarantees that nothing has run.
func Refusal(reason Reason, message string, retryAfter clock.Millis) Verdict {
	return Verdict{Outcome: OutcomeRefused, Reason: reason, Message: message, RetryAfter: retryAfter}
}

// UnknownVerdict returns a verdict with OutcomeUnknown, which leaves open whether anything ran.
func UnknownVerdict(reason Reason, message string, retryAfter clock.Millis) Verdict {
	return Verdict{Outcome: OutcomeUnknown, Reason: reason, MayHaveRun: true, Message: message, RetryAfter: retryAfter}
}
