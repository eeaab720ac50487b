package machineregistry

import "pinebay/internal/protocol"

// PriorityLevels is the number of priorities. Level 0 is the most important one.
const PriorityLevels = 4

// machineUsage sums up the resources that a machine's placements hold.
type machineUsage struct {
	total          Resources
	stopping       placementUsage                 // of placements that are to end
	byPriority     [PriorityLevels]placementUsage // of each priority
	checkpointable [PriorityLevels]placementUsage // of those among them that can save a checkpoint
}

// placementUsage sums up the resources of some placements.
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
		u.resources = Resources{} // without the rounding errors of the sums
	}
}

// PreemptibleResources is an upper bound of what is freed if all work of the given level and of
// those less important ends, with what is stopping anyway.
func (m *Machine) PreemptibleResources(level int) Resources {
	sum := m.usage.stopping.resources
	for l := max(0, level); l < PriorityLevels; l++ {
		sum = sum.Plus(m.usage.byPriority[l].resources)
	}
	return sum
}

// CheckpointableResources is what work of the given level and of those less important holds that
// can save a checkpoint when it is stopped. Services are not counted.
func (m *Machine) CheckpointableResources(level int) Resources {
	var sum Resources
	for l := max(0, level); l < PriorityLevels; l++ {
		sum = sum.Plus(m.usage.checkpointable[l].resources)
	}
	return sum
}

// ArrayUsage returns the resources that tasks of job arrays hold.
func (m *Machine) ArrayUsage() Resources {
	var sum Resources
	for _, pl := range m.placements {
		if pl.Job != nil && pl.Job.Shape == protocol.Array {
			sum = sum.Plus(pl.Resources)
		}
	}
	return sum
}

// checkpointable reports whether a placement's task can save a checkpoint when it is stopped.
func checkpointable(pl *Placement) bool {
	return pl.Job != nil && pl.Job.Shape != protocol.Service && pl.Job.CheckpointIntervalSeconds > 0
}

// clampedPriorityLevel is the level by which a placement is counted.
func clampedPriorityLevel(pl *Placement) int { return min(max(pl.PriorityLevel, 0), PriorityLevels-1) }
