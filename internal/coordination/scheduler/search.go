package scheduler

import (
	"math"
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
)

// machineFinder looks for machines within a cycle. Tests have another one that looks at all of them.
type machineFinder interface {
	// bestMachine returns the allowed candidate with the lowest score for a task of the job, or nil.
	bestMachine(
		now time.Duration,
		j *jobstate.Job,
		l *zoneLimits,
		allowed func(*candidates.Candidate) bool,
	) *candidates.Candidate
	// bestWithImage is best among those that have the job's image.
	bestWithImage(
		now time.Duration,
		j *jobstate.Job,
		l *zoneLimits,
		allowed func(*candidates.Candidate) bool,
	) *candidates.Candidate
	// cheapestPreemption returns the candidate on which it costs least to make room for a task of the
	// job, by stopping work of at least the given level, and what would have to leave.
	cheapestPreemption(
		now time.Duration,
		j *jobstate.Job,
		l *zoneLimits,
		within time.Duration,
		level int,
	) (*candidates.Candidate, []*machineregistry.Placement)
	// mostFreeCapacity returns the candidate with most free room of those that the job allows and that
	// could hold a task of it, but for those taken.
	mostFreeCapacity(
		now time.Duration,
		j *jobstate.Job,
		l *zoneLimits,
		taken map[*candidates.Candidate]bool,
	) *candidates.Candidate
}

// Bounds of one search. In a fleet of up to maxExaminedTies machines a search finds what looking at all
// of them would find. In a larger one, of machines that score the same it need not find the first
// by name, and beyond maxExaminedMachines machines it may miss one that is better by a little.
const (
	maxExaminedMachines = 1024
	maxExaminedTies     = 64
)

// indexFinder finds machines by the candidate index and the registry's sets of machines.
type indexFinder struct {
	scheduler   *Scheduler
	maxExamined int    // by a search that was not widened
	examined    uint64 // by all searches so far
	// victimCursor is the machine at which the next search for victims of a large fleet begins.
	victimCursor string
}

func newIndexFinder(c *Scheduler) *indexFinder {
	return &indexFinder{scheduler: c, maxExamined: maxExaminedMachines}
}

// bestMachine first looks at the machines that have the image or fetch it. The others are looked at
// only if one of them could score better, with the fetch that it would need.
func (f *indexFinder) bestMachine(
	now time.Duration,
	j *jobstate.Job,
	l *zoneLimits,
	allowed func(*candidates.Candidate) bool,
) *candidates.Candidate {
	var best machineindex.Best[*candidates.Candidate]
	q := f.query(j, l)
	if !f.scheduler.candidates.Machines.MayFit(q) {
		return nil
	}
	judge := f.evaluator(now, j, l, allowed)
	complete := f.searchWithImage(now, j, q, judge, &best)
	f.searchFetching(now, j, judge, &best)
	complete = f.searchWithoutImage(j, q, judge, &best) && complete
	f.scheduler.candidates.RemoveUnschedulable(now)
	f.widenNextSearch(j, best.Found, complete)
	return foundCandidate(&best)
}

func (f *indexFinder) bestWithImage(
	now time.Duration,
	j *jobstate.Job,
	l *zoneLimits,
	allowed func(*candidates.Candidate) bool,
) *candidates.Candidate {
	var best machineindex.Best[*candidates.Candidate]
	f.searchWithImage(now, j, f.query(j, l), f.evaluator(now, j, l, allowed), &best)
	return foundCandidate(&best)
}

func foundCandidate(best *machineindex.Best[*candidates.Candidate]) *candidates.Candidate {
	if !best.Found {
		return nil
	}
	return best.Entry.Value
}

// maxSearchWidenings is how often the looks of a job's searches double.
const maxSearchWidenings = 10

