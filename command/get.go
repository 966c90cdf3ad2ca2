package command

import (
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	dispatchv1 "github.com/lavendercourse/lavendercourse/schema/dispatch/v1"
)

type configView struct {
	Version uint64 `json:"version"`
	// Age is the time in ms since the entry last confirmed that the version is current.
	Age     uint64            `json:"age"`
	Entries []configEntryView `json:"entries"`
}

type configEntryView struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"`
}

func newConfigGetCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "get [KEY]",
		Short: "Show the current configuration, or one key of it",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := g.withTimeout(cmd.Context())
			defer cancel()
			cl := newClient(g.address)
			resp, err := cl.operatorClient().GetConfig(ctx, connect.NewRequest(&dispatchv1.GetConfigRequest{}))
			if err != nil {
				return cl.wrapError(err, ExitUnreachable, "nothing was changed")
			}
			entries := newConfigEntryViews(resp.Msg.GetEntries())
			if len(args) == 1 {
				entries = filterByKey(entries, args[0])
				if len(entries) == 0 {
					return exitErrorf(ExitFailed, "key %s is not set; nothing was changed", args[0])
				}
			}
			return g.printOutput(configView{Version: resp.Msg.GetVersion(), Age: resp.Msg.GetAgeMs(), Entries: entries}, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "version %d, confirmed %d ms ago\n", resp.Msg.GetVersion(), resp.Msg.GetAgeMs())
				printConfigEntries(w, entries)
			})
		},
	}
}

func newConfigEntryViews(entries []*dispatchv1.ConfigEntry) []configEntryView {
	views := make([]configEntryView, len(entries))
	for i, e := range entries {
		views[i] = configEntryView{Key: e.GetKey(), Value: e.GetValue(), Version: e.GetVersion()}
	}
	return views
}

func filterByKey(entries []configEntryView, key string) []configEntryView {
	for _, e := range entries {
		if e.Key == key {
			return []configEntryView{e}
		}
	}
	return nil
}

func printConfigEntries(w io.Writer, entries []configEntryView) {
	rows := make([]string, len(entries))
	for i, e := range entries {
		rows[i] = fmt.Sprintf("%s\t%s\t%d", e.Key, e.Value, e.Version)
	}
	printTable(w, "KEY\tVALUE\tVERSION", rows)
}
