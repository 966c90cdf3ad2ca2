package placement

import (
	"github.com/rotisserie/eris"

	lavendercourse "github.com/lavendercourse/lavendercourse"
)

// ErrPolicy is returned for a policy name that does not exist.
var ErrPolicy = eris.New("unknown placement policy")

// PolicyNames are the names that NewPolicy takes. The first one is the default.
var PolicyNames = []string{"home", "least", "choices", "random"}

// NewPolicy returns the policy with the given name.
func NewPolicy(name string) (lavendercourse.Policy, error) {
	switch name {
	case "home", "":
		return home{}, nil
	case "least":
		return least{}, nil
	case "choices":
		return choices{}, nil
	case "random":
		return random{}, nil
	}
	return nil, eris.Wrapf(ErrPolicy, "%q is not one of %v", name, PolicyNames)
}

// home prefers a free slot on an agent that ranks this entry first, since no other entry competes for it as long as
// that one has room of its own.
type home struct{}

// Choose returns the index of the chosen candidate.
func (home) Choose(c []lavendercourse.Candidate, intn func(int) int) int {
	return best(c, intn, func(a, b lavendercourse.Candidate) int {
		return first(
			order(!a.Free(), !b.Free()),
			order(a.Free() && !a.Home, b.Free() && !b.Home),
			order(a.Stale, b.Stale),
			compareLoad(a, b),
			a.Near-b.Near,
		)
	})
}

// least takes the agent with the smallest share of slots in use.
type least struct{}

// Choose returns the index of the chosen candidate.
func (least) Choose(c []lavendercourse.Candidate, intn func(int) int) int {
	return best(c, intn, compareLoad)
}

// choices takes the less loaded one of two random agents.
type choices struct{}

// Choose returns the index of the chosen candidate.
func (choices) Choose(c []lavendercourse.Candidate, intn func(int) int) int {
	a, b := intn(len(c)), intn(len(c))
	if compareLoad(c[b], c[a]) < 0 {
		return b
	}
	return a
}

// random takes any agent with room.
type random struct{}

// Choose returns the index of the chosen candidate.
func (random) Choose(c []lavendercourse.Candidate, intn func(int) int) int {
	return intn(len(c))
}

// best returns a smallest candidate. Equal ones are chosen at random, so that entries do not all take the same one.
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

func compareLoad(a, b lavendercourse.Candidate) int {
	return a.Used*max(b.Limit, 1) - b.Used*max(a.Limit, 1)
}

func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func first(values ...int) int {
	for _, v := range values {
		if v != 0 {
			return v
		}
	}
	return 0
}
