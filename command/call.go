package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

// callView is the response to a call as JSON. The result is base64.
type callView struct {
	Verdict *verdictView `json:"verdict"`
	Result  []byte       `json:"result,omitempty"`
}

func newCall(c *common) *cobra.Command {
	req := &dispatchv1.CallRequest{}
	var payload string
	cmd := &cobra.Command{
		Use:   "call",
		Short: "Send one request to a backend server and wait for its response",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := c.within(cmd.Context())
			defer cancel()
			req.Payload = []byte(payload)
			cl := newClient(c.address)
			resp, err := cl.caller(nil).Call(ctx, req)
			if err != nil {
				return cl.fail(err, ExitUnknown, "the call may have run")
			}
			v := resp.GetVerdict()
			err = c.show(callView{Verdict: viewOf(v), Result: resp.GetResult()}, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "call %s\n", outcomeOf(v))
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
	cmd.Flags().Uint32Var(&req.DeadlineMs, "deadline", 0, "time in ms to the end of the call; 0 is the longest that the entry allows")
	cmd.Flags().BoolVar(&req.Idempotent, "idempotent", false, "the call may be sent to a second backend server if the first one fails")
	return cmd
}
