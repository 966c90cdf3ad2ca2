package placement

import "github.com/lavendercourse/lavendercourse/message"

// Want is what a task or call needs.
type Want struct {
	// Call marks work that uses a connection and not a slot.
	Call bool
	// Memory is in MB. 0 fits everywhere.
	Memory int
	Cores  int
	// Avoid names an agent that must not be chosen.
	Avoid string
	// Stamped tells whether there is a stamp of the agent that a start can carry. Nil means always.
	Stamped func(agent string) bool
}

func (w Want) fits(h message.Hello) bool {
	return (h.Memory == 0 || w.Memory <= h.Memory) && (h.Cores == 0 || w.Cores <= h.Cores)
}
