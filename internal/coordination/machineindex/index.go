// Package machineindex orders machines by what a search for room asks for: their pool (type,
// zone and kind) and their free room. A search looks at the machines that may score best
// first and passes over whole groups that cannot fit or cannot win, so that what it costs
// does not grow with the number of machines. The index decides nothing: whoever searches
// judges each machine, and whoever grants room asks the machine's own books.
package machineindex

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"

	"pinebay/internal/coordination/partition"
)

// Pool names machines that predicates cannot tell apart.
type Pool struct {
	Type, Zone string
	Spot       bool
}

func comparePools(a, b Pool) int {
	spot := func(p Pool) int {
		if p.Spot {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(spot(a), spot(b)))
}

// Entry is a machine in the index, with what its user keeps of it.
type Entry[T any] struct {
	Value T
	name  string
	free  partition.Resources
	home  *cell[T]
}

// Index is an index of machines. Its methods are called by one goroutine at a time.
type Index[T any] struct {
	pools []*pool[T] // in order
	size  int
}

// pool holds the machines of one Pool in cells.
type pool[T any] struct {
	key      Pool
	capacity partition.Resources
	cells    []*cell[T] // not empty, in the order of their levels
}

// cell holds the machines whose free room is at the same level of each resource.
type cell[T any] struct {
	pool    *pool[T]
	levels  levels
	entries *btree.BTreeG[*Entry[T]] // by free room, then by name
}

// levelCount is into how many parts the room of a machine is divided by each resource.
const levelCount = 16

// levels are a cell's level of each resource, the highest first, so that cells in order go
// from full machines to empty ones.
type levels struct{ highest, cpus, gpus, memory int }

func compareLevels(a, b levels) int {
	return cmp.Or(cmp.Compare(a.highest, b.highest), cmp.Compare(a.cpus, b.cpus), cmp.Compare(a.gpus, b.gpus), cmp.Compare(a.memory, b.memory))
}

const slack = 1e-9 // amounts are decimal numbers

// levelOf is the level of an amount: 0 for hardly any, levelCount for all.
func levelOf(free, capacity float64) int {
	if capacity <= 0 || free <= 0 {
		return 0
	}
	return min(levelCount, int(free/capacity*levelCount+slack))
}

func levelsOf(free, capacity partition.Resources) levels {
	l := levels{cpus: levelOf(free.CPUs, capacity.CPUs), gpus: levelOf(free.GPUs, capacity.GPUs), memory: levelOf(free.MemoryGB, capacity.MemoryGB)}
	l.highest = max(l.cpus, l.gpus, l.memory)
	return l
}

// edges are the least and the most room that a machine at some level has.
func edges(level int, capacity float64) (low, high float64) {
	low = float64(level) / levelCount * capacity
	high = min(capacity, float64(level+1)/levelCount*capacity)
	return low, high
}

func (c *cell[T]) edges() (low, high partition.Resources) {
	low.CPUs, high.CPUs = edges(c.levels.cpus, c.pool.capacity.CPUs)
	low.GPUs, high.GPUs = edges(c.levels.gpus, c.pool.capacity.GPUs)
	low.MemoryGB, high.MemoryGB = edges(c.levels.memory, c.pool.capacity.MemoryGB)
	return low, high
}

// New returns an empty index.
func New[T any]() *Index[T] { return &Index[T]{} }

// Len returns the number of machines in the index.
func (x *Index[T]) Len() int { return x.size }

// NewEntry returns an entry that is not in the index yet.
func NewEntry[T any](name string, value T) *Entry[T] { return &Entry[T]{name: name, Value: value} }

// Put enters a machine, or moves it to where its pool and free room say.
func (x *Index[T]) Put(e *Entry[T], key Pool, capacity, free partition.Resources) {
	at := levelsOf(free, capacity)
	if h := e.home; h != nil && h.pool.key == key && h.pool.capacity == capacity && h.levels == at {
		if e.free != free {
			h.entries.Delete(e)
			e.free = free
			h.entries.Set(e)
		}
		return
	}
	x.Remove(e)
	e.free = free
	e.home = x.cell(key, capacity, at)
	e.home.entries.Set(e)
	x.size++
}

// Remove takes a machine out of the index, if it is there.
func (x *Index[T]) Remove(e *Entry[T]) {
	if e.home == nil {
		return
	}
	e.home.entries.Delete(e)
	if e.home.entries.Len() == 0 {
		x.drop(e.home)
	}
	e.home = nil
	x.size--
}

// Has says whether an entry is in the index.
func (x *Index[T]) Has(e *Entry[T]) bool { return e.home != nil }

func comparePoolTo[T any](p *pool[T], key Pool) int { return comparePools(p.key, key) }

func compareCellTo[T any](c *cell[T], at levels) int { return compareLevels(c.levels, at) }

// cell returns the cell of a pool at some levels, making both if need be.
func (x *Index[T]) cell(key Pool, capacity partition.Resources, at levels) *cell[T] {
	i, ok := slices.BinarySearchFunc(x.pools, key, comparePoolTo[T])
	for ok && i < len(x.pools) && x.pools[i].key == key && x.pools[i].capacity != capacity {
		i++ // machines whose type was another when they were entered
	}
	if i == len(x.pools) || x.pools[i].key != key || x.pools[i].capacity != capacity {
		x.pools = slices.Insert(x.pools, i, &pool[T]{key: key, capacity: capacity})
	}
	p := x.pools[i]
	k, ok := slices.BinarySearchFunc(p.cells, at, compareCellTo[T])
	if !ok {
		c := &cell[T]{pool: p, levels: at, entries: btree.NewBTreeGOptions(before[T], btree.Options{NoLocks: true})}
		p.cells = slices.Insert(p.cells, k, c)
	}
	return p.cells[k]
}

// drop removes an empty cell, and its pool if that is empty too.
func (x *Index[T]) drop(c *cell[T]) {
	p := c.pool
	if k := slices.Index(p.cells, c); k >= 0 {
		p.cells = slices.Delete(p.cells, k, k+1)
	}
	if len(p.cells) > 0 {
		return
	}
	if i := slices.Index(x.pools, p); i >= 0 {
		x.pools = slices.Delete(x.pools, i, i+1)
	}
}

// before orders the entries of a cell.
func before[T any](a, b *Entry[T]) bool {
	if a.free != b.free {
		return compareRoom(a.free, b.free) < 0
	}
	return a.name < b.name
}

func compareRoom(a, b partition.Resources) int {
	return cmp.Or(cmp.Compare(a.CPUs, b.CPUs), cmp.Compare(a.GPUs, b.GPUs), cmp.Compare(a.MemoryGB, b.MemoryGB))
}

// lastName sorts after every name of a machine.
const lastName = "\U0010ffff"

// Pools calls f for every pool that has machines.
func (x *Index[T]) Pools(f func(Pool)) {
	for _, p := range x.pools {
		f(p.key)
	}
}

// Each calls f for every machine in the index.
func (x *Index[T]) Each(f func(T)) {
	for _, p := range x.pools {
		for _, c := range p.cells {
			c.entries.Scan(func(e *Entry[T]) bool {
				f(e.Value)
				return true
			})
		}
	}
}
