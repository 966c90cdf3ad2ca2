package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/agent"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/settings"
	"github.com/lavendercourse/lavendercourse/slot"
	"github.com/lavendercourse/lavendercourse/worker"
)

func newAgent(c *common) *cobra.Command {
	return &cobra.Command{
		Use:   "agent",
		Short: "Run an agent beside a backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(c.file)
			if err != nil {
				return exitError{code: ExitSettings, text: err.Error()}
			}
			a, err := agent.New(agent.Config{
				Name: s.Agent.Name, Region: s.Place.Region, Domain: s.Place.Domain, Rack: s.Place.Rack,
				Memory: s.Agent.Memory, Cores: s.Agent.Cores, Entries: s.Agent.Entries,
				Backend: worker.New(worker.Config{Address: s.Agent.Worker, Connections: s.Agent.Connections}),
				Slots:   slot.Config{Slots: s.Agent.Slots, Connections: s.Agent.Connections},
				Clock:   clock.NewSystem(), Logger: c.logger(),
			})
			if err != nil {
				return exitError{code: ExitFailed, text: err.Error()}
			}
			<-cmd.Context().Done()
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
			defer cancel()
			return a.Stop(ctx)
		},
	}
}
