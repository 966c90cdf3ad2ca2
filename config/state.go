// Package config folds the configuration stream of the platform's log. Every process that has applied the same records
// has the same state, and its version never falls. It is pure.
package config

import (
	"sort"

	lavendercourse "github.com/lavendercourse/lavendercourse"
)

const (
	// recentLimit is the number of publish ids that are remembered.
	recentLimit = 4096
	// historyLimit is the number of changes that are remembered for operators.
	historyLimit = 1000
)

// State is the configuration after the records applied so far.
type State struct {
	version  uint64
	offset   uint64
	based    bool
	settings map[string]Setting
	fates    map[string]Publication
	recent   []string
	history  []Setting
	// held keeps records that cannot be applied before a snapshot was read.
	held []lavendercourse.Record
	// from is the offset from which on no record was missed.
	from uint64
	// snapshot is the offset of the newest snapshot record.
	snapshot uint64
	bad      int
}

// New returns the empty state.
func New() *State {
	return &State{settings: map[string]Setting{}, fates: map[string]Publication{}}
}

// Version returns the number of changes that came into force.
func (s *State) Version() uint64 { return s.version }

// Offset returns the offset of the last record applied.
func (s *State) Offset() uint64 { return s.offset }

// Based tells whether the state holds all changes up to its offset. A state that was never complete, or that missed
// records the log has dropped, is not based until a snapshot was applied.
func (s *State) Based() bool { return s.based }

// SnapshotOffset returns the offset of the newest snapshot read, or 0.
func (s *State) SnapshotOffset() uint64 { return s.snapshot }

// Malformed returns the number of records that could not be read and were skipped.
func (s *State) Malformed() int { return s.bad }

// Get returns the setting of a key.
func (s *State) Get(key string) (Setting, bool) {
	v, ok := s.settings[key]
	return v, ok
}

// Settings returns all settings in the order of their keys.
func (s *State) Settings() []Setting {
	all := make([]Setting, 0, len(s.settings))
	for _, v := range s.settings {
		all = append(all, v)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

// History returns the newest changes, oldest first.
func (s *State) History(n int) []Setting {
	if n <= 0 || n > len(s.history) {
		n = len(s.history)
	}
	return append([]Setting(nil), s.history[len(s.history)-n:]...)
}

// Fate returns what became of a publish id.
func (s *State) Fate(id string) (Publication, bool) {
	p, ok := s.fates[id]
	return p, ok
}

// Apply applies a page of the log, read from the offset after the last one applied.
func (s *State) Apply(page lavendercourse.Page) {
	if page.First > s.offset+1 {
		// The log has dropped records that were not applied.
		s.based, s.held = false, nil
		s.offset, s.from = page.First-1, page.First
	} else if s.offset == 0 {
		s.based = true
	}
	for _, r := range page.Records {
		if r.Offset > s.offset {
			s.offset = r.Offset
			s.apply(r)
		}
	}
}

// Adopt takes over the state of a peer if its version is higher, or if this state is not complete. It returns false if
// the peer's state is older, or lacks records that were missed here.
func (s *State) Adopt(snap Snapshot) bool {
	if (s.based && snap.Version <= s.version) || !s.completes(snap) {
		return false
	}
	s.load(snap)
	s.offset = max(s.offset, snap.Offset)
	s.based = true
	s.replay(snap.Offset)
	return true
}

// Snapshot returns the whole state.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Version: s.version, Offset: s.offset, Settings: s.Settings(), History: s.History(0)}
	for _, id := range s.recent {
		snap.Recent = append(snap.Recent, s.fates[id])
	}
	return snap
}

func (s *State) apply(r lavendercourse.Record) {
	rec, err := Decode(r.Data)
	if err != nil {
		// Every reader skips the same records, so that all keep the same state.
		s.bad++
		return
	}
	if rec.Snapshot != nil {
		s.snapshot = r.Offset
		s.applySnapshot(*rec.Snapshot)
		return
	}
	if !s.based {
		s.held = append(s.held, r)
		return
	}
	s.change(rec)
}

// applySnapshot completes a state that has missed records. A complete state has all that a snapshot holds.
func (s *State) applySnapshot(snap Snapshot) {
	if s.based || !s.completes(snap) {
		return
	}
	s.load(snap)
	s.based = true
	s.replay(snap.Offset)
}

// completes tells whether a snapshot and the held records together are a complete state.
func (s *State) completes(snap Snapshot) bool {
	return snap.Version >= s.version && snap.Offset+1 >= s.from
}

// replay applies the held records that are newer than the given offset.
func (s *State) replay(after uint64) {
	held := s.held
	s.held = nil
	for _, r := range held {
		if r.Offset <= after {
			continue
		}
		if rec, err := Decode(r.Data); err == nil {
			s.change(rec)
		}
	}
}

func (s *State) load(snap Snapshot) {
	s.version = snap.Version
	s.settings = make(map[string]Setting, len(snap.Settings))
	for _, v := range snap.Settings {
		s.settings[v.Key] = v
	}
	s.fates = make(map[string]Publication, len(snap.Recent))
	s.recent = nil
	for _, p := range snap.Recent {
		s.remember(p)
	}
	s.history = append([]Setting(nil), snap.History...)
}

func (s *State) change(rec Record) {
	if _, seen := s.fates[rec.ID]; seen && rec.ID != "" {
		return
	}
	if CheckSetting(rec.Key, rec.Value) != nil || (!rec.Force && s.settings[rec.Key].Version != rec.Base) {
		s.remember(Publication{ID: rec.ID})
		return
	}
	s.version++
	v := Setting{Key: rec.Key, Value: rec.Value, Version: s.version}
	s.settings[rec.Key] = v
	s.history = append(s.history, v)
	if len(s.history) > historyLimit {
		s.history = s.history[1:]
	}
	s.remember(Publication{ID: rec.ID, Version: s.version})
}

func (s *State) remember(p Publication) {
	if p.ID == "" {
		return
	}
	s.fates[p.ID] = p
	s.recent = append(s.recent, p.ID)
	if len(s.recent) > recentLimit {
		delete(s.fates, s.recent[0])
		s.recent = s.recent[1:]
	}
}
