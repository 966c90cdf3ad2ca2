package queue

import (
	"sort"

	"github.com/lavendercourse/lavendercourse/clock"
	"github.com/lavendercourse/lavendercourse/interference"
	"github.com/lavendercourse/lavendercourse/message"
)

// maxNeighbourServices is the number of services whose interfering kinds are learned, at about 100 KB each.
const maxNeighbourServices = 64

// ServicePair is what is known of the effect of one kind of task of a service on another one.
type ServicePair struct {
	Service string
	interference.Pair
}

// HandleMix adds what a runner has measured of the kinds of tasks on its worker. It returns false if that is not plausible.
// Without Config.Neighbours it is ignored.
func (s *Scheduler) HandleMix(now clock.Millis, name string, m message.Mix) bool {
	r := s.runners[name]
	if !s.cfg.Neighbours || r == nil || !r.linked {
		return true
	}
	table := s.neighbours[r.enrollment.Service]
	if table == nil {
		if len(s.neighbours) >= maxNeighbourServices {
			return true
		}
		table = interference.NewTable()
		s.neighbours[r.enrollment.Service] = table
	}
	return table.Merge(now, m)
}

// InterferingPairs returns what is known of each pair of kinds, ordered by service and pair.
func (s *Scheduler) InterferingPairs() []ServicePair {
	var all []ServicePair
	for service, table := range s.neighbours {
		for _, p := range table.Pairs() {
			all = append(all, ServicePair{service, p})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Service < all[j].Service })
	return all
}

// evaluateNeighbours updates which pairs are held to interfere, and the positions of the runners if there are any.
func (s *Scheduler) evaluateNeighbours(now clock.Millis) {
	for service, table := range s.neighbours {
		if !table.Evaluate(now) {
			continue
		}
		s.neighbourEvaluations++
		if table.SeparatesAny() {
			s.positionRunners(service)
		}
	}
}

// NeighbourEvaluations returns how often it was evaluated which kinds interfere. InterferingPairs changes which pairs are held
// only with it.
func (s *Scheduler) NeighbourEvaluations() int { return s.neighbourEvaluations }

// positionRunners orders the linked runners of a service by a hash of their names, and gives each the share of their CPU that is
// in front of it as its position. Entries that are linked to the same runners agree.
func (s *Scheduler) positionRunners(service string) {
	var linked []*Runner
	total, before := 0.0, 0.0
	for _, r := range s.sortedRunners {
		if r.linked && r.enrollment.Service == service {
			linked = append(linked, r)
			total += float64(r.enrollment.Capacity.CPU)
		}
	}
	sort.SliceStable(linked, func(i, j int) bool { return linked[i].hash < linked[j].hash })
	for _, r := range linked {
		r.position = (before + float64(r.enrollment.Capacity.CPU)/2) / max(total, 1)
		before += float64(r.enrollment.Capacity.CPU)
	}
}

// kindOf returns the kind of the tasks of a job that orders carry, or 0 without Config.Neighbours.
func (s *Scheduler) kindOf(j *Job) interference.Kind {
	if !s.cfg.Neighbours {
		return 0
	}
	return interference.KindOf(j.queue.Name)
}

// compareNeighbours compares two runners by neighbourRank: it is negative if r is preferred, and 0 without a preference. Failing
// runners are left to the later criteria: acceptsOrders bounds the runs that they get, and without any they never recover.
func (s *Scheduler) compareNeighbours(t *task, r, other *Runner) int {
	if !s.cfg.Neighbours || r.Failing() || other.Failing() {
		return 0
	}
	return s.neighbourRank(t, r) - s.neighbourRank(t, other)
}

// neighbourRank returns a sort key of runners, lowest first, that keeps the task apart from kinds that interfere with it: first
// the runners that all entries prefer for the kind of the task, then those nearest to them, and among these the ones on which
// the entry has no run of such a kind in flight.
// It is 0 for all runners if the kind is in no pair.
func (s *Scheduler) neighbourRank(t *task, r *Runner) int {
	table := s.neighbours[t.job.queue.Service]
	if table == nil || !table.SeparatesAny() {
		return 0
	}
	kind := s.kindOf(t.job)
	if !table.Separates(kind) {
		return 0
	}
	rank := 2 * table.Distance(kind, r.position)
	for other := range r.inFlight {
		if other.job.queue.Name != t.job.queue.Name && table.Interferes(kind, interference.KindOf(other.job.queue.Name)) {
			return rank + 1
		}
	}
	return rank
}
