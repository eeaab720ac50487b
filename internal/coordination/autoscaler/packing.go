package autoscaler

import (
	"container/heap"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// bin is a machine into which demanded tasks are packed: one that is there, one that has been
// requested, or one that this plan is to request.
type bin struct {
	name        string // "" unless the machine is there
	pool        machinePool
	machineType *protocol.MachineType
	free        machineregistry.Resources
	machine     *machineregistry.Machine // nil unless the machine is there
}

// freeFor is the free capacity for a demand. For headroom, what is held by less important work
// that can save a checkpoint is as good as free: it can be preempted when a job arrives.
func (b *bin) freeFor(d *Demand) machineregistry.Resources {
	if !d.Headroom || d.MustBeFree || b.machine == nil {
		return b.free
	}
	return b.free.Plus(b.machine.CheckpointableResources(max(0, d.Job.Priority.Rank()) + 1))
}

// demandKey is all that decides whether a bin suits a demand without excluded machines.
type demandKey struct {
	resources            machineregistry.Resources
	machineTypes         string
	zone, jobZone        string
	priorityLevel        int
	spot, checkpointable bool
	headroom, mustBeFree bool
}

func demandKeyOf(d *Demand) demandKey {
	return demandKey{
		resources:      machineregistry.TaskResources(d.Job),
		machineTypes:   strings.Join(d.Job.MachineTypes, " "),
		zone:           d.Zone,
		jobZone:        d.Job.Zone,
		priorityLevel:  d.Job.Priority.Rank(),
		spot:           d.Job.SpotAllowed,
		checkpointable: d.Job.CheckpointIntervalSeconds > 0,
		headroom:       d.Headroom,
		mustBeFree:     d.MustBeFree,
	}
}

// packing packs demanded tasks into bins, best fit first, and finds out which machines must be
// requested for the rest.
type packing struct {
	autoscaler      *Autoscaler
	now             time.Duration
	registry        *machineregistry.Registry
	bins            []bin
	machinesPerZone map[string]int
	usedMachines    map[string]bool // into which tasks were packed

	toRent      map[machinePool]int
	toRentTotal int
	maxToRent   int

	// scannedBins is the number of bins, from the first on, that are known not to suit a demand,
	// and unrentable says that no machine can be requested for it. Both stay true while tasks are
	// packed: bins only get fuller.
	scannedBins map[demandKey]int
	unrentable  map[demandKey]bool
}

func (a *Autoscaler) newPacking(now time.Duration) *packing {
	return &packing{
		autoscaler:      a,
		now:             now,
		registry:        a.registry,
		bins:            a.binBuffer[:0],
		machinesPerZone: map[string]int{},
		usedMachines:    map[string]bool{},
		toRent:          map[machinePool]int{},
		maxToRent:       protocol.MaxMachinesPerRental * a.callsPerPlan(),
		scannedBins:     map[demandKey]int{},
		unrentable:      map[demandKey]bool{},
	}
}

// addBins adds the machines that are there or requested.
func (p *packing) addBins() {
	p.registry.Each(p.addMachine)
	pending := p.autoscaler.pendingRentals
	for _, id := range slices.Sorted(maps.Keys(pending)) {
		rental := pending[id]
		t := p.registry.MachineType(rental.pool.machineType)
		if t == nil {
			continue
		}
		for range rental.count {
			p.machinesPerZone[rental.pool.zone]++
			p.bins = append(p.bins, emptyBin(rental.pool, t))
		}
	}
}

// addMachine adds the bin of a machine if it can be counted on.
func (p *packing) addMachine(m *machineregistry.Machine) {
	t := p.registry.MachineType(m.Type)
	if t == nil || m.Terminating || m.InterruptionNotice || m.Quarantined {
		return
	}
	p.machinesPerZone[m.Zone]++
	if m.Registered && p.now-m.LastHeartbeat > p.registry.SilenceTimeout() && !p.expectsReturn(m.Zone) {
		return
	}
	p.bins = append(p.bins, bin{
		name:        m.Name,
		pool:        machinePool{machineType: m.Type, zone: m.Zone, spot: m.Spot},
		machineType: t,
		free:        p.registry.FreeCapacity(m),
		machine:     m,
	})
}

// expectsReturn reports whether the silent machines of a zone are likely to return, since the zone
// is unreachable as a whole.
func (p *packing) expectsReturn(zone string) bool {
	return p.now < p.autoscaler.unreachableUntil[zone] && !p.autoscaler.zonePolicies[zone].IgnoreSilent
}

func emptyBin(pool machinePool, t *protocol.MachineType) bin {
	return bin{pool: pool, machineType: t, free: machineregistry.CapacityOf(t)}
}

// pack packs the tasks of a demand, into machines to be requested if need be.
func (p *packing) pack(d *Demand) {
	key, left := demandKeyOf(d), d.Count
	for _, i := range p.tightestBins(d, key, left) {
		left = p.fill(d, &p.bins[i], left)
		if left == 0 {
			return
		}
	}
	for left > 0 {
		b := p.openBin(d, key)
		if b == nil {
			return
		}
		left = p.fill(d, b, left)
	}
}

// fill packs as many of the tasks left into a bin as fit, and returns how many are left then.
func (p *packing) fill(d *Demand, b *bin, left int) int {
	resources := machineregistry.TaskResources(d.Job)
	p.usedMachines[b.name] = true
	for left > 0 && resources.Fits(b.freeFor(d)) {
		b.free = b.free.Minus(resources)
		left--
		if resources == (machineregistry.Resources{}) {
			return 0 // any number of them fits
		}
	}
	return left
}

// tightestBins returns the indexes of at most the given number of bins that suit a demand: those
// with the least free capacity, the tightest first. Each of them holds one task at least.
func (p *packing) tightestBins(d *Demand, key demandKey, limit int) []int {
	selected := &loosestFirst{packing: p, demand: d}
	for i := p.scannedBins[key]; i < len(p.bins); i++ {
		if !p.feasible(d, key.resources, &p.bins[i]) {
			continue
		}
		switch {
		case len(selected.bins) < limit:
			heap.Push(selected, i)
		case selected.isTighter(i, selected.bins[0]):
			selected.bins[0] = i
			heap.Fix(selected, 0)
		}
	}
	if len(selected.bins) == 0 && len(d.ExcludedMachines) == 0 {
		p.scannedBins[key] = len(p.bins)
	}
	bins := selected.bins
	sort.Slice(bins, func(i, j int) bool { return selected.isTighter(bins[i], bins[j]) })
	return bins
}

// feasible reports whether a bin suits a demand and holds one of its tasks at least.
func (p *packing) feasible(d *Demand, resources machineregistry.Resources, b *bin) bool {
	return resources.Fits(b.freeFor(d)) && b.machineType.AllowedBy(d.Job) && d.allowsZone(b.pool.zone) &&
		(!b.pool.spot || d.Job.SpotAllowed) && !d.ExcludedMachines[b.name]
}

// openBin adds a machine to be requested for a demand, or returns nil if none can be.
func (p *packing) openBin(d *Demand, key demandKey) *bin {
	if p.unrentable[key] || p.toRentTotal >= p.maxToRent {
		return nil
	}
	pool, ok := p.autoscaler.choosePool(p.now, d, p.machinesPerZone)
	if !ok {
		p.unrentable[key] = true
		return nil
	}
	t := p.registry.MachineType(pool.machineType)
	if !key.resources.Fits(machineregistry.CapacityOf(t)) {
		return nil
	}
	p.bins = append(p.bins, emptyBin(pool, t))
	p.toRent[pool]++
	p.toRentTotal++
	p.machinesPerZone[pool.zone]++
	if p.autoscaler.startingByZone != nil {
		p.autoscaler.startingByZone[pool.zone]++
	}
	return &p.bins[len(p.bins)-1]
}

// loosestFirst is a heap of bins, by index, with the one of most free capacity at its top. It
// implements heap.Interface.
type loosestFirst struct {
	packing *packing
	demand  *Demand
	bins    []int
}

// isTighter reports whether a bin is tighter than another, or as tight and earlier in the list.
func (h *loosestFirst) isTighter(i, j int) bool {
	a, b := h.packing.bins[i].freeFor(h.demand), h.packing.bins[j].freeFor(h.demand)
	if tighter(a, b) || tighter(b, a) {
		return tighter(a, b)
	}
	return i < j
}

// Len is the number of bins.
func (h *loosestFirst) Len() int { return len(h.bins) }

// Less puts the looser bin first.
func (h *loosestFirst) Less(i, j int) bool { return h.isTighter(h.bins[j], h.bins[i]) }

// Swap exchanges two bins.
func (h *loosestFirst) Swap(i, j int) { h.bins[i], h.bins[j] = h.bins[j], h.bins[i] }

// Push adds the index of a bin.
func (h *loosestFirst) Push(x any) {
	h.bins = append(h.bins, x.(int)) //nolint:errcheck,forcetypeassert // heap.Push is called with indexes only
}

// Pop removes the last bin.
func (h *loosestFirst) Pop() any {
	last := h.bins[len(h.bins)-1]
	h.bins = h.bins[:len(h.bins)-1]
	return last
}

// tighter orders free capacity by accelerators, then by processors.
func tighter(a, b machineregistry.Resources) bool {
	if a.GPUs != b.GPUs {
		return a.GPUs < b.GPUs
	}
	return a.CPUs < b.CPUs
}
