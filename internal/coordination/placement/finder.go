package placement

import (
	"math"
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
)

// Limits of one search. With up to maxTies machines a search finds what examining all of them would find.
// With more, it need not find the first by name of those with equal scores, and with more than
// MaxExaminedMachines it may miss one that is slightly better.
const (
	// MaxExaminedMachines is the number of machines that one search examines.
	MaxExaminedMachines = 1024
	maxTies             = 64
	// maxSearchDoublings limits how often the limit of a job's searches doubles.
	maxSearchDoublings = 10
)

// Filter reports whether a candidate is admitted for the task at hand.
type Filter func(*candidates.Candidate) bool

// Finder finds machines through the candidate index and the registry's sets of machines.
type Finder struct {
	// MaxExamined limits a search that has not been widened.
	MaxExamined int
	// Examined counts the machines that all searches have examined.
	Examined uint64

	rules  *Rules
	budget *PreemptionBudget
	// victimCursor is the machine at which the next search for victims in a large fleet begins.
	victimCursor string
}

// NewFinder returns a finder. Its searches for victims are charged to the budget.
func NewFinder(rules *Rules, budget *PreemptionBudget) *Finder {
	return &Finder{MaxExamined: MaxExaminedMachines, rules: rules, budget: budget}
}

// evaluation returns the score of a candidate, and whether it is feasible.
type evaluation func(*candidates.Candidate) (score float64, feasible bool)

// best is the best candidate found so far.
type best = machineindex.Best[*candidates.Candidate]

func candidateOf(b *best) *candidates.Candidate {
	if !b.Found {
		return nil
	}
	return b.Entry.Value
}

// BestMachine returns the admitted candidate with the lowest score for a task of the job, or nil. It
// searches the machines that have the image or fetch it first, and the others only if one of them could
// score lower with the fetch that it needs.
func (f *Finder) BestMachine(
	now time.Duration,
	j *jobstate.Job,
	l *ZoneLimits,
	admits Filter,
) *candidates.Candidate {
	q := f.query(j, l)
	if !f.rules.Candidates.Machines.MayFit(q) {
		return nil
	}
	var found best
	evaluate := f.evaluator(now, j, l, admits)
	complete := f.searchWithImage(now, j, q, evaluate, &found)
	f.searchFetching(now, j, evaluate, &found)
	complete = f.searchWithoutImage(j, q, evaluate, &found) && complete
	f.rules.Candidates.RemoveUnschedulable(now)
	widenNextSearch(j, found.Found, complete)
	return candidateOf(&found)
}

// BestWithImage returns the admitted candidate with the lowest score among those that have the job's image,
// or nil.
func (f *Finder) BestWithImage(
	now time.Duration,
	j *jobstate.Job,
	l *ZoneLimits,
	admits Filter,
) *candidates.Candidate {
	var found best
	f.searchWithImage(now, j, f.query(j, l), f.evaluator(now, j, l, admits), &found)
	return candidateOf(&found)
}

// widenNextSearch doubles the limit of the job's next search if this one found no machine within its
// limit. Otherwise the job would starve while the first machines have capacity that is not for it.
func widenNextSearch(j *jobstate.Job, found, complete bool) {
	switch {
	case found:
		j.SearchDoublings = 0
	case !complete:
		j.SearchDoublings = min(j.SearchDoublings+1, maxSearchDoublings)
	}
}

// maxExamined returns the limit of the job's next search.
func (f *Finder) maxExamined(j *jobstate.Job) int { return f.MaxExamined << j.SearchDoublings }

// evaluator returns the evaluation of candidates for a job.
func (f *Finder) evaluator(now time.Duration, j *jobstate.Job, l *ZoneLimits, admits Filter) evaluation {
	return func(x *candidates.Candidate) (float64, bool) {
		f.Examined++
		if !f.rules.Candidates.CheckSchedulable(now, x) || !admits(x) {
			return 0, false
		}
		return f.rules.Score(now, j, x, l), true
	}
}

// searchWithImage searches the machines that are known to have the job's image. It reports whether it
// examined all that could be better.
func (f *Finder) searchWithImage(
	now time.Duration,
	j *jobstate.Job,
	q machineindex.Query,
	evaluate evaluation,
	found *best,
) (complete bool) {
	set := f.rules.Machines.MachinesWithImage(j.Spec.Image)
	if set == nil {
		return true
	}
	evaluateWithImage := func(x *candidates.Candidate) (float64, bool) {
		if !x.Machine.HasImage(j.Spec.Image) || f.rules.Machines.FetchTime(now, x.Machine, &j.Spec) > 0 {
			return 0, false
		}
		return evaluate(x)
	}
	if set.Len() <= q.MaxExamined {
		f.searchSet(set, j, f.minScoreWithImage(q, j), evaluateWithImage, found)
		return true
	}
	q.ScoreBound = func(capacity, free machineregistry.Resources) float64 {
		return free.Minus(j.TaskResources).DominantShare(capacity)
	}
	if !f.rules.StartLatency.Has(j.Spec.Class) {
		q.ScoreBound = func(_, _ machineregistry.Resources) float64 { return 1 } // all score the same
	}
	return f.rules.Candidates.Machines.Search(q, found, evaluateWithImage)
}

// searchFetching searches the machines that are fetching the job's image.
func (f *Finder) searchFetching(now time.Duration, j *jobstate.Job, evaluate evaluation, found *best) {
	set := f.rules.Machines.MachinesFetching(j.Spec.Image)
	if set == nil {
		return
	}
	f.searchSet(set, j, math.Inf(-1), func(x *candidates.Candidate) (float64, bool) {
		if f.rules.Machines.FetchTime(now, x.Machine, &j.Spec) == 0 {
			return 0, false // searchWithImage has examined it
		}
		return evaluate(x)
	}, found)
}

