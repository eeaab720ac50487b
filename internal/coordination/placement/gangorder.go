package placement

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
)

// gangGroup identifies gangs that are ordered among themselves.
type gangGroup struct {
	class, team string
	priority    int
}

// OrderGangsByDeadline reorders the gangs of each class, team and priority among themselves, in a list in
// scheduling order: those that can still meet an objective go first. Under overload, age alone would spend
// the capacity on gangs that are late in any case, until every gang is late.
func OrderGangsByDeadline(now time.Duration, waiting []*jobstate.Job, objectives []config.Objective) {
	positions := map[gangGroup][]int{}
	for i, j := range waiting {
		if j.Spec.Shape == protocol.Gang {
			group := gangGroup{class: j.Spec.Class, team: j.Spec.Team, priority: j.EffectivePriority}
			positions[group] = append(positions[group], i)
		}
	}
	for _, at := range positions {
		gangs := make([]*jobstate.Job, len(at))
		for k, i := range at {
			gangs[k] = waiting[i]
		}
		slices.SortStableFunc(gangs, func(a, b *jobstate.Job) int {
			return cmp.Compare(deadlineTierOf(now, a, objectives), deadlineTierOf(now, b, objectives))
		})
		for k, i := range at {
			waiting[i] = gangs[k]
		}
	}
}

// deadlineTier is a rank of gangs by what they can still achieve; lower goes first.
type deadlineTier int

const (
	canStartInTime deadlineTier = iota
	canFinishInTime
	lateInAnyCase
)

// starvationFactor is the multiple of its longest objective after which a gang goes first again, so that
// none waits for ever.
const starvationFactor = 2

// deadlineTierOf returns the tier of a gang. One without an objective, and one that has waited for too long,
// is in the first.
func deadlineTierOf(now time.Duration, j *jobstate.Job, objectives []config.Objective) deadlineTier {
	waited := (now - j.WaitingSince).Seconds()
	tier, longest := lateInAnyCase, 0.0
	for _, o := range objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		longest = max(longest, o.WithinSeconds)
		switch {
		case o.Kind == config.ObjectiveStartLatency && !j.StartCounted && waited <= o.WithinSeconds:
			tier = canStartInTime
		case o.Kind == config.ObjectiveCompletion && waited+j.Spec.EstimateSeconds <= o.WithinSeconds:
			tier = min(tier, canFinishInTime)
		}
	}
	if longest == 0 || waited > starvationFactor*longest {
		return canStartInTime
	}
	return tier
}
