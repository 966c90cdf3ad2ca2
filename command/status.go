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

func newStatusCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "status ID",
		Short: "Show the state of a job and the progress of its tasks",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := g.withTimeout(cmd.Context())
			defer cancel()
			cl, id := newClient(g.address), args[0]
			resp, err := cl.callerClient(nil).Status(ctx, id)
			if err != nil {
				return cl.wrapError(err, ExitUnreachable, "the job was not changed")
			}
			v := resp.GetVerdict()
			err = g.printOutput(statusView{
				ID: id, Verdict: newVerdictView(v), Waiting: resp.GetWaiting(), Running: resp.GetRunning(), Finished: resp.GetFinished(),
			}, func(w io.Writer) {
				state := "running"
				if v != nil {
					state = outcomeName(v)
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
