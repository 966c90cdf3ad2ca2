package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// submitView is the response to a job as JSON. Results are base64.
type submitView struct {
	ID      string       `json:"id"`
	Verdict *verdictView `json:"verdict"`
	Results [][]byte     `json:"results,omitempty"`
}

func newSubmit(c *common) *cobra.Command {
	var flags jobFlags
	cmd := &cobra.Command{
		Use:   "submit [FILE]",
		Short: "Submit a job and wait for its response",
		Long: "Submit a job and wait for its response. The job comes from the flags or from an INI or JSON file; " +
			"FILE is a path, or - for standard input. Flags for team, class, deadline and id override the file.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			req, err := flags.request(args, c.in, cmd.Flags().Changed)
			if err != nil {
				return failure(ExitUsage, "%v; nothing was run", err)
			}
			return submit(cmd, c, req)
		},
	}
	flags.register(cmd)
	return cmd
}

func submit(cmd *cobra.Command, c *common, req *dispatchv1.SubmitRequest) error {
	ctx, cancel := c.within(cmd.Context())
	defer cancel()
	cl := newClient(c.address)
	// The id is told at once, so that the job can be cancelled, or submitted again if its response is lost.
	resp, err := cl.caller(func(id string) {
		_, _ = fmt.Fprintf(c.errOut, "job %s is submitted\n", id)
	}).Submit(ctx, req)
	if err != nil && req.GetId() == "" {
		return cl.fail(err, ExitUnreachable, "no job id was issued and nothing was run")
	}
	if err != nil {
		return cl.fail(err, ExitUnknown, "the job may have run; submit it again with --id "+req.GetId())
	}
	v := resp.GetVerdict()
	err = c.show(submitView{ID: req.GetId(), Verdict: viewOf(v), Results: resp.GetResults()}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "job %s %s\n", req.GetId(), outcomeOf(v))
		for i, r := range resp.GetResults() {
			_, _ = fmt.Fprintf(w, "%d %q\n", i, r)
		}
	})
	if err != nil {
		return err
	}
	return verdictError("job "+req.GetId(), v)
}
