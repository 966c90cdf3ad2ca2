package member

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// Defaults of Config, in ms.
const (
	DefaultLease           = 5 * clock.Second
	DefaultGoneAfter       = 10 * clock.Second
	DefaultConfirmationTTL = 2 * clock.Second
)

// Config holds the settings of a quorum. A zero duration selects its default.
type Config struct {
	// Name is the name of this entry.
	Name string
	// Lease is the duration in ms of the quorum lease. It runs from the time at which the heartbeats were sent that a
	// majority has acknowledged; while it is valid, the entry may answer for its jobs.
	Lease clock.Millis
	// GoneAfter is the time in ms after which an incarnation that was not heard from counts as gone. It must be well above
	// Lease, since the owner must have stopped answering by then.
	GoneAfter clock.Millis
	// ConfirmationTTL is the time in ms for which a confirmation that the configuration is current remains valid.
	ConfirmationTTL clock.Millis
}

// ack is the newest acknowledgement by a peer.
type ack struct {
	// sentAt is the time in ms at which the acknowledged heartbeat was sent, by the clock of this entry.
	sentAt  clock.Millis
	version uint64
	// peerConfirmed reports whether the peer's configuration was confirmed, see ConfirmedSinceStart.
	peerConfirmed bool
}

// Quorum holds what an entry knows of its peers, and the state of its own quorum lease. Lists of entries are passed as
// their names. Times are in ms by the clock of this entry.
type Quorum struct {
	cfg Config
	// acks holds the newest acknowledgement by each peer.
	acks map[string]ack
	// lastHeard holds the time at which each incarnation was last heard from.
	lastHeard map[lavendercourse.Incarnation]clock.Millis
	// versions holds the configuration version that each peer last reported. It decreases when a peer restarts.
	versions map[string]uint64
	// logConfirmedAt is the time at which the latest read of the log began that showed the configuration to be current.
	logConfirmedAt clock.Millis
	startedAt      clock.Millis
	// leaseHeld and leaseEnd are the state of the lease at the last call of RefreshLease.
	leaseHeld bool
	leaseEnd  clock.Millis
	// confirmedOnce reports whether the configuration was confirmed since this entry started, see ConfirmedSinceStart.
	confirmedOnce bool
	// leaseStart is the latest start of the lease so far. It is kept when the list grows: what a majority of an earlier
	// list has acknowledged remains true.
	leaseStart clock.Millis
	// leaseEndedAt is the time at which RefreshLease last noticed the end of the lease. Heartbeats sent until then carried
	// an earlier incarnation.
	leaseEndedAt clock.Millis
}

// NewQuorum returns the quorum of an entry that starts now and has received nothing from its peers yet.
func NewQuorum(now clock.Millis, cfg Config) *Quorum {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.GoneAfter == 0 {
		cfg.GoneAfter = DefaultGoneAfter
	}
	if cfg.ConfirmationTTL == 0 {
		cfg.ConfirmationTTL = DefaultConfirmationTTL
	}
	q := &Quorum{
		cfg: cfg, acks: map[string]ack{}, versions: map[string]uint64{},
		lastHeard: map[lavendercourse.Incarnation]clock.Millis{}, logConfirmedAt: -cfg.ConfirmationTTL - 1, startedAt: now,
	}
	q.leaseStart = q.expiredTime()
	return q
}

// Acknowledged records a peer's acknowledgement of the heartbeat sent at sentAt, with the configuration version of the
// peer and whether the peer's configuration was confirmed, see ConfirmedSinceStart. Acknowledgements that are out of
// order or of an earlier incarnation are ignored.
func (q *Quorum) Acknowledged(name string, sentAt clock.Millis, version uint64, peerConfirmed bool) {
	if old, ok := q.acks[name]; sentAt <= q.leaseEndedAt || (ok && old.sentAt >= sentAt) {
		return
	}
	q.acks[name] = ack{sentAt: sentAt, version: version, peerConfirmed: peerConfirmed}
	q.SetPeerVersion(name, version)
}

// SetPeerVersion records the configuration version that a peer reports.
func (q *Quorum) SetPeerVersion(name string, version uint64) {
	q.versions[name] = version
}

// RecordContact records that an incarnation was heard from.
func (q *Quorum) RecordContact(now clock.Millis, inc lavendercourse.Incarnation) {
	q.lastHeard[inc] = now
}

// ConfirmedByLog records that a read of the log, begun at the given time, showed the configuration to be current.
func (q *Quorum) ConfirmedByLog(began clock.Millis) {
	q.logConfirmedAt = max(q.logConfirmedAt, began)
	q.confirmedOnce = true
}

// ConfirmedSinceStart reports whether the configuration of this entry was confirmed since it started, by the log or by
// a majority that does not include itself. Until then the entry may have lost a version that it had adopted before a
// restart, so its report that it knows of no newer version must not be counted.
func (q *Quorum) ConfirmedSinceStart() bool { return q.confirmedOnce }

// Held reports whether this entry holds its quorum lease and so may answer for its jobs.
func (q *Quorum) Held(now clock.Millis, list []string) bool {
	return !q.leaseEnded(now) && now-max(q.leaseStart, q.AckedByMajority(now, list)) <= q.cfg.Lease
}

// Lease returns the duration of the quorum lease in ms.
func (q *Quorum) Lease() clock.Millis { return q.cfg.Lease }

// ConfirmationTTL returns the time in ms for which a confirmation that the configuration is current remains valid.
func (q *Quorum) ConfirmationTTL() clock.Millis { return q.cfg.ConfirmationTTL }

// LeaseStart returns the start of the lease in ms, as of the last call of RefreshLease.
func (q *Quorum) LeaseStart() clock.Millis { return q.leaseStart }

