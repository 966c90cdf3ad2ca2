package lavendercourse

// Resources is what a task needs of its worker, or what a worker has.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// CPU is in thousandths of a core, Memory in MB.
	CPU          int
	Memory       int
	Accelerators int
}

// Fits tells whether r is at most what room has of each kind.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.Accelerators <= room.Accelerators
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns what is left of r without o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}
