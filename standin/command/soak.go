package command

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/standin/soak"
)

func newSoak() *cobra.Command {
	cfg := soak.Config{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run gateways and runners as processes, inject faults, and check the guarantees",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cfg.Dir == "" {
				dir, err := os.MkdirTemp("", "soak")
				if err != nil {
					return err
				}
				cfg.Dir = dir
			}
			cfg.Out = cmd.OutOrStdout()
			r, err := soak.Run(cmd.Context(), cfg)
			if err != nil {
				return fmt.Errorf("seed %d, logs in %s: %w", cfg.Seed, cfg.Dir, err)
			}
			_, _ = fmt.Fprintf(cfg.Out, "seed %d: %d faults; %d jobs: %d completed, %d failed, %d refused, %d without an answer; %d cancelled; %d crashes by tasks; logs in %s\n",
				cfg.Seed, r.Faults, r.Jobs, r.Completed, r.Failed, r.Refused, r.Unknown, r.Cancelled, r.Crashes, cfg.Dir)
			for _, text := range r.Violations {
				_, _ = fmt.Fprintln(cfg.Out, "BROKEN: "+text)
			}
			if len(r.Violations) > 0 {
				return fmt.Errorf("seed %d: %d guarantees violated", cfg.Seed, len(r.Violations))
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Program, "program", "target/lavendercourse", "path of the program under test")
	f.StringVar(&cfg.Dir, "dir", "", "directory for settings and logs; if empty, a temporary one is created")
	f.Uint64Var(&cfg.Seed, "seed", 1, "random seed of the faults and the load")
	f.DurationVar(&cfg.Span, "span", 20*time.Second, "time for which faults are injected")
	f.IntVar(&cfg.Gateways, "gateways", 3, "gateways")
	f.IntVar(&cfg.Runners, "runners", 6, "runners")
	f.Float64Var(&cfg.Crashes, "crashes", 0, "share of jobs with tasks that crash their workers, beside changes of capacities")
	f.BoolVar(&cfg.Cuts, "cuts", false, "cuts of whole gateways and of workers that hold data, and more callers that give up early")
	f.BoolVar(&cfg.Cancels, "cancels", false, "jobs that are cancelled, removed queues, kills of all gateways, cuts between gateways")
	f.BoolVar(&cfg.Leaves, "leaves", false, "workers that leave, are replaced or refuse connections while their runs go on, and restarts in turn")
	f.IntVar(&cfg.Callers, "callers", 20, "number of callers, each with one job at a time")
	return cmd
}
