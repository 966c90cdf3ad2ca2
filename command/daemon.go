package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/intake"
	"github.com/lavendercourse/lavendercourse/settings"
	"github.com/lavendercourse/lavendercourse/telemetry"
)

const (
	// memoryLimitPercent is the soft memory limit of the Go runtime, in percent of the memory that the process may use.
	// Above the limit, the garbage collector runs more often. Unread bytes may take 20 %, and the program itself takes
	// 14 MB.
	memoryLimitPercent = 60
	// maxFiles is the number of descriptors that are used at most if a process may have any number of them open.
	maxFiles = 1 << 20
	// logFlushTimeout bounds the wait until the last log lines are written.
	logFlushTimeout = 300 * time.Millisecond
	// settingsPollInterval is the interval at which the settings file is polled. It may change without a signal.
	settingsPollInterval = 2 * time.Second
)

// stopper is a running gateway or runner.
type stopper interface {
	Stop(ctx context.Context) error
}

// runDaemon runs a gateway or runner until a termination signal cancels ctx, and then stops it. The log goes to
// standard output; that of an entry or agent goes to standard error.
func (g *globals) runDaemon(ctx context.Context, role settings.Role, start func(settings.Settings, zerolog.Logger, *telemetry.Writer) (stopper, error)) error {
	out := telemetry.NewWriter(g.out)
	defer out.Close(logFlushTimeout)
	s, logger, err := g.loadSettingsWithLog(role, out)
	if err != nil {
		return err
	}
	if s.Process.Memory > 0 {
		debug.SetMemoryLimit(int64(s.Process.Memory) << 20 * memoryLimitPercent / 100)
	}
	logger = logger.With().Str("node", s.NodeName(role)).Logger()
	d, err := start(s, logger, out)
	if err != nil {
		return exitErrorf(ExitFailed, "%s did not start: %v", role, err)
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { g.watchSettings(watchCtx, role, s, logger) }()
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
	defer cancel()
	if err := d.Stop(stopCtx); err != nil {
		return exitErrorf(ExitFailed, "%s did not stop gracefully; running work was aborted: %v", role, err)
	}
	return nil
}

// inputLimits returns the limits of unfinished requests that the machine of a process allows.
func inputLimits(s settings.Settings) intake.Limits {
	files := s.Process.Files
	if files == 0 {
		files = maxFiles
		var started syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &started) == nil {
			files = int(min(started.Cur, maxFiles))
		}
	}
	return intake.NewLimits(s.Process.Memory, files)
}

// watchSettings loads the settings file on SIGHUP and every settingsPollInterval. It logs each change and the result of
// each SIGHUP. A changed log level takes effect at once, a change of any other key after a restart.
func (g *globals) watchSettings(ctx context.Context, role settings.Role, s settings.Settings, logger zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	// There is no signal.Stop: by default, a SIGHUP that arrives while the daemon stops would end the process.
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	current := s
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-t.C:
		}
		next, err := settings.Load(g.settingsFile, role)
		if err != nil {
			if signalled {
				event.Reloaded.On(logger).Bool("changed", false).Err(err).Send()
			}
			continue
		}
		if changed := next.String() != current.String(); changed || signalled {
			setLogLevel(next, logger)
			current = next
			event.Reloaded.On(logger).Bool("changed", changed).Bool("restart", needsRestart(s, next)).Send()
		}
	}
}

// setLogLevel sets the level of the log lines of this process.
func setLogLevel(s settings.Settings, logger zerolog.Logger) {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		event.Reloaded.On(logger).Bool("changed", false).Err(err).Send()
		return
	}
	zerolog.SetGlobalLevel(level)
}

// needsRestart tells whether the process must be restarted for the next settings to take full effect.
func needsRestart(started, next settings.Settings) bool {
	next.Log.Level = started.Log.Level
	return next.String() != started.String()
}
