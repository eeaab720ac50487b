package machineregistry

import "pinebay/internal/protocol"

// PriorityLevels is the number of priority levels. Level 0 is the most important.
const PriorityLevels = 4

// machineUsage holds the total resources of a machine's placements, by category.
type machineUsage struct {
	total          Resources
	stopping       placementUsage                 // placements that are being stopped
	byPriority     [PriorityLevels]placementUsage // placements of each priority level
	checkpointable [PriorityLevels]placementUsage // placements of each level that can save a checkpoint
}

// placementUsage is the number and the total resources of a set of placements.
type placementUsage struct {
	count     int
	resources Resources
}

func (u *placementUsage) add(resources Resources) {
	u.count++
	u.resources = u.resources.Plus(resources)
}

func (u *placementUsage) remove(resources Resources) {
	u.count--
	u.resources = u.resources.Minus(resources)
	if u.count == 0 {
		u.resources = Resources{} // discards rounding errors
	}
}

// PreemptibleResources returns an upper bound of the resources that become free if all placements at the given level
// and at less important levels end, along with all placements that are already being stopped. Placements that belong to
// both groups are counted twice.
func (m *Machine) PreemptibleResources(level int) Resources {
	sum := m.usage.stopping.resources
	for l := max(0, level); l < PriorityLevels; l++ {
		sum = sum.Plus(m.usage.byPriority[l].resources)
	}
	return sum
}

// CheckpointableResources returns the resources of the placements at the given level and at less important levels
// that can save a checkpoint when they are stopped. Services are not included.
func (m *Machine) CheckpointableResources(level int) Resources {
	var sum Resources
	for l := max(0, level); l < PriorityLevels; l++ {
		sum = sum.Plus(m.usage.checkpointable[l].resources)
	}
	return sum
}

// ArrayUsage returns the total resources of the tasks of array jobs.
func (m *Machine) ArrayUsage() Resources {
	var sum Resources
	for _, pl := range m.placements {
		if pl.Job != nil && pl.Job.Shape == protocol.Array {
			sum = sum.Plus(pl.Resources)
		}
	}
	return sum
}

// checkpointable reports whether the task of a placement can save a checkpoint when it is stopped.
func checkpointable(pl *Placement) bool {
	return pl.Job != nil && pl.Job.Shape != protocol.Service && pl.Job.CheckpointIntervalSeconds > 0
}

// clampedPriorityLevel returns the priority level of a placement, limited to the valid range.
func clampedPriorityLevel(pl *Placement) int { return min(max(pl.PriorityLevel, 0), PriorityLevels-1) }
