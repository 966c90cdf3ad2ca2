package lavendercourse

// Candidate is an agent with room for one more task, as a placement policy sees it.
type Candidate struct {
	// Index is the position of the agent in the fleet.
	Index int
	// Used and Limit count slots, or connections for a call.
	Used  int
	Limit int
	// Home tells whether the agent ranks this entry first.
	Home bool
	// Stale tells whether Used may no longer be true.
	Stale bool
	// Near is 0 for the entry's own failure domain, 1 for its region, 2 for another region.
	Near int
}

// Free tells whether the agent can start the task at once.
func (c Candidate) Free() bool { return c.Used < c.Limit }

// Policy chooses an agent. There is at least one candidate. Random choices use intn, which returns 0 to n-1.
type Policy interface {
	Choose(c []Candidate, intn func(n int) int) int
}
