package placement

import (
	"math"

	"pinebay/internal/coordination/jobstate"
)

// ZoneLimits is where tasks of a job may still go, given where its other tasks are. Whoever places a task
// updates it. The zero value does not constrain pools, and admits no zone.
type ZoneLimits struct {
	OnlyZone        string // "" for any
	TasksPerZone    map[string]int
	MaxTasksPerZone int
}

// ZoneLimitsOf returns the limits of a job's next task.
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

// MaxSpreadPerZone returns how many of a spread job's tasks may be in one zone: half of them.
func MaxSpreadPerZone(tasks int) int { return (tasks + 1) / 2 }

// Allows reports whether one more task may go to a zone.
func (l *ZoneLimits) Allows(zone string) bool {
	return (l.OnlyZone == "" || l.OnlyZone == zone) && l.TasksPerZone[zone] < l.MaxTasksPerZone
}
