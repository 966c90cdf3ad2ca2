package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

type statusView struct {
	ID       string       `json:"id"`
	Verdict  *verdictView `json:"verdict,omitempty"`
	Waiting  uint32       `json:"waiting"`
	Running  uint32       `json:"running"`
	Finished uint32       `json:"finished"`
}

func newStatus(c *common) *cobra.Command {
	return &cobra.Command{
		Use:   "status ID",
		Short: "Show how far a job is",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := c.within(cmd.Context())
			defer cancel()
			cl, id := newClient(c.address), args[0]
			resp, err := cl.caller(nil).Status(ctx, id)
			if err != nil {
				return cl.fail(err, ExitUnreachable, "the job is not changed")
			}
			v := resp.GetVerdict()
			err = c.show(statusView{
				ID: id, Verdict: viewOf(v), Waiting: resp.GetWaiting(), Running: resp.GetRunning(), Finished: resp.GetFinished(),
			}, func(w io.Writer) {
				state := "running"
				if v != nil {
					state = outcomeOf(v)
				}
				_, _ = fmt.Fprintf(w, "job %s %s\nwaiting %d\nrunning %d\nfinished %d\n",
					id, state, resp.GetWaiting(), resp.GetRunning(), resp.GetFinished())
			})
			if err != nil || v == nil {
				return err
			}
			return verdictError("job "+id, v)
		},
	}
}