// RefreshLease updates the lease and reports whether it has ended since the last call; the entry must then take a new
// incarnation. Call it after each acknowledgement, after each change of the list, and before each answer. A lease that
// ended stays ended even if new acknowledgements have arrived since, because peers may have declared the incarnation
// gone in between. Acknowledgements of the old incarnation do not count for the new one, which no peer has heard from
// yet.
func (q *Quorum) RefreshLease(now clock.Millis, list []string) bool {
	before := q.leaseHeld
	q.leaseStart = max(q.leaseStart, q.AckedByMajority(now, list))
	q.leaseHeld = !q.leaseEnded(now) && now-q.leaseStart <= q.cfg.Lease
	if q.leaseHeld {
		q.leaseEnd = q.leaseStart + q.cfg.Lease
	}
	ended := before && !q.leaseHeld
	if ended {
		clear(q.acks)
		q.leaseEndedAt, q.leaseStart = now, q.expiredTime()
	}
	return ended
}

func (q *Quorum) leaseEnded(now clock.Millis) bool { return q.leaseHeld && now > q.leaseEnd }

// AckedByMajority returns the latest time in ms such that a majority of the list has acknowledged a heartbeat sent at
// that time or later.
func (q *Quorum) AckedByMajority(now clock.Millis, list []string) clock.Millis {
	return q.majorityTime(now, list, func(ack) bool { return true })
}

// Confirmed returns the latest time in ms at which the given configuration version was known to be current: by a read
// of the log, or because a majority of the list knew of no newer one. Only entries whose configuration was confirmed
// since they started count, see ConfirmedSinceStart. The version must be that of a complete configuration.
func (q *Quorum) Confirmed(now clock.Millis, list []string, version uint64) clock.Millis {
	confirms := func(a ack) bool { return a.peerConfirmed && a.version <= version }
	if !q.confirmedOnce {
		q.confirmedOnce = q.majorityTime(q.expiredTime(), list, confirms) > q.expiredTime()
	}
	selfTime := now
	if !q.confirmedOnce {
		selfTime = q.expiredTime()
	}
	return max(q.logConfirmedAt, q.majorityTime(selfTime, list, confirms))
}

// Fresh reports whether the given configuration version was confirmed within the last Config.ConfirmationTTL ms.
func (q *Quorum) Fresh(now clock.Millis, list []string, version uint64) bool {
	return now-q.Confirmed(now, list, version) <= q.cfg.ConfirmationTTL
}

// MajorityHas reports whether a majority of the list has the given configuration version or a newer one. This entry is
// counted as having it.
func (q *Quorum) MajorityHas(list []string, version uint64) bool {
	n := 0
	for _, name := range list {
		if name == q.cfg.Name || q.versions[name] >= version {
			n++
		}
	}
	return n > len(list)/2
}

// NewestPeer returns the peer whose last reported configuration version is the highest, or "" if none is above the
// given version.
func (q *Quorum) NewestPeer(list []string, version uint64) string {
	newest := ""
	for _, name := range list {
		if v := q.versions[name]; name != q.cfg.Name && v > version {
			newest, version = name, v
		}
	}
	return newest
}

// Contact is the answer of an entry that was asked when it last heard from an incarnation.
type Contact struct {
	// Known reports whether the entry has heard from the incarnation.
	Known bool
	// Age is the time in ms since the incarnation was last heard from.
	Age clock.Millis
	// Uptime is the time in ms since the answering entry started.
	Uptime clock.Millis
}

// LastContact returns when this entry last heard from an incarnation.
func (q *Quorum) LastContact(now clock.Millis, inc lavendercourse.Incarnation) Contact {
	at, ok := q.lastHeard[inc]
	return Contact{Known: ok, Age: now - at, Uptime: now - q.startedAt}
}

// Gone reports whether the answers about the last contact, requested at askedAt, show that an incarnation is gone: a
// majority of the list has not heard from it for longer than Config.GoneAfter. An entry that started too recently to
// tell does not count. Answers requested too long ago prove nothing: each of them may be older than a renewal of the
// lease that the others have not seen.
func (q *Quorum) Gone(now, askedAt clock.Millis, list []string, contacts map[string]Contact) bool {
	if now-askedAt > q.cfg.GoneAfter-q.cfg.Lease {
		return false
	}
	n := 0
	for _, name := range list {
		c, ok := contacts[name]
		if ok && ((c.Known && c.Age > q.cfg.GoneAfter) || (!c.Known && c.Uptime > q.cfg.GoneAfter)) {
			n++
		}
	}
	return n > len(list)/2
}

// PruneContacts removes incarnations that were not heard from for longer than maxAge ms, to bound memory use.
func (q *Quorum) PruneContacts(now, maxAge clock.Millis) {
	for inc, at := range q.lastHeard {
		if now-at > maxAge {
			delete(q.lastHeard, inc)
		}
	}
}

// expiredTime returns a time so early that no lease and no confirmation that starts at it is still valid.
func (q *Quorum) expiredTime() clock.Millis { return -max(q.cfg.Lease, q.cfg.ConfirmationTTL) - 1 }

// majorityTime returns the latest time such that more than half of the list has acknowledged a heartbeat sent at that
// time or later. Only the acknowledgements that the filter selects are used; this entry counts with selfTime.
func (q *Quorum) majorityTime(selfTime clock.Millis, list []string, filter func(ack) bool) clock.Millis {
	expiredTime := q.expiredTime()
	if len(list) == 0 {
		return expiredTime
	}
	times := make([]clock.Millis, 0, len(list))
	for _, name := range list {
		a, ok := q.acks[name]
		switch {
		case name == q.cfg.Name:
			times = append(times, selfTime)
		case ok && filter(a):
			times = append(times, a.sentAt)
		default:
			times = append(times, expiredTime)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[len(list)/2]
}
