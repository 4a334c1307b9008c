package ids

// Resources are the resources that an instance offers or a task requires.
type Resources struct {
	Accelerators Accelerators `json:",omitempty"`
	Cores        MilliCores   `json:",omitempty"`
	Memory       MebiBytes    `json:",omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.Cores + o.Cores, r.Memory + o.Memory}
}

// Minus returns the difference of r and o; its fields may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.Cores - o.Cores, r.Memory - o.Memory}
}

// ClampToZero returns r with negative fields set to zero.
func (r Resources) ClampToZero() Resources {
	return Resources{max(0, r.Accelerators), max(0, r.Cores), max(0, r.Memory)}
}

// Contains reports whether o fits into r, i.e. every field of r is at least that of o.
func (r Resources) Contains(o Resources) bool {
	return r.Accelerators >= o.Accelerators && r.Cores >= o.Cores && r.Memory >= o.Memory
}

// Copies returns how many times o fits into r, at most limit. Nothing fits if a field of r is negative, as on a worker that is over its capacity.
func (r Resources) Copies(o Resources, limit int) int {
	if !r.Contains(Resources{}) {
		return 0
	}
	n := limit
	if o.Accelerators > 0 {
		n = min(n, int(r.Accelerators/o.Accelerators))
	}
	if o.Cores > 0 {
		n = min(n, int(r.Cores/o.Cores))
	}
	if o.Memory > 0 {
		n = min(n, int(r.Memory/o.Memory))
	}
	return max(n, 0)
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * Accelerators(n), r.Cores * MilliCores(n), r.Memory * MebiBytes(n)}
}
