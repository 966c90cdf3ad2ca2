package command

import (
	"errors"
	"fmt"
	"strings"

	"github.com/lavendercourse/lavendercourse/caller"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
	"github.com/lavendercourse/lavendercourse/settings"
)

// Exit codes. They are described in docs/commands.md.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnknown     = 4
	ExitSettings    = 5
	ExitUnreachable = 6
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	text string
}

func (e exitError) Error() string { return e.text }

func (e exitError) ExitCode() int { return e.code }

func exitErrorf(code int, format string, args ...any) error {
	return exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// exitCodeAndText returns the exit code and the text of an error. Errors without a code are usage errors
// of cobra, which it returns before any command runs.
func exitCodeAndText(err error) (int, string) {
	var withCode interface{ ExitCode() int }
	if errors.As(err, &withCode) {
		return withCode.ExitCode(), err.Error()
	}
	return ExitUsage, strings.ReplaceAll(strings.TrimSpace(err.Error()), "\n", " ") + "; nothing was run"
}

// verdictError returns nil for a complete outcome, and otherwise an error with the exit code of the outcome. The text
// starts with subject, such as "job ID".
func verdictError(subject string, v *dispatchv1.Verdict) error {
	reason := reasonName(v)
	if v.GetMessage() != "" {
		reason += ": " + v.GetMessage()
	}
	switch v.GetOutcome() {
	case dispatchv1.Outcome_OUTCOME_COMPLETE:
		return nil
	case dispatchv1.Outcome_OUTCOME_FAILED:
		return exitErrorf(ExitFailed, "%s failed (%s); %s", subject, reason, ranText(v))
	case dispatchv1.Outcome_OUTCOME_REFUSED:
		return exitErrorf(ExitRefused, "%s was refused (%s); not run%s", subject, reason, retryText(v))
	default:
		return exitErrorf(ExitUnknown, "outcome of %s is unknown (%s); %s%s", subject, reason, unknownText(v), retryText(v))
	}
}

func ranText(v *dispatchv1.Verdict) string {
	if v.GetRan() == dispatchv1.Ran_RAN_NOTHING {
		return "nothing was run"
	}
	return "some of it may have run and will not be started again"
}

// unknownText says what ran if the outcome is unknown. As the schema defines, RAN_NOTHING then refers to this request
// only: an earlier request with the same id may have run something.
func unknownText(v *dispatchv1.Verdict) string {
	if v.GetRan() == dispatchv1.Ran_RAN_NOTHING {
		return "this request had nothing run, an earlier one with the same id may have"
	}
	return "it may have run"
}

func retryText(v *dispatchv1.Verdict) string {
	if v.GetRetryMs() == 0 {
		return ""
	}
	return fmt.Sprintf("; try again in %d ms", v.GetRetryMs())
}

// requestError turns the error of a request into one with an exit code. Connected tells whether a connection to an
// entry was established. If it was and no response arrived, the exit code is noResponseCode, and effect says what the
// request may have changed.
func requestError(err error, connected bool, noResponseCode int, effect string) error {
	text := strings.ReplaceAll(err.Error(), "\n", " ")
	switch {
	case errors.Is(err, caller.ErrInvalid):
		// The message of the entry may already end with "nothing was run".
		text = strings.TrimSuffix(text, ": "+caller.ErrInvalid.Error())
		return exitErrorf(ExitUsage, "%s; nothing was run", strings.TrimSuffix(text, "; nothing was run"))
	case errors.Is(err, caller.ErrRefused):
		return exitErrorf(ExitRefused, "%s; not run", strings.TrimSuffix(text, ": "+caller.ErrRefused.Error()))
	case !connected:
		return exitErrorf(ExitUnreachable, "entry cannot be reached; this command had nothing run: %s", text)
	default:
		return exitErrorf(noResponseCode, "entry gave no response; %s: %s", effect, text)
	}
}

// problemsText returns the problems of a settings error, one per line, without the text of ErrSettings at the end.
func problemsText(err error) string {
	return strings.TrimSuffix(err.Error(), ": "+settings.ErrSettings.Error())
}
