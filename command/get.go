package command

import (
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

type getView struct {
	Version uint64 `json:"version"`
	// Age in ms of the newest confirmation that the version is current.
	Age     uint64        `json:"age"`
	Entries []settingView `json:"entries"`
}

type settingView struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"`
}

func newGet(c *common) *cobra.Command {
	return &cobra.Command{
		Use:   "get [KEY]",
		Short: "Show the configuration in force, or one key of it",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := c.within(cmd.Context())
			defer cancel()
			cl := newClient(c.address)
			resp, err := cl.operator().GetConfig(ctx, connect.NewRequest(&dispatchv1.GetConfigRequest{}))
			if err != nil {
				return cl.fail(err, ExitUnreachable, "nothing was changed")
			}
			entries := settingViews(resp.Msg.GetEntries())
			if len(args) == 1 {
				entries = only(entries, args[0])
				if len(entries) == 0 {
					return failure(ExitFailed, "key %s is not set; nothing was changed", args[0])
				}
			}
			return c.show(getView{Version: resp.Msg.GetVersion(), Age: resp.Msg.GetAgeMs(), Entries: entries}, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "version %d, confirmed %d ms ago\n", resp.Msg.GetVersion(), resp.Msg.GetAgeMs())
				showSettings(w, entries)
			})
		},
	}
}

func settingViews(entries []*dispatchv1.ConfigEntry) []settingView {
	views := make([]settingView, len(entries))
	for i, e := range entries {
		views[i] = settingView{Key: e.GetKey(), Value: e.GetValue(), Version: e.GetVersion()}
	}
	return views
}

func only(entries []settingView, key string) []settingView {
	for _, e := range entries {
		if e.Key == key {
			return []settingView{e}
		}
	}
	return nil
}

func showSettings(w io.Writer, entries []settingView) {
	rows := make([]string, len(entries))
	for i, e := range entries {
		rows[i] = fmt.Sprintf("%s\t%s\t%d", e.Key, e.Value, e.Version)
	}
	table(w, "KEY\tVALUE\tVERSION", rows)
}
