package bench

import (
	"container/heap"
	"fmt"
	"time"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
)

// outage takes the slots of one group out of service from leave to back.
type outage struct {
	group int
	leave time.Duration
	back  time.Duration
	// kill loses what runs there at the time of leave; otherwise it runs to its end.
	kill bool
}

// run is the time that one task spends in a slot.
type run struct {
	group int
	begin time.Duration
	end   time.Duration
}

// overlap returns the part of the run between two times.
func (r run) overlap(from, to time.Duration) time.Duration {
	return max(min(r.end, to)-max(r.begin, from), 0)
}

// ideal is what the single queue did with a trace.
type ideal struct {
	// ends holds for each arrival the time at which its last task ended, or 0 if it has none.
	ends []time.Duration
	runs []run
}

// idealOf runs a trace on one queue that sees every slot and starts a task without any delay when a slot is free. The
// next task is chosen by an admission queue, so the order follows the same rules as in an entry. Slots holds the number
// of slots of each group. Jobs arrive after the latency from the caller.
func idealOf(trace []arrival, slots []int, latency time.Duration, o *outage) ideal {
	s := &simulation{
		trace: trace, free: append([]int(nil), slots...), closed: make([]bool, len(slots)), outage: o,
		queue: admission.New(admission.Config{Queue: 1 << 30}),
		items: map[lavendercourse.JobID]int{}, taken: make([]int, len(trace)), left: make([]int, len(trace)),
		gone: make([]bool, len(trace)), own: make([]*admission.Item, len(trace)),
		out: ideal{ends: make([]time.Duration, len(trace))},
	}
	for i, a := range trace {
		s.push(event{at: a.at + latency, kind: arrived, arrival: i})
		if a.cancel > 0 {
			s.push(event{at: a.cancel + latency, kind: cancelled, arrival: i})
		}
	}
	if o != nil {
		s.push(event{at: o.leave, kind: left})
		s.push(event{at: o.back, kind: returned})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.handle(e)
		s.fill(e.at)
	}
	return s.out
}

type eventKind uint8

const (
	arrived eventKind = iota
	cancelled
	ended
	left
	returned
)

type event struct {
	at      time.Duration
	order   int
	kind    eventKind
	arrival int
	// run is the index of the run that has ended.
	run int
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(v any) { *e = append(*e, v.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simulation struct {
	trace  []arrival
	events events
	order  int
	free   []int
	closed []bool
	outage *outage
	queue  *admission.Queue
	items  map[lavendercourse.JobID]int
	own    []*admission.Item
	// taken and left count the tasks of each arrival that were started and that have not ended.
	taken []int
	left  []int
	gone  []bool
	// live holds the running tasks: the index of the run and of the arrival.
	live map[int]int
	out  ideal
}

func (s *simulation) push(e event) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case arrived:
		s.arrive(e)
	case cancelled:
		s.cut(func(r int) bool { return s.live[r] == e.arrival })
		if s.left[e.arrival] > 0 {
			s.gone[e.arrival] = true
			s.queue.Remove(s.own[e.arrival].ID())
		}
	case ended:
		i, ok := s.live[e.run]
		if !ok {
			return
		}
		s.release(e.run)
		s.left[i]--
		if s.left[i] == 0 && !s.gone[i] {
			s.out.ends[i] = e.at
		}
	case left:
		s.closed[s.outage.group] = true
		if s.outage.kill {
			s.cut(func(r int) bool { return s.out.runs[r].group == s.outage.group })
		}
	case returned:
		s.closed[s.outage.group] = false
	}
}

func (s *simulation) arrive(e event) {
	a := s.trace[e.arrival]
	if a.call {
		// Connections are never scarce in these workloads, so a call starts at once.
		s.out.ends[e.arrival] = e.at + a.runs[0].Duration()
		return
	}
	id := lavendercourse.NewJobID("ideal", uint64(e.arrival), "bench")
	var declared clock.Millis
	for _, d := range a.declared {
		declared += d
	}
	item := admission.NewItem(clock.FromDuration(e.at), id, fmt.Sprint("team-", a.team), a.class, len(a.runs),
		declared/clock.Millis(len(a.runs)))
	s.items[id], s.own[e.arrival], s.left[e.arrival] = e.arrival, item, len(a.runs)
	s.queue.Push(item)
}

// cut ends the running tasks that are selected without a result. Their jobs have no end.
func (s *simulation) cut(selected func(r int) bool) {
	for r, i := range s.live {
		if selected(r) {
			s.release(r)
			s.gone[i] = true
			// A run that was cut completes nothing.
			s.out.runs[r].end = s.out.runs[r].begin
		}
	}
}

func (s *simulation) release(r int) {
	s.free[s.out.runs[r].group]++
	s.queue.Freed(fmt.Sprint("team-", s.trace[s.live[r]].team))
	delete(s.live, r)
}

// fill starts waiting tasks while slots are free, in the group with the most free slots.
func (s *simulation) fill(now time.Duration) {
	if s.live == nil {
		s.live = map[int]int{}
	}
	for s.queue.Waiting() > 0 {
		group := -1
		for g, n := range s.free {
			if n > 0 && !s.closed[g] && (group < 0 || n > s.free[group]) {
				group = g
			}
		}
		if group < 0 {
			return
		}
		item := s.queue.Next(clock.FromDuration(now), nil)
		i := s.items[item.ID()]
		s.queue.Took(item)
		span := s.trace[i].runs[s.taken[i]].Duration()
		s.taken[i]++
		s.free[group]--
		r := len(s.out.runs)
		s.out.runs = append(s.out.runs, run{group: group, begin: now, end: now + span})
		s.live[r] = i
		s.push(event{at: now + span, kind: ended, arrival: i, run: r})
	}
}
