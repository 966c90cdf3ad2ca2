package entry

import (
	"context"
	"time"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/config"
	"github.com/lavendercourse/lavendercourse/event"
	"github.com/lavendercourse/lavendercourse/member"
)

const readLimit = 500

// follower reads the streams of the platform's log and keeps this entry announced there.
type follower struct {
	*core
	down      bool
	announced clock.Millis
	// unannounced tells whether the last announcement failed, so that a run of failures is logged once.
	unannounced bool
	// snapshotted is the time at which the newest snapshot was seen or the entry started.
	snapshotted clock.Millis
	snapshotAt  uint64
}

func newFollower(c *core) *follower {
	return &follower{core: c, snapshotted: c.clock.Now()}
}

// run follows the log until the context ends.
func (f *follower) run(ctx context.Context) error {
	ticker := time.NewTicker(logPeriod.Duration())
	defer ticker.Stop()
	for {
		f.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-f.outdated:
		}
	}
}

func (f *follower) round(ctx context.Context) {
	f.announceSelf(ctx)
	err := f.readConfig(ctx)
	if err == nil {
		err = f.readMembers(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil && !f.down {
		event.LogUnavailable.On(f.logger).Err(err).Send()
	}
	if err == nil && f.down {
		event.LogAvailable.On(f.logger).Send()
	}
	f.down = err != nil
	if err == nil {
		f.snapshot(ctx)
	}
}

// readConfig reads the configuration up to its end. A read that returns nothing new confirms that the configuration was
// current when the read began.
func (f *follower) readConfig(ctx context.Context) error {
	for {
		f.mu.Lock()
		began, from := f.clock.Now(), f.state.Offset()+1
		f.mu.Unlock()
		page, err := f.cfg.Log.Read(ctx, config.Stream, from, readLimit)
		if err != nil {
			return err
		}
		if f.applyConfig(began, page) {
			return nil
		}
	}
}

func (f *follower) applyConfig(began clock.Millis, page lavendercourse.Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, bad := f.state.Version(), f.state.Malformed()
	f.state.Apply(page)
	if n := f.state.Malformed() - bad; n > 0 {
		event.ConfigSkipped.On(f.logger).Int("records", n).Uint64("offset", f.state.Offset()).Send()
	}
	if f.state.Version() != before {
		f.logChanges(before)
		f.configured()
	}
	if f.state.SnapshotOffset() != f.snapshotAt {
		f.snapshotAt, f.snapshotted = f.state.SnapshotOffset(), f.clock.Now()
	}
	atEnd := f.state.Offset()+1 >= page.Next
	now := f.clock.Now()
	if atEnd && f.state.Based() {
		f.quorum.ReadLog(began)
	}
	f.refresh(now)
	f.pump(now)
	return atEnd
}

func (f *follower) readMembers(ctx context.Context) error {
	for {
		f.mu.Lock()
		from := f.list.Offset() + 1
		f.mu.Unlock()
		page, err := f.cfg.Log.Read(ctx, member.Stream, from, readLimit)
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.list.Apply(page)
		atEnd := f.list.Offset()+1 >= page.Next
		f.relisted()
		f.refresh(f.clock.Now())
		f.mu.Unlock()
		if atEnd {
			return nil
		}
	}
}

// announceSelf appends an announcement when one is due. A lost answer does no harm: the next one follows soon.
func (f *follower) announceSelf(ctx context.Context) {
	f.mu.Lock()
	now := f.clock.Now()
	due := f.announce || now-f.announced >= announcePeriod
	f.announce = false
	a := f.announcement()
	stopping := f.stopping
	f.mu.Unlock()
	if !due || stopping {
		return
	}
	err := f.append(ctx, a)
	if err == nil {
		f.announced = now
	} else if !f.unannounced && ctx.Err() == nil {
		event.AppendFailed.On(f.logger).Str("stream", member.Stream).Err(err).Send()
	}
	f.unannounced = err != nil
}

// leave withdraws this entry from the list.
func (f *follower) leave(ctx context.Context) {
	f.mu.Lock()
	a := f.announcement()
	f.mu.Unlock()
	a.Leave = true
	// If the log is down, the announcement expires by itself once it is back.
	_ = f.append(ctx, a)
}

func (f *follower) announcement() member.Announcement {
	return member.Announcement{
		Name: f.cfg.Name, Address: f.cfg.Advertise, Incarnation: string(f.jobs.Incarnation()),
		Region: f.cfg.Region, Domain: f.cfg.Domain,
	}
}

func (f *follower) append(ctx context.Context, a member.Announcement) error {
	b, err := member.Encode(a)
	if err != nil {
		return err
	}
	_, err = f.cfg.Log.Append(ctx, member.Stream, b)
	return err
}

// snapshot appends the whole configuration before half of the retention has passed since the last snapshot. Only the
// first entry of the list does so; two snapshots do no harm.
func (f *follower) snapshot(ctx context.Context) {
	f.mu.Lock()
	now := f.clock.Now()
	due := f.state.Based() && f.state.Version() > 0 && now-f.snapshotted > f.cfg.Retention/2 &&
		len(f.names) > 0 && f.names[0] == f.cfg.Name
	snap := f.state.Snapshot()
	f.mu.Unlock()
	if !due {
		return
	}
	b, err := config.Encode(config.Record{Snapshot: &snap})
	if err != nil {
		return
	}
	if _, err := f.cfg.Log.Append(ctx, config.Stream, b); err == nil {
		event.ConfigSnapshot.On(f.logger).Uint64("version", snap.Version).Send()
	}
}
