package placement

import (
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
)

// SearchKey identifies jobs for which searches for a machine mostly find the same, so that a cycle with
// thousands of waiting jobs does not cost thousands of searches.
type SearchKey struct {
	// VictimPriority is the priority from which on work may be preempted, for searches for victims.
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
