package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/partition"
)

// finder looks for machines within a cycle. Tests have another one that looks at all of them.
type finder interface {
	// best returns the allowed candidate with the lowest score for a task of the job, or nil.
	best(now time.Duration, j *job, l *limits, allowed func(*candidate) bool) *candidate
	// withImage is best among those that have the job's image.
	withImage(now time.Duration, j *job, l *limits, allowed func(*candidate) bool) *candidate
	// cheapest returns the candidate on which it costs least to make room for a task of the
	// job, by stopping work of at least the given level, and what would have to leave.
	cheapest(now time.Duration, j *job, l *limits, within time.Duration, level int) (*candidate, []*partition.Placement)
	// nearest returns the candidate with most free room of those that the job allows and that
	// could hold a task of it, but for those taken.
	nearest(now time.Duration, j *job, l *limits, taken map[*candidate]bool) *candidate
}

// Bounds of one search. In a fleet of up to maxTies machines a search finds what looking at all
// of them would find. In a larger one, of machines that score the same it need not find the first
// by name, and beyond maxLooks machines it may miss one that is better by a little.
const (
	maxLooks = 1024
	maxTies  = 64
)

// indexFinder finds machines by the roster's index and the partition's views.
type indexFinder struct{ c *Core }

func sortCandidates(list []*candidate) {
	slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.m.Name, b.m.Name) })
}

// best first looks at the machines that have the image or fetch it. The others are looked at
// only if one of them could score better, with the fetch that it would need.
func (f indexFinder) best(now time.Duration, j *job, l *limits, allowed func(*candidate) bool) *candidate {
	var best machineindex.Best[*candidate]
	q := f.query(j, l)
	if !f.c.roster.index.MayFit(q) {
		return nil
	}
	judge := f.judge(now, j, l, allowed)
	complete := f.lookAtImage(now, j, q, judge, &best)
	f.lookAtFetching(now, j, judge, &best)
	complete = f.lookAtRest(j, q, judge, &best) && complete
	f.c.removeClosed(now)
	f.widen(j, best.Found, complete)
	return found(&best)
}

func (f indexFinder) withImage(now time.Duration, j *job, l *limits, allowed func(*candidate) bool) *candidate {
	var best machineindex.Best[*candidate]
	f.lookAtImage(now, j, f.query(j, l), f.judge(now, j, l, allowed), &best)
	return found(&best)
}

func found(best *machineindex.Best[*candidate]) *candidate {
	if !best.Found {
		return nil
	}
	return best.Entry.Value
}

// mostWidened is how often the looks of a job's searches double.
const mostWidened = 10

// widen lets the next search for a job look at twice as many machines when this one found none
// among those that it may look at: or the job would be passed over for ever while the first ones
// have room that is not for it.
func (f indexFinder) widen(j *job, found, complete bool) {
	switch {
	case found:
		j.widened = 0
	case !complete:
		j.widened = min(j.widened+1, mostWidened)
	}
}

// judgement returns the score of a candidate, and whether it will do.
type judgement func(*candidate) (float64, bool)

// judge returns the judgement by a job's score.
func (f indexFinder) judge(now time.Duration, j *job, l *limits, allowed func(*candidate) bool) judgement {
	return func(x *candidate) (float64, bool) {
		f.c.looks++
		if !f.c.open(now, x) || !allowed(x) {
			return 0, false
		}
		return f.c.score(now, j, x, l), true
	}
}

// lookAtImage looks at the machines that certainly have the job's image.
func (f indexFinder) lookAtImage(now time.Duration, j *job, q machineindex.Query, judge judgement, best *machineindex.Best[*candidate]) (complete bool) {
	set := f.c.machines.MachinesWithImage(j.spec.Image)
	if set == nil {
		return true
	}
	has := func(x *candidate) (float64, bool) {
		if !x.m.HasImage(j.spec.Image) || f.c.machines.FetchTime(now, x.m, &j.spec) > 0 {
			return 0, false
		}
		return judge(x)
	}
	if set.Len() <= q.Looks {
		f.lookAtSet(set, j, f.leastOf(q, j), has, best)
		return true
	}
	q.Bound = func(capacity, free partition.Resources) float64 { return free.Minus(j.need).DominantShare(capacity) }
	if f.c.aimless(j) {
		q.Bound = func(_, _ partition.Resources) float64 { return 1 } // all score the same
	}
	return f.c.roster.index.Search(q, best, has)
}

