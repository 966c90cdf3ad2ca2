// Package command holds the commands of the lavendercourse program, one in a file.
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
	defaultAddress  = "127.0.0.1:7100"
	defaultSettings = "lavendercourse.ini"
	// logTime is the format of the times in log lines. Whole seconds would not order the lines of one job.
	logTime = "2006-01-02T15:04:05.000Z07:00"
	// defaultTimeout leaves time for the longest job, 300 s, and its response.
	defaultTimeout = 330 * time.Second
)

// Config is the surroundings of the program.
type Config struct {
	Args []string
	In   io.Reader
	Out  io.Writer
	Err  io.Writer
	// Extra are commands of packages that this one must not import.
	Extra []*cobra.Command
}

// common is what all commands share.
type common struct {
	in      io.Reader
	out     io.Writer
	errOut  io.Writer
	address string
	output  string
	file    string
	timeout time.Duration
}

// Run runs the program and returns its exit code. An error is written to Err.
func Run(cfg Config) int {
	c := &common{in: cfg.In, out: cfg.Out, errOut: cfg.Err}
	root := newRoot(c)
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
	code, text := explain(err)
	_, _ = fmt.Fprintln(cfg.Err, "lavendercourse: "+text)
	return code
}

func newRoot(c *common) *cobra.Command {
	root := &cobra.Command{
		Use:           "lavendercourse",
		Short:         "Dispatcher for sub-second tasks",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if c.output != outputText && c.output != outputJSON {
				return failure(ExitUsage, "--output is %q, want text or json; nothing was run", c.output)
			}
			if c.timeout <= 0 {
				return failure(ExitUsage, "--timeout is %s, want more than 0; nothing was run", c.timeout)
			}
			return nil
		},
	}
	f := root.PersistentFlags()
	f.StringVar(&c.address, "address", defaultAddress, "host and port of an entry or of the balancer")
	f.StringVar(&c.output, "output", outputText, "text or json")
	f.StringVar(&c.file, "settings", defaultSettings, "settings file")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest wait for a response")
	completeFlag(root, "output", outputText, outputJSON)
	root.AddCommand(
		newSubmit(c), newStatus(c), newCancel(c), newCall(c),
		newGroup("config", "Publish and read the configuration", newPublish(c), newGet(c), newHistory(c)),
		newGroup("domain", "Take failure domains out of service and bring them back",
			newDrain(c), newRestore(c), newDomains(c)),
		newWorkers(c),
		newGroup("settings", "Work with settings files", newCheck(c)),
		newVersion(c), newEntry(c), newAgent(c), newGateway(c), newRunner(c), newExplain(c),
	)
	return root
}

// newGroup returns a command that only holds others.
func newGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	names := make([]string, len(commands))
	for i, cmd := range commands {
		names[i] = cmd.Name()
	}
	group := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return failure(ExitUsage, "%s needs one of: %s; nothing was run", use, strings.Join(names, ", "))
		},
	}
	group.AddCommand(commands...)
	return group
}

// completeFlag offers the values of a flag to the shell.
func completeFlag(cmd *cobra.Command, flag string, values ...string) {
	// The error only says that the flag does not exist.
	_ = cmd.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp))
}

// load reads the settings of a daemon and returns them with its logger.
func (c *common) load(role settings.Role) (settings.Settings, zerolog.Logger, error) {
	return c.loadFor(role, c.errOut)
}

// loadFor reads the settings of a daemon and returns them with a logger that writes to out.
func (c *common) loadFor(role settings.Role, out io.Writer) (settings.Settings, zerolog.Logger, error) {
	s, err := settings.Load(c.file, role)
	if err != nil {
		return s, zerolog.Nop(), failure(ExitSettings, "%s did not start:\n%s", role, problemsOf(err))
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return s, zerolog.Nop(), failure(ExitSettings, "%s did not start: %v", role, err)
	}
	zerolog.TimeFieldFormat = logTime
	return s, zerolog.New(out).Level(level).With().Timestamp().Logger(), nil
}

// tracer returns the tracer of a daemon, which is nil if traces are off.
func (c *common) tracer(ctx context.Context, s settings.Trace, role settings.Role, name string) (*telemetry.Tracer, error) {
	return telemetry.NewTracer(ctx, telemetry.TraceConfig{
		Exporter: s.Exporter, Endpoint: "http://" + s.Endpoint, SampleRatio: float64(s.Share) / 100,
		ServiceName: string(role), Name: name, Out: c.out,
	})
}

// within bounds a command by --timeout.
func (c *common) within(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}
