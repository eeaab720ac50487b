package machineregistry

import (
	"pinebay/internal/protocol"
)

// Resources is an amount of CPUs, GPUs and memory: the request of a task or the capacity of a machine.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// tolerance is the amount by which a request may exceed a capacity, because sums of decimal fractions are inexact.
const tolerance = 1e-6

// Fits reports whether r does not exceed a capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPUs <= capacity.CPUs+tolerance &&
		r.GPUs <= capacity.GPUs+tolerance &&
		r.MemoryGB <= capacity.MemoryGB+tolerance
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Minus returns r - o. Amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// DominantShare returns the largest fraction of a capacity's CPUs, GPUs or memory that r uses, as in dominant
// resource fairness. Resources that the capacity does not include are ignored.
func (r Resources) DominantShare(capacity Resources) float64 {
	return max(
		fraction(r.CPUs, capacity.CPUs),
		fraction(r.GPUs, capacity.GPUs),
		fraction(r.MemoryGB, capacity.MemoryGB),
	)
}

func fraction(amount, capacity float64) float64 {
	if capacity > 0 {
		return max(0, amount/capacity)
	}
	return 0
}

// TaskResources returns the resources that each task of the job requests.
func TaskResources(j *protocol.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// CapacityOf returns the capacity of a machine of the type.
func CapacityOf(t *protocol.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }
