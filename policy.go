package lavendercourse

// Candidate is an agent that can take one more task, as described to a placement policy.
type Candidate struct {
	// Index is the index of the agent in placement.Fleet.
	Index int
	// Used and Limit are the used and the total number of slots, or of connections for a call. Used counts queued tasks
	// too and may exceed Limit.
	Used  int
	Limit int
	// Home tells whether this entry is the agent's home, see placement.Homes.
	Home bool
	// Stale tells whether Used may be outdated, since the last load report of the agent is too old.
	Stale bool
	// Distance is the distance of the agent: 0 in the entry's own failure domain, 1 in its region, 2 in another region.
	Distance int
}

// Free reports whether the agent can start the task at once.
func (c Candidate) Free() bool { return c.Used < c.Limit }

// Policy chooses the agent that a task or call is sent to.
type Policy interface {
	// Choose returns the position of the chosen agent in c, which is not empty. Random choices use intn, which returns
	// a number from 0 to n-1.
	Choose(c []Candidate, intn func(n int) int) int
}
