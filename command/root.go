// Package command implements the commands of the lavendercourse program, one per file.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/lavendercourse/lavendercourse/settings"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

const (
	defaultAddress      = "127.0.0.1:7100"
	defaultSettingsFile = "lavendercourse.ini"
	// logTimeFormat is the format of the times in log lines. With whole seconds, the lines of one job could not be put
	// in order.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
	// defaultTimeout covers the longest job, 300 s, and its response.
	defaultTimeout = 330 * time.Second
)

// Config holds the arguments, the standard streams and the additional commands of the program.
type Config struct {
	Args []string
	In   io.Reader
	Out  io.Writer
	Err  io.Writer
	// Extra holds further commands, from packages that this one must not import.
	Extra []*cobra.Command
}

// globals holds the global flags and the standard streams, which all commands share.
type globals struct {
	in           io.Reader
	out          io.Writer
	errOut       io.Writer
	address      string
	outputFormat string
	settingsFile string
	timeout      time.Duration
}

// Run runs the program and returns its exit code. It writes an error to Config.Err.
func Run(cfg Config) int {
	g := &globals{in: cfg.In, out: cfg.Out, errOut: cfg.Err}
	root := newRootCommand(g)
	root.AddCommand(cfg.Extra...)
	root.SetArgs(cfg.Args)
	root.SetIn(cfg.In)
	root.SetOut(cfg.Out)
	root.SetErr(cfg.Err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	code, text := exitCodeAndText(err)
	_, _ = fmt.Fprintln(cfg.Err, "lavendercourse: "+text)
	return code
}

func newRootCommand(g *globals) *cobra.Command {
	root := &cobra.Command{
		Use:           "lavendercourse",
		Short:         "Dispatcher for sub-second tasks",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if g.outputFormat != outputText && g.outputFormat != outputJSON {
				return exitErrorf(ExitUsage, "--output is %q, want text or json; nothing was run", g.outputFormat)
			}
			if g.timeout <= 0 {
				return exitErrorf(ExitUsage, "--timeout is %s, want more than 0; nothing was run", g.timeout)
			}
			return nil
		},
	}
	f := root.PersistentFlags()
	f.StringVar(&g.address, "address", defaultAddress, "host and port of an entry or of the load balancer")
	f.StringVar(&g.outputFormat, "output", outputText, "output format, text or json")
	f.StringVar(&g.settingsFile, "settings", defaultSettingsFile, "path of the settings file")
	f.DurationVar(&g.timeout, "timeout", defaultTimeout, "maximum time to wait for a response")
	registerFlagCompletion(root, "output", outputText, outputJSON)
	root.AddCommand(
		newSubmitCommand(g), newStatusCommand(g), newCancelCommand(g), newCallCommand(g),
		newCommandGroup("config", "Publish and read the configuration", newConfigPublishCommand(g), newConfigGetCommand(g), newConfigHistoryCommand(g)),
		newCommandGroup("domain", "Take failure domains out of service and bring them back",
			newDomainDrainCommand(g), newDomainRestoreCommand(g), newDomainListCommand(g)),
		newWorkersCommand(g), newNeighboursCommand(g),
		newCommandGroup("settings", "Work with settings files", newSettingsCheckCommand(g)),
		newVersionCommand(g), newEntryCommand(g), newAgentCommand(g), newGatewayCommand(g), newRunnerCommand(g), newExplainCommand(g),
	)
	return root
}

// newCommandGroup returns a command that only has subcommands. Without one of them, it returns a usage error.
func newCommandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	names := make([]string, len(commands))
	for i, cmd := range commands {
		names[i] = cmd.Name()
	}
	group := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return exitErrorf(ExitUsage, "%s needs a subcommand: %s; nothing was run", use, strings.Join(names, ", "))
		},
	}
	group.AddCommand(commands...)
	return group
}

// registerFlagCompletion registers the values of a flag for shell completion.
func registerFlagCompletion(cmd *cobra.Command, flag string, values ...string) {
	// An error would only mean that the flag does not exist.
	_ = cmd.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp))
}

// loadSettings reads the settings of a daemon and returns them with a logger that writes to standard error.
func (g *globals) loadSettings(role settings.Role) (settings.Settings, zerolog.Logger, error) {
	return g.loadSettingsWithLog(role, g.errOut)
}

// loadSettingsWithLog reads the settings of a daemon and returns them with a logger that writes to out.
func (g *globals) loadSettingsWithLog(role settings.Role, out io.Writer) (settings.Settings, zerolog.Logger, error) {
	s, err := settings.Load(g.settingsFile, role)
	if err != nil {
		return s, zerolog.Nop(), exitErrorf(ExitSettings, "%s did not start:\n%s", role, problemsText(err))
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return s, zerolog.Nop(), exitErrorf(ExitSettings, "%s did not start: %v", role, err)
	}
	zerolog.TimeFieldFormat = logTimeFormat
	// The level is that of the process, so that a changed setting takes effect without a restart.
	zerolog.SetGlobalLevel(level)
	return s, zerolog.New(out).With().Timestamp().Logger(), nil
}

// newTracer returns the tracer of a daemon, or nil if tracing is off.
func (g *globals) newTracer(ctx context.Context, s settings.Trace, role settings.Role, name string) (*telemetry.Tracer, error) {
	return telemetry.NewTracer(ctx, telemetry.TraceConfig{
		Exporter: s.Exporter, Endpoint: "http://" + s.Endpoint, SampleRatio: float64(s.Share) / 100,
		ServiceName: string(role), Name: name, Out: g.out,
	})
}

// withTimeout returns a context that is bounded by --timeout.
func (g *globals) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, g.timeout)
}
