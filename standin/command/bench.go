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
	var file, rows string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure the whole path from callers to backend servers on loopback",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rep, err := bench.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			if err := rep.Write(cmd.OutOrStdout()); err != nil {
				return err
			}
			if err := writeReport(rep, file); err != nil {
				return err
			}
			return writeRows(rep, rows)
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Preset, "preset", cfg.Preset, fmt.Sprintf("network of a user, one of %v", bench.Presets))
	f.IntVar(&cfg.Load, "load", cfg.Load, "offered work in percent of the slots")
	f.IntVar(&cfg.Seconds, "seconds", cfg.Seconds, "time in s for which work arrives")
	f.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the workload")
	f.StringVar(&cfg.Shape, "shape", cfg.Shape, fmt.Sprintf("one of %v", bench.Shapes))
	f.StringVar(&cfg.Policy, "policy", cfg.Policy, fmt.Sprintf("placement, one of %v", placement.PolicyNames))
	f.IntVar(&cfg.Entries, "entries", cfg.Entries, "number of entries")
	f.StringVar(&cfg.Balance, "balance", cfg.Balance, fmt.Sprintf("how callers reach entries, one of %v", bench.Balances))
	f.Float64Var(&cfg.Calls, "calls", cfg.Calls, "share of calls among the arrivals, 0 to 1")
	f.StringVar(&file, "json", "", "also write the report to this file")
	f.StringVar(&rows, "rows", "", "also write one line for each job and call to this file")
	return cmd
}

func writeReport(rep *bench.Report, file string) error {
	if file == "" {
		return nil
	}
	b, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}

func writeRows(rep *bench.Report, file string) error {
	if file == "" {
		return nil
	}
	var b bytes.Buffer
	if err := rep.WriteRows(&b); err != nil {
		return err
	}
	return os.WriteFile(file, b.Bytes(), 0o644)
}
