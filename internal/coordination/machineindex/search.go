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
	// Need is what a machine must have free.
	Need machineregistry.Resources
	// IgnoreFree includes machines that do not have Need free.
	IgnoreFree bool
	Order      Order
	// PoolScore returns a lower bound of the score of every machine of a pool. It is infinite if none of
	// them is feasible.
	PoolScore func(Pool) float64
	// ScoreBound returns a lower bound of what a machine with so much free capacity scores beyond the
	// PoolScore. With BestFit it must not fall as the free capacity grows, with WorstFit it must not rise.
	ScoreBound func(capacity, free machineregistry.Resources) float64
	// MaxExamined limits the machines that the search examines.
	MaxExamined int
	// MaxTies limits those among them that by their bound cannot beat the best, but may equal it.
	MaxTies int
}

// Best is the best machine found so far. The zero value has found none.
type Best[T any] struct {
	Found bool
	Score float64
	Entry *Entry[T]
}

// Offer replaces the best by a machine that scores lower. Of equals the first by name is the best, so that
// the outcome does not depend on the order in which machines are examined.
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

// Search examines machines until no other can score less than the best, or a limit of the query is
// reached. evaluate returns a machine's score, and whether it is feasible at all. best may hold the result
// of earlier searches, and receives the result. Search reports whether it examined every machine that could
// be better.
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

// MayFit reports whether some machine of a feasible pool has the query's need free.
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

// hasFree reports whether some machine of the bucket has the need free.
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

// seekPast moves an iterator past all machines with the same free capacity.
func seekPast[T any](it *btree.IterG[*Entry[T]], free machineregistry.Resources) bool {
	return it.Seek(&Entry[T]{free: free, name: maxName})
}

// scoredPool is a pool with the lower bound of its machines' scores.
type scoredPool[T any] struct {
	*pool[T]
	score float64
}

// poolsByScore returns the feasible pools, those with the lowest bound first.
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

// minScore returns a lower bound of what the machines of a pool score beyond the PoolScore.
func (s *search[T]) minScore(p *pool[T]) float64 {
	if s.Order == WorstFit {
		return s.ScoreBound(p.capacity, p.capacity)
	}
	return s.ScoreBound(p.capacity, s.Need)
}

// searchPool searches a pool's buckets. It returns false when a limit was reached.
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

// maxResources returns the larger of two amounts of each resource.
func maxResources(a, b machineregistry.Resources) machineregistry.Resources {
	return machineregistry.Resources{
		CPUs:     max(a.CPUs, b.CPUs),
		GPUs:     max(a.GPUs, b.GPUs),
		MemoryGB: max(a.MemoryGB, b.MemoryGB),
	}
}

// cannotWin reports whether a lower bound excludes a machine. Bounds are summed in another order than
// scores, and may exceed them by rounding.
func (s *search[T]) cannotWin(bound float64) bool {
	return s.best.Found && bound-tolerance > s.best.Score
}

// searchBucket examines the machines of a bucket. It returns false when a limit was reached.
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
			// Others with the same free capacity cannot score lower, and have later names.
			ok = seekPast(&it, e.free)
			continue
		}
		ok = it.Next()
	}
	return true
}

// countExamined counts a machine that is about to be examined, and reports whether the limits allow it.
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
