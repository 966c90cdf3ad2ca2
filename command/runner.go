package command

import (
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/intake"
	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/room"
	"github.com/lavendercourse/lavendercourse/runner"
	"github.com/lavendercourse/lavendercourse/settings"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

func newRunnerCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "runner",
		Short: "Run a runner, the counterpart of an agent on the users' platform, beside a worker",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return g.runDaemon(cmd.Context(), settings.RoleRunner, startRunner)
		},
	}
}

func startRunner(s settings.Settings, logger zerolog.Logger, out *telemetry.Writer) (stopper, error) {
	limits := inputLimits(s)
	listeners, err := listenAll(limits, endpoint{intake.Reports, s.Runner.Reports}, endpoint{intake.Metrics, s.Runner.Metrics})
	if err != nil {
		return nil, err
	}
	return runner.New(runner.Config{
		Name: s.Runner.Name, Domain: s.Place.Domain, Seeds: s.Runner.Seeds, MaxLinks: s.Runner.Links,
		Worker:  platform.NewWorker(platform.WorkerConfig{Address: s.Runner.Worker, Timeout: s.Runner.Timeout}),
		Reports: listeners[0], Register: platform.RegisterReports, Metrics: listeners[1],
		Store:        platform.NewStore(platform.StoreConfig{Address: s.Store.Address, Timeout: s.Store.Timeout}),
		ConfigStream: platform.ConfigStream, Decode: platform.DecodeConfig,
		GatewayStream: platform.GatewayStream, WorkerStream: platform.WorkerStream(s.Place.Domain),
		Limits: limits, Clock: clock.NewBoot(), Logger: logger, LogBudget: s.Log.Budget,
		DroppedLogLines: out.Dropped, Room: room.Config{Neighbours: s.Runner.Neighbours == settings.On},
	})
}
