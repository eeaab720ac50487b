package machineregistry

import (
	"pinebay/internal/protocol"
)

// Resources is an amount of processors, accelerators and memory: what a task requests, or what a
// machine offers.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// tolerance is by how much an amount may exceed a capacity: sums of decimal fractions are inexact.
const tolerance = 1e-6

// Fits reports whether n fits into a capacity.
func (n Resources) Fits(capacity Resources) bool {
	return n.CPUs <= capacity.CPUs+tolerance &&
		n.GPUs <= capacity.GPUs+tolerance &&
		n.MemoryGB <= capacity.MemoryGB+tolerance
}

// Plus returns the sum of both.
func (n Resources) Plus(o Resources) Resources {
	return Resources{n.CPUs + o.CPUs, n.GPUs + o.GPUs, n.MemoryGB + o.MemoryGB}
}

// Minus returns n less o. Amounts may become negative.
func (n Resources) Minus(o Resources) Resources {
	return Resources{n.CPUs - o.CPUs, n.GPUs - o.GPUs, n.MemoryGB - o.MemoryGB}
}

// DominantShare returns the largest fraction of a capacity's processors, accelerators or memory
// that n takes, as in dominant resource fairness. What the capacity has none of is left out.
func (n Resources) DominantShare(capacity Resources) float64 {
	return max(
		fraction(n.CPUs, capacity.CPUs),
		fraction(n.GPUs, capacity.GPUs),
		fraction(n.MemoryGB, capacity.MemoryGB),
	)
}

func fraction(amount, capacity float64) float64 {
	if capacity > 0 {
		return max(0, amount/capacity)
	}
	return 0
}

// TaskResources returns what each task of the job requests.
func TaskResources(j *protocol.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// CapacityOf returns what a machine of the type offers.
func CapacityOf(t *protocol.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }
