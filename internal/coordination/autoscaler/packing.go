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

// bin is a machine into which tasks are packed: one in the registry, one with a pending rental, or one that this plan
// is to rent.
type bin struct {
	name        string // "" unless the machine is in the registry
	pool        machinePool
	machineType *protocol.MachineType
	free        machineregistry.Resources
	machine     *machineregistry.Machine // nil unless the machine is in the registry
}

// freeFor returns the free capacity for a demand. For headroom, capacity held by lower-priority tasks that can save a
// checkpoint counts as free, because they can be preempted when a job arrives.
func (b *bin) freeFor(d *Demand) machineregistry.Resources {
	if !d.Headroom || d.MustBeFree || b.machine == nil {
		return b.free
	}
	return b.free.Plus(b.machine.CheckpointableResources(max(0, d.Job.Priority.Rank()) + 1))
}

// demandKey holds all properties that decide whether a bin suits a demand without excluded machines.
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

// packing packs tasks into bins by best fit and determines which machines must be rented for the remaining tasks.
type packing struct {
	autoscaler      *Autoscaler
	now             time.Duration
	registry        *machineregistry.Registry
	bins            []bin
	machinesPerZone map[string]int
	usedMachines    map[string]bool // machines that received tasks

	toRent      map[machinePool]int
	toRentTotal int
	maxToRent   int

	// scannedBins is the number of leading bins that are known not to suit a demand, and unrentable marks demands for
	// which no machine can be rented. Both remain valid during packing, because the free capacity of a bin only
	// decreases.
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

// addBins adds the machines in the registry and those of pending rentals.
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

// addMachine adds a bin for a machine, unless the machine is about to leave, is quarantined, or is unreachable and not
// expected to reconnect.
func (p *packing) addMachine(m *machineregistry.Machine) {
	t := p.registry.MachineType(m.Type)
	if t == nil || m.Terminating || m.InterruptionNotice || m.Quarantined {
		return
	}
	p.machinesPerZone[m.Zone]++
	if m.Registered && p.now-m.LastHeartbeat > p.registry.UnreachableTimeout() && !p.expectsReconnect(m.Zone) {
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

// expectsReconnect reports whether the unreachable machines of a zone are likely to reconnect, because the zone as a
// whole is unreachable.
func (p *packing) expectsReconnect(zone string) bool {
	return p.now < p.autoscaler.unreachableUntil[zone] && !p.autoscaler.zonePolicies[zone].IgnoreUnreachable
}

func emptyBin(pool machinePool, t *protocol.MachineType) bin {
	return bin{pool: pool, machineType: t, free: machineregistry.CapacityOf(t)}
}

// pack packs the tasks of a demand, into newly rented machines if necessary.
func (p *packing) pack(d *Demand) {
	key, remaining := demandKeyOf(d), d.Count
	for _, i := range p.bestFitBins(d, key, remaining) {
		remaining = p.fill(d, &p.bins[i], remaining)
		if remaining == 0 {
			return
		}
	}
	for remaining > 0 {
		b := p.openBin(d, key)
		if b == nil {
			return
		}
		remaining = p.fill(d, b, remaining)
	}
}

// fill packs as many of the remaining tasks into a bin as fit and returns the number of tasks that still remain.
func (p *packing) fill(d *Demand, b *bin, remaining int) int {
	resources := machineregistry.TaskResources(d.Job)
	p.usedMachines[b.name] = true
	for remaining > 0 && resources.Fits(b.freeFor(d)) {
		b.free = b.free.Minus(resources)
		remaining--
		if resources == (machineregistry.Resources{}) {
			return 0 // tasks that request no resources always fit
		}
	}
	return remaining
}

// bestFitBins returns the indexes of at most limit bins that suit a demand: those with the least free capacity, in
// ascending order of free capacity. Each has room for at least one task.
func (p *packing) bestFitBins(d *Demand, key demandKey, limit int) []int {
	selected := &mostFreeHeap{packing: p, demand: d}
	for i := p.scannedBins[key]; i < len(p.bins); i++ {
		if !p.feasible(d, key.resources, &p.bins[i]) {
			continue
		}
		switch {
		case len(selected.bins) < limit:
			heap.Push(selected, i)
		case selected.hasLessFree(i, selected.bins[0]):
			selected.bins[0] = i
			heap.Fix(selected, 0)
		}
	}
	if len(selected.bins) == 0 && len(d.ExcludedMachines) == 0 {
		p.scannedBins[key] = len(p.bins)
	}
	bins := selected.bins
	sort.Slice(bins, func(i, j int) bool { return selected.hasLessFree(bins[i], bins[j]) })
	return bins
}

// feasible reports whether a bin suits a demand and has room for at least one of its tasks.
func (p *packing) feasible(d *Demand, resources machineregistry.Resources, b *bin) bool {
	return resources.Fits(b.freeFor(d)) && b.machineType.AllowedBy(d.Job) && d.allowsZone(b.pool.zone) &&
		(!b.pool.spot || d.Job.SpotAllowed) && !d.ExcludedMachines[b.name]
}

// openBin adds a machine to rent for a demand. It returns nil if none can be rented.
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

// mostFreeHeap is a heap of bin indexes with the bin of most free capacity at the top. It implements [heap.Interface].
type mostFreeHeap struct {
	packing *packing
	demand  *Demand
	bins    []int
}

// hasLessFree reports whether bin i has less free capacity than bin j, or as much and a lower index.
func (h *mostFreeHeap) hasLessFree(i, j int) bool {
	a, b := h.packing.bins[i].freeFor(h.demand), h.packing.bins[j].freeFor(h.demand)
	if lessFree(a, b) || lessFree(b, a) {
		return lessFree(a, b)
	}
	return i < j
}

// Len returns the number of bins.
func (h *mostFreeHeap) Len() int { return len(h.bins) }

// Less orders bins by descending free capacity.
func (h *mostFreeHeap) Less(i, j int) bool { return h.hasLessFree(h.bins[j], h.bins[i]) }

// Swap swaps two bins.
func (h *mostFreeHeap) Swap(i, j int) { h.bins[i], h.bins[j] = h.bins[j], h.bins[i] }

// Push appends the index of a bin.
func (h *mostFreeHeap) Push(x any) {
	h.bins = append(h.bins, x.(int)) //nolint:errcheck,forcetypeassert // heap.Push is called with indexes only
}

// Pop removes and returns the last bin.
func (h *mostFreeHeap) Pop() any {
	last := h.bins[len(h.bins)-1]
	h.bins = h.bins[:len(h.bins)-1]
	return last
}

// lessFree compares free capacity by GPUs first, then by CPUs.
func lessFree(a, b machineregistry.Resources) bool {
	if a.GPUs != b.GPUs {
		return a.GPUs < b.GPUs
	}
	return a.CPUs < b.CPUs
}