// minScoreWithImage returns a lower bound of the score of machines that have the job's image.
func (f *Finder) minScoreWithImage(q machineindex.Query, j *jobstate.Job) float64 {
	least := math.Inf(1)
	f.rules.Candidates.Machines.Pools(func(p machineindex.Pool) { least = min(least, q.PoolScore(p)) })
	if !f.rules.StartLatency.Has(j.Spec.Class) {
		least++
	}
	return least
}

// searchSet examines machines in name order, until one has the lowest possible score.
func (f *Finder) searchSet(
	set *machineregistry.MachineSet,
	j *jobstate.Job,
	minScore float64,
	evaluate evaluation,
	found *best,
) {
	examined, limit := 0, f.maxExamined(j)
	set.Scan(func(m *machineregistry.Machine) bool {
		if examined++; examined > limit {
			return false
		}
		x := f.rules.Candidates.Indexed(m)
		if x == nil || !j.TaskResources.Fits(x.Free) {
			return true
		}
		score, feasible := evaluate(x)
		if feasible {
			found.Offer(x.Entry, score)
		}
		return !feasible || score > minScore
	})
}

// searchWithoutImage searches the machines without the job's image. It reports whether it examined all that
// could be better.
func (f *Finder) searchWithoutImage(
	j *jobstate.Job,
	q machineindex.Query,
	evaluate evaluation,
	found *best,
) (complete bool) {
	poolScore := q.PoolScore
	q.PoolScore = func(p machineindex.Pool) float64 { return poolScore(p) + f.rules.fetchSeconds(j, p.Type) }
	if f.rules.prefersFreeCapacity(j) {
		q.Order = machineindex.WorstFit
		q.ScoreBound = f.boundPreferringFreeCapacity(j)
	} else {
		q.ScoreBound = f.boundPreferringPackedMachines(j)
	}
	return f.rules.Candidates.Machines.Search(q, found, func(x *candidates.Candidate) (float64, bool) {
		if x.Machine.HasImage(j.Spec.Image) {
			return 0, false
		}
		return evaluate(x)
	})
}

// query returns a best-fit query for machines with capacity for a task of the job.
func (f *Finder) query(j *jobstate.Job, l *ZoneLimits) machineindex.Query {
	return machineindex.Query{
		Need:        j.TaskResources,
		MaxExamined: f.maxExamined(j),
		MaxTies:     maxTies,
		PoolScore: func(p machineindex.Pool) float64 {
			if !f.rules.poolFeasible(j, l, p) {
				return math.Inf(1)
			}
			return f.rules.poolScore(j, l, p)
		},
	}
}

// scoreBound is a lower bound of the score of a machine with so much free capacity, beyond its pool's.
type scoreBound func(capacity, free machineregistry.Resources) float64

// boundPreferringFreeCapacity bounds what a machine without the job's image scores beyond one fetch of it,
// where that falls with the free capacity: by half of the longest fetch at most (see packingScore).
func (f *Finder) boundPreferringFreeCapacity(j *jobstate.Job) scoreBound {
	longest := 0.0
	for name := range f.rules.Machines.MachineTypes() {
		longest = max(longest, f.rules.fetchSeconds(j, name))
	}
	least := 1 - longest/2
	if f.rules.StartLatency.Has(j.Spec.Class) {
		least = min(least, -1)
	}
	return func(_, _ machineregistry.Resources) float64 { return least }
}

// boundPreferringPackedMachines bounds the same where the score rises with the free capacity, but for
// machines whose other fetches delay this one beyond the start latency objective.
func (f *Finder) boundPreferringPackedMachines(j *jobstate.Job) scoreBound {
	delayed := math.Inf(1)
	objective := f.rules.StartLatency.Seconds(j.Spec.Class)
	for name := range f.rules.Machines.MachineTypes() {
		delayed = min(delayed, objective/machineregistry.SlowFetchFactor-1-f.rules.fetchSeconds(j, name))
	}
	return func(capacity, free machineregistry.Resources) float64 {
		return min(free.Minus(j.TaskResources).DominantShare(capacity), delayed)
	}
}

// MostFreeCapacity returns the candidate with the most free capacity of those that the job admits and that
// could hold a task of it when empty, except those in the given set.
func (f *Finder) MostFreeCapacity(
	now time.Duration,
	j *jobstate.Job,
	l *ZoneLimits,
	except map[*candidates.Candidate]bool,
) *candidates.Candidate {
	q := f.query(j, l)
	q.IgnoreFree, q.Order = true, machineindex.WorstFit
	poolScore := q.PoolScore
	q.PoolScore = func(p machineindex.Pool) float64 {
		if score := poolScore(p); math.IsInf(score, 1) {
			return score
		}
		return 0
	}
	q.ScoreBound = func(capacity, free machineregistry.Resources) float64 { return -free.DominantShare(capacity) }
	var found best
	f.rules.Candidates.Machines.Search(q, &found, func(x *candidates.Candidate) (float64, bool) {
		capacity := x.Capacity()
		if except[x] || !f.rules.Candidates.CheckSchedulable(now, x) || !f.rules.Feasible(now, j, x, l) ||
			!j.TaskResources.Fits(capacity) {
			return 0, false
		}
		return -x.Free.DominantShare(capacity), true
	})
	f.rules.Candidates.RemoveUnschedulable(now)
	return candidateOf(&found)
}
