package slot

import (
	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/message"
)

// retire moves a task from the active ones to the remembered ones.
func (t *Table) retire(now clock.Millis, n *task) {
	delete(t.active, n.key)
	n.ended = now
	n.start.Payload = nil
	t.past = append(t.past, n)
}

// keep retains the result of an ended task for a resume, within the bound on bytes.
func (t *Table) keep(n *task) {
	t.kept = append(t.kept, n)
	t.bytes += len(n.done.Result)
	for t.bytes > t.cfg.KeepBytes {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	n := t.kept[0]
	t.kept = t.kept[1:]
	t.bytes -= len(n.done.Result)
	n.done.Result = nil
	n.kept = n.done.Status != message.StatusDone
}

func (t *Table) trim(now clock.Millis) {
	for len(t.kept) > 0 && now-t.kept[0].ended > t.cfg.Keep {
		t.dropOldest()
	}
	for len(t.past) > 0 && now-t.past[0].ended > t.cfg.Memory {
		n := t.past[0]
		t.past = t.past[1:]
		if t.tasks[n.key] == n {
			delete(t.tasks, n.key)
		}
	}
	for inc, at := range t.leases {
		if now-at > t.cfg.Memory {
			delete(t.leases, inc)
		}
	}
	for name, u := range t.entries {
		if *u == (entryUse{}) {
			delete(t.entries, name)
		}
	}
}

func (t *Table) forget(key lavendercourse.TaskKey) {
	delete(t.tasks, key)
}
