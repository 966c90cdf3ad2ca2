package command

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

type cancelView struct {
	ID      string       `json:"id"`
	Verdict *verdictView `json:"verdict"`
}

func newCancelCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a job: it ends as failed and its running tasks are stopped",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := g.withTimeout(cmd.Context())
			defer cancel()
			cl, id := newClient(g.address), args[0]
			resp, err := cl.callerClient(nil).Cancel(ctx, id)
			if err != nil {
				return cl.wrapError(err, ExitUnknown, "it is not known whether the job was cancelled")
			}
			v := resp.GetVerdict()
			err = g.printOutput(cancelView{ID: id, Verdict: newVerdictView(v)}, func(w io.Writer) {
				_, _ = fmt.Fprintln(w, strings.TrimSpace(fmt.Sprintf("job %s %s %s", id, outcomeName(v), reasonName(v))))
			})
			if err != nil || v.GetReason() == dispatchv1.Reason_REASON_CANCELLED {
				return err
			}
			if v.GetOutcome() == dispatchv1.Outcome_OUTCOME_UNKNOWN {
				return verdictError("job "+id, v)
			}
			return exitErrorf(ExitFailed, "job %s had ended before (%s); nothing was cancelled", id, outcomeName(v))
		},
	}
}
