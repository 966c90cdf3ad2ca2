package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/agent"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/settings"
	"github.com/lavendercourse/lavendercourse/worker"
)

func newAgent(c *common) *cobra.Command {
	return &cobra.Command{
		Use:   "agent",
		Short: "Run an agent beside a backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, logger, err := c.load(settings.RoleAgent)
			if err != nil {
				return err
			}
			a, err := agent.New(agent.Config{
				Name: s.Agent.Name, Region: s.Place.Region, Domain: s.Place.Domain, Rack: s.Place.Rack,
				Memory: s.Agent.Memory, Cores: s.Agent.Cores, Entries: s.Agent.Entries,
				Backend: worker.New(worker.Config{Address: s.Agent.Worker, Connections: s.Slot.Connections}),
				Slots:   s.Slot, Clock: clock.NewSystem(), Logger: logger,
			})
			if err != nil {
				return failure(ExitFailed, "agent did not start: %v", err)
			}
			return serve(cmd.Context(), "agent", a.Stop)
		},
	}
}

// stopTimeout bounds a graceful stop: the longest job, and some time to respond.
const stopTimeout = 330 * clock.Second

// serve waits for the signal to stop and then stops a daemon.
func serve(ctx context.Context, what string, stop func(context.Context) error) error {
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	if err := stop(ctx); err != nil {
		return failure(ExitFailed, "%s did not stop gracefully; running work was cut off: %v", what, err)
	}
	return nil
}
