package machineregistry

import (
	"pinebay/internal/protocol"
)

// Resources is what a task takes of its machine.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

const tolerance = 1e-6 // amounts are decimal numbers

// Fits says whether n fits into room.
func (n Resources) Fits(room Resources) bool {
	return n.CPUs <= room.CPUs+tolerance && n.GPUs <= room.GPUs+tolerance && n.MemoryGB <= room.MemoryGB+tolerance
}

// Plus returns the sum of both.
func (n Resources) Plus(o Resources) Resources {
	return Resources{n.CPUs + o.CPUs, n.GPUs + o.GPUs, n.MemoryGB + o.MemoryGB}
}

// Minus returns what is left of n without o.
func (n Resources) Minus(o Resources) Resources {
	return Resources{n.CPUs - o.CPUs, n.GPUs - o.GPUs, n.MemoryGB - o.MemoryGB}
}

// DominantShare returns the largest part of cap that n takes.
func (n Resources) DominantShare(cap Resources) float64 {
	s := 0.0
	for _, r := range [][2]float64{{n.CPUs, cap.CPUs}, {n.GPUs, cap.GPUs}, {n.MemoryGB, cap.MemoryGB}} {
		if r[1] > 0 {
			s = max(s, r[0]/r[1])
		}
	}
	return s
}

// TaskResources returns what each task of the job takes.
func TaskResources(j *protocol.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// CapacityOf returns what a machine of the type offers.
func CapacityOf(t *protocol.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }
