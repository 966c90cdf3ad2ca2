package command

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/trail"
)

func newExplainCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [LOG]...",
		Short: "Print the log lines of a job from gateways and runners in order of time",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := g.readLogs(args[0], args[1:])
			if err != nil {
				return exitErrorf(ExitFailed, "%v", err)
			}
			if len(lines) == 0 {
				return exitErrorf(ExitFailed, "no log line found for job %s", args[0])
			}
			trail.Sort(lines)
			return trail.Format(g.out, lines)
		},
	}
}

// readLogs returns the log lines of a job from the given files, or from standard input if there are none.
func (g *globals) readLogs(jobID string, files []string) ([]trail.Line, error) {
	if len(files) == 0 {
		return trail.Read(g.in, jobID)
	}
	var all []trail.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := trail.Read(f, jobID)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