// lookAtFetching looks at the machines that fetch the job's image.
func (f indexFinder) lookAtFetching(now time.Duration, j *job, judge judgement, best *machineindex.Best[*candidate]) {
	if set := f.c.machines.MachinesFetching(j.spec.Image); set != nil {
		f.lookAtSet(set, j, math.Inf(-1), func(x *candidate) (float64, bool) {
			if f.c.machines.FetchTime(now, x.m, &j.spec) == 0 {
				return 0, false // it was looked at already
			}
			return judge(x)
		}, best)
	}
}

// leastOf is the least that a machine with the job's image can score.
func (f indexFinder) leastOf(q machineindex.Query, j *job) float64 {
	least := math.Inf(1)
	f.c.roster.index.Pools(func(p machineindex.Pool) { least = min(least, q.Base(p)) })
	if f.c.aimless(j) {
		least++
	}
	return least
}

// lookAtSet looks at machines in name order, until one scores the least that is possible.
func (f indexFinder) lookAtSet(set *partition.MachineSet, j *job, least float64, judge judgement, best *machineindex.Best[*candidate]) {
	looks := 0
	set.Scan(func(m *partition.Machine) bool {
		if looks++; looks > f.c.searchLooks<<j.widened {
			return false
		}
		x, ok := m.SchedulerData.(*candidate)
		if !ok || !f.c.roster.index.Has(x.entry) || !j.need.Fits(x.free) {
			return true
		}
		score, ok := judge(x)
		if ok {
			best.Offer(x.entry, score)
		}
		return !ok || score > least
	})
}

// lookAtRest looks at the machines without the job's image.
func (f indexFinder) lookAtRest(j *job, q machineindex.Query, judge judgement, best *machineindex.Best[*candidate]) (complete bool) {
	base := q.Base
	q.Base = func(p machineindex.Pool) float64 { return base(p) + f.c.fetchS(j, p.Type) }
	prefersRoom := f.c.prefersRoom(j)
	q.Bound = f.fetchBound(j, prefersRoom)
	if prefersRoom {
		q.Order = machineindex.Loosest
	}
	return f.c.roster.index.Search(q, best, func(x *candidate) (float64, bool) {
		if x.m.HasImage(j.spec.Image) {
			return 0, false
		}
		return judge(x)
	})
}

// query returns a query for machines with room for a task of the job, tightest first.
func (f indexFinder) query(j *job, l *limits) machineindex.Query {
	return machineindex.Query{Need: j.need, Looks: f.c.searchLooks << j.widened, Ties: maxTies, Base: func(p machineindex.Pool) float64 {
		if !f.c.poolAllows(j, l, p) {
			return math.Inf(1)
		}
		return f.c.poolScore(j, l, p)
	}}
}

// fetchBound bounds what a machine without the job's image scores beyond one fetch of it (see
// score). While other fetches share its rate, or where a fetch outlasts the aim, the score
// falls with the room on the machine, by no more than that fetch takes.
func (f indexFinder) fetchBound(j *job, prefersRoom bool) func(capacity, free partition.Resources) float64 {
	aim := f.c.waitAim(j.spec.Class)
	if prefersRoom {
		longest := 0.0
		for name := range f.c.machines.MachineTypes() {
			longest = max(longest, f.c.fetchS(j, name))
		}
		least := 1 - longest/2
		if !f.c.aimless(j) {
			least = min(least, -1)
		}
		return func(_, _ partition.Resources) float64 { return least }
	}
	crowded := math.Inf(1)
	for name := range f.c.machines.MachineTypes() {
		crowded = min(crowded, aim/partition.SlowFetchFactor-1-f.c.fetchS(j, name))
	}
	return func(capacity, free partition.Resources) float64 {
		return min(free.Minus(j.need).DominantShare(capacity), crowded)
	}
}

// nearest looks at the machines with most room first.
func (f indexFinder) nearest(now time.Duration, j *job, l *limits, taken map[*candidate]bool) *candidate {
	var best machineindex.Best[*candidate]
	q := f.query(j, l)
	q.Any, q.Order = true, machineindex.Loosest
	base := q.Base
	q.Base = func(p machineindex.Pool) float64 {
		if math.IsInf(base(p), 1) {
			return base(p)
		}
		return 0
	}
	q.Bound = func(capacity, free partition.Resources) float64 { return -free.DominantShare(capacity) }
	f.c.roster.index.Search(q, &best, func(x *candidate) (float64, bool) {
		capacity := partition.CapacityOf(x.kind)
		if taken[x] || !f.c.open(now, x) || !f.c.fits(now, j, x, l) || !j.need.Fits(capacity) {
			return 0, false
		}
		return -x.free.DominantShare(capacity), true
	})
	f.c.removeClosed(now)
	return found(&best)
}
