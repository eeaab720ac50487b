package partition

import (
	"pinebay/internal/protocol"
)

// Need is what a task takes of its machine.
type Need struct{ CPUs, GPUs, MemoryGB float64 }

const slack = 1e-6 // amounts are decimal numbers

// Fits says whether n fits into room.
func (n Need) Fits(room Need) bool {
	return n.CPUs <= room.CPUs+slack && n.GPUs <= room.GPUs+slack && n.MemoryGB <= room.MemoryGB+slack
}

// Plus returns the sum of both.
func (n Need) Plus(o Need) Need {
	return Need{n.CPUs + o.CPUs, n.GPUs + o.GPUs, n.MemoryGB + o.MemoryGB}
}

// Minus returns what is left of n without o.
func (n Need) Minus(o Need) Need {
	return Need{n.CPUs - o.CPUs, n.GPUs - o.GPUs, n.MemoryGB - o.MemoryGB}
}

// Share returns the largest part of cap that n takes.
func (n Need) Share(cap Need) float64 {
	s := 0.0
	for _, r := range [][2]float64{{n.CPUs, cap.CPUs}, {n.GPUs, cap.GPUs}, {n.MemoryGB, cap.MemoryGB}} {
		if r[1] > 0 {
			s = max(s, r[0]/r[1])
		}
	}
	return s
}

// NeedOf returns what each task of the job takes.
func NeedOf(j *protocol.Job) Need { return Need{j.CPUs, j.GPUs, j.MemoryGB} }

// CapacityOf returns what a machine of the type offers.
func CapacityOf(t *protocol.MachineType) Need { return Need{t.CPUs, t.GPUs, t.MemoryGB} }
