// Package machineindex is an in-memory index of machines by pool (machine type, zone, spot or on-demand) and free
// capacity. It supports branch-and-bound searches: a search examines the machines with the best possible scores first
// and skips pools and buckets in which no machine fits or can beat the best one found. The cost of a search therefore
// does not grow with the number of machines.
//
// The index makes no decisions. The caller of Search filters and scores each machine that is examined, and the
// machine registry has the final say on reservations.
package machineindex

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"

	"pinebay/internal/coordination/machineregistry"
)

// Pool identifies machines of one type in one zone that are either all spot or all on-demand. They differ only in
// their state.
type Pool struct {
	Type, Zone string
	Spot       bool
}

// comparePools orders pools by type, zone, and on-demand before spot.
func comparePools(a, b Pool) int {
	spot := func(p Pool) int {
		if p.Spot {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(spot(a), spot(b)))
}

// Entry is the entry of one machine in an index.
type Entry[T any] struct {
	// Value is the caller's data for the machine.
	Value T

	name   string
	free   machineregistry.Resources
	bucket *bucket[T] // nil while the entry is not in the index
}

// Index is an index of machines. It is not safe for concurrent use and must not be changed during a search.
type Index[T any] struct {
	pools []*pool[T] // sorted by comparePools
	size  int
}

// pool holds the machines of one Pool, divided into buckets. Machines that were indexed with a different capacity of
// the same machine type form a separate pool.
type pool[T any] struct {
	id       Pool
	capacity machineregistry.Resources
	buckets  []*bucket[T] // none is empty; sorted by compareBucketKeys
}

// bucket holds the machines of a pool whose free amount of each resource is in the same range.
type bucket[T any] struct {
	pool    *pool[T]
	key     bucketKey
	entries *btree.BTreeG[*Entry[T]] // sorted by free capacity, then by name
}

// bucketsPerResource is the number of ranges into which the capacity of each resource is divided.
const bucketsPerResource = 16

// bucketKey holds the range of each resource, from 0 (almost nothing free) to bucketsPerResource (everything free),
// and the highest of these. Buckets are sorted by the highest range first, so that they go from full machines to
// empty ones.
type bucketKey struct{ highest, cpus, gpus, memory int }

func compareBucketKeys(a, b bucketKey) int {
	return cmp.Or(
		cmp.Compare(a.highest, b.highest),
		cmp.Compare(a.cpus, b.cpus),
		cmp.Compare(a.gpus, b.gpus),
		cmp.Compare(a.memory, b.memory),
	)
}

// tolerance compensates for rounding errors in sums of decimal amounts.
const tolerance = 1e-9

// bucketOf returns the range that contains a free amount.
func bucketOf(free, capacity float64) int {
	if capacity <= 0 || free <= 0 {
		return 0
	}
	return min(bucketsPerResource, int(free/capacity*bucketsPerResource+tolerance))
}

// bucketKeyOf returns the key of the bucket for a free capacity.
func bucketKeyOf(free, capacity machineregistry.Resources) bucketKey {
	key := bucketKey{
		cpus:   bucketOf(free.CPUs, capacity.CPUs),
		gpus:   bucketOf(free.GPUs, capacity.GPUs),
		memory: bucketOf(free.MemoryGB, capacity.MemoryGB),
	}
	key.highest = max(key.cpus, key.gpus, key.memory)
	return key
}

// bucketBounds returns the smallest and largest free amount of a resource in a range.
func bucketBounds(index int, capacity float64) (low, high float64) {
	low = float64(index) / bucketsPerResource * capacity
	high = min(capacity, float64(index+1)/bucketsPerResource*capacity)
	return low, high
}

// bounds returns the smallest and largest free capacity that a machine in the bucket can have.
func (b *bucket[T]) bounds() (low, high machineregistry.Resources) {
	low.CPUs, high.CPUs = bucketBounds(b.key.cpus, b.pool.capacity.CPUs)
	low.GPUs, high.GPUs = bucketBounds(b.key.gpus, b.pool.capacity.GPUs)
	low.MemoryGB, high.MemoryGB = bucketBounds(b.key.memory, b.pool.capacity.MemoryGB)
	return low, high
}

// New returns an empty index.
func New[T any]() *Index[T] { return &Index[T]{} }

// Len returns the number of machines in the index.
func (x *Index[T]) Len() int { return x.size }

// NewEntry returns an entry that is not in an index yet.
func NewEntry[T any](name string, value T) *Entry[T] { return &Entry[T]{name: name, Value: value} }

// Put adds a machine to the index, or updates it after its pool or its free capacity has changed.
func (x *Index[T]) Put(e *Entry[T], id Pool, capacity, free machineregistry.Resources) {
	key := bucketKeyOf(free, capacity)
	if b := e.bucket; b != nil && b.pool.id == id && b.pool.capacity == capacity && b.key == key {
		if e.free != free {
			b.entries.Delete(e)
			e.free = free
			b.entries.Set(e)
		}
		return
	}
	x.Remove(e)
	e.free = free
	e.bucket = x.ensurePool(id, capacity).ensureBucket(key)
	e.bucket.entries.Set(e)
	x.size++
}

// Remove removes a machine from the index if it is indexed.
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

// Has reports whether an entry is in the index.
func (x *Index[T]) Has(e *Entry[T]) bool { return e.bucket != nil }

// comparePoolTo compares a pool with an ID, for binary search.
func comparePoolTo[T any](p *pool[T], id Pool) int { return comparePools(p.id, id) }

// compareBucketTo compares a bucket with a key, for binary search.
func compareBucketTo[T any](b *bucket[T], key bucketKey) int { return compareBucketKeys(b.key, key) }

// ensurePool returns the pool of machines with the given capacity, and creates it if it does not exist.
func (x *Index[T]) ensurePool(id Pool, capacity machineregistry.Resources) *pool[T] {
	i, found := slices.BinarySearchFunc(x.pools, id, comparePoolTo[T])
	for found && i < len(x.pools) && x.pools[i].id == id && x.pools[i].capacity != capacity {
		i++ // machines that were indexed with a different capacity
	}
	if i == len(x.pools) || x.pools[i].id != id || x.pools[i].capacity != capacity {
		x.pools = slices.Insert(x.pools, i, &pool[T]{id: id, capacity: capacity})
	}
	return x.pools[i]
}

// ensureBucket returns the bucket for a key, and creates it if it does not exist.
func (p *pool[T]) ensureBucket(key bucketKey) *bucket[T] {
	i, found := slices.BinarySearchFunc(p.buckets, key, compareBucketTo[T])
	if !found {
		entries := btree.NewBTreeGOptions(entryBefore[T], btree.Options{NoLocks: true})
		p.buckets = slices.Insert(p.buckets, i, &bucket[T]{pool: p, key: key, entries: entries})
	}
	return p.buckets[i]
}

// removeBucket removes an empty bucket, and its pool if it has no other bucket.
func (x *Index[T]) removeBucket(b *bucket[T]) {
	p := b.pool
	if k := slices.Index(p.buckets, b); k >= 0 {
		p.buckets = slices.Delete(p.buckets, k, k+1)
	}
	if len(p.buckets) > 0 {
		return
	}
	if i := slices.Index(x.pools, p); i >= 0 {
		x.pools = slices.Delete(x.pools, i, i+1)
	}
}

// entryBefore orders the entries of a bucket by free capacity, then by name.
func entryBefore[T any](a, b *Entry[T]) bool {
	if a.free != b.free {
		return compareFree(a.free, b.free) < 0
	}
	return a.name < b.name
}

// compareFree orders free capacities by CPUs, GPUs and memory.
func compareFree(a, b machineregistry.Resources) int {
	return cmp.Or(cmp.Compare(a.CPUs, b.CPUs), cmp.Compare(a.GPUs, b.GPUs), cmp.Compare(a.MemoryGB, b.MemoryGB))
}

// maxName sorts after every machine name.
const maxName = "\U0010ffff"

// EachPool calls f for every pool that contains machines.
func (x *Index[T]) EachPool(f func(Pool)) {
	for _, p := range x.pools {
		f(p.id)
	}
}

// Each calls f for every machine in the index.
func (x *Index[T]) Each(f func(T)) {
	for _, p := range x.pools {
		for _, b := range p.buckets {
			b.entries.Scan(func(e *Entry[T]) bool {
				f(e.Value)
				return true
			})
		}
	}
}
