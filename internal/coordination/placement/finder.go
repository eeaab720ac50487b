package placement

import (
	"math"
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
)

// Limits of one search. In a fleet of up to maxTies machines, a search returns the same machine as an exhaustive one.
// In a larger fleet, it may return any of the machines with the best score instead of the first by name; with more
// than MaxExaminedMachines, it may also return a machine with a slightly worse score.
const (
	// MaxExaminedMachines limits the machines that one search examines. For searches for free capacity, the limit of
	// a job is doubled after a search that reached it without finding a machine.
	MaxExaminedMachines = 1024
	// maxTies limits how many machines a search examines that can at most equal the best score found so far.
	maxTies = 64
	// maxSearchDoublings limits how often the search limit of a job is doubled.
	maxSearchDoublings = 10
)

// Filter reports whether a candidate is admissible for the task being placed.
type Filter func(*candidates.Candidate) bool

// Finder selects machines for tasks. It searches the candidate index and the machine sets of the registry instead of
// scanning the whole fleet.
type Finder struct {
	// MaxExamined limits the machines that a search examines, unless the limit of the job has been doubled.
	MaxExamined int
	// Examined is the total number of machines examined by all searches.
	Examined uint64

	rules  *Rules
	budget *PreemptionBudget
	// victimCursor is the name of the machine at which the next preemption search in a large fleet starts.
	victimCursor string
}

// NewFinder returns a finder that charges its preemption searches to the budget.
func NewFinder(rules *Rules, budget *PreemptionBudget) *Finder {
	return &Finder{MaxExamined: MaxExaminedMachines, rules: rules, budget: budget}
}

// evaluation returns the score of a candidate and whether the candidate is feasible.
type evaluation func(*candidates.Candidate) (score float64, feasible bool)

// best is the best candidate found so far.
type best = machineindex.Best[*candidates.Candidate]

// candidateOf returns the best candidate found, or nil.
func candidateOf(b *best) *candidates.Candidate {
	if !b.Found {
		return nil
	}
	return b.Entry.Value
}

// BestMachine returns the admissible candidate with the lowest score for a task of the job, or nil. It searches
// machines that have the job's image or are fetching it first, and other machines only if one of them could score
// lower despite the fetch that it needs.
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
	adjustSearchLimit(j, found.Found, complete)
	return candidateOf(&found)
}

// BestWithImage returns the admissible candidate with the lowest score among those that have the job's image, or nil.
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

// adjustSearchLimit doubles the limit of the job's next search if this one reached its limit without finding a
// machine, and resets the limit once a machine is found. Without this, a job would starve if the machines examined
// first have free capacity that the job cannot use.
func adjustSearchLimit(j *jobstate.Job, found, complete bool) {
	switch {
	case found:
		j.SearchDoublings = 0
	case !complete:
		j.SearchDoublings = min(j.SearchDoublings+1, maxSearchDoublings)
	}
}

// maxExamined returns the limit of the job's next search, in machines examined.
func (f *Finder) maxExamined(j *jobstate.Job) int { return f.MaxExamined << j.SearchDoublings }

// evaluator returns the function that filters and scores candidates for a job.
func (f *Finder) evaluator(now time.Duration, j *jobstate.Job, l *ZoneLimits, admits Filter) evaluation {
	return func(x *candidates.Candidate) (float64, bool) {
		f.Examined++
		if !f.rules.Candidates.CheckSchedulable(now, x) || !admits(x) {
			return 0, false
		}
		return f.rules.Score(now, j, x, l), true
	}
}

// searchWithImage searches the machines that are known to have the job's image. It reports whether it examined every
// machine that could score lower than the best.
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
		// Without an objective, packingScore is 1 for every machine that needs no fetch.
		q.ScoreBound = func(_, _ machineregistry.Resources) float64 { return 1 }
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
			return 0, false // already examined by searchWithImage
		}
		return evaluate(x)
	}, found)
}

// minScoreWithImage returns a lower bound of the scores of machines that have the job's image.
func (f *Finder) minScoreWithImage(q machineindex.Query, j *jobstate.Job) float64 {
	lowest := math.Inf(1)
	f.rules.Candidates.Machines.EachPool(func(p machineindex.Pool) { lowest = min(lowest, q.PoolScore(p)) })
	if !f.rules.StartLatency.Has(j.Spec.Class) {
		lowest++ // the packing score of a machine with the image is 1 then (see packingScore)
	}
	return lowest
}

// searchSet examines the machines of a set in name order until one has the lowest possible score or the limit is
// reached.
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

// searchWithoutImage searches the machines without the job's image. It reports whether it examined every machine that
// could score lower than the best.
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

// query returns a best-fit query for machines with enough free capacity for a task of the job.
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

// scoreBound returns a lower bound of the score of a machine with the given free capacity, not counting the score of
// its pool.
type scoreBound func(capacity, free machineregistry.Resources) float64

// boundPreferringFreeCapacity returns the score bound of machines without the job's image, not counting one fetch of
// it, for a job whose score falls as free capacity grows. Free capacity lowers the score by at most half of the
// longest fetch (see packingScore).
func (f *Finder) boundPreferringFreeCapacity(j *jobstate.Job) scoreBound {
	longest := 0.0
	for name := range f.rules.Machines.MachineTypes() {
		longest = max(longest, f.rules.fetchSeconds(j, name))
	}
	lowest := 1 - longest/2
	if f.rules.StartLatency.Has(j.Spec.Class) {
		lowest = min(lowest, -1)
	}
	return func(_, _ machineregistry.Resources) float64 { return lowest }
}

// boundPreferringPackedMachines returns the score bound of machines without the job's image, not counting one fetch
// of it, for a job whose score rises as free capacity grows. The exception is a machine on which other fetches delay
// the job's fetch beyond the start latency objective: that fetch takes at least objective/SlowFetchFactor, and the
// packing score of the machine can be as low as -1.
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

// MostFreeCapacity returns the candidate with the most free capacity among the feasible ones that could hold a task
// of the job if they were empty, leaving out the candidates in except.
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
