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

func newAgentCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "agent",
		Short: "Run an agent beside a backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, logger, err := g.loadSettings(settings.RoleAgent)
			if err != nil {
				return err
			}
			tracer, err := g.newTracer(cmd.Context(), s.Trace, settings.RoleAgent, s.Agent.Name)
			if err != nil {
				return exitErrorf(ExitFailed, "agent did not start: %v", err)
			}
			a, err := startAgent(s, logger, tracer)
			if err != nil {
				return exitErrorf(ExitFailed, "agent did not start: %v", err)
			}
			return stopOnSignal(cmd.Context(), "agent", a.Stop, tracer)
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
	return agent.New(agentConfig(s, logger, tracer, metrics))
}

// agentConfig returns the configuration of an agent. Its clock counts the time during which the VM was suspended: starts
// that arrived before would otherwise seem fresh afterwards.
func agentConfig(s settings.Settings, logger zerolog.Logger, tracer *telemetry.Tracer, metrics net.Listener) agent.Config {
	return agent.Config{
		Name: s.Agent.Name, Region: s.Place.Region, Domain: s.Place.Domain, Rack: s.Place.Rack,
		Memory: s.Agent.Memory, Cores: s.Agent.Cores, Seeds: s.Agent.Entries,
		Backend: worker.New(worker.Config{Address: s.Agent.Worker, Connections: s.Slot.Connections, Tracer: tracer}),
		Slots:   s.Slot, Clock: clock.NewBoot(), Logger: logger, Metrics: metrics, Tracer: tracer,
	}
}

// stopTimeout bounds a graceful stop. It covers the longest job, 300 s, and the time to send its response.
const stopTimeout = 330 * clock.Second

// stopOnSignal waits until a termination signal cancels ctx, and then stops a daemon and its tracer. Name is the name
// of the daemon in errors.
func stopOnSignal(ctx context.Context, name string, stop func(context.Context) error, tracer *telemetry.Tracer) error {
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	err := stop(ctx)
	// An error only means that the collector did not accept the last spans. The work of the daemon is done by then.
	_ = tracer.Close(ctx)
	if err != nil {
		return exitErrorf(ExitFailed, "%s did not stop gracefully; running work was aborted: %v", name, err)
	}
	return nil
}
