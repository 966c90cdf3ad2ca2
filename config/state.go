// Package config derives the configuration from its stream in the platform's log. Processes that have applied the same
// records have the same state, and the version of a state never decreases. The package does no I/O, reads no clock and
// starts no goroutine.
package config

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
)

const (
	// recentLimit is the maximum number of publish ids kept to recognise a repeated publish.
	recentLimit = 4096
	// historyLimit is the maximum number of changes kept for operators to list.
	historyLimit = 1000
)

// State is the configuration after the records applied so far.
type State struct {
	version uint64
	offset  uint64
	// complete reports whether the state holds all changes up to offset.
	complete bool
	settings map[string]Setting
	// publications holds the result for each of recentIDs.
	publications map[string]Publication
	// recentIDs holds the newest publish ids, oldest first.
	recentIDs []string
	history   []Setting
	// pending holds the changes that are applied once a snapshot has completed the state.
	pending []lavendercourse.Record
	// gapFreeFrom is the offset from which on no record was missed.
	gapFreeFrom uint64
	// snapshotOffset is the offset of the newest snapshot record.
	snapshotOffset uint64
	// malformed counts the records that could not be decoded.
	malformed int
}

// New returns the empty state.
func New() *State {
	return &State{settings: map[string]Setting{}, publications: map[string]Publication{}}
}

// Version returns the configuration version, which is the number of changes applied since the stream began.
func (s *State) Version() uint64 { return s.version }

// Offset returns the offset of the last record read.
func (s *State) Offset() uint64 { return s.offset }

// Complete reports whether the state is complete, which means that it holds all changes up to its offset. A new state
// is incomplete until it has read the first page of the log. A state that missed records because the log has dropped
// them is incomplete until it is restored from a snapshot.
func (s *State) Complete() bool { return s.complete }

// SnapshotOffset returns the offset of the newest snapshot read, or 0.
func (s *State) SnapshotOffset() uint64 { return s.snapshotOffset }

// Malformed returns the number of records that could not be decoded and were skipped.
func (s *State) Malformed() int { return s.malformed }

// Get returns the setting of a key.
func (s *State) Get(key string) (Setting, bool) {
	v, ok := s.settings[key]
	return v, ok
}

// Settings returns all settings, sorted by key.
func (s *State) Settings() []Setting {
	all := make([]Setting, 0, len(s.settings))
	for _, v := range s.settings {
		all = append(all, v)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

// History returns the newest n changes, oldest first. It returns all changes kept if n is not positive.
func (s *State) History(n int) []Setting {
	if n <= 0 || n > len(s.history) {
		n = len(s.history)
	}
	return append([]Setting(nil), s.history[len(s.history)-n:]...)
}

// PublishResult returns the result of the publish with the given id, and whether it is known.
func (s *State) PublishResult(id string) (Publication, bool) {
	p, ok := s.publications[id]
	return p, ok
}

// Apply applies a page of the log that was read from the offset after Offset. Records that were read before are
// skipped.
func (s *State) Apply(page lavendercourse.Page) {
	if page.First > s.offset+1 {
		// The log has dropped records that were not read.
		s.complete, s.pending = false, nil
		s.offset, s.gapFreeFrom = page.First-1, page.First
	} else if s.offset == 0 {
		s.complete = true
	}
	for _, r := range page.Records {
		if r.Offset > s.offset {
			s.offset = r.Offset
			s.applyRecord(r)
		}
	}
}

// Adopt replaces the state by that of a peer if the peer's version is higher or this state is incomplete. It returns
// false and changes nothing if the peer's state is older, or lacks records that were missed here.
func (s *State) Adopt(snap Snapshot) bool {
	if (s.complete && snap.Version <= s.version) || !s.canComplete(snap) {
		return false
	}
	s.restore(snap)
	s.offset = max(s.offset, snap.Offset)
	s.complete = true
	s.applyPending(snap.Offset)
	return true
}

// Snapshot returns the whole state. Only the snapshot of a complete state is to be passed on, see Complete.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Version: s.version, Offset: s.offset, Settings: s.Settings(), History: s.History(0)}
	for _, id := range s.recentIDs {
		snap.Recent = append(snap.Recent, s.publications[id])
	}
	return snap
}

func (s *State) applyRecord(r lavendercourse.Record) {
	rec, err := Decode(r.Data)
	if err != nil {
		// All readers skip the same malformed records, so they arrive at the same state.
		s.malformed++
		return
	}
	if rec.Snapshot != nil {
		s.snapshotOffset = r.Offset
		s.applySnapshot(*rec.Snapshot)
		return
	}
	if !s.complete {
		s.pending = append(s.pending, r)
		return
	}
	s.applyChange(rec)
}

// applySnapshot restores an incomplete state from a snapshot read from the log. A complete state already holds
// everything that the snapshot does.
func (s *State) applySnapshot(snap Snapshot) {
	if s.complete || !s.canComplete(snap) {
		return
	}
	s.restore(snap)
	s.complete = true
	s.applyPending(snap.Offset)
}

// canComplete reports whether a snapshot and the pending records together make up a complete state.
func (s *State) canComplete(snap Snapshot) bool {
	return snap.Version >= s.version && snap.Offset+1 >= s.gapFreeFrom
}

// applyPending applies the pending records whose offset is higher than the given one.
func (s *State) applyPending(after uint64) {
	pending := s.pending
	s.pending = nil
	for _, r := range pending {
		if r.Offset <= after {
			continue
		}
		if rec, err := Decode(r.Data); err == nil {
			s.applyChange(rec)
		}
	}
}

// restore replaces version, settings, publications and history by those of a snapshot.
func (s *State) restore(snap Snapshot) {
	s.version = snap.Version
	s.settings = make(map[string]Setting, len(snap.Settings))
	for _, v := range snap.Settings {
		s.settings[v.Key] = v
	}
	s.publications = make(map[string]Publication, len(snap.Recent))
	s.recentIDs = nil
	for _, p := range snap.Recent {
		s.recordPublication(p)
	}
	s.history = append([]Setting(nil), snap.History...)
}

// applyChange applies a change, or rejects it if the setting is invalid or its base version is outdated. A repeated
// publish id is ignored.
func (s *State) applyChange(rec Record) {
	if _, known := s.publications[rec.ID]; known && rec.ID != "" {
		return
	}
	if CheckSetting(rec.Key, rec.Value) != nil || (!rec.Force && s.settings[rec.Key].Version != rec.Base) {
		s.recordPublication(Publication{ID: rec.ID})
		return
	}
	s.version++
	v := Setting{Key: rec.Key, Value: rec.Value, Version: s.version}
	s.settings[rec.Key] = v
	s.history = append(s.history, v)
	if len(s.history) > historyLimit {
		s.history = s.history[1:]
	}
	s.recordPublication(Publication{ID: rec.ID, Version: s.version})
}

// recordPublication keeps the result of a publish and drops the oldest one beyond recentLimit.
func (s *State) recordPublication(p Publication) {
	if p.ID == "" {
		return
	}
	s.publications[p.ID] = p
	s.recentIDs = append(s.recentIDs, p.ID)
	if len(s.recentIDs) > recentLimit {
		delete(s.publications, s.recentIDs[0])
		s.recentIDs = s.recentIDs[1:]
	}
}
