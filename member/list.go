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
// between the timestamps of records in the log.
const AnnouncementTTL = 30 * clock.Second

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
	// loggedAt is the timestamp in ms of the record, or 0 if a peer passed on the announcement.
	loggedAt clock.Millis
}

// List holds the entries that the records applied so far announce.
type List struct {
	offset uint64
	// newestTime is the highest timestamp in ms of the records applied.
	newestTime clock.Millis
	entries    map[string]listEntry
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
		l.newestTime = max(l.newestTime, r.Time)
		a, err := Decode(r.Data)
		if err != nil {
			continue
		}
		l.owners[lavendercourse.Incarnation(a.Incarnation)] = a.Name
		if a.Leave {
			l.remove(a.Name)
			continue
		}
		if l.entries[a.Name].announcement != a {
			l.revision++
		}
		l.entries[a.Name] = listEntry{announcement: a, loggedAt: r.Time}
	}
	// Announcements expire by the timestamps of the log alone, so that no entry is removed while the log is unavailable.
	for name, e := range l.entries {
		if l.newestTime-e.loggedAt > AnnouncementTTL {
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
