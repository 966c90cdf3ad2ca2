package bench

import (
	"container/heap"
	"fmt"
	"time"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/admission"
	"github.com/lavendercourse/lavendercourse/clock"
)

// outage takes the slots of one group (a failure domain) out of service from leave to back, both measured from the
// start of the run.
type outage struct {
	group int
	leave time.Duration
	back  time.Duration
	// kill aborts the tasks that run there at the time of leave; otherwise they run to their end.
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

// ideal is the result of running a trace on the ideal single queue.
type ideal struct {
	// ends holds for each arrival the time at which its last task ended, or 0 if it has none.
	ends []time.Duration
	runs []run
}

// simulateIdeal runs a trace on one queue that sees every slot and starts a task without any delay when a slot is free.
// The next task is chosen by an admission queue, so the order follows the same rules as in an entry. Slots holds the
// number of slots of each group. Jobs arrive after the latency from the caller.
func simulateIdeal(trace []arrival, slots []int, latency time.Duration, o *outage) ideal {
	s := &simulation{
		trace: trace, free: append([]int(nil), slots...), closed: make([]bool, len(slots)), outage: o,
		queue: admission.New(admission.Config{MaxWaiting: 1 << 30}),
		items: map[lavendercourse.JobID]int{}, startedTasks: make([]int, len(trace)), unfinished: make([]int, len(trace)),
		incomplete: make([]bool, len(trace)), itemOf: make([]*admission.Item, len(trace)),
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
		s.startTasks(e.at)
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
	itemOf []*admission.Item
	// startedTasks and unfinished count, for each arrival, the tasks that were started and those that have not ended.
	startedTasks []int
	unfinished   []int
	incomplete   []bool
	// running maps the index of the run of each running task to the index of its arrival.
	running map[int]int
	out     ideal
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
		s.abort(func(r int) bool { return s.running[r] == e.arrival })
		if s.unfinished[e.arrival] > 0 {
			s.incomplete[e.arrival] = true
			s.queue.Remove(s.itemOf[e.arrival].ID())
		}
	case ended:
		i, ok := s.running[e.run]
		if !ok {
			return
		}
		s.release(e.run)
		s.unfinished[i]--
		if s.unfinished[i] == 0 && !s.incomplete[i] {
			s.out.ends[i] = e.at
		}
	case left:
		s.closed[s.outage.group] = true
		if s.outage.kill {
			s.abort(func(r int) bool { return s.out.runs[r].group == s.outage.group })
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
	s.items[id], s.itemOf[e.arrival], s.unfinished[e.arrival] = e.arrival, item, len(a.runs)
	s.queue.Push(item)
}

// abort ends the selected running tasks without a result. Their jobs never complete.
func (s *simulation) abort(selected func(r int) bool) {
	for r, i := range s.running {
		if selected(r) {
			s.release(r)
			s.incomplete[i] = true
			// An aborted run counts as no work.
			s.out.runs[r].end = s.out.runs[r].begin
		}
	}
}

func (s *simulation) release(r int) {
	s.free[s.out.runs[r].group]++
	s.queue.TaskEnded(fmt.Sprint("team-", s.trace[s.running[r]].team))
	delete(s.running, r)
}

// startTasks starts waiting tasks while slots are free, in the group with the most free slots.
func (s *simulation) startTasks(now time.Duration) {
	if s.running == nil {
		s.running = map[int]int{}
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
		s.queue.TaskSent(item)
		duration := s.trace[i].runs[s.startedTasks[i]].Duration()
		s.startedTasks[i]++
		s.free[group]--
		r := len(s.out.runs)
		s.out.runs = append(s.out.runs, run{group: group, begin: now, end: now + duration})
		s.running[r] = i
		s.push(event{at: now + duration, kind: ended, arrival: i, run: r})
	}
}
