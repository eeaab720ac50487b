package machineindex

import (
	"cmp"
	"math"
	"slices"

	"pinebay/internal/coordination/machineregistry"
)

// Order says which machines a search looks at first.
type Order int

// Orders.
const (
	BestFit  Order = iota // those with least free room
	WorstFit              // those with most
)

// Query is what a search asks for.
type Query struct {
	// Need is the room that a machine must have free; nothing passes over none.
	Need machineregistry.Resources
	// IgnoreFree looks at machines whatever room they have.
	IgnoreFree bool
	Order      Order
	// PoolScore is the least that every machine of a pool scores, infinite if none of them will do,
	// and Bound the least that one with so much free room scores beyond that. With Tightest the
	// bound must not fall as the room grows, with Loosest not rise.
	PoolScore  func(Pool) float64
	ScoreBound func(capacity, free machineregistry.Resources) float64
	// MaxExamined is at how many machines the search looks at the most, and Ties at how many that
	// cannot score better than the best but may be its equals.
	MaxExamined, MaxTies int
}

// Best is the best machine found so far.
type Best[T any] struct {
	Found bool
	Score float64
	Entry *Entry[T]
}

// offer takes in a machine's score. Of equals the first by name is the best, so that the
// outcome does not depend on the order of the looks.
func (b *Best[T]) offer(e *Entry[T], score float64) {
	if !b.Found || score < b.Score || score == b.Score && e.name < b.Entry.name {
		b.Found, b.Score, b.Entry = true, score, e
	}
}

// Offer takes in the score of a machine that was looked at outside a search.
func (b *Best[T]) Offer(e *Entry[T], score float64) { b.offer(e, score) }

// search is a search under way.
type search[T any] struct {
	Query
	best     *Best[T]
	evaluate func(T) (float64, bool)
	examined int
	ties     int
}

// Search looks at machines until no other can score less than the best, or the looks are
// used up. look returns a machine's score, and whether it will do. The best of earlier
// searches may be handed in. It says whether every machine that could be better was looked at.
func (x *Index[T]) Search(q Query, best *Best[T], look func(T) (float64, bool)) (complete bool) {
	s := &search[T]{Query: q, best: best, evaluate: look}
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

// MayFit says whether some machine of a pool that will do has room for the query's need.
func (x *Index[T]) MayFit(q Query) bool {
	for _, p := range x.pools {
		if math.IsInf(q.PoolScore(p.id), 1) {
			continue
		}
		for _, c := range p.buckets {
			if _, high := c.bounds(); q.Need.Fits(high) && c.hasFree(q.Need) {
				return true
			}
		}
	}
	return false
}

// hasFree says whether some machine of the cell has so much room.
func (c *bucket[T]) hasFree(need machineregistry.Resources) bool {
	it := c.entries.Iter()
	defer it.Release()
	for ok := it.First(); ok; {
		e := it.Item()
		if need.Fits(e.free) {
			return true
		}
		ok = it.Seek(&Entry[T]{free: e.free, name: maxName})
	}
	return false
}

// scoredPool is a pool with what each of its machines scores at least.
type scoredPool[T any] struct {
	*pool[T]
	score float64
}

// poolsByScore lists the pools that will do, those that score least first.
func (x *Index[T]) poolsByScore(base func(Pool) float64) []scoredPool[T] {
	list := make([]scoredPool[T], 0, len(x.pools))
	for _, p := range x.pools {
		if b := base(p.id); !math.IsInf(b, 1) {
			list = append(list, scoredPool[T]{p, b})
		}
	}
	slices.SortStableFunc(list, func(a, b scoredPool[T]) int { return cmp.Compare(a.score, b.score) })
	return list
}

// minScore is the least that any machine of a pool can score beyond its base.
func (s *search[T]) minScore(p *pool[T]) float64 {
	if s.Order == WorstFit {
		return s.ScoreBound(p.capacity, p.capacity)
	}
	return s.ScoreBound(p.capacity, s.Need)
}

// searchPool searches a pool's cells, and says whether the search goes on.
func (s *search[T]) searchPool(p scoredPool[T]) bool {
	for i := range p.buckets {
		c := p.buckets[i]
		if s.Order == WorstFit {
			c = p.buckets[len(p.buckets)-1-i]
		}
		low, high := c.bounds()
		if !s.IgnoreFree && !s.Need.Fits(high) {
			continue
		}
		room := maxResources(low, s.Need)
		if s.Order == WorstFit {
			room = high
		}
		if s.cannotWin(p.score + s.ScoreBound(p.capacity, room)) {
			continue
		}
		if !s.searchBucket(c, p.score) {
			return false
		}
	}
	return true
}

// maxResources is the larger of two amounts of each resource.
func maxResources(a, b machineregistry.Resources) machineregistry.Resources {
	return machineregistry.Resources{
		CPUs:     max(a.CPUs, b.CPUs),
		GPUs:     max(a.GPUs, b.GPUs),
		MemoryGB: max(a.MemoryGB, b.MemoryGB),
	}
}

// cannotWin says whether a bound shows that a machine is worse than the best. Bounds are computed
// in another order than scores, and may be above them by rounding.
func (s *search[T]) cannotWin(bound float64) bool {
	return s.best.Found && bound-tolerance > s.best.Score
}

// searchBucket looks at the machines of a cell, and says whether the search goes on.
func (s *search[T]) searchBucket(c *bucket[T], base float64) bool {
	it := c.entries.Iter()
	defer it.Release()
	ok := it.First()
	for ok {
		e := it.Item()
		bound := base + s.ScoreBound(c.pool.capacity, e.free)
		if !s.IgnoreFree && !s.Need.Fits(e.free) || s.cannotWin(bound) {
			ok = it.Seek(&Entry[T]{free: e.free, name: maxName}) // past all with just this room
			continue
		}
		if s.examined++; s.examined > s.MaxExamined {
			return false
		}
		if s.best.Found && bound+tolerance >= s.best.Score {
			if s.ties++; s.ties > s.MaxTies {
				return false
			}
		}
		score, fits := s.evaluate(e.Value)
		if fits {
			s.best.offer(e, score)
		}
		if fits && score <= bound+tolerance {
			// No other with just this room can be better, or its equal with an earlier name.
			ok = it.Seek(&Entry[T]{free: e.free, name: maxName})
			continue
		}
		ok = it.Next()
	}
	return true
}
