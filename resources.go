package jaygw

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	CPU    MilliCores `json:"cpu-millicores"`
	Memory Bytes      `json:"memory-bytes"`
	// Accelerators is the number of whole devices.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. Dimensions may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * MilliCores(n), r.Memory * Bytes(n), r.Accelerators * int64(n)}
}

// Max returns the larger of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

// Min returns the smaller of r and o in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPU, o.CPU), min(r.Memory, o.Memory), min(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r is at most size in every dimension.
func (r Resources) Fits(size Resources) bool {
	return r.CPU <= size.CPU && r.Memory <= size.Memory && r.Accelerators <= size.Accelerators
}

// Negative reports whether any dimension is below zero.
func (r Resources) Negative() bool { return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0 }

// IsZero reports whether all dimensions are zero.
func (r Resources) IsZero() bool { return r == Resources{} }
