package command

import (
	"context"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

type publishView struct {
	Key      string `json:"key"`
	Accepted bool   `json:"accepted"`
	Unknown  bool   `json:"unknown,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	Message  string `json:"message,omitempty"`
}

func newPublish(c *common) *cobra.Command {
	req := &dispatchv1.PublishConfigRequest{}
	cmd := &cobra.Command{
		Use:   "publish KEY VALUE",
		Short: "Change one configuration key",
		Long: "Change one configuration key. The change is accepted only if the key still has the version given by " +
			"--base, or the version it has when the command starts.",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := c.within(cmd.Context())
			defer cancel()
			req.Key, req.Value = args[0], args[1]
			cl := newClient(c.address)
			if !cmd.Flags().Changed("base") && !req.Force {
				base, err := baseOf(ctx, cl, req.GetKey())
				if err != nil {
					return cl.fail(err, ExitUnreachable, "nothing was published")
				}
				req.Base = base
			}
			resp, err := cl.operator().PublishConfig(ctx, connect.NewRequest(req))
			if err != nil {
				return cl.fail(err, ExitUnknown, "it is not known whether the change comes into force")
			}
			return showPublish(c, req.GetKey(), resp.Msg)
		},
	}
	cmd.Flags().StringVar(&req.Id, "id", "", "publish id; repeating a change with the same id is harmless")
	cmd.Flags().Uint64Var(&req.Base, "base", 0, "version of the key that the change is based on; 0 is a new key")
	cmd.Flags().BoolVar(&req.Force, "force", false, "publish whatever the version of the key is")
	cmd.MarkFlagsMutuallyExclusive("base", "force")
	return cmd
}

// baseOf returns the version of a key, 0 if it has none.
func baseOf(ctx context.Context, cl *client, key string) (uint64, error) {
	resp, err := cl.operator().GetConfig(ctx, connect.NewRequest(&dispatchv1.GetConfigRequest{}))
	if err != nil {
		return 0, err
	}
	for _, e := range resp.Msg.GetEntries() {
		if e.GetKey() == key {
			return e.GetVersion(), nil
		}
	}
	return 0, nil
}

func showPublish(c *common, key string, resp *dispatchv1.PublishConfigResponse) error {
	err := c.show(publishView{
		Key: key, Accepted: resp.GetAccepted(), Unknown: resp.GetUnknown(), Version: resp.GetVersion(), Message: resp.GetMessage(),
	}, func(w io.Writer) {
		if resp.GetAccepted() {
			_, _ = fmt.Fprintf(w, "%s accepted in version %d\n", key, resp.GetVersion())
		}
	})
	switch {
	case err != nil || resp.GetAccepted():
		return err
	case resp.GetUnknown():
		return failure(ExitUnknown, "%s: %s", key, resp.GetMessage())
	default:
		return failure(ExitRefused, "%s: %s", key, resp.GetMessage())
	}
}
