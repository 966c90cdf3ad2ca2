package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/standin/bench"
)

func newBench() *cobra.Command {
	cfg := bench.Default()
	var reportPath, rowsPath string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure the performance of the whole system on loopback, from callers to backend servers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := bench.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			if err := report.Write(cmd.OutOrStdout()); err != nil {
				return err
			}
			if err := writeReport(report, reportPath); err != nil {
				return err
			}
			return writeRows(report, rowsPath)
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Preset, "preset", cfg.Preset, fmt.Sprintf("preset of network and workers, one of %v", bench.Presets))
	f.IntVar(&cfg.Load, "load", cfg.Load, "offered work in percent of the capacity of all slots")
	f.IntVar(&cfg.Seconds, "seconds", cfg.Seconds, "time in s for which jobs and calls arrive")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "random seed of the workload")
	f.StringVar(&cfg.Shape, "shape", cfg.Shape, fmt.Sprintf("shape of the workload, one of %v", bench.Shapes))
	f.StringVar(&cfg.Policy, "policy", cfg.Policy, fmt.Sprintf("placement policy, one of %v", placement.PolicyNames))
	f.IntVar(&cfg.Entries, "entries", cfg.Entries, "number of entries")
	f.StringVar(&cfg.Balance, "balance", cfg.Balance, fmt.Sprintf("how callers reach entries, one of %v", bench.Balances))
	f.Float64Var(&cfg.Calls, "calls", cfg.Calls, "share of calls among all jobs and calls, 0 to 1")
	f.StringVar(&reportPath, "json", "", "also write the report as JSON to this file")
	f.StringVar(&rowsPath, "rows", "", "also write one CSV line for each job and call to this file")
	return cmd
}

func writeReport(report *bench.Report, path string) error {
	if path == "" {
		return nil
	}
	b, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

func writeRows(report *bench.Report, path string) error {
	if path == "" {
		return nil
	}
	var b bytes.Buffer
	if err := report.WriteRows(&b); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}
