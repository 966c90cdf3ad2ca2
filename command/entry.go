package command

import (
	"context"
	"net"

	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/entry"
	"github.com/lavendercourse/lavendercourse/placement"
	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/settings"
)

// stopTimeout bounds a graceful stop: the longest job, and some time to answer.
const stopTimeout = 330 * clock.Second

func newEntry(c *common) *cobra.Command {
	return &cobra.Command{
		Use:   "entry",
		Short: "Run an entry",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(c.file)
			if err != nil {
				return exitError{code: ExitSettings, text: err.Error()}
			}
			e, err := startEntry(c, s)
			if err != nil {
				return exitError{code: ExitFailed, text: err.Error()}
			}
			<-cmd.Context().Done()
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
			defer cancel()
			return e.Stop(ctx)
		},
	}
}

func startEntry(c *common, s settings.Settings) (*entry.Entry, error) {
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
		Callers: callers, Links: links, Advertise: advertise, Seeds: s.Entry.Seeds,
		Log: platform.New(platform.Config{Address: s.Platform.Address}), Retention: s.Platform.Retention,
		Policy: policy, Clock: clock.NewSystem(), Logger: c.logger(),
	})
}
