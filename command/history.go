package command

import (
	"io"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

func newHistory(c *common) *cobra.Command {
	req := &dispatchv1.ConfigHistoryRequest{}
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Show the newest configuration changes, oldest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := c.within(cmd.Context())
			defer cancel()
			cl := newClient(c.address)
			resp, err := cl.operator().ConfigHistory(ctx, connect.NewRequest(req))
			if err != nil {
				return cl.fail(err, ExitUnreachable, "nothing was changed")
			}
			entries := settingViews(resp.Msg.GetEntries())
			return c.show(entries, func(w io.Writer) { showSettings(w, entries) })
		},
	}
	cmd.Flags().Uint32Var(&req.Count, "count", 20, "number of changes; 0 is all that the entry remembers")
	return cmd
}
