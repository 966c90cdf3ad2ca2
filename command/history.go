package command

import (
	"io"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

func newConfigHistoryCommand(g *globals) *cobra.Command {
	req := &dispatchv1.ConfigHistoryRequest{}
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Show the newest configuration changes, oldest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := g.withTimeout(cmd.Context())
			defer cancel()
			cl := newClient(g.address)
			resp, err := cl.operatorClient().ConfigHistory(ctx, connect.NewRequest(req))
			if err != nil {
				return cl.wrapError(err, ExitUnreachable, "nothing was changed")
			}
			entries := newConfigEntryViews(resp.Msg.GetEntries())
			return g.printOutput(entries, func(w io.Writer) { printConfigEntries(w, entries) })
		},
	}
	cmd.Flags().Uint32Var(&req.Count, "count", 20, "maximum number of changes; 0 selects all that the entry keeps")
	return cmd
}
