package peers

import (
	"context"
	"time"

	"github.com/lavendercourse/lavendercourse/link"
)

const (
	// dialPeriod is the time between two dials of an address, as in a real agent.
	dialPeriod = 500 * time.Millisecond
	// maxDials limits how often an address is dialed. Each dial ends after 3 s at the latest.
	maxDials = 10
)

// dial opens a link to the measured entry. Like a real agent or entry, it dials again after a dial that failed.
func dial(ctx context.Context, dialer *link.Dialer, address string, cfg link.Config) (*link.Link, error) {
	for n := 1; ; n++ {
		l, err := dialer.Dial(ctx, address, cfg)
		if err == nil || n == maxDials {
			return l, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(dialPeriod):
		}
	}
}
