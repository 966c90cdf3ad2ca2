package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against a system that breaks a promise during the demo, and against CheckPromises missing a duplicate start
// in a real journal.
func TestDemoRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	r, err := Run(ctx, Config{Progress: io.Discard, Logger: zerolog.Nop(), Seed: 1})
	assert.NilError(t, err)
	for _, f := range CheckPromises(r) {
		assert.Assert(t, f.Held, "%+v", f)
	}
	r.Journal = append(r.Journal, r.Journal[0])
	assert.Assert(t, !Held(CheckPromises(r)))
}
