package demo

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

const maxShownBreaches = 5

// failure is an error that ends the program with code 1.
type failure struct{ error }

// ExitCode returns the exit code of the program.
func (failure) ExitCode() int { return 1 }

// NewCommand returns the demo command. It is added to the program in cmd/lavendercourse, since package command must
// not import stand-ins.
func NewCommand() *cobra.Command {
	cfg := Config{Logger: zerolog.Nop()}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole system on loopback for about 20 s and check its promises",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Progress = cmd.ErrOrStderr()
			r, err := Run(cmd.Context(), cfg)
			if err != nil {
				return failure{err}
			}
			output, err := cmd.Flags().GetString("output")
			if err != nil {
				output = "text"
			}
			findings := CheckPromises(r)
			if err := printFindings(cmd.OutOrStdout(), output, findings); err != nil {
				return failure{err}
			}
			if !Held(findings) {
				return failure{eris.New("a promise was broken or could not be checked")}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "seed of the workload")
	return cmd
}

func printFindings(w io.Writer, output string, findings []Finding) error {
	if output == "json" {
		return json.NewEncoder(w).Encode(findings)
	}
	for _, f := range findings {
		state := "held  "
		switch {
		case len(f.Breaches) > 0:
			state = "BROKEN"
		case !f.Held:
			state = "UNSEEN"
		}
		_, _ = fmt.Fprintf(w, "%d %s %s\n         %s\n", f.Number, state, f.Promise, f.Seen)
		for i, b := range f.Breaches {
			if i == maxShownBreaches {
				_, _ = fmt.Fprintf(w, "         and %d more\n", len(f.Breaches)-i)
				break
			}
			_, _ = fmt.Fprintf(w, "         %s\n", b)
		}
	}
	return nil
}
