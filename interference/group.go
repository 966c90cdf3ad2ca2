package interference

import (
	"math"
	"slices"
)

// grouping divides the kinds that interfere with others into groups of kinds that do not interfere with each other, and the
// positions of the runners among the groups.
type grouping struct {
	// group holds the group of each kind that interferes with another one. neighbours holds the kinds that each of these must
	// be kept apart from.
	group      map[Kind]int
	neighbours map[Kind][]Kind
	// bounds holds the position at which the part of each group ends, ascending.
	bounds []float64
}

// groupOf returns the group of a kind, and false if it interferes with no other one.
func (g grouping) groupOf(kind Kind) (int, bool) {
	n, ok := g.group[kind]
	return n, ok
}

// group computes the groups from the pairs that are held. Kinds are taken in the order of their numbers, so that entries
// that hold the same pairs form the same groups.
func (t *Table) group() grouping {
	g := grouping{group: map[Kind]int{}, neighbours: map[Kind][]Kind{}}
	for key, p := range t.pairs {
		if p.Apart() {
			g.link(key.victim, key.neighbour)
			g.link(key.neighbour, key.victim)
		}
	}
	kinds := make([]Kind, 0, len(g.neighbours))
	for kind := range g.neighbours {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var work []float64
	for _, kind := range kinds {
		n := 0
		for slices.ContainsFunc(g.neighbours[kind], func(other Kind) bool { m, ok := g.group[other]; return ok && m == n }) {
			n++
		}
		g.group[kind] = n
		if n == len(work) {
			work = append(work, 0)
		}
		if i := slices.Index(t.kinds, kind); i >= 0 {
			work[n] += t.victims[i].work
		}
	}
	g.bounds = divide(work)
	return g
}

func (g grouping) link(a, b Kind) {
	if !slices.Contains(g.neighbours[a], b) {
		g.neighbours[a] = append(g.neighbours[a], b)
	}
}

// divide returns the ends of the parts of the groups, in proportion to their work, in steps of 1/shareSteps of the whole and
// at least one step each.
func divide(work []float64) []float64 {
	total := 0.0
	for _, w := range work {
		total += w
	}
	steps := make([]float64, len(work))
	sum := 0.0
	for i, w := range work {
		steps[i] = 1
		if total > 0 {
			steps[i] = max(math.Round(shareSteps*w/total), 1)
		}
		sum += steps[i]
	}
	bounds, end := make([]float64, len(work)), 0.0
	for i := range steps {
		end += steps[i] / sum
		bounds[i] = end
	}
	return bounds
}

// SeparatesAny tells whether any kinds are to be kept apart.
func (t *Table) SeparatesAny() bool { return len(t.groups.group) > 0 }

// Separates tells whether the kind is to be kept apart from any other one.
func (t *Table) Separates(kind Kind) bool {
	_, ok := t.groups.groupOf(kind)
	return ok
}

// Distance returns how far the runner at the given position is from those that are meant for the kind, in steps of
// 1/shareSteps of all runners: 0 for these, and for all runners if the kind is in no pair. If there is no room on them, all
// entries use the nearest others, so that few runners have both kinds.
func (t *Table) Distance(kind Kind, position float64) int {
	n, ok := t.groups.groupOf(kind)
	if !ok {
		return 0
	}
	begin, end := 0.0, t.groups.bounds[n]
	if n > 0 {
		begin = t.groups.bounds[n-1]
	}
	switch {
	case position < begin:
		return int((begin-position)*shareSteps) + 1
	case position >= end && n < len(t.groups.bounds)-1:
		return int((position-end)*shareSteps) + 1
	}
	return 0
}

// Interferes tells whether two kinds are to be kept apart.
func (t *Table) Interferes(a, b Kind) bool { return slices.Contains(t.groups.neighbours[a], b) }
