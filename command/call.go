package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// callView is the JSON output of the command call. The result is encoded as base64.
type callView struct {
	Verdict *verdictView `json:"verdict"`
	Result  []byte       `json:"result,omitempty"`
}

func newCallCommand(g *globals) *cobra.Command {
	req := &dispatchv1.CallRequest{}
	var payload string
	cmd := &cobra.Command{
		Use:   "call",
		Short: "Send one request to a backend server and wait for its response",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := g.withTimeout(cmd.Context())
			defer cancel()
			req.Payload = []byte(payload)
			cl := newClient(g.address)
			resp, err := cl.callerClient(nil).Call(ctx, req)
			if err != nil {
				return cl.wrapError(err, ExitUnknown, "the call may have run")
			}
			v := resp.GetVerdict()
			err = g.printOutput(callView{Verdict: newVerdictView(v), Result: resp.GetResult()}, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "call %s\n", outcomeName(v))
				if v.GetOutcome() == dispatchv1.Outcome_OUTCOME_COMPLETE {
					_, _ = fmt.Fprintf(w, "%q\n", resp.GetResult())
				}
			})
			if err != nil {
				return err
			}
			return verdictError("call", v)
		},
	}
	cmd.Flags().StringVar(&req.Team, "team", "default", "team that the call is charged to")
	cmd.Flags().StringVar(&req.Kind, "kind", "", "kind of the call")
	cmd.Flags().StringVar(&payload, "payload", "", "payload of the call")
	cmd.Flags().Uint32Var(&req.DeadlineMs, "deadline", 0, "maximum time in ms until the call ends; 0 selects the longest that the entry allows")
	cmd.Flags().BoolVar(&req.Idempotent, "idempotent", false, "allow a retry on a second backend server if the first one fails")
	return cmd
}
