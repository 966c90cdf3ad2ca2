package placement

import (
	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
)

// ErrPolicy is returned for a policy name that does not exist.
var ErrPolicy = eris.New("unknown placement policy")

// PolicyNames lists the names that NewPolicy accepts. The first one is the default.
var PolicyNames = []string{"home", "least", "choices", "random"}

// NewPolicy returns the policy with the given name, or the default for an empty name.
func NewPolicy(name string) (lavendercourse.Policy, error) {
	switch name {
	case "home", "":
		return homePolicy{}, nil
	case "least":
		return leastLoadedPolicy{}, nil
	case "choices":
		return twoChoicesPolicy{}, nil
	case "random":
		return randomPolicy{}, nil
	}
	return nil, eris.Wrapf(ErrPolicy, "%q is not one of %v", name, PolicyNames)
}

// homePolicy prefers a free slot on an agent whose home is this entry, since the other entries leave that slot alone as
// long as agents of their own have free ones. Among equals, it takes an agent with a recent load report, then the least
// loaded one, then the nearest.
type homePolicy struct{}

// Choose returns the index of the chosen candidate.
func (homePolicy) Choose(c []lavendercourse.Candidate, intn func(int) int) int {
	return best(c, intn, func(a, b lavendercourse.Candidate) int {
		return firstNonZero(
			compareBool(!a.Free(), !b.Free()),
			compareBool(a.Free() && !a.Home, b.Free() && !b.Home),
			compareBool(a.Stale, b.Stale),
			compareLoad(a, b),
			a.Distance-b.Distance,
		)
	})
}

// leastLoadedPolicy takes the agent with the smallest fraction of slots or connections in use.
type leastLoadedPolicy struct{}

// Choose returns the index of the chosen candidate.
func (leastLoadedPolicy) Choose(c []lavendercourse.Candidate, intn func(int) int) int {
	return best(c, intn, compareLoad)
}

// twoChoicesPolicy takes the less loaded of two agents that are drawn at random (power of two choices).
type twoChoicesPolicy struct{}

// Choose returns the index of the chosen candidate.
func (twoChoicesPolicy) Choose(c []lavendercourse.Candidate, intn func(int) int) int {
	a, b := intn(len(c)), intn(len(c))
	if compareLoad(c[b], c[a]) < 0 {
		return b
	}
	return a
}

// randomPolicy takes any candidate at random.
type randomPolicy struct{}

// Choose returns the index of the chosen candidate.
func (randomPolicy) Choose(c []lavendercourse.Candidate, intn func(int) int) int {
	return intn(len(c))
}

// best returns the index of the candidate that sorts first by compare. It chooses among equal ones uniformly at random,
// so that the entries do not all take the same agent.
func best(c []lavendercourse.Candidate, intn func(int) int, compare func(a, b lavendercourse.Candidate) int) int {
	chosen, equal := 0, 1
	for i := 1; i < len(c); i++ {
		d := compare(c[i], c[chosen])
		if d < 0 {
			chosen, equal = i, 1
			continue
		}
		if d == 0 {
			equal++
			if intn(equal) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

// compareLoad orders candidates by the fraction of their slots or connections in use.
func compareLoad(a, b lavendercourse.Candidate) int {
	return a.Used*max(b.Limit, 1) - b.Used*max(a.Limit, 1)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// firstNonZero returns the first value that is not 0, or 0. It combines comparisons, the most significant one first.
func firstNonZero(values ...int) int {
	for _, v := range values {
		if v != 0 {
			return v
		}
	}
	return 0
}
