package command

import (
	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/config"
	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

func newDrain(c *common) *cobra.Command {
	return newSetDomain(c, "drain DOMAIN", "Take a failure domain out of service", true)
}

// newSetDomain returns the command that drains or restores a failure domain.
func newSetDomain(c *common, use, short string, drained bool) *cobra.Command {
	req := &dispatchv1.SetDomainRequest{Drained: drained}
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := c.within(cmd.Context())
			defer cancel()
			req.Domain = args[0]
			cl := newClient(c.address)
			resp, err := cl.operator().SetDomain(ctx, connect.NewRequest(req))
			if err != nil {
				return cl.fail(err, ExitUnknown, "it is not known whether the change comes into force")
			}
			return showPublish(c, config.DomainKey(args[0]), resp.Msg)
		},
	}
	cmd.Flags().StringVar(&req.Id, "id", "", "publish id; repeating a change with the same id is harmless")
	return cmd
}
