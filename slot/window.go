package slot

// offer tells an entry of a free slot that nothing here waits for, unless the entry that gets an answer now will take
// it. Without this, an entry learns only by its own answers and by heartbeats that the tasks of others have ended. An
// entry is told once for each time it reports its backlog.
func (t *Table) offer(answered string) []Action {
	if t.leaving || t.pending > 0 || !t.free() || t.wants(answered) {
		return nil
	}
	chosen := ""
	for name, u := range t.entries {
		if name == answered || u.told || !t.wants(name) {
			continue
		}
		if c := t.entries[chosen]; c == nil || u.backlog > c.backlog || (u.backlog == c.backlog && name < chosen) {
			chosen = name
		}
	}
	if chosen == "" {
		return nil
	}
	t.entries[chosen].told = true
	return []Action{Offer{Entry: chosen}}
}

// wants tells whether an entry has tasks waiting and may have one more here.
func (t *Table) wants(entry string) bool {
	u := t.entries[entry]
	return u != nil && u.backlog > 0 && u.busy() < t.window(entry)
}

// window returns the number of tasks that an entry may have here. Entries with tasks waiting share the slots evenly,
// however many wait, so that a large job at one entry does not hold up the small ones at the others. What an entry does
// not use is left to the rest: a slot that frees is kept for an entry below its share only until it was told once.
//
// Every entry may have one task here, so that it gets to know when others leave slots to it. None may have more than
// there are slots: a task that waits here cannot take a slot that frees elsewhere, which costs far more time than the
// round trip for which a slot is idle without a task that waits.
func (t *Table) window(entry string) int {
	if t.leaving || t.down {
		return 0
	}
	share := t.share(entry)
	left := t.cfg.Slots
	for name, u := range t.entries {
		if name == entry {
			continue
		}
		left -= u.busy()
		if u.backlog > 0 && !u.told && u.busy() < share {
			left--
		}
	}
	return max(left, share)
}

// share returns the even part of the slots for an entry, among itself and the others that have tasks waiting. It is 1 if
// no other has, since then the entry gets what is left anyway.
func (t *Table) share(entry string) int {
	competing := 1
	for name, u := range t.entries {
		if name != entry && u.backlog > 0 {
			competing++
		}
	}
	if competing == 1 {
		return 1
	}
	return max(t.cfg.Slots/competing, 1)
}