// widenNextSearch lets the next search for a job look at twice as many machines when this one found none
// among those that it may look at: or the job would be passed over for ever while the first ones
// have room that is not for it.
func (f *indexFinder) widenNextSearch(j *jobstate.Job, found, complete bool) {
	switch {
	case found:
		j.SearchDoublings = 0
	case !complete:
		j.SearchDoublings = min(j.SearchDoublings+1, maxSearchWidenings)
	}
}

// evaluation returns the score of a candidate, and whether it will do.
type evaluation func(*candidates.Candidate) (float64, bool)

// evaluator returns the judgement by a job's score.
func (f *indexFinder) evaluator(
	now time.Duration,
	j *jobstate.Job,
	l *zoneLimits,
	allowed func(*candidates.Candidate) bool,
) evaluation {
	return func(x *candidates.Candidate) (float64, bool) {
		f.examined++
		if !f.scheduler.candidates.CheckSchedulable(now, x) || !allowed(x) {
			return 0, false
		}
		return f.scheduler.score(now, j, x, l), true
	}
}

// searchWithImage looks at the machines that certainly have the job's image.
func (f *indexFinder) searchWithImage(
	now time.Duration,
	j *jobstate.Job,
	q machineindex.Query,
	judge evaluation,
	best *machineindex.Best[*candidates.Candidate],
) (complete bool) {
	set := f.scheduler.machines.MachinesWithImage(j.Spec.Image)
	if set == nil {
		return true
	}
	has := func(x *candidates.Candidate) (float64, bool) {
		if !x.Machine.HasImage(j.Spec.Image) || f.scheduler.machines.FetchTime(now, x.Machine, &j.Spec) > 0 {
			return 0, false
		}
		return judge(x)
	}
	if set.Len() <= q.MaxExamined {
		f.searchSet(set, j, f.minScoreWithImage(q, j), has, best)
		return true
	}
	q.ScoreBound = func(capacity, free machineregistry.Resources) float64 {
		return free.Minus(j.TaskResources).DominantShare(capacity)
	}
	if f.scheduler.lacksStartLatencyObjective(j) {
		q.ScoreBound = func(_, _ machineregistry.Resources) float64 { return 1 } // all score the same
	}
	return f.scheduler.candidates.Machines.Search(q, best, has)
}

// searchFetching looks at the machines that fetch the job's image.
func (f *indexFinder) searchFetching(
	now time.Duration,
	j *jobstate.Job,
	judge evaluation,
	best *machineindex.Best[*candidates.Candidate],
) {
	if set := f.scheduler.machines.MachinesFetching(j.Spec.Image); set != nil {
		f.searchSet(set, j, math.Inf(-1), func(x *candidates.Candidate) (float64, bool) {
			if f.scheduler.machines.FetchTime(now, x.Machine, &j.Spec) == 0 {
				return 0, false // it was looked at already
			}
			return judge(x)
		}, best)
	}
}

// minScoreWithImage is the least that a machine with the job's image can score.
func (f *indexFinder) minScoreWithImage(q machineindex.Query, j *jobstate.Job) float64 {
	least := math.Inf(1)
	f.scheduler.candidates.Machines.Pools(func(p machineindex.Pool) { least = min(least, q.PoolScore(p)) })
	if f.scheduler.lacksStartLatencyObjective(j) {
		least++
	}
	return least
}

// searchSet looks at machines in name order, until one scores the least that is possible.
func (f *indexFinder) searchSet(
	set *machineregistry.MachineSet,
	j *jobstate.Job,
	least float64,
	judge evaluation,
	best *machineindex.Best[*candidates.Candidate],
) {
	looks := 0
	set.Scan(func(m *machineregistry.Machine) bool {
		if looks++; looks > f.maxExamined<<j.SearchDoublings {
			return false
		}
		x := f.scheduler.candidates.Indexed(m)
		if x == nil || !j.TaskResources.Fits(x.Free) {
			return true
		}
		score, ok := judge(x)
		if ok {
			best.Offer(x.Entry, score)
		}
		return !ok || score > least
	})
}

