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

// printOutput writes v as one JSON line or calls printText, as selected by --output.
func (g *globals) printOutput(v any, printText func(w io.Writer)) error {
	if g.outputFormat == outputText {
		printText(g.out)
		return nil
	}
	if err := json.NewEncoder(g.out).Encode(v); err != nil {
		return exitErrorf(ExitFailed, "cannot write the output: %v", err)
	}
	return nil
}

// printTable writes a table with aligned columns. The cells of the header and of each row are separated by tabs.
func printTable(w io.Writer, header string, rows []string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([]string{header}, rows...) {
		_, _ = fmt.Fprintln(t, row)
	}
	_ = t.Flush()
}

// verdictView is the JSON output of a verdict.
type verdictView struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Ran     string `json:"ran"`
	Message string `json:"message,omitempty"`
	// RetryAfter is the time in ms after which the request may be repeated, or 0.
	RetryAfter uint32 `json:"retry,omitempty"`
}

func newVerdictView(v *dispatchv1.Verdict) *verdictView {
	if v == nil {
		return nil
	}
	return &verdictView{
		Outcome: outcomeName(v), Reason: reasonName(v), Ran: enumValueName(v.GetRan().String()),
		Message: v.GetMessage(), RetryAfter: v.GetRetryMs(),
	}
}

func outcomeName(v *dispatchv1.Verdict) string { return enumValueName(v.GetOutcome().String()) }

func reasonName(v *dispatchv1.Verdict) string {
	if v.GetReason() == dispatchv1.Reason_REASON_UNSPECIFIED {
		return ""
	}
	return enumValueName(v.GetReason().String())
}

// enumValueName returns the name of an enum value without its prefix and in lower case, such as "some" for RAN_SOME.
func enumValueName(full string) string {
	_, name, _ := strings.Cut(full, "_")
	return strings.ToLower(name)
}
