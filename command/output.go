package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// show writes v as one JSON line, or calls text, whichever --output asks for.
func (c *common) show(v any, text func(w io.Writer)) error {
	if c.output == outputText {
		text(c.out)
		return nil
	}
	if err := json.NewEncoder(c.out).Encode(v); err != nil {
		return failure(ExitFailed, "output cannot be written: %v", err)
	}
	return nil
}

// table writes aligned columns.
func table(w io.Writer, header string, rows []string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([]string{header}, rows...) {
		_, _ = fmt.Fprintln(t, row)
	}
	_ = t.Flush()
}

// verdictView is a verdict as JSON.
type verdictView struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Ran     string `json:"ran"`
	Message string `json:"message,omitempty"`
	Retry   uint32 `json:"retry,omitempty"`
}

func viewOf(v *dispatchv1.Verdict) *verdictView {
	if v == nil {
		return nil
	}
	return &verdictView{
		Outcome: outcomeOf(v), Reason: reasonOf(v), Ran: word(v.GetRan().String()),
		Message: v.GetMessage(), Retry: v.GetRetryMs(),
	}
}

func outcomeOf(v *dispatchv1.Verdict) string { return word(v.GetOutcome().String()) }

func reasonOf(v *dispatchv1.Verdict) string {
	if v.GetReason() == dispatchv1.Reason_REASON_UNSPECIFIED {
		return ""
	}
	return word(v.GetReason().String())
}

// word turns the name of an enum value, such as RAN_SOME, into its last part in lower case.
func word(enum string) string {
	_, name, _ := strings.Cut(enum, "_")
	return strings.ToLower(name)
}
