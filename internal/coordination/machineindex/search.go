package machineindex

import (
	"cmp"
	"math"
	"slices"

	"github.com/tidwall/btree"

	"pinebay/internal/coordination/machineregistry"
)

// Order is the order in which a search examines machines.
type Order int

const (
	// BestFit examines the machines with the least free capacity first.
	BestFit Order = iota
	// WorstFit examines the machines with the most free capacity first.
	WorstFit
)

// Query describes a search. Lower scores are better.
type Query struct {
	// Need is the free capacity that a machine must have.
	Need machineregistry.Resources
	// IgnoreFree includes machines with less free capacity than Need.
	IgnoreFree bool
	Order      Order
	// PoolScore returns a lower bound of the scores of all machines of a pool, or +Inf if none of them is feasible.
	PoolScore func(Pool) float64
	// ScoreBound returns a lower bound of the score of a machine with the given free capacity, not counting
	// PoolScore. As the free capacity grows, it must not decrease with BestFit and must not increase with WorstFit.
	ScoreBound func(capacity, free machineregistry.Resources) float64
	// MaxExamined limits the number of machines that the search examines.
	MaxExamined int
	// MaxTies limits the number of examined machines that can equal the best score but not beat it.
	MaxTies int
}

// Best is the best machine found so far. In the zero value, none has been found.
type Best[T any] struct {
	Found bool
	Score float64
	Entry *Entry[T]
}

// Offer replaces the best machine if the given one scores lower. Equal scores are decided by name, so that the result
// does not depend on the order in which machines are examined.
func (b *Best[T]) Offer(e *Entry[T], score float64) {
	if !b.Found || score < b.Score || score == b.Score && e.name < b.Entry.name {
		b.Found, b.Score, b.Entry = true, score, e
	}
}

// search is the state of one search.
type search[T any] struct {
	Query
	best     *Best[T]
	evaluate func(T) (score float64, feasible bool)
	examined int
	ties     int
}

// Search examines machines until no other can score lower than the best, or until a limit of the query is reached.
// evaluate returns the score of a machine and whether the machine is feasible. best holds the result of earlier
// searches, if any, and receives the result. Search reports whether it examined every machine that could be better.
func (x *Index[T]) Search(
	q Query,
	best *Best[T],
	evaluate func(T) (score float64, feasible bool),
) (complete bool) {
	s := &search[T]{Query: q, best: best, evaluate: evaluate}
	for _, p := range x.poolsByScore(q.PoolScore) {
		if s.cannotWin(p.score + s.minScore(p.pool)) {
			continue
		}
		if !s.searchPool(p) {
			return false
		}
	}
	return true
}

// MayFit reports whether any machine of a feasible pool has the free capacity that the query needs.
func (x *Index[T]) MayFit(q Query) bool {
	for _, p := range x.pools {
		if math.IsInf(q.PoolScore(p.id), 1) {
			continue
		}
		for _, b := range p.buckets {
			if _, high := b.bounds(); q.Need.Fits(high) && b.hasFree(q.Need) {
				return true
			}
		}
	}
	return false
}

// hasFree reports whether any machine of the bucket has the given free capacity.
func (b *bucket[T]) hasFree(need machineregistry.Resources) bool {
	it := b.entries.Iter()
	defer it.Release()
	for ok := it.First(); ok; {
		e := it.Item()
		if need.Fits(e.free) {
			return true
		}
		ok = seekPast(&it, e.free)
	}
	return false
}

// seekPast moves an iterator past all machines with the given free capacity.
func seekPast[T any](it *btree.IterG[*Entry[T]], free machineregistry.Resources) bool {
	return it.Seek(&Entry[T]{free: free, name: maxName})
}

// scoredPool is a pool with the lower bound of the scores of its machines.
type scoredPool[T any] struct {
	*pool[T]
	score float64
}

// poolsByScore returns the feasible pools in ascending order of their lower bounds.
func (x *Index[T]) poolsByScore(poolScore func(Pool) float64) []scoredPool[T] {
	list := make([]scoredPool[T], 0, len(x.pools))
	for _, p := range x.pools {
		if score := poolScore(p.id); !math.IsInf(score, 1) {
			list = append(list, scoredPool[T]{p, score})
		}
	}
	slices.SortStableFunc(list, func(a, b scoredPool[T]) int { return cmp.Compare(a.score, b.score) })
	return list
}

// minScore returns a lower bound of the scores of a pool's machines, not counting PoolScore.
func (s *search[T]) minScore(p *pool[T]) float64 {
	if s.Order == WorstFit {
		return s.ScoreBound(p.capacity, p.capacity)
	}
	return s.ScoreBound(p.capacity, s.Need)
}

// searchPool searches the buckets of a pool. It returns false once a limit is reached.
func (s *search[T]) searchPool(p scoredPool[T]) bool {
	for i := range p.buckets {
		b := p.buckets[i]
		if s.Order == WorstFit {
			b = p.buckets[len(p.buckets)-1-i]
		}
		low, high := b.bounds()
		if !s.IgnoreFree && !s.Need.Fits(high) {
			continue
		}
		bestFree := maxResources(low, s.Need)
		if s.Order == WorstFit {
			bestFree = high
		}
		if s.cannotWin(p.score + s.ScoreBound(p.capacity, bestFree)) {
			continue
		}
		if !s.searchBucket(b, p.score) {
			return false
		}
	}
	return true
}

// maxResources returns the larger amount of each resource.
func maxResources(a, b machineregistry.Resources) machineregistry.Resources {
	return machineregistry.Resources{
		CPUs:     max(a.CPUs, b.CPUs),
		GPUs:     max(a.GPUs, b.GPUs),
		MemoryGB: max(a.MemoryGB, b.MemoryGB),
	}
}

// cannotWin reports whether a machine with the given lower bound can neither beat nor equal the best. The tolerance
// is needed because bounds are summed in a different order than scores and may exceed them by a rounding error.
func (s *search[T]) cannotWin(bound float64) bool {
	return s.best.Found && bound-tolerance > s.best.Score
}

// searchBucket examines the machines of a bucket. It returns false once a limit is reached.
func (s *search[T]) searchBucket(b *bucket[T], poolScore float64) bool {
	it := b.entries.Iter()
	defer it.Release()
	ok := it.First()
	for ok {
		e := it.Item()
		bound := poolScore + s.ScoreBound(b.pool.capacity, e.free)
		if !s.IgnoreFree && !s.Need.Fits(e.free) || s.cannotWin(bound) {
			ok = seekPast(&it, e.free)
			continue
		}
		if !s.countExamined(bound) {
			return false
		}
		score, feasible := s.evaluate(e.Value)
		if feasible {
			s.best.Offer(e, score)
		}
		if feasible && score <= bound+tolerance {
			// Other machines with the same free capacity cannot score lower and have later names.
			ok = seekPast(&it, e.free)
			continue
		}
		ok = it.Next()
	}
	return true
}

// countExamined counts a machine that is about to be examined and reports whether the limits allow examining it.
func (s *search[T]) countExamined(bound float64) bool {
	s.examined++
	if s.examined > s.MaxExamined {
		return false
	}
	if s.best.Found && bound+tolerance >= s.best.Score {
		s.ties++
		return s.ties <= s.MaxTies
	}
	return true
}
