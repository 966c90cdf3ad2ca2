package command

import (
	"net"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/entry"
	"github.com/lavendercourse/lavendercourse/logservice"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/settings"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

func newEntryCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "entry",
		Short: "Run an entry",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, logger, err := g.loadSettings(settings.RoleEntry)
			if err != nil {
				return err
			}
			tracer, err := g.newTracer(cmd.Context(), s.Trace, settings.RoleEntry, s.Entry.Name)
			if err != nil {
				return exitErrorf(ExitFailed, "entry did not start: %v", err)
			}
			e, err := startEntry(s, logger, tracer)
			if err != nil {
				return exitErrorf(ExitFailed, "entry did not start: %v", err)
			}
			return stopOnSignal(cmd.Context(), "entry", e.Stop, tracer)
		},
	}
}

func startEntry(s settings.Settings, logger zerolog.Logger, tracer *telemetry.Tracer) (*entry.Entry, error) {
	cfg, err := entryConfig(s, logger, tracer)
	if err != nil {
		return nil, err
	}
	return entry.New(cfg)
}

// entryConfig opens the listeners of an entry and returns its configuration. Its clock counts the time during which the VM
// was suspended: the quorum lease and the jobs would otherwise outlive what other processes remember of them.
func entryConfig(s settings.Settings, logger zerolog.Logger, tracer *telemetry.Tracer) (entry.Config, error) {
	policy, err := placement.NewPolicy(s.Entry.Policy)
	if err != nil {
		return entry.Config{}, err
	}
	callers, err := net.Listen("tcp", s.Entry.Callers)
	if err != nil {
		return entry.Config{}, err
	}
	links, err := net.Listen("tcp", s.Entry.Links)
	if err != nil {
		_ = callers.Close()
		return entry.Config{}, err
	}
	advertise := s.Entry.Advertise
	if advertise == "" {
		advertise = links.Addr().String()
	}
	return entry.Config{
		Name: s.Entry.Name, Region: s.Place.Region, Domain: s.Place.Domain,
		CallerListener: callers, LinkListener: links, Advertise: advertise, SeedAddresses: s.Entry.Seeds,
		Log:       logservice.New(logservice.Config{Address: s.Platform.Address, Timeout: s.Platform.Timeout}),
		Retention: s.Platform.Retention, Policy: policy, Jobs: s.Limits.Jobs, Queue: s.Limits.Queue, Quorum: s.Member,
		Clock: clock.NewBoot(), Logger: logger, Tracer: tracer,
	}, nil
}
