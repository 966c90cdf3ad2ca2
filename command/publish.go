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

func newConfigPublishCommand(g *globals) *cobra.Command {
	req := &dispatchv1.PublishConfigRequest{}
	cmd := &cobra.Command{
		Use:   "publish KEY VALUE",
		Short: "Change one configuration key",
		Long: "Change one configuration key. The change is accepted only if the key still has the version given by " +
			"--base, or the version it has when the command starts.",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := g.withTimeout(cmd.Context())
			defer cancel()
			req.Key, req.Value = args[0], args[1]
			cl := newClient(g.address)
			if !cmd.Flags().Changed("base") && !req.Force {
				base, err := keyVersion(ctx, cl, req.GetKey())
				if err != nil {
					return cl.wrapError(err, ExitUnreachable, "nothing was published")
				}
				req.Base = base
			}
			resp, err := cl.operatorClient().PublishConfig(ctx, connect.NewRequest(req))
			if err != nil {
				return cl.wrapError(err, ExitUnknown, "it is not known whether the change takes effect")
			}
			return printPublishResponse(g, req.GetKey(), resp.Msg)
		},
	}
	cmd.Flags().StringVar(&req.Id, "id", "", "publish id; a change that is repeated with the same id is applied only once")
	cmd.Flags().Uint64Var(&req.Base, "base", 0, "version of the key that the change is based on; 0 means a new key")
	cmd.Flags().BoolVar(&req.Force, "force", false, "publish regardless of the current version of the key")
	cmd.MarkFlagsMutuallyExclusive("base", "force")
	return cmd
}

// keyVersion returns the current version of a configuration key, or 0 if the key is not set.
func keyVersion(ctx context.Context, cl *client, key string) (uint64, error) {
	resp, err := cl.operatorClient().GetConfig(ctx, connect.NewRequest(&dispatchv1.GetConfigRequest{}))
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

func printPublishResponse(g *globals, key string, resp *dispatchv1.PublishConfigResponse) error {
	err := g.printOutput(publishView{
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
		return exitErrorf(ExitUnknown, "%s: %s", key, resp.GetMessage())
	default:
		return exitErrorf(ExitRefused, "%s: %s", key, resp.GetMessage())
	}
}
