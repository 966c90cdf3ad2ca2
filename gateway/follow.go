package gateway

import (
	"context"
	"slices"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/daemon"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/message"
	"github.com/lavendercourse/lavendercourse/roster"
)

// Sources of configuration records, as logged.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// followConfig keeps the configuration up to date with the records that operators publish to the store. While the
// store does not answer, the last known configuration stays in force, and newer records are requested from other
// gateways.
func (g *Gateway) followConfig(ctx context.Context) error {
	reader, outageLog := daemon.NewStreamReader(g.cfg.Store, g.cfg.ConfigStream), daemon.NewOutageLog(g.log, g.cfg.ConfigStream)
	failures := 0
	for ctx.Err() == nil {
		g.mu.Lock()
		next := g.routes.Next()
		g.mu.Unlock()
		apply, err := reader.Read(ctx, next, longPollTimeout)
		failed := outageLog.RecordResult(ctx, err)
		g.mu.Lock()
		g.storeAnswers = !failed
		g.mu.Unlock()
		if !failed {
			failures = 0
			g.awaitCancels(ctx)
			g.applyConfig(sourceStore, func() []error { return apply(g.routes) })
			continue
		}
		// After the first failure only the connection may be silent, and the next read uses another one.
		if failures++; failures > 1 {
			daemon.Sleep(ctx, storeRetryInterval)
		}
	}
	return ctx.Err()
}

// applyConfig calls apply, which changes the routes, and logs what changed. source says where the records come from.
func (g *Gateway) applyConfig(source string, apply func() []error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	version, drained, next := g.routes.Version(), g.routes.DrainedDomains(), g.routes.Next()
	for _, err := range apply() {
		g.log.On(event.ConfigSkipped).Str("source", source).Err(err).Send()
	}
	if v := g.routes.Version(); v != version {
		g.log.On(event.QueuesChanged).Int64("version", v).Int64("before", version).Uint64("next", g.routes.Next()).Str("source", source).Send()
	}
	current := g.routes.DrainedDomains()
	for _, d := range current {
		if !slices.Contains(drained, d) {
			g.log.On(event.DomainDrained).Str("domain", d).Uint64("next", g.routes.Next()).Str("source", source).Send()
		}
	}
	for _, d := range drained {
		if !slices.Contains(current, d) {
			g.log.On(event.DomainRestored).Str("domain", d).Uint64("next", g.routes.Next()).Str("source", source).Send()
		}
	}
	if !slices.Equal(drained, current) {
		for _, r := range g.runners {
			g.sendDrain(r)
		}
	}
	g.scheduler.SetDrained(current)
	g.perform(g.scheduler.Dispatch(g.cfg.Clock.Now()))
	g.updateReady()
	if g.routes.Next() != next && source == sourceStore {
		g.sendDigests()
	}
}

// syncPeers sends digests, which also serve as heartbeats, and requests records from a peer once records that this
// gateway has not read were announced pullDelay ago.
func (g *Gateway) syncPeers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sendDigests()
	if g.aheadSince != 0 && g.cfg.Clock.Now()-g.aheadSince >= pullDelay {
		if p := g.peers[g.aheadPeer]; p != nil {
			_ = p.link.Send(message.TypePull, 0, message.Digest{NextOffset: g.routes.Next()})
		}
		g.aheadSince = 0
	}
}

// sendDigests sends each peer the offset up to which this gateway has read, and the list of gateways if that has
// changed since it was last sent to the peer. g.mu must be held.
func (g *Gateway) sendDigests() {
	for _, p := range g.peers {
		d := message.Digest{NextOffset: g.routes.Next()}
		if p.rosterVersion != g.roster.Version() {
			p.rosterVersion, d.Peers = g.roster.Version(), g.roster.Peers()
		}
		_ = p.link.Send(message.TypeDigest, 0, d)
	}
}

// handlePeerFrame handles a frame from another gateway. g.mu must be held.
func (g *Gateway) handlePeerFrame(l *link.Link, name string, f message.Frame) error {
	now := g.cfg.Clock.Now()
	g.scheduler.PeerHeard(now, name)
	switch f.Type {
	case message.TypeDigest:
		var d message.Digest
		if err := f.DecodeBody(&d); err != nil {
			return err
		}
		g.roster.Learn(d.Peers)
		if d.NextOffset <= g.routes.Next() {
			return nil
		}
		if g.aheadSince == 0 {
			g.aheadSince = now
		}
		g.aheadPeer = name
	case message.TypeVerdict:
		var v message.Verdict
		if err := f.DecodeBody(&v); err != nil {
			return err
		}
		g.scheduler.HandleVerdict(now, v)
	case message.TypeCancel:
		var c message.Cancel
		if err := f.DecodeBody(&c); err != nil {
			return err
		}
		for _, job := range c.Jobs {
			g.perform(g.scheduler.HandleCancel(now, job))
		}
	case message.TypeClaim, message.TypeClaimAnswer:
		// The end of a link that was replaced may still deliver old frames.
		if p := g.peers[name]; p == nil || p.link != l {
			return nil
		}
		return g.handleClaimFrame(now, name, f)
	case message.TypePull:
		var d message.Digest
		if err := f.DecodeBody(&d); err != nil {
			return err
		}
		if d.NextOffset < g.routes.Next() {
			c := g.routes.Contents()
			return l.Send(message.TypeRecords, 0, message.Records{Settings: c.Records, End: c.End})
		}
	case message.TypeRecords:
		var r message.Records
		if err := f.DecodeBody(&r); err != nil {
			return err
		}
		if !g.cancelsWereAwaited() {
			// A wait would block the link. The next digest makes this gateway request the records again.
			return nil
		}
		// applyConfig locks g.mu itself.
		g.mu.Unlock()
		defer g.mu.Lock()
		g.applyConfig(sourcePeer, func() []error { return g.routes.Replace(contentsOf(r)) })
	}
	return nil
}

// announce writes the address of this gateway to the store, then reads those of the others periodically.
func (g *Gateway) announce(ctx context.Context) error {
	announced, outageLog := false, daemon.NewOutageLog(g.log, g.cfg.GatewayStream)
	for ctx.Err() == nil {
		if !announced {
			announced = !outageLog.RecordResult(ctx, g.cfg.Store.Put(ctx, g.cfg.GatewayStream, g.cfg.Name, []byte(g.cfg.Advertise)))
		}
		wait := announceRetryInterval
		if announced {
			c, err := g.cfg.Store.Contents(ctx, g.cfg.GatewayStream)
			if !outageLog.RecordResult(ctx, err) {
				wait = rosterReadPeriod
				g.mu.Lock()
				g.roster.Learn(roster.DecodePeers(c))
				g.mu.Unlock()
			}
		}
		daemon.Sleep(ctx, wait)
	}
	return ctx.Err()
}

func contentsOf(r message.Records) lavendercourse.Contents {
	return lavendercourse.Contents{Records: r.Settings, End: r.End}
}
