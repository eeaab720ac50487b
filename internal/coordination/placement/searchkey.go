package placement

import (
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
)

// SearchKey identifies jobs whose searches for a machine have mostly the same outcome. Sharing the outcome keeps a
// cycle with thousands of waiting jobs from making thousands of searches.
type SearchKey struct {
	// VictimPriority is the most important priority level that a preemption search may preempt. It is 0 for searches
	// for free capacity.
	VictimPriority int

	team, image, zone, types string
	task                     machineregistry.Resources
	priority, placedTasks    int
	sameZone, spread, spot   bool
}

// SearchKeyOf returns the key of a job's searches for free capacity.
func SearchKeyOf(j *jobstate.Job) SearchKey {
	return SearchKey{
		team:        j.Spec.Team,
		image:       j.Spec.Image,
		zone:        j.Spec.Zone,
		types:       j.AllowedTypes,
		task:        j.TaskResources,
		priority:    j.EffectivePriority,
		placedTasks: len(j.Placements),
		sameZone:    j.Spec.SameZone,
		spread:      j.Spec.Spread,
		spot:        j.Spec.SpotAllowed,
	}
}
