// Package member folds the announcements of entries into a list and decides which entries may act: who holds its
// quorum lease, who is gone, and whose configuration is current. It is pure.
package member

import (
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Stream is the stream of the platform's log that holds the announcements.
const Stream = "member"

// ErrRecord is returned for an announcement that cannot be read.
var ErrRecord = eris.New("malformed member record")

// Expiry is the age in ms, by the times of the log, at which an announcement that was not repeated no longer counts.
const Expiry = 30 * clock.Second

// Announcement is one record of the stream.
type Announcement struct {
	Name        string `cbor:"name"`
	Address     string `cbor:"address"`
	Incarnation string `cbor:"incarnation"`
	Region      string `cbor:"region"`
	Domain      string `cbor:"domain"`
	// Leave withdraws the entry.
	Leave bool `cbor:"leave,omitempty"`
}

// Encode returns the bytes of an announcement.
func Encode(a Announcement) ([]byte, error) {
	b, err := cbor.Marshal(a)
	if err != nil {
		return nil, eris.Wrapf(ErrRecord, "encode: %v", err)
	}
	return b, nil
}

// Decode reads an announcement.
func Decode(b []byte) (Announcement, error) {
	var a Announcement
	if err := cbor.Unmarshal(b, &a); err != nil {
		return Announcement{}, eris.Wrapf(ErrRecord, "decode: %v", err)
	}
	if a.Name == "" {
		return Announcement{}, eris.Wrap(ErrRecord, "no name")
	}
	return a, nil
}

type listed struct {
	announcement Announcement
	at           clock.Millis
}

// List is the list of entries after the records applied so far.
type List struct {
	offset  uint64
	newest  clock.Millis
	entries map[string]listed
	owners  map[lavendercourse.Incarnation]string
	// revision counts the changes of entries, so that repeated announcements cause no work.
	revision int
}

// NewList returns an empty list.
func NewList() *List {
	return &List{entries: map[string]listed{}, owners: map[lavendercourse.Incarnation]string{}}
}

// Offset returns the offset of the last record applied.
func (l *List) Offset() uint64 { return l.offset }

// Apply applies a page of the log.
func (l *List) Apply(page lavendercourse.Page) {
	for _, r := range page.Records {
		if r.Offset <= l.offset {
			continue
		}
		l.offset = r.Offset
		l.newest = max(l.newest, r.Time)
		a, err := Decode(r.Data)
		if err != nil {
			continue
		}
		l.owners[lavendercourse.Incarnation(a.Incarnation)] = a.Name
		if a.Leave {
			l.drop(a.Name)
			continue
		}
		if l.entries[a.Name].announcement != a {
			l.revision++
		}
		l.entries[a.Name] = listed{announcement: a, at: r.Time}
	}
	// Only the log decides who leaves: while it is down nobody does.
	for name, e := range l.entries {
		if l.newest-e.at > Expiry {
			l.drop(name)
		}
	}
}

func (l *List) drop(name string) {
	if _, ok := l.entries[name]; ok {
		l.revision++
		delete(l.entries, name)
	}
}

// Revision returns a number that changes when the list does.
func (l *List) Revision() int { return l.revision }

// Learn adds what a peer told, for an entry that has not read the log yet.
func (l *List) Learn(a Announcement) {
	l.owners[lavendercourse.Incarnation(a.Incarnation)] = a.Name
	if _, ok := l.entries[a.Name]; !ok && l.offset == 0 {
		l.entries[a.Name] = listed{announcement: a}
		l.revision++
	}
}

// Observe takes note of the incarnation that an entry uses now.
func (l *List) Observe(name string, inc lavendercourse.Incarnation) {
	l.owners[inc] = name
}

// Entries returns the announcements in the order of the names.
func (l *List) Entries() []Announcement {
	all := make([]Announcement, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, e.announcement)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Names returns the names of the entries in order.
func (l *List) Names() []string {
	names := make([]string, 0, len(l.entries))
	for name := range l.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Owner returns the entry that used an incarnation.
func (l *List) Owner(inc lavendercourse.Incarnation) (string, bool) {
	name, ok := l.owners[inc]
	return name, ok
}
