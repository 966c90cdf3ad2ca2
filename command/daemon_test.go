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

// Guards against a SIGHUP that ends the process while it stops and still has accepted jobs, as in
// deploy/days/planned-work.toml. A failure ends the test binary.
func TestReloadWhileStopping(t *testing.T) {
	g := &globals{settingsFile: filepath.Join(t.TempDir(), "none.ini")}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g.watchSettings(ctx, settings.RoleGateway, settings.Default(), zerolog.Nop())
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
}
