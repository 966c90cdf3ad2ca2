package lavendercourse

// Resources is what a task requires of its worker, or the capacity of a worker.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// CPU is in thousandths of a core.
	CPU int
	// Memory is in MB.
	Memory int
	// Accelerators is the number of GPUs.
	Accelerators int
}

// IsValid reports whether no component is negative.
func (r Resources) IsValid() bool { return r.CPU >= 0 && r.Memory >= 0 && r.Accelerators >= 0 }

// Fits reports whether no component of r exceeds that of available.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.Memory <= available.Memory && r.Accelerators <= available.Accelerators
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns r less o. Components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}
