// Package member keeps the membership of the entries. List is built from the announcements in the platform's log.
// Quorum decides whether an entry holds its quorum lease, whether another incarnation is gone, and whether the entry's
// configuration is current. The package does no I/O, reads no clock and starts no goroutine: the time and everything
// received are passed in.
package member

import (
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Stream is the name of the stream of the platform's log that holds the announcements.
const Stream = "member"

// ErrMalformedRecord is returned for an announcement that cannot be encoded or decoded.
var ErrMalformedRecord = eris.New("malformed member record")

// AnnouncementTTL is the time in ms for which an announcement remains valid unless it is repeated. Its age is measured
// between the timestamps of records in the log, without the gaps described at MaxRecordGap.
const AnnouncementTTL = 30 * clock.Second

// MaxRecordGap is the time in ms between two records of the log above which it does not count as silence of the listed
// entries. Each announces itself every 10 s, so no record for two such periods means that nobody could append, or that
// the log's time of day was set. It counts if at most one entry is listed, which has no majority besides itself: the
// entry that joins would otherwise wait for an entry that may have ended long ago.
const MaxRecordGap = 20 * clock.Second

// Announcement is a record of the stream: an entry announces itself or leaves.
type Announcement struct {
	Name        string `cbor:"name"`
	Address     string `cbor:"address"`
	Incarnation string `cbor:"incarnation"`
	Region      string `cbor:"region"`
	Domain      string `cbor:"domain"`
	// Leave removes the entry from the list.
	Leave bool `cbor:"leave,omitempty"`
}

// Encode returns an announcement as CBOR.
func Encode(a Announcement) ([]byte, error) {
	b, err := cbor.Marshal(a)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformedRecord, "encode: %v", err)
	}
	return b, nil
}

// Decode reads an announcement from CBOR. An announcement without a name is malformed.
func Decode(b []byte) (Announcement, error) {
	var a Announcement
	if err := cbor.Unmarshal(b, &a); err != nil {
		return Announcement{}, eris.Wrapf(ErrMalformedRecord, "decode: %v", err)
	}
	if a.Name == "" {
		return Announcement{}, eris.Wrap(ErrMalformedRecord, "announcement has no name")
	}
	return a, nil
}

type listEntry struct {
	announcement Announcement
	// loggedAt is the value of List.elapsed at the record, or 0 if a peer passed on the announcement.
	loggedAt clock.Millis
}

// List holds the entries that the records applied so far announce.
type List struct {
	offset uint64
	// newestTime is the highest timestamp in ms of the records applied since the log's time of day was last set back.
	newestTime clock.Millis
	// elapsed is the time in ms by which announcements expire: the timestamp of the first record and the time since then,
	// without the gaps described at MaxRecordGap.
	elapsed clock.Millis
	entries map[string]listEntry
	// owners holds the name of the entry for each incarnation, also for incarnations that have ended.
	owners map[lavendercourse.Incarnation]string
	// revision counts the changes of entries, so that callers do nothing for a repeated announcement.
	revision int
}

// NewList returns an empty list.
func NewList() *List {
	return &List{entries: map[string]listEntry{}, owners: map[lavendercourse.Incarnation]string{}}
}

// Offset returns the offset of the last record applied.
func (l *List) Offset() uint64 { return l.offset }

// Apply applies a page of the log. Records up to the current offset and malformed records are skipped.
func (l *List) Apply(page lavendercourse.Page) {
	for _, r := range page.Records {
		if r.Offset <= l.offset {
			continue
		}
		l.offset = r.Offset
		l.advance(r.Time)
		// Every record is followed by the expiry of entries, since advance depends on the list and so must not depend on
		// where the pages end.
		l.applyRecord(r)
		l.expire()
	}
}

// advance adds the time since the record before to elapsed.
func (l *List) advance(at clock.Millis) {
	since := at - l.newestTime
	switch {
	case l.newestTime == 0:
		l.elapsed = at
	case since > MaxRecordGap && len(l.entries) > 1, since < -MaxRecordGap:
		// An outage of the log, or a step of its time of day.
	case since > 0:
		l.elapsed += since
	default:
		return
	}
	l.newestTime = at
}

func (l *List) applyRecord(r lavendercourse.Record) {
	a, err := Decode(r.Data)
	if err != nil {
		return
	}
	l.owners[lavendercourse.Incarnation(a.Incarnation)] = a.Name
	if a.Leave {
		l.remove(a.Name)
		return
	}
	if l.entries[a.Name].announcement != a {
		l.revision++
	}
	l.entries[a.Name] = listEntry{announcement: a, loggedAt: l.elapsed}
}

// expire removes the entries whose announcement has expired. It goes by the timestamps of the log alone, so that no
// entry is removed while the log is unavailable.
func (l *List) expire() {
	for name, e := range l.entries {
		if l.elapsed-e.loggedAt > AnnouncementTTL {
			l.remove(name)
		}
	}
}

func (l *List) remove(name string) {
	if _, ok := l.entries[name]; ok {
		l.revision++
		delete(l.entries, name)
	}
}

// Revision returns a number that increases with each change of the list.
func (l *List) Revision() int { return l.revision }

// AddFromPeer adds the announcement of an entry that a peer passed on. Once a record of the log was applied, it only
// records whose incarnation it is.
func (l *List) AddFromPeer(a Announcement) {
	l.owners[lavendercourse.Incarnation(a.Incarnation)] = a.Name
	if _, ok := l.entries[a.Name]; !ok && l.offset == 0 {
		l.entries[a.Name] = listEntry{announcement: a}
		l.revision++
	}
}

// SetOwner records that the named entry uses the given incarnation.
func (l *List) SetOwner(name string, inc lavendercourse.Incarnation) {
	l.owners[inc] = name
}

// Entries returns the announcements of the listed entries, sorted by name.
func (l *List) Entries() []Announcement {
	all := make([]Announcement, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, e.announcement)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Names returns the names of the listed entries, sorted.
func (l *List) Names() []string {
	names := make([]string, 0, len(l.entries))
	for name := range l.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Owner returns the name of the entry that uses or used an incarnation, and whether it is known.
func (l *List) Owner(inc lavendercourse.Incarnation) (string, bool) {
	name, ok := l.owners[inc]
	return name, ok
}
