package scheduler

import (
	"sort"
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
)

// orderGangsByDeadline reorders the gangs of each class among themselves, in a list sorted by
// priority and age: first, by age, those that can still meet an aim. When more is
// asked than can be done, age alone would spend all room on gangs that are late
// whatever is done, until every gang is late.
func (c *Scheduler) orderGangsByDeadline(now time.Duration, waiting []*jobstate.Job) {
	type queue struct {
		class, team string
		level       int
	}
	slots := map[queue][]int{}
	for i, j := range waiting {
		if j.Spec.Shape == protocol.Gang {
			q := queue{j.Spec.Class, j.Spec.Team, j.EffectivePriority}
			slots[q] = append(slots[q], i)
		}
	}
	for _, at := range slots {
		jobs := make([]*jobstate.Job, len(at))
		for k, i := range at {
			jobs[k] = waiting[i]
		}
		sort.SliceStable(
			jobs,
			func(a, b int) bool { return c.deadlineTier(now, jobs[a]) < c.deadlineTier(now, jobs[b]) },
		)
		for k, i := range at {
			waiting[i] = jobs[k]
		}
	}
}

// deadlineTier orders a class's gangs: 0 for one that can still start in the time that an
// aim asks for, 1 for one that can at least still be done in time, 2 for others.
// A gang that has waited twice as long as its longest aim comes first again:
// none waits for ever.
func (c *Scheduler) deadlineTier(now time.Duration, j *jobstate.Job) int {
	waited := (now - j.WaitingSince).Seconds()
	class, longest := 2, 0.0
	for _, o := range c.cfg.Objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		longest = max(longest, o.WithinSeconds)
		switch {
		case o.Kind == "wait" && !j.StartCounted && waited <= o.WithinSeconds:
			class = 0
		case o.Kind == "finished" && waited+j.Spec.EstimateSeconds <= o.WithinSeconds:
			class = min(class, 1)
		}
	}
	if longest == 0 || waited > 2*longest {
		return 0
	}
	return class
}
