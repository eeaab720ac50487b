package placement

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
)

// gangGroup identifies a group of gangs that are reordered among themselves.
type gangGroup struct {
	class, team string
	priority    int
}

// OrderGangsByObjective reorders the gangs of each class, team and priority among themselves in a list that is in
// scheduling order: gangs that can still meet a service-level objective go first. If gangs were ordered by age alone,
// an overloaded fleet would spend its capacity on gangs that are already late, until every gang is late.
func OrderGangsByObjective(now time.Duration, waiting []*jobstate.Job, objectives []config.Objective) {
	positions := map[gangGroup][]int{}
	for i, j := range waiting {
		if j.Spec.Shape == protocol.Gang {
			group := gangGroup{class: j.Spec.Class, team: j.Spec.Team, priority: j.EffectivePriority}
			positions[group] = append(positions[group], i)
		}
	}
	for _, indexes := range positions {
		gangs := make([]*jobstate.Job, len(indexes))
		for k, i := range indexes {
			gangs[k] = waiting[i]
		}
		slices.SortStableFunc(gangs, func(a, b *jobstate.Job) int {
			return cmp.Compare(objectiveTierOf(now, a, objectives), objectiveTierOf(now, b, objectives))
		})
		for k, i := range indexes {
			waiting[i] = gangs[k]
		}
	}
}

// objectiveTier ranks a gang by the objective that it can still meet. Lower tiers are scheduled first.
type objectiveTier int

const (
	canMeetStartLatency objectiveTier = iota
	canMeetCompletion
	cannotMeetObjective
)

// starvationFactor is the multiple of a gang's longest objective after which the gang returns to the first tier, so
// that it does not starve.
const starvationFactor = 2

// objectiveTierOf returns the tier of a gang. Gangs without an objective, and gangs that have waited too long, are in
// the first tier.
func objectiveTierOf(now time.Duration, j *jobstate.Job, objectives []config.Objective) objectiveTier {
	waited := (now - j.WaitingSince).Seconds()
	tier, longest := cannotMeetObjective, 0.0
	for _, o := range objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		longest = max(longest, o.WithinSeconds)
		switch {
		case o.Kind == config.ObjectiveStartLatency && !j.StartCounted && waited <= o.WithinSeconds:
			tier = canMeetStartLatency
		case o.Kind == config.ObjectiveCompletion && waited+j.Spec.EstimateSeconds <= o.WithinSeconds:
			tier = min(tier, canMeetCompletion)
		}
	}
	if longest == 0 || waited > starvationFactor*longest {
		return canMeetStartLatency
	}
	return tier
}
