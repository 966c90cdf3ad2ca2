package peers

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/link"
	"github.com/lavendercourse/lavendercourse/member"
	"github.com/lavendercourse/lavendercourse/message"
)

const announcePeriod = 10 * time.Second

// EntriesConfig describes a set of stand-in entries.
type EntriesConfig struct {
	// Count is the number of entries.
	Count int
	// EntryAddress is the address, host:port, where the measured entry accepts links. Of two entries, the one with the
	// lower name dials. The names of the stand-ins start with "entry-", so the name of the measured entry must be higher.
	EntryAddress string
	// Log is the log service on which the entries are announced.
	Log lavendercourse.Log
	// Counters counts the frames of all links together.
	Counters *link.Counters
}

// Entries is a set of stand-in entries that exchange pulses with the measured entry.
type Entries struct {
	cancel context.CancelFunc
	links  []*link.Link
}

// fakeEntry is one stand-in entry. It sends and acknowledges pulses, and reports the highest configuration version that
// it has received.
type fakeEntry struct {
	clock       *clock.System
	name        string
	incarnation string
	// version is the highest configuration version that was received.
	version atomic.Uint64
}

// NewEntries announces the entries on the log and links them to the measured entry.
func NewEntries(cfg EntriesConfig) (*Entries, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Entries{cancel: cancel}
	dialer := link.NewDialer(nil)
	for i := range cfg.Count {
		e := &fakeEntry{
			clock: clock.NewSystem(), name: fmt.Sprintf("entry-%03d", i), incarnation: string(lavendercourse.NewIncarnation()),
		}
		l, err := dial(ctx, dialer, cfg.EntryAddress, link.Config{Handler: e, Counters: cfg.Counters})
		if err == nil {
			s.links = append(s.links, l)
			err = l.Send(message.TypeHello, 0, message.Hello{Kind: message.KindEntry, Name: e.name, Incarnation: e.incarnation})
		}
		if err != nil {
			s.Close()
			return nil, eris.Wrapf(ErrStart, "entry %d: %v", i, err)
		}
		go func() {
			time.Sleep(heartbeatPeriod * time.Duration(i) / time.Duration(cfg.Count))
			e.run(ctx, l, cfg.Log)
		}()
	}
	return s, nil
}

// Close closes all links.
func (s *Entries) Close() {
	s.cancel()
	for _, l := range s.links {
		l.Close()
	}
}

// run sends a pulse every second and an announcement every announcePeriod until the link or ctx ends.
func (e *fakeEntry) run(ctx context.Context, l *link.Link, log lavendercourse.Log) {
	t := time.NewTicker(heartbeatPeriod)
	defer t.Stop()
	var announced time.Time
	for {
		if time.Since(announced) > announcePeriod {
			announced = time.Now()
			e.announce(ctx, log)
		}
		p := message.Pulse{Stamp: e.clock.Now(), Version: e.version.Load()}
		if l.Send(message.TypePulse, 0, p) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (e *fakeEntry) announce(ctx context.Context, log lavendercourse.Log) {
	b, err := member.Encode(member.Announcement{Name: e.name, Incarnation: e.incarnation})
	if err != nil {
		return
	}
	// The error is ignored: the announcement is repeated after announcePeriod.
	_, _ = log.Append(ctx, member.Stream, b)
}

// HandleFrame implements link.Handler. It acknowledges pulses and ignores all other frames.
func (e *fakeEntry) HandleFrame(l *link.Link, f message.Frame) error {
	if f.Type != message.TypePulse {
		return nil
	}
	var p message.Pulse
	if err := f.DecodeBody(&p); err != nil {
		return err
	}
	e.version.Store(max(e.version.Load(), p.Version))
	return l.Send(message.TypeAck, 0, message.Ack{Stamp: p.Stamp, Version: e.version.Load()})
}

// Closed implements link.Handler. It does nothing, since the measured process detects a broken link itself.
func (e *fakeEntry) Closed(*link.Link) {}
