package command

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/trail"
)

func newExplain(c *common) *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [LOG]...",
		Short: "Tell the story of a job from the logs of gateways and runners",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := c.readLogs(args[0], args[1:])
			if err != nil {
				return failure(ExitFailed, "%v", err)
			}
			if len(lines) == 0 {
				return failure(ExitFailed, "no line names the job %s", args[0])
			}
			trail.Sort(lines)
			return trail.Format(c.out, lines)
		},
	}
}

// readLogs reads the given files, or standard input if there are none.
func (c *common) readLogs(job string, files []string) ([]trail.Line, error) {
	if len(files) == 0 {
		return trail.Read(c.in, job)
	}
	var all []trail.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := trail.Read(f, job)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
