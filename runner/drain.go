package runner

import (
	"context"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/route"
)

// followDrain keeps up to date whether the failure domain of the runner is out of service. Gateways tell that on their
// links. While none of them reads the store, the runner does: their orders may be based on settings that no longer hold.
func (r *Runner) followDrain(ctx context.Context) error {
	reader, outageLog := daemon.NewStreamReader(r.cfg.Store, r.cfg.ConfigStream), daemon.NewOutageLog(r.log, r.cfg.ConfigStream)
	settings := route.New(r.cfg.Decode)
	for ctx.Err() == nil {
		daemon.Sleep(ctx, drainReadPeriod)
		if !r.needsStore() {
			// All changes until the next read may be more than the newest records.
			reader.Reset()
			continue
		}
		// A failed read is repeated after drainReadPeriod.
		_ = outageLog.RecordResult(ctx, r.readDrain(ctx, reader, settings))
	}
	return ctx.Err()
}

// readDrain reads the settings from the store, and learns from them whether the failure domain is out of service.
func (r *Runner) readDrain(ctx context.Context, reader *daemon.StreamReader, settings *route.Table) error {
	apply, err := reader.Read(ctx, settings.Next(), 0)
	if err != nil {
		return err
	}
	for _, err := range apply(settings) {
		r.log.On(event.ConfigSkipped).Str("source", sourceStore).Err(err).Send()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learnDrain(r.cfg.Clock.Now(), settings.Next(), settings.Drained(r.cfg.Domain), sourceStore)
	return nil
}

// needsStore tells whether a gateway may order runs while no gateway that is linked reads the store.
func (r *Runner) needsStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	enrolled := false
	for _, g := range r.gateways {
		if g.current {
			return false
		}
		enrolled = enrolled || g.enrolled
	}
	return enrolled
}

// learnDrain records whether the failure domain is out of service after all records before the offset next. What is older
// than the newest known state is ignored. The caller holds the mutex.
func (r *Runner) learnDrain(now clock.Millis, next uint64, drained bool, source string) {
	if next <= r.drainOffset {
		return
	}
	r.drainOffset = next
	if drained == r.table.DomainDrained() {
		return
	}
	r.table.SetDomainDrained(drained)
	e := event.DomainRestored
	if drained {
		e = event.DomainDrained
	}
	r.log.On(e).Str("domain", r.cfg.Domain).Uint64("next", next).Str("source", source).Send()
	r.reportToAll(now)
}

// handleDrain handles what a gateway knows of the failure domain.
func (r *Runner) handleDrain(now clock.Millis, g *gatewayLink, name string, d message.Drain) {
	g.current = d.Current
	r.learnDrain(now, d.NextOffset, d.Drained, name)
}
