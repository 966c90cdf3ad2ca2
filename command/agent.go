package command

import (
	"context"
	"net"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/agent"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/settings"
	"github.com/lavendercourse/lavendercourse/telemetry"
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
			tracer, err := c.tracer(cmd.Context(), s.Trace, settings.RoleAgent, s.Agent.Name)
			if err != nil {
				return failure(ExitFailed, "agent did not start: %v", err)
			}
			a, err := startAgent(s, logger, tracer)
			if err != nil {
				return failure(ExitFailed, "agent did not start: %v", err)
			}
			return serve(cmd.Context(), "agent", a.Stop, tracer)
		},
	}
}

func startAgent(s settings.Settings, logger zerolog.Logger, tracer *telemetry.Tracer) (*agent.Agent, error) {
	var metrics net.Listener
	if s.Agent.Metrics != "" {
		var err error
		if metrics, err = net.Listen("tcp", s.Agent.Metrics); err != nil {
			return nil, err
		}
	}
	return agent.New(agent.Config{
		Name: s.Agent.Name, Region: s.Place.Region, Domain: s.Place.Domain, Rack: s.Place.Rack,
		Memory: s.Agent.Memory, Cores: s.Agent.Cores, Seeds: s.Agent.Entries,
		Backend: worker.New(worker.Config{Address: s.Agent.Worker, Connections: s.Slot.Connections, Tracer: tracer}),
		Slots:   s.Slot, Clock: clock.NewSystem(), Logger: logger, Metrics: metrics, Tracer: tracer,
	})
}

// stopTimeout bounds a graceful stop: the longest job, and some time to respond.
const stopTimeout = 330 * clock.Second

// serve waits for the signal to stop and then stops a daemon and its tracer.
func serve(ctx context.Context, what string, stop func(context.Context) error, tracer *telemetry.Tracer) error {
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	err := stop(ctx)
	// Spans that the collector does not take are lost; the daemon has done its work.
	_ = tracer.Close(ctx)
	if err != nil {
		return failure(ExitFailed, "%s did not stop gracefully; running work was cut off: %v", what, err)
	}
	return nil
}
