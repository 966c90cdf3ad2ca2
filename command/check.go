package command

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/settings"
)

type problemView struct {
	File string `json:"file"`
	Line int    `json:"line,omitempty"`
	Text string `json:"text"`
}

type checkView struct {
	Settings map[string]map[string]string `json:"settings"`
	Problems []problemView                `json:"problems"`
}

func newSettingsCheckCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Print the effective settings and list all problems of the settings file",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, problems := settings.Check(g.settingsFile, settings.RoleAny)
			view := checkView{Settings: s.Map(), Problems: []problemView{}}
			lines := make([]string, len(problems))
			for i, p := range problems {
				view.Problems = append(view.Problems, problemView{File: p.File, Line: p.Line, Text: p.Text})
				lines[i] = p.String()
			}
			err := g.printOutput(view, func(w io.Writer) { _, _ = fmt.Fprint(w, s) })
			if err != nil || len(problems) == 0 {
				return err
			}
			return exitErrorf(ExitSettings, "settings cannot be used:\n%s", strings.Join(lines, "\n"))
		},
	}
}
