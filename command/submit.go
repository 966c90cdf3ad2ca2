package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/caller"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

func newSubmit(c *common) *cobra.Command {
	var team, kind, payload string
	var tasks int
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job and wait for its answer",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			req := &dispatchv1.SubmitRequest{Team: team}
			for range tasks {
				req.Tasks = append(req.Tasks, &dispatchv1.TaskSpec{Kind: kind, Payload: []byte(payload)})
			}
			resp, err := caller.New(caller.Config{Address: c.address}).Submit(cmd.Context(), req)
			if err != nil {
				return exitError{code: ExitFailed, text: err.Error()}
			}
			_, _ = fmt.Fprintf(c.out, "%s %s %d results\n", req.GetId(), resp.GetVerdict(), len(resp.GetResults()))
			return nil
		},
	}
	cmd.Flags().StringVar(&team, "team", "default", "team that the job is charged to")
	cmd.Flags().StringVar(&kind, "kind", "sleep", "kind of the tasks")
	cmd.Flags().StringVar(&payload, "payload", "100", "payload of each task")
	cmd.Flags().IntVar(&tasks, "tasks", 1, "number of tasks")
	return cmd
}
