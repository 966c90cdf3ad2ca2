package command

import (
	"net"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/gateway"
	"github.com/lavendercourse/lavendercourse/intake"
	"github.com/lavendercourse/lavendercourse/platform"
	"github.com/lavendercourse/lavendercourse/queue"
	"github.com/lavendercourse/lavendercourse/settings"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

func newGatewayCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway, the counterpart of an entry on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return g.runDaemon(cmd.Context(), settings.RoleGateway, startGateway)
		},
	}
}

func startGateway(s settings.Settings, logger zerolog.Logger, out *telemetry.Writer) (stopper, error) {
	limits := inputLimits(s)
	listeners, err := listenAll(limits, endpoint{intake.Callers, s.Gateway.Callers}, endpoint{intake.Ready, s.Gateway.Ready},
		endpoint{intake.Links, s.Gateway.Links}, endpoint{intake.Metrics, s.Gateway.Metrics})
	if err != nil {
		return nil, err
	}
	advertise := s.Gateway.Advertise
	if advertise == "" {
		advertise = s.Gateway.Links
	}
	return gateway.New(gateway.Config{
		Name: s.Gateway.Name, Domain: s.Place.Domain, Callers: listeners[0], Ready: listeners[1], Links: listeners[2],
		Metrics: listeners[3], Advertise: advertise, Seeds: s.Gateway.Seeds,
		Store:        platform.NewStore(platform.StoreConfig{Address: s.Store.Address, Timeout: s.Store.Timeout}),
		ConfigStream: platform.ConfigStream, GatewayStream: platform.GatewayStream, CancelStream: platform.CancelStream,
		Decode: platform.DecodeConfig, Serve: platform.NewJobHandler, Headers: platform.JobHeaders,
		Queue: queue.Config{
			MaxJobs: s.Gateway.Jobs, PreferRunners: s.Gateway.Prefer == settings.On, RefuseLate: s.Gateway.Late == settings.LateRefuse,
			Neighbours: s.Gateway.Neighbours == settings.On,
		},
		Limits: limits, Clock: clock.NewBoot(), Logger: logger, LogBudget: s.Log.Budget,
		DroppedLogLines: out.Dropped,
	})
}

// endpoint is the address of a gate.
type endpoint struct {
	gate    intake.Gate
	address string
}

// listenAll opens the TCP listener of each endpoint. The listener of an empty address is nil.
func listenAll(limits intake.Limits, endpoints ...endpoint) ([]net.Listener, error) {
	listeners := make([]net.Listener, len(endpoints))
	for i, e := range endpoints {
		if e.address == "" {
			continue
		}
		l, err := intake.Listen(limits, e.gate, e.address)
		if err != nil {
			for _, open := range listeners[:i] {
				if open != nil {
					_ = open.Close()
				}
			}
			return nil, err
		}
		listeners[i] = l
	}
	return listeners, nil
}
