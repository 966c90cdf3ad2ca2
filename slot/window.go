package slot

// offerFreeSlot offers a free slot, for which no task is pending, to the entry with the largest backlog, unless the
// entry that is answered now will take it. Without the offer, an entry learns that other entries' tasks have ended only
// from its own replies and from heartbeats. An entry gets one offer each time it reports its backlog.
func (t *Table) offerFreeSlot(answered string) []Action {
	if t.leaving || t.pending > 0 || !t.hasFreeSlot() || t.wantsSlot(answered) {
		return nil
	}
	chosen := ""
	for name, u := range t.entries {
		if name == answered || u.offered || !t.wantsSlot(name) {
			continue
		}
		if c := t.entries[chosen]; c == nil || u.backlog > c.backlog || (u.backlog == c.backlog && name < chosen) {
			chosen = name
		}
	}
	if chosen == "" {
		return nil
	}
	t.entries[chosen].offered = true
	return []Action{Offer{Entry: chosen}}
}

// wantsSlot tells whether an entry has waiting tasks and its window allows one more on this agent.
func (t *Table) wantsSlot(entry string) bool {
	u := t.entries[entry]
	return u != nil && u.backlog > 0 && u.tasks() < t.window(entry)
}

// window returns the number of unfinished tasks that an entry may have on this agent. Entries with a backlog share the
// slots evenly, whatever the size of their backlogs, so that a large job at one entry does not delay small jobs at the
// others. Slots that an entry does not use are available to the others: a free slot is reserved for an entry below its
// share only until it was offered to that entry once.
//
// Every entry may have at least one task, so that it learns when other entries leave slots to it. No entry may have
// more tasks than there are slots: a task pending on this agent cannot use a slot that becomes free on another one,
// which costs far more time than the one round trip for which a slot is idle when no task is pending.
func (t *Table) window(entry string) int {
	if t.leaving || t.backendDown {
		return 0
	}
	share := t.share(entry)
	left := t.cfg.Slots - t.held
	for name, u := range t.entries {
		if name == entry {
			continue
		}
		left -= u.tasks()
		if u.backlog > 0 && !u.offered && u.tasks() < share {
			left--
		}
	}
	return max(left, share)
}

// share returns an entry's even share of the slots, among itself and the other entries that have a backlog. If no other
// entry has one, it returns 1 instead, the lower bound of the window: window then uses the slots left by the others.
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
