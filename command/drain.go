package command

import (
	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/config"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

func newDomainDrainCommand(g *globals) *cobra.Command {
	return newSetDomainCommand(g, "drain DOMAIN", "Take a failure domain out of service", true)
}

// newSetDomainCommand returns the command that drains or restores a failure domain.
func newSetDomainCommand(g *globals, use, short string, drained bool) *cobra.Command {
	req := &dispatchv1.SetDomainRequest{Drained: drained}
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := g.withTimeout(cmd.Context())
			defer cancel()
			req.Domain = args[0]
			cl := newClient(g.address)
			resp, err := cl.operatorClient().SetDomain(ctx, connect.NewRequest(req))
			if err != nil {
				return cl.wrapError(err, ExitUnknown, "it is not known whether the change takes effect")
			}
			return printPublishResponse(g, config.DomainKey(args[0]), resp.Msg)
		},
	}
	cmd.Flags().StringVar(&req.Id, "id", "", "publish id; a change that is repeated with the same id is applied only once")
	return cmd
}