// searchWithoutImage looks at the machines without the job's image.
func (f *indexFinder) searchWithoutImage(
	j *jobstate.Job,
	q machineindex.Query,
	judge evaluation,
	best *machineindex.Best[*candidates.Candidate],
) (complete bool) {
	base := q.PoolScore
	q.PoolScore = func(p machineindex.Pool) float64 { return base(p) + f.scheduler.fetchSeconds(j, p.Type) }
	prefersRoom := f.scheduler.prefersFreeCapacity(j)
	q.ScoreBound = f.scoreBoundWithoutImage(j, prefersRoom)
	if prefersRoom {
		q.Order = machineindex.WorstFit
	}
	return f.scheduler.candidates.Machines.Search(q, best, func(x *candidates.Candidate) (float64, bool) {
		if x.Machine.HasImage(j.Spec.Image) {
			return 0, false
		}
		return judge(x)
	})
}

// query returns a query for machines with room for a task of the job, tightest first.
func (f *indexFinder) query(j *jobstate.Job, l *zoneLimits) machineindex.Query {
	return machineindex.Query{
		Need:        j.TaskResources,
		MaxExamined: f.maxExamined << j.SearchDoublings,
		MaxTies:     maxExaminedTies,
		PoolScore: func(p machineindex.Pool) float64 {
			if !f.scheduler.poolFeasible(j, l, p) {
				return math.Inf(1)
			}
			return f.scheduler.poolScore(j, l, p)
		},
	}
}

// scoreBoundWithoutImage bounds what a machine without the job's image scores beyond one fetch of it (see
// score). While other fetches share its rate, or where a fetch outlasts the aim, the score
// falls with the room on the machine, by no more than that fetch takes.
func (f *indexFinder) scoreBoundWithoutImage(
	j *jobstate.Job,
	prefersRoom bool,
) func(capacity, free machineregistry.Resources) float64 {
	aim := f.scheduler.startLatencyObjective(j.Spec.Class)
	if prefersRoom {
		longest := 0.0
		for name := range f.scheduler.machines.MachineTypes() {
			longest = max(longest, f.scheduler.fetchSeconds(j, name))
		}
		least := 1 - longest/2
		if !f.scheduler.lacksStartLatencyObjective(j) {
			least = min(least, -1)
		}
		return func(_, _ machineregistry.Resources) float64 { return least }
	}
	crowded := math.Inf(1)
	for name := range f.scheduler.machines.MachineTypes() {
		crowded = min(crowded, aim/machineregistry.SlowFetchFactor-1-f.scheduler.fetchSeconds(j, name))
	}
	return func(capacity, free machineregistry.Resources) float64 {
		return min(free.Minus(j.TaskResources).DominantShare(capacity), crowded)
	}
}

// mostFreeCapacity looks at the machines with most room first.
func (f *indexFinder) mostFreeCapacity(
	now time.Duration,
	j *jobstate.Job,
	l *zoneLimits,
	taken map[*candidates.Candidate]bool,
) *candidates.Candidate {
	var best machineindex.Best[*candidates.Candidate]
	q := f.query(j, l)
	q.IgnoreFree, q.Order = true, machineindex.WorstFit
	base := q.PoolScore
	q.PoolScore = func(p machineindex.Pool) float64 {
		if math.IsInf(base(p), 1) {
			return base(p)
		}
		return 0
	}
	q.ScoreBound = func(capacity, free machineregistry.Resources) float64 { return -free.DominantShare(capacity) }
	f.scheduler.candidates.Machines.Search(q, &best, func(x *candidates.Candidate) (float64, bool) {
		capacity := x.Capacity()
		if taken[x] || !f.scheduler.candidates.CheckSchedulable(now, x) || !f.scheduler.feasible(now, j, x, l) ||
			!j.TaskResources.Fits(capacity) {
			return 0, false
		}
		return -x.Free.DominantShare(capacity), true
	})
	f.scheduler.candidates.RemoveUnschedulable(now)
	return foundCandidate(&best)
}
