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

	"pinebay/internal/coordination/machineregistry"
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
	Value  T
	name   string
	free   machineregistry.Resources
	bucket *bucket[T]
}

// Index is an index of machines. Its methods are called by one goroutine at a time.
type Index[T any] struct {
	pools []*pool[T] // in order
	size  int
}

// pool holds the machines of one Pool in cells.
type pool[T any] struct {
	id       Pool
	capacity machineregistry.Resources
	buckets  []*bucket[T] // not empty, in the order of their levels
}

// bucket holds the machines whose free room is at the same level of each resource.
type bucket[T any] struct {
	pool    *pool[T]
	key     bucketKey
	entries *btree.BTreeG[*Entry[T]] // by free room, then by name
}

// bucketsPerResource is into how many parts the room of a machine is divided by each resource.
const bucketsPerResource = 16

// bucketKey are a cell's level of each resource, the highest first, so that cells in order go
// from full machines to empty ones.
type bucketKey struct{ highest, cpus, gpus, memory int }

func compareBucketKeys(a, b bucketKey) int {
	return cmp.Or(
		cmp.Compare(a.highest, b.highest),
		cmp.Compare(a.cpus, b.cpus),
		cmp.Compare(a.gpus, b.gpus),
		cmp.Compare(a.memory, b.memory),
	)
}

const tolerance = 1e-9 // amounts are decimal numbers

// bucketOf is the level of an amount: 0 for hardly any, bucketsPerResource for all.
func bucketOf(free, capacity float64) int {
	if capacity <= 0 || free <= 0 {
		return 0
	}
	return min(bucketsPerResource, int(free/capacity*bucketsPerResource+tolerance))
}

func bucketKeyOf(free, capacity machineregistry.Resources) bucketKey {
	l := bucketKey{
		cpus:   bucketOf(free.CPUs, capacity.CPUs),
		gpus:   bucketOf(free.GPUs, capacity.GPUs),
		memory: bucketOf(free.MemoryGB, capacity.MemoryGB),
	}
	l.highest = max(l.cpus, l.gpus, l.memory)
	return l
}

// bucketBounds are the least and the most room that a machine at some level has.
func bucketBounds(level int, capacity float64) (low, high float64) {
	low = float64(level) / bucketsPerResource * capacity
	high = min(capacity, float64(level+1)/bucketsPerResource*capacity)
	return low, high
}

func (c *bucket[T]) bounds() (low, high machineregistry.Resources) {
	low.CPUs, high.CPUs = bucketBounds(c.key.cpus, c.pool.capacity.CPUs)
	low.GPUs, high.GPUs = bucketBounds(c.key.gpus, c.pool.capacity.GPUs)
	low.MemoryGB, high.MemoryGB = bucketBounds(c.key.memory, c.pool.capacity.MemoryGB)
	return low, high
}

// New returns an empty index.
func New[T any]() *Index[T] { return &Index[T]{} }

// Len returns the number of machines in the index.
func (x *Index[T]) Len() int { return x.size }

// NewEntry returns an entry that is not in the index yet.
func NewEntry[T any](name string, value T) *Entry[T] { return &Entry[T]{name: name, Value: value} }

// Put enters a machine, or moves it to where its pool and free room say.
func (x *Index[T]) Put(e *Entry[T], key Pool, capacity, free machineregistry.Resources) {
	at := bucketKeyOf(free, capacity)
	if h := e.bucket; h != nil && h.pool.id == key && h.pool.capacity == capacity && h.key == at {
		if e.free != free {
			h.entries.Delete(e)
			e.free = free
			h.entries.Set(e)
		}
		return
	}
	x.Remove(e)
	e.free = free
	e.bucket = x.ensureBucket(key, capacity, at)
	e.bucket.entries.Set(e)
	x.size++
}

// Remove takes a machine out of the index, if it is there.
func (x *Index[T]) Remove(e *Entry[T]) {
	if e.bucket == nil {
		return
	}
	e.bucket.entries.Delete(e)
	if e.bucket.entries.Len() == 0 {
		x.removeBucket(e.bucket)
	}
	e.bucket = nil
	x.size--
}

// Has says whether an entry is in the index.
func (x *Index[T]) Has(e *Entry[T]) bool { return e.bucket != nil }

func comparePoolTo[T any](p *pool[T], key Pool) int { return comparePools(p.id, key) }

func compareBucketTo[T any](c *bucket[T], at bucketKey) int { return compareBucketKeys(c.key, at) }

// ensureBucket returns the cell of a pool at some levels, making both if need be.
func (x *Index[T]) ensureBucket(key Pool, capacity machineregistry.Resources, at bucketKey) *bucket[T] {
	i, ok := slices.BinarySearchFunc(x.pools, key, comparePoolTo[T])
	for ok && i < len(x.pools) && x.pools[i].id == key && x.pools[i].capacity != capacity {
		i++ // machines whose type was another when they were entered
	}
	if i == len(x.pools) || x.pools[i].id != key || x.pools[i].capacity != capacity {
		x.pools = slices.Insert(x.pools, i, &pool[T]{id: key, capacity: capacity})
	}
	p := x.pools[i]
	k, ok := slices.BinarySearchFunc(p.buckets, at, compareBucketTo[T])
	if !ok {
		c := &bucket[T]{pool: p, key: at, entries: btree.NewBTreeGOptions(entryBefore[T], btree.Options{NoLocks: true})}
		p.buckets = slices.Insert(p.buckets, k, c)
	}
	return p.buckets[k]
}

// removeBucket removes an empty cell, and its pool if that is empty too.
func (x *Index[T]) removeBucket(c *bucket[T]) {
	p := c.pool
	if k := slices.Index(p.buckets, c); k >= 0 {
		p.buckets = slices.Delete(p.buckets, k, k+1)
	}
	if len(p.buckets) > 0 {
		return
	}
	if i := slices.Index(x.pools, p); i >= 0 {
		x.pools = slices.Delete(x.pools, i, i+1)
	}
}

// entryBefore orders the entries of a cell.
func entryBefore[T any](a, b *Entry[T]) bool {
	if a.free != b.free {
		return compareFree(a.free, b.free) < 0
	}
	return a.name < b.name
}

func compareFree(a, b machineregistry.Resources) int {
	return cmp.Or(cmp.Compare(a.CPUs, b.CPUs), cmp.Compare(a.GPUs, b.GPUs), cmp.Compare(a.MemoryGB, b.MemoryGB))
}

// maxName sorts after every name of a machine.
const maxName = "\U0010ffff"

// Pools calls f for every pool that has machines.
func (x *Index[T]) Pools(f func(Pool)) {
	for _, p := range x.pools {
		f(p.id)
	}
}

// Each calls f for every machine in the index.
func (x *Index[T]) Each(f func(T)) {
	for _, p := range x.pools {
		for _, c := range p.buckets {
			c.entries.Scan(func(e *Entry[T]) bool {
				f(e.Value)
				return true
			})
		}
	}
}
