package entry

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/job"
	"github.com/lavendercourse/lavendercourse/message"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// responseTooLargeVerdict returns the verdict, with an unknown outcome, on a job whose response is too large to
// forward.
func responseTooLargeVerdict(n int) lavendercourse.Verdict {
	return lavendercourse.UnknownVerdict(lavendercourse.ReasonInvalid, fmt.Sprintf(
		"the response of %d bytes is too large to be forwarded; ask the entry that issued the id", n), 0)
}

func ownerGoneVerdict() lavendercourse.Verdict {
	return lavendercourse.Verdict{
		Outcome: lavendercourse.OutcomeFailed, Reason: lavendercourse.ReasonOwner, MayHaveRun: true,
		Message: "the entry that owned the job is gone; tasks may have run and will not be started again",
	}
}

// noLeaseVerdict returns the verdict on an ended job while this entry has no quorum lease, since another entry may have
// declared it gone.
func noLeaseVerdict() lavendercourse.Verdict {
	return lavendercourse.UnknownVerdict(lavendercourse.ReasonAgain, "the owner of the job has no quorum lease at the moment", retryDelay)
}

func stillRunningVerdict() lavendercourse.Verdict {
	return lavendercourse.UnknownVerdict(lavendercourse.ReasonAgain, "the wait ended before the job; ask again with the same id", 1)
}

func verdictOf(v lavendercourse.Verdict) *dispatchv1.Verdict {
	ran := dispatchv1.Ran_RAN_SOME
	if v.Outcome == lavendercourse.OutcomeRefused || (v.Outcome != lavendercourse.OutcomeComplete && !v.MayHaveRun) {
		ran = dispatchv1.Ran_RAN_NOTHING
	}
	return &dispatchv1.Verdict{
		Outcome: dispatchv1.Outcome(v.Outcome), Reason: dispatchv1.Reason(v.Reason), Ran: ran,
		Message: v.Message, RetryMs: uint32(v.RetryAfter),
	}
}

func specOf(m *dispatchv1.SubmitRequest) job.Spec {
	s := job.Spec{
		Team: m.GetTeam(), Class: lavendercourse.ClassBatch, Deadline: clock.Millis(m.GetDeadlineMs()), Digest: submitDigest(m),
		Tasks: make([]job.Task, len(m.GetTasks())),
	}
	if m.GetClass() == dispatchv1.Class_CLASS_QUICK {
		s.Class = lavendercourse.ClassQuick
	}
	for i, t := range m.GetTasks() {
		s.Tasks[i] = job.Task{
			Kind: t.GetKind(), Payload: t.GetPayload(), DeclaredRun: clock.Millis(t.GetDeclaredMs()),
			Memory: int(t.GetMemoryMb()), Cores: int(t.GetCores()),
		}
	}
	return s
}

// submitDigest returns a hash by which a resubmission of the same job is told from another job under the same id.
func submitDigest(m *dispatchv1.SubmitRequest) uint64 {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func validateSubmit(m *dispatchv1.SubmitRequest) error {
	if m.GetTeam() == "" {
		return invalidArgument("a job needs a team")
	}
	if n := len(m.GetTasks()); n < 1 || n > lavendercourse.MaxTasks {
		return invalidArgument("the job has %d tasks, want 1 to %d", n, lavendercourse.MaxTasks)
	}
	if n := proto.Size(m); n > message.MaxPayloadSize {
		return invalidArgument("the job has %d bytes, want at most %d", n, message.MaxPayloadSize)
	}
	for i, t := range m.GetTasks() {
		if t.GetKind() == "" {
			return invalidArgument("task %d has no kind", i)
		}
		if n := len(t.GetKind()) + len(t.GetPayload()); n > message.MaxPayloadSize {
			return invalidArgument("task %d has %d bytes, want at most %d", i, n, message.MaxPayloadSize)
		}
	}
	return nil
}

func parseID(s string) (lavendercourse.JobID, error) {
	if s == "" {
		return lavendercourse.JobID{}, invalidArgument("a job needs an id from Reserve, so that a resubmission can be recognised")
	}
	id, err := lavendercourse.ParseJobID(s)
	if err != nil {
		return id, invalidArgument("%v", err)
	}
	return id, nil
}

func invalidArgument(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, eris.Wrap(errInvalid, fmt.Sprintf(format, args...)))
}
