package simulation

import "pinebay/internal/protocol"

// resourceTolerance allows for rounding errors when the resources of tasks add up to exactly a limit.
const resourceTolerance = 1e-6

// Resources are the resources of a machine or of tasks, or the limit of a team.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// resourcesOf returns the resources that one task of a job needs.
func resourcesOf(job *protocol.Job) Resources {
	return Resources{CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB}
}

func (r Resources) plus(other Resources) Resources {
	return Resources{CPUs: r.CPUs + other.CPUs, GPUs: r.GPUs + other.GPUs, MemoryGB: r.MemoryGB + other.MemoryGB}
}

func (r Resources) minus(other Resources) Resources {
	return Resources{CPUs: r.CPUs - other.CPUs, GPUs: r.GPUs - other.GPUs, MemoryGB: r.MemoryGB - other.MemoryGB}
}

// fitsIn reports whether the resources do not exceed a capacity.
func (r Resources) fitsIn(capacity Resources) bool {
	return r.CPUs <= capacity.CPUs+resourceTolerance &&
		r.GPUs <= capacity.GPUs+resourceTolerance &&
		r.MemoryGB <= capacity.MemoryGB+resourceTolerance
}
