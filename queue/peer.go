package queue

import (
	"hash/fnv"
	"io"
	"sort"

	"github.com/lavendercourse/lavendercourse/clock"
)

// peerMemory is the time in ms for which an entry without a link is expected to be linked again.
const peerMemory = clock.Minute

// peer is another entry.
type peer struct {
	linked bool
	// domain is its failure domain, or empty if that is not known.
	domain string
	// lastHeard is the time in ms of the last frame.
	lastHeard clock.Millis
}

// PeerLinked handles a new link to another entry, at which the jobs have to be claimed again.
func (s *Scheduler) PeerLinked(now clock.Millis, name string) []Action {
	if s.startedAt == 0 {
		s.startedAt = now
	}
	p := s.peers[name]
	if p == nil {
		p = &peer{}
		s.peers[name] = p
	}
	if !p.linked {
		s.linkedPeerCount++
	}
	s.preference.stale = s.preference.stale || !p.linked
	p.linked, p.lastHeard = true, now
	var due []*Job
	for _, j := range s.jobs {
		if _, waits := j.unanswered[name]; waits || s.isClaimed(now, j) {
			due = append(due, j)
		}
	}
	return s.claimAt(nil, now, due, func(*Job) []string { return []string{name} })
}

// PeerHeard records a frame of another entry.
func (s *Scheduler) PeerHeard(now clock.Millis, name string) {
	if p := s.peers[name]; p != nil {
		p.lastHeard = now
	}
}

// PeerUnlinked handles the end of a link to another entry.
func (s *Scheduler) PeerUnlinked(name string) {
	if p := s.peers[name]; p != nil && p.linked {
		p.linked = false
		s.preference.stale = true
		s.linkedPeerCount--
	}
}

// linkedPeers returns the names of the linked entries in order.
func (s *Scheduler) linkedPeers() []string {
	names := make([]string, 0, s.linkedPeerCount)
	for name, p := range s.peers {
		if p.linked {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// dropGonePeers forgets the entries that were not linked for peerMemory.
func (s *Scheduler) dropGonePeers(now clock.Millis) {
	for name, p := range s.peers {
		if !p.linked && now-p.lastHeard > peerMemory {
			delete(s.peers, name)
		}
	}
}

// peerRank returns a sort key of an entry that differs from job to job.
func peerRank(key, name string) uint32 {
	h := fnv.New32a()
	// Writes to a hash never fail.
	_, _ = io.WriteString(h, key)
	_, _ = io.WriteString(h, name)
	return h.Sum32()
}
