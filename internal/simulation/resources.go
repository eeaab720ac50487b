package simulation

import "pinebay/internal/protocol"

// resourceTolerance makes up for rounding when tasks reach a limit exactly.
const resourceTolerance = 1e-6

// Resources are those of a machine, of tasks or of a team's limit.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// resourcesOf returns the resources of a task of a job.
func resourcesOf(job *protocol.Job) Resources {
	return Resources{CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB}
}

func (r Resources) plus(other Resources) Resources {
	return Resources{CPUs: r.CPUs + other.CPUs, GPUs: r.GPUs + other.GPUs, MemoryGB: r.MemoryGB + other.MemoryGB}
}

func (r Resources) minus(other Resources) Resources {
	return Resources{CPUs: r.CPUs - other.CPUs, GPUs: r.GPUs - other.GPUs, MemoryGB: r.MemoryGB - other.MemoryGB}
}

// fitsIn reports whether the resources are available in a capacity.
func (r Resources) fitsIn(capacity Resources) bool {
	return r.CPUs <= capacity.CPUs+resourceTolerance &&
		r.GPUs <= capacity.GPUs+resourceTolerance &&
		r.MemoryGB <= capacity.MemoryGB+resourceTolerance
}
