package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// submitView is the JSON output of the command submit. The results are encoded as base64.
type submitView struct {
	ID      string       `json:"id"`
	Verdict *verdictView `json:"verdict"`
	Results [][]byte     `json:"results,omitempty"`
}

func newSubmitCommand(g *globals) *cobra.Command {
	var flags jobFlags
	cmd := &cobra.Command{
		Use:   "submit [FILE]",
		Short: "Submit a job and wait for its response",
		Long: "Submit a job and wait for its response. The job comes from the flags or from an INI or JSON file; " +
			"FILE is a path, or - for standard input. Flags for team, class, deadline and id override the file.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			req, err := flags.request(args, g.in, cmd.Flags().Changed)
			if err != nil {
				return exitErrorf(ExitUsage, "%v; nothing was run", err)
			}
			return submit(cmd, g, req)
		},
	}
	flags.register(cmd)
	return cmd
}

func submit(cmd *cobra.Command, g *globals, req *dispatchv1.SubmitRequest) error {
	ctx, cancel := g.withTimeout(cmd.Context())
	defer cancel()
	cl := newClient(g.address)
	// The id is printed before the job is submitted, so that the user can cancel the job, or submit it again if the
	// response is lost.
	resp, err := cl.callerClient(func(id string) {
		_, _ = fmt.Fprintf(g.errOut, "job %s is submitted\n", id)
	}).Submit(ctx, req)
	if err != nil && req.GetId() == "" {
		return cl.wrapError(err, ExitUnreachable, "no job id was issued and nothing was run")
	}
	if err != nil {
		return cl.wrapError(err, ExitUnknown, "the job may have run; submit it again with --id "+req.GetId())
	}
	v := resp.GetVerdict()
	err = g.printOutput(submitView{ID: req.GetId(), Verdict: newVerdictView(v), Results: resp.GetResults()}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "job %s %s\n", req.GetId(), outcomeName(v))
		for i, r := range resp.GetResults() {
			_, _ = fmt.Fprintf(w, "%d %q\n", i, r)
		}
	})
	if err != nil {
		return err
	}
	return verdictError("job "+req.GetId(), v)
}
