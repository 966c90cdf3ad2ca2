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

const maxPageRecords = 500

// logFollower reads the streams of the platform's log and announces this entry there.
type logFollower struct {
	*core
	logDown       bool
	lastAnnounced clock.Millis
	// announceFailed tells whether the last announcement failed, so that a series of failures is logged once.
	announceFailed bool
	// lastSnapshot is the time in ms at which the newest snapshot was read or, before that, the entry started.
	lastSnapshot   clock.Millis
	snapshotOffset uint64
}

func newLogFollower(c *core) *logFollower {
	return &logFollower{core: c, lastSnapshot: c.clock.Now()}
}

// run follows the log until ctx ends.
func (f *logFollower) run(ctx context.Context) error {
	ticker := time.NewTicker(logReadPeriod.Duration())
	defer ticker.Stop()
	for {
		f.poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-f.configOutdated:
		}
	}
}

func (f *logFollower) poll(ctx context.Context) {
	f.announceSelf(ctx)
	err := f.readConfig(ctx)
	if err == nil {
		err = f.readMembers(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil && !f.logDown {
		event.LogUnavailable.On(f.logger).Err(err).Send()
	}
	if err == nil && f.logDown {
		event.LogAvailable.On(f.logger).Send()
	}
	f.logDown = err != nil
	if err == nil {
		f.snapshotIfDue(ctx)
	}
}

// readConfig reads the configuration stream to its end. Reaching the end confirms that the configuration was current
// when the last read began.
func (f *logFollower) readConfig(ctx context.Context) error {
	for {
		f.mu.Lock()
		readAt, from := f.clock.Now(), f.configState.Offset()+1
		f.mu.Unlock()
		page, err := f.cfg.Log.Read(ctx, config.Stream, from, maxPageRecords)
		if err != nil {
			return err
		}
		if f.applyConfigPage(readAt, page) {
			return nil
		}
	}
}

// applyConfigPage applies a page that was requested at readAt, in ms, and reports whether it ends the stream.
func (f *logFollower) applyConfigPage(readAt clock.Millis, page lavendercourse.Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	versionBefore, malformedBefore := f.configState.Version(), f.configState.Malformed()
	f.configState.Apply(page)
	if n := f.configState.Malformed() - malformedBefore; n > 0 {
		event.ConfigSkipped.On(f.logger).Int("records", n).Uint64("offset", f.configState.Offset()).Send()
	}
	if f.configState.Version() != versionBefore {
		f.logConfigChanges(versionBefore)
		f.applyConfigChange()
	}
	if f.configState.SnapshotOffset() != f.snapshotOffset {
		f.snapshotOffset, f.lastSnapshot = f.configState.SnapshotOffset(), f.clock.Now()
	}
	atEnd := f.configState.Offset()+1 >= page.Next
	now := f.clock.Now()
	if atEnd && f.configState.Complete() {
		f.quorum.ConfirmedByLog(readAt)
	}
	f.refreshQuorumState(now)
	f.startWaiting(now)
	return atEnd
}

func (f *logFollower) readMembers(ctx context.Context) error {
	for {
		f.mu.Lock()
		from := f.members.Offset() + 1
		f.mu.Unlock()
		page, err := f.cfg.Log.Read(ctx, member.Stream, from, maxPageRecords)
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.members.Apply(page)
		atEnd := f.members.Offset()+1 >= page.Next
		f.applyListChange()
		f.refreshQuorumState(f.clock.Now())
		f.mu.Unlock()
		if atEnd {
			return nil
		}
	}
}

// announceSelf appends an announcement if one is due. If the response is lost no harm is done, since the announcement
// is repeated every announcePeriod.
func (f *logFollower) announceSelf(ctx context.Context) {
	f.mu.Lock()
	now := f.clock.Now()
	due := f.announceDue || now-f.lastAnnounced >= announcePeriod
	f.announceDue = false
	a := f.announcement()
	stopping := f.stopping
	f.mu.Unlock()
	if !due || stopping {
		return
	}
	err := f.appendAnnouncement(ctx, a)
	if err == nil {
		f.lastAnnounced = now
	} else if !f.announceFailed && ctx.Err() == nil {
		event.AppendFailed.On(f.logger).Str("stream", member.Stream).Err(err).Send()
	}
	f.announceFailed = err != nil
}

// withdraw removes this entry from the entries list.
func (f *logFollower) withdraw(ctx context.Context) {
	f.mu.Lock()
	a := f.announcement()
	f.mu.Unlock()
	a.Leave = true
	// If the log is down, the last announcement expires by itself once the log is back.
	_ = f.appendAnnouncement(ctx, a)
}

func (f *logFollower) announcement() member.Announcement {
	return member.Announcement{
		Name: f.cfg.Name, Address: f.cfg.Advertise, Incarnation: string(f.jobs.Incarnation()),
		Region: f.cfg.Region, Domain: f.cfg.Domain,
	}
}

func (f *logFollower) appendAnnouncement(ctx context.Context, a member.Announcement) error {
	b, err := member.Encode(a)
	if err != nil {
		return err
	}
	_, err = f.cfg.Log.Append(ctx, member.Stream, b)
	return err
}

// snapshotIfDue appends a snapshot of the configuration when half of the log's retention has passed since the last one.
// Only the first entry of the list does this; a second snapshot does no harm.
func (f *logFollower) snapshotIfDue(ctx context.Context) {
	f.mu.Lock()
	now := f.clock.Now()
	due := f.configState.Complete() && f.configState.Version() > 0 && now-f.lastSnapshot > f.cfg.Retention/2 &&
		len(f.entryNames) > 0 && f.entryNames[0] == f.cfg.Name
	snap := f.configState.Snapshot()
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
