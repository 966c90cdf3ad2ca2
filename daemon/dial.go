package daemon

import (
	"context"
	"net"
	"sync"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/roster"
)

// GatewayDialerConfig holds the settings of a GatewayDialer.
type GatewayDialerConfig struct {
	// Mu guards Roster.
	Mu sync.Locker
	// Roster decides which addresses to dial and when.
	Roster *roster.Roster
	Clock  lavendercourse.Clock
	Log    *event.Log
	// Link is the configuration of the links.
	Link link.Config
	// Hello is the first message sent on each link.
	Hello message.Hello
}

// GatewayDialer dials the gateways that a daemon should be linked to and is not.
type GatewayDialer struct {
	cfg    GatewayDialerConfig
	dialer *link.Dialer
	// failing tells for each address whether the last dial failed, so that only the first of several failures is
	// logged. It is guarded by GatewayDialerConfig.Mu.
	failing map[string]bool
}

// NewGatewayDialer returns a GatewayDialer with no dial in progress.
func NewGatewayDialer(cfg GatewayDialerConfig) *GatewayDialer {
	d := &GatewayDialer{cfg: cfg, failing: map[string]bool{}}
	d.dialer = link.NewDialer(d.connect)
	return d
}

// DialDue starts a dial of each address that is due. It does not wait for the dials to end.
func (d *GatewayDialer) DialDue(ctx context.Context) {
	d.cfg.Mu.Lock()
	due := d.cfg.Roster.StartDials(d.cfg.Clock.Now())
	d.cfg.Mu.Unlock()
	for _, address := range due {
		go d.dial(ctx, address)
	}
}

// connect opens a TCP connection with the roster's dial time-out.
func (d *GatewayDialer) connect(ctx context.Context, network, address string) (net.Conn, error) {
	d.cfg.Mu.Lock()
	timeout := d.cfg.Roster.DialTimeout(address)
	d.cfg.Mu.Unlock()
	dialer := net.Dialer{Timeout: timeout.Duration()}
	return dialer.DialContext(ctx, network, address)
}

// dial makes a link to an address and sends the hello on it.
func (d *GatewayDialer) dial(ctx context.Context, address string) {
	l, err := d.dialer.Dial(ctx, address, d.cfg.Link)
	d.cfg.Mu.Lock()
	failing := d.failing[address]
	d.failing[address] = err != nil
	if err != nil {
		d.cfg.Roster.EndDial(d.cfg.Clock.Now(), address)
	} else {
		d.cfg.Roster.Connected(d.cfg.Clock.Now(), address)
	}
	d.cfg.Mu.Unlock()
	if err != nil {
		if !failing && ctx.Err() == nil {
			d.cfg.Log.On(event.DialFailed).Str("address", address).Err(err).Send()
		}
		return
	}
	if l.Send(message.TypeHello, 0, d.cfg.Hello) != nil {
		l.Close()
	}
}
