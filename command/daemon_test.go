package command

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/lavendercourse/lavendercourse/settings"
)

// Guards against a process that is ended by a signal to reload while it stops, with jobs that it has taken
// (deploy/days/planned-work.toml). A failure ends the test binary.
func TestReloadWhileStopping(t *testing.T) {
	c := &common{file: filepath.Join(t.TempDir(), "none.ini")}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.watchSettings(ctx, settings.RoleGateway, settings.Default(), zerolog.Nop())
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
}
