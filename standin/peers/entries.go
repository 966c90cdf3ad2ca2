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

// EntriesConfig describes a set of entries.
type EntriesConfig struct {
	Count int
	// Entry is the address of the links of the measured entry. Its name must come after "entry-", so that the stand-ins
	// dial it.
	Entry    string
	Log      lavendercourse.Log
	Counters *link.Counters
}

// Entries is a set of linked entries that exchange heartbeats with the measured one.
type Entries struct {
	cancel context.CancelFunc
	links  []*link.Link
}

// fakeEntry acknowledges pulses and tells back the configuration version that it hears.
type fakeEntry struct {
	clock       *clock.System
	name        string
	incarnation string
	version     atomic.Uint64
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
		l, err := dialer.Dial(ctx, cfg.Entry, link.Config{Handler: e, Counters: cfg.Counters})
		if err == nil {
			s.links = append(s.links, l)
			err = l.Send(message.TypeHello, 0, message.Hello{Kind: message.KindEntry, Name: e.name, Incarnation: e.incarnation})
		}
		if err != nil {
			s.Close()
			return nil, eris.Wrapf(ErrPeers, "entry %d: %v", i, err)
		}
		go func() {
			time.Sleep(beatPeriod * time.Duration(i) / time.Duration(cfg.Count))
			e.run(ctx, l, cfg.Log)
		}()
	}
	return s, nil
}

// Close ends all links.
func (s *Entries) Close() {
	s.cancel()
	for _, l := range s.links {
		l.Close()
	}
}

func (e *fakeEntry) run(ctx context.Context, l *link.Link, log lavendercourse.Log) {
	t := time.NewTicker(beatPeriod)
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
	// A lost announcement is repeated in ten seconds.
	_, _ = log.Append(ctx, member.Stream, b)
}

// HandleFrame acknowledges a pulse.
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

// Closed does nothing: the measured process sees it.
func (e *fakeEntry) Closed(*link.Link) {}
