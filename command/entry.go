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
	policy, err := placement.NewPolicy(s.Entry.Policy)
	if err != nil {
		return nil, err
	}
	callers, err := net.Listen("tcp", s.Entry.Callers)
	if err != nil {
		return nil, err
	}
	links, err := net.Listen("tcp", s.Entry.Links)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	advertise := s.Entry.Advertise
	if advertise == "" {
		advertise = links.Addr().String()
	}
	return entry.New(entry.Config{
		Name: s.Entry.Name, Region: s.Place.Region, Domain: s.Place.Domain,
		CallerListener: callers, LinkListener: links, Advertise: advertise, SeedAddresses: s.Entry.Seeds,
		Log:       logservice.New(logservice.Config{Address: s.Platform.Address, Timeout: s.Platform.Timeout}),
		Retention: s.Platform.Retention, Policy: policy, Jobs: s.Limits.Jobs, Queue: s.Limits.Queue, Quorum: s.Member,
		Clock: clock.NewSystem(), Logger: logger, Tracer: tracer,
	})
}
