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

// exitError carries an exit code.
type exitError struct {
	code int
	text string
}

// Error returns the text of the error.
func (e exitError) Error() string { return e.text }

// ExitCode returns the exit code of the program.
func (e exitError) ExitCode() int { return e.code }

func failure(code int, format string, args ...any) error {
	return exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// explain returns the exit code and the text of an error. Errors without a code come from cobra, before any command
// has begun.
func explain(err error) (int, string) {
	var coded interface{ ExitCode() int }
	if errors.As(err, &coded) {
		return coded.ExitCode(), err.Error()
	}
	return ExitUsage, strings.ReplaceAll(strings.TrimSpace(err.Error()), "\n", " ") + "; nothing was run"
}

// verdictError returns nil for a complete outcome, and otherwise an error with the exit code of the outcome.
func verdictError(what string, v *dispatchv1.Verdict) error {
	why := reasonOf(v)
	if v.GetMessage() != "" {
		why += ": " + v.GetMessage()
	}
	switch v.GetOutcome() {
	case dispatchv1.Outcome_OUTCOME_COMPLETE:
		return nil
	case dispatchv1.Outcome_OUTCOME_FAILED:
		return failure(ExitFailed, "%s failed (%s); %s", what, why, ranText(v))
	case dispatchv1.Outcome_OUTCOME_REFUSED:
		return failure(ExitRefused, "%s was refused (%s); not run%s", what, why, retryText(v))
	default:
		return failure(ExitUnknown, "outcome of %s is unknown (%s); %s%s", what, why, unknownText(v), retryText(v))
	}
}

func ranText(v *dispatchv1.Verdict) string {
	if v.GetRan() == dispatchv1.Ran_RAN_NOTHING {
		return "nothing was run"
	}
	return "some of it may have run and will not be started again"
}

// unknownText follows the schema: with an unknown outcome, "nothing" is said of this request only.
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

// requestError turns an error of a request into one with an exit code. Connected tells whether an entry was reached;
// if one was and gave no response, lost is the exit code and effect says what that means.
func requestError(err error, connected bool, lost int, effect string) error {
	text := strings.ReplaceAll(err.Error(), "\n", " ")
	switch {
	case errors.Is(err, caller.ErrInvalid):
		// The entry's own words may already say that nothing was run.
		text = strings.TrimSuffix(text, ": "+caller.ErrInvalid.Error())
		return failure(ExitUsage, "%s; nothing was run", strings.TrimSuffix(text, "; nothing was run"))
	case errors.Is(err, caller.ErrRefused):
		return failure(ExitRefused, "%s; not run", strings.TrimSuffix(text, ": "+caller.ErrRefused.Error()))
	case !connected:
		return failure(ExitUnreachable, "entry cannot be reached; this command had nothing run: %s", text)
	default:
		return failure(lost, "entry gave no response; %s: %s", effect, text)
	}
}

// problemsOf returns the lines of a settings error without the name of the error.
func problemsOf(err error) string {
	return strings.TrimSuffix(err.Error(), ": "+settings.ErrSettings.Error())
}
