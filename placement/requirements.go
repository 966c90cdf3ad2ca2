package placement

import "github.com/lavendercourse/lavendercourse/message"

// Requirements holds the requirements of a task or call on its agent.
type Requirements struct {
	// Call marks a call, which uses a connection and not a slot.
	Call bool
	// Memory in MB and Cores are the declared needs. 0 fits every worker.
	Memory int
	Cores  int
	// Exclude is the name of an agent that must not be chosen.
	Exclude string
	// HasStamp reports whether the entry holds a stamp of the agent that is recent enough for a start, which must carry
	// one. If HasStamp is nil, every agent counts as stamped.
	HasStamp func(agent string) bool
}

// fits reports whether the worker has enough memory and cores. A worker that reports 0 has no known limit.
func (r Requirements) fits(h message.Hello) bool {
	return (h.Memory == 0 || r.Memory <= h.Memory) && (h.Cores == 0 || r.Cores <= h.Cores)
}
