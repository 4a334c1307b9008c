package ids

// Resources is an amount of what an instance offers or a task needs.
type Resources struct {
	Accelerators Accelerators `json:",omitempty"`
	Cores        MilliCores   `json:",omitempty"`
	Memory       MebiBytes    `json:",omitempty"`
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.Cores + o.Cores, r.Memory + o.Memory}
}

// Minus returns r without o; parts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.Cores - o.Cores, r.Memory - o.Memory}
}

// NotBelowZero returns r with its negative parts as zero.
func (r Resources) NotBelowZero() Resources {
	return Resources{max(0, r.Accelerators), max(0, r.Cores), max(0, r.Memory)}
}

// Fits reports whether r holds at least o in every part.
func (r Resources) Fits(o Resources) bool {
	return r.Accelerators >= o.Accelerators && r.Cores >= o.Cores && r.Memory >= o.Memory
}

// Copies returns how often o fits into r, at most limit.
func (r Resources) Copies(o Resources, limit int) int {
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

// Times returns r taken n times.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * Accelerators(n), r.Cores * MilliCores(n), r.Memory * MebiBytes(n)}
}
