package member

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Defaults of Config.
const (
	DefaultLease = 5 * clock.Second
	DefaultGone  = 10 * clock.Second
	DefaultFresh = 2 * clock.Second
)

// Config holds the bounds of a quorum. Zero values select the defaults.
type Config struct {
	// Name of this entry.
	Name string
	// Lease is the time in ms for which acknowledged pulses allow the entry to answer for its jobs.
	Lease clock.Millis
	// Gone is the time in ms without a sign of life after which an incarnation counts as gone. It must be well above
	// Lease, since the owner must have stopped answering by then.
	Gone clock.Millis
	// Fresh is the time in ms for which a confirmation of the configuration holds.
	Fresh clock.Millis
}

type acknowledged struct {
	// stamp is the time at which the acknowledged pulse was sent, by the clock of this entry.
	stamp   clock.Millis
	version uint64
	vouched bool
}

// Quorum is what an entry knows of the other entries by their acknowledgements.
type Quorum struct {
	cfg   Config
	acks  map[string]acknowledged
	heard map[lavendercourse.Incarnation]clock.Millis
	// versions holds the configuration version that each entry has told last. It falls when an entry restarts.
	versions map[string]uint64
	// log is the time at which the last read began that showed the configuration to be current.
	log clock.Millis
	up  clock.Millis
	// held and until are the lease as last worked out by Lapsed.
	held  bool
	until clock.Millis
	// settled tells whether this entry can vouch for its configuration version, see Settled.
	settled bool
	// best is the latest start of the lease so far. What a majority of an earlier list has acknowledged stays true when
	// the list grows.
	best clock.Millis
	// since is the time of the last lapse. Pulses sent until then named an earlier incarnation.
	since clock.Millis
}

// NewQuorum returns a quorum in which nothing was heard yet.
func NewQuorum(now clock.Millis, cfg Config) *Quorum {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.Gone == 0 {
		cfg.Gone = DefaultGone
	}
	if cfg.Fresh == 0 {
		cfg.Fresh = DefaultFresh
	}
	q := &Quorum{
		cfg: cfg, acks: map[string]acknowledged{}, versions: map[string]uint64{},
		heard: map[lavendercourse.Incarnation]clock.Millis{}, log: -cfg.Fresh - 1, up: now,
	}
	q.best = q.never()
	return q
}

// Acknowledged takes note of an answer to the pulse sent at stamp. Vouched tells whether the other entry was settled.
func (q *Quorum) Acknowledged(name string, stamp clock.Millis, version uint64, vouched bool) {
	if old, ok := q.acks[name]; stamp <= q.since || (ok && old.stamp >= stamp) {
		return
	}
	q.acks[name] = acknowledged{stamp: stamp, version: version, vouched: vouched}
	q.Told(name, version)
}

// Told takes note of the configuration version of another entry.
func (q *Quorum) Told(name string, version uint64) {
	q.versions[name] = version
}

// Heard takes note of a sign of life of an incarnation.
func (q *Quorum) Heard(now clock.Millis, inc lavendercourse.Incarnation) {
	q.heard[inc] = now
}

// ReadLog takes note that a read of the log that began at the given time showed the configuration to be current.
func (q *Quorum) ReadLog(began clock.Millis) {
	q.log = max(q.log, began)
	q.settled = true
}

// Settled tells whether the configuration of this entry was confirmed since it started, by the log or by a majority that
// does not include itself. Until then it may have forgotten a version that it had adopted before a restart, so that its
// word that it knows of no newer one means nothing.
func (q *Quorum) Settled() bool { return q.settled }

// Held tells whether this entry may answer for its jobs.
func (q *Quorum) Held(now clock.Millis, list []string) bool {
	return !q.ended(now) && now-max(q.best, q.LeaseStart(now, list)) <= q.cfg.Lease
}

// Lease returns the time in ms for which acknowledged pulses allow the entry to answer.
func (q *Quorum) Lease() clock.Millis { return q.cfg.Lease }

// FreshFor returns the time in ms for which a confirmation of the configuration holds.
func (q *Quorum) FreshFor() clock.Millis { return q.cfg.Fresh }

// Start returns the start of the lease as last worked out by Lapsed.
func (q *Quorum) Start() clock.Millis { return q.best }

