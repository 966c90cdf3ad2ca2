package command

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

type versionView struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func newVersionCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			v := versionView{Version: "unknown"}
			if info, ok := debug.ReadBuildInfo(); ok {
				v.Version, v.Go = info.Main.Version, info.GoVersion
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						v.Revision = s.Value
					}
				}
			}
			return g.printOutput(v, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "lavendercourse %s %s %s\n", v.Version, v.Revision, v.Go)
			})
		},
	}
}
