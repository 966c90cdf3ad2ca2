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

func newCancel(c *common) *cobra.Command {
	return &cobra.Command{
		Use:   "cancel ID",
		Short: "End a job as failed; its running tasks are stopped",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := c.within(cmd.Context())
			defer cancel()
			cl, id := newClient(c.address), args[0]
			resp, err := cl.caller(nil).Cancel(ctx, id)
			if err != nil {
				return cl.fail(err, ExitUnknown, "it is not known whether the job was cancelled")
			}
			v := resp.GetVerdict()
			err = c.show(cancelView{ID: id, Verdict: viewOf(v)}, func(w io.Writer) {
				_, _ = fmt.Fprintln(w, strings.TrimSpace(fmt.Sprintf("job %s %s %s", id, outcomeOf(v), reasonOf(v))))
			})
			if err != nil || v.GetReason() == dispatchv1.Reason_REASON_CANCELLED {
				return err
			}
			if v.GetOutcome() == dispatchv1.Outcome_OUTCOME_UNKNOWN {
				return verdictError("job "+id, v)
			}
			return failure(ExitFailed, "job %s had ended before (%s); nothing was cancelled", id, outcomeOf(v))
		},
	}
}