// Lapsed tells whether the lease has ended since the last call; the entry must then take a new incarnation. It is to be
// called after each acknowledgement, each change of the list, and before each answer. A lease that ended has lapsed even
// if new acknowledgements have come since, because others may have declared the incarnation gone in between. The
// acknowledgements of the old incarnation do not count for the new one, which nobody has heard of yet.
func (q *Quorum) Lapsed(now clock.Millis, list []string) bool {
	before := q.held
	q.best = max(q.best, q.LeaseStart(now, list))
	q.held = !q.ended(now) && now-q.best <= q.cfg.Lease
	if q.held {
		q.until = q.best + q.cfg.Lease
	}
	lapsed := before && !q.held
	if lapsed {
		clear(q.acks)
		q.since, q.best = now, q.never()
	}
	return lapsed
}

func (q *Quorum) ended(now clock.Millis) bool { return q.held && now > q.until }

// LeaseStart returns the latest time such that a majority of the list has acknowledged a pulse sent then or later.
func (q *Quorum) LeaseStart(now clock.Millis, list []string) clock.Millis {
	return q.majority(now, list, func(acknowledged) bool { return true })
}

// Confirmed returns the latest time at which the given configuration version was known to be current: by a read of the
// log, or because a majority of the list knew of no newer one. Only entries that are settled count. The version must be
// that of a complete configuration.
func (q *Quorum) Confirmed(now clock.Millis, list []string, version uint64) clock.Millis {
	vouches := func(a acknowledged) bool { return a.vouched && a.version <= version }
	if !q.settled {
		q.settled = q.majority(q.never(), list, vouches) > q.never()
	}
	self := now
	if !q.settled {
		self = q.never()
	}
	return max(q.log, q.majority(self, list, vouches))
}

// Fresh tells whether the confirmation of the given configuration version is young enough.
func (q *Quorum) Fresh(now clock.Millis, list []string, version uint64) bool {
	return now-q.Confirmed(now, list, version) <= q.cfg.Fresh
}

// Adopted tells whether a majority of the list, this entry included, has the given configuration version.
func (q *Quorum) Adopted(list []string, version uint64) bool {
	n := 0
	for _, name := range list {
		if name == q.cfg.Name || q.versions[name] >= version {
			n++
		}
	}
	return n > len(list)/2
}

// Newest returns an entry that has told a higher configuration version than the given one, or "".
func (q *Quorum) Newest(list []string, version uint64) string {
	newest := ""
	for _, name := range list {
		if v := q.versions[name]; name != q.cfg.Name && v > version {
			newest, version = name, v
		}
	}
	return newest
}

// Sighting is what one entry answers when asked about an incarnation.
type Sighting struct {
	Known bool
	// Age is the time in ms since the incarnation was last heard.
	Age clock.Millis
	// Up is the time in ms since the asked entry started.
	Up clock.Millis
}

// Sighting returns what this entry knows of an incarnation.
func (q *Quorum) Sighting(now clock.Millis, inc lavendercourse.Incarnation) Sighting {
	at, ok := q.heard[inc]
	return Sighting{Known: ok, Age: now - at, Up: now - q.up}
}

// Gone tells whether the sightings of a majority of the list show that an incarnation has ended. An entry that was
// started too recently cannot tell. Sightings that were asked for too long ago tell nothing: each of them may be older
// than a renewal that the others have not seen.
func (q *Quorum) Gone(now, asked clock.Millis, list []string, sightings map[string]Sighting) bool {
	if now-asked > q.cfg.Gone-q.cfg.Lease {
		return false
	}
	n := 0
	for _, name := range list {
		s, ok := sightings[name]
		if ok && ((s.Known && s.Age > q.cfg.Gone) || (!s.Known && s.Up > q.cfg.Gone)) {
			n++
		}
	}
	return n > len(list)/2
}

// Forget drops what is older than the given span, to bound the memory.
func (q *Quorum) Forget(now, span clock.Millis) {
	for inc, at := range q.heard {
		if now-at > span {
			delete(q.heard, inc)
		}
	}
}

// never is a time that is too early for any bound.
func (q *Quorum) never() clock.Millis { return -max(q.cfg.Lease, q.cfg.Fresh) - 1 }

// majority returns the latest time such that more than half of the list has acknowledged then or later. This entry
// itself counts with the given time.
func (q *Quorum) majority(self clock.Millis, list []string, counts func(acknowledged) bool) clock.Millis {
	never := q.never()
	if len(list) == 0 {
		return never
	}
	stamps := make([]clock.Millis, 0, len(list))
	for _, name := range list {
		a, ok := q.acks[name]
		switch {
		case name == q.cfg.Name:
			stamps = append(stamps, self)
		case ok && counts(a):
			stamps = append(stamps, a.stamp)
		default:
			stamps = append(stamps, never)
		}
	}
	sort.Slice(stamps, func(i, j int) bool { return stamps[i] > stamps[j] })
	return stamps[len(list)/2]
}
