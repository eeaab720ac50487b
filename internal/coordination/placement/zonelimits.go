package placement

import (
	"math"

	"pinebay/internal/coordination/jobstate"
)

// ZoneLimits restricts the zones in which further tasks of a job may be placed, given the zones of its other tasks.
// The caller updates it after each placement. The zero value allows no zone, but places no restriction on pools in a
// Finder's searches.
type ZoneLimits struct {
	OnlyZone        string // the only allowed zone, or "" for any
	TasksPerZone    map[string]int
	MaxTasksPerZone int
}

// ZoneLimitsOf returns the limits for the next task of a job.
func ZoneLimitsOf(j *jobstate.Job) *ZoneLimits {
	l := &ZoneLimits{OnlyZone: j.Spec.Zone, TasksPerZone: map[string]int{}, MaxTasksPerZone: math.MaxInt}
	for _, pl := range j.Placements {
		l.TasksPerZone[pl.Zone]++
		if j.Spec.SameZone {
			l.OnlyZone = pl.Zone
		}
	}
	if j.Spec.Spread {
		l.MaxTasksPerZone = MaxSpreadPerZone(j.Spec.TaskCount)
	}
	return l
}

// MaxSpreadPerZone returns how many tasks of a spread job may run in one zone: half of them, rounded up.
func MaxSpreadPerZone(tasks int) int { return (tasks + 1) / 2 }

// Allows reports whether one more task may be placed in a zone.
func (l *ZoneLimits) Allows(zone string) bool {
	return (l.OnlyZone == "" || l.OnlyZone == zone) && l.TasksPerZone[zone] < l.MaxTasksPerZone
}
