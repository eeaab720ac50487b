package machineindex

import (
	"cmp"
	"math"
	"slices"

	"pinebay/internal/coordination/partition"
)

// Order says which machines a search looks at first.
type Order int

// Orders.
const (
	Tightest Order = iota // those with least free room
	Loosest               // those with most
)

// Query is what a search asks for.
type Query struct {
	// Need is the room that a machine must have free; nothing passes over none.
	Need partition.Resources
	// Any looks at machines whatever room they have.
	Any   bool
	Order Order
	// Base is the least that every machine of a pool scores, infinite if none of them will do,
	// and Bound the least that one with so much free room scores beyond that. With Tightest the
	// bound must not fall as the room grows, with Loosest not rise.
	Base  func(Pool) float64
	Bound func(capacity, free partition.Resources) float64
	// Looks is at how many machines the search looks at the most, and Ties at how many that
	// cannot score better than the best but may be its equals.
	Looks, Ties int
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
	best  *Best[T]
	look  func(T) (float64, bool)
	looks int
	ties  int
}

// Search looks at machines until no other can score less than the best, or the looks are
// used up. look returns a machine's score, and whether it will do. The best of earlier
// searches may be handed in. It says whether every machine that could be better was looked at.
func (x *Index[T]) Search(q Query, best *Best[T], look func(T) (float64, bool)) (complete bool) {
	s := &search[T]{Query: q, best: best, look: look}
	for _, p := range x.byBase(q.Base) {
		if s.worse(p.base + s.least(p.pool)) {
			continue
		}
		if !s.pool(p) {
			return false
		}
	}
	return true
}

// MayFit says whether some machine of a pool that will do has room for the query's need.
func (x *Index[T]) MayFit(q Query) bool {
	for _, p := range x.pools {
		if math.IsInf(q.Base(p.key), 1) {
			continue
		}
		for _, c := range p.cells {
			if _, high := c.edges(); q.Need.Fits(high) && c.fits(q.Need) {
				return true
			}
		}
	}
	return false
}

// fits says whether some machine of the cell has so much room.
func (c *cell[T]) fits(need partition.Resources) bool {
	it := c.entries.Iter()
	defer it.Release()
	for ok := it.First(); ok; {
		e := it.Item()
		if need.Fits(e.free) {
			return true
		}
		ok = it.Seek(&Entry[T]{free: e.free, name: lastName})
	}
	return false
}

// basedPool is a pool with what each of its machines scores at least.
type basedPool[T any] struct {
	*pool[T]
	base float64
}

// byBase lists the pools that will do, those that score least first.
func (x *Index[T]) byBase(base func(Pool) float64) []basedPool[T] {
	list := make([]basedPool[T], 0, len(x.pools))
	for _, p := range x.pools {
		if b := base(p.key); !math.IsInf(b, 1) {
			list = append(list, basedPool[T]{p, b})
		}
	}
	slices.SortStableFunc(list, func(a, b basedPool[T]) int { return cmp.Compare(a.base, b.base) })
	return list
}

// least is the least that any machine of a pool can score beyond its base.
func (s *search[T]) least(p *pool[T]) float64 {
	if s.Order == Loosest {
		return s.Bound(p.capacity, p.capacity)
	}
	return s.Bound(p.capacity, s.Need)
}

// pool searches a pool's cells, and says whether the search goes on.
func (s *search[T]) pool(p basedPool[T]) bool {
	for i := range p.cells {
		c := p.cells[i]
		if s.Order == Loosest {
			c = p.cells[len(p.cells)-1-i]
		}
		low, high := c.edges()
		if !s.Any && !s.Need.Fits(high) {
			continue
		}
		room := maxRoom(low, s.Need)
		if s.Order == Loosest {
			room = high
		}
		if s.worse(p.base + s.Bound(p.capacity, room)) {
			continue
		}
		if !s.cell(c, p.base) {
			return false
		}
	}
	return true
}

// maxRoom is the larger of two amounts of each resource.
func maxRoom(a, b partition.Resources) partition.Resources {
	return partition.Resources{CPUs: max(a.CPUs, b.CPUs), GPUs: max(a.GPUs, b.GPUs), MemoryGB: max(a.MemoryGB, b.MemoryGB)}
}

// worse says whether a bound shows that a machine is worse than the best. Bounds are computed
// in another order than scores, and may be above them by rounding.
func (s *search[T]) worse(bound float64) bool { return s.best.Found && bound-slack > s.best.Score }

// cell looks at the machines of a cell, and says whether the search goes on.
func (s *search[T]) cell(c *cell[T], base float64) bool {
	it := c.entries.Iter()
	defer it.Release()
	ok := it.First()
	for ok {
		e := it.Item()
		bound := base + s.Bound(c.pool.capacity, e.free)
		if !s.Any && !s.Need.Fits(e.free) || s.worse(bound) {
			ok = it.Seek(&Entry[T]{free: e.free, name: lastName}) // past all with just this room
			continue
		}
		if s.looks++; s.looks > s.Looks {
			return false
		}
		if s.best.Found && bound+slack >= s.best.Score {
			if s.ties++; s.ties > s.Ties {
				return false
			}
		}
		score, fits := s.look(e.Value)
		if fits {
			s.best.offer(e, score)
		}
		if fits && score <= bound+slack {
			// No other with just this room can be better, or its equal with an earlier name.
			ok = it.Seek(&Entry[T]{free: e.free, name: lastName})
			continue
		}
		ok = it.Next()
	}
	return true
}
