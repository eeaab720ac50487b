package autoscaler

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// bin is a machine, there or to be rented, in which wanted tasks are packed.
type bin struct {
	name        string
	pool        machinePool
	machineType *protocol.MachineType
	free        machineregistry.Resources
	// machine is nil for one to be rented.
	machine *machineregistry.Machine
}

// PriorityLevels is the number of priorities.
const PriorityLevels = machineregistry.PriorityLevels

// freeFor is the room for a unit. What work takes that can save, and is of lower priority, is room
// that a job to come could have at once, and so as good as free.
func (r *bin) freeFor(u *Demand) machineregistry.Resources {
	if !u.Headroom || u.MustBeFree || r.machine == nil {
		return r.free
	}
	return r.free.Plus(r.machine.CheckpointableResources(max(0, u.Job.Priority.Rank()) + 1))
}

// demandKey is what it depends on whether a room will do for a unit that avoids no machine.
type demandKey struct {
	resources            machineregistry.Resources
	types                string
	zone, jobZone        string
	priorityLevel        int
	spot, checkpointable bool
	headroom, mustBeFree bool
}

func demandKeyOf(u *Demand) demandKey {
	return demandKey{
		resources: machineregistry.TaskResources(
			u.Job,
		),
		types:          strings.Join(u.Job.MachineTypes, " "),
		zone:           u.Zone,
		jobZone:        u.Job.Zone,
		priorityLevel:  u.Job.Priority.Rank(),
		spot:           u.Job.SpotAllowed,
		checkpointable: u.Job.CheckpointIntervalSeconds > 0,
		headroom:       u.Headroom,
		mustBeFree:     u.MustBeFree,
	}
}

// packing packs wanted tasks into rooms, and finds out what must be rented for the rest.
type packing struct {
	autoscaler      *Autoscaler
	now             time.Duration
	registry        *machineregistry.Registry
	bins            []bin
	machinesPerZone map[string]int
	usedMachines    map[string]bool // machines that wanted tasks fit on
	toRent          map[machinePool]int
	toRentTotal     int
	maxToRent       int // may be rented in all
	// scannedBins is up to where the rooms are known not to do for a kind, and denied says that none
	// can be rented for it: rooms only get fuller while tasks are packed.
	scannedBins map[demandKey]int
	unrentable  map[demandKey]bool
}

// scaleOut returns the rentals that the units ask for, and the machines that they would use.
func (f *Autoscaler) scaleOut(
	now time.Duration,
	p *machineregistry.Registry,
	units []Demand,
) (effects []Effect, used map[string]bool) {
	if len(f.zonePolicies) > 0 {
		f.countStarting(p)
	}
	k := f.newPacking(now, p)
	if len(units) > 0 {
		k.addBins()
	}
	for i := range units {
		k.pack(&units[i])
	}
	f.binBuffer = k.bins // to be filled anew the next time
	return f.scaleOutEffects(k.toRent), k.usedMachines
}

func (f *Autoscaler) newPacking(now time.Duration, p *machineregistry.Registry) *packing {
	return &packing{
		autoscaler:      f,
		now:             now,
		registry:        p,
		bins:            f.binBuffer[:0],
		machinesPerZone: map[string]int{},
		usedMachines:    map[string]bool{},
		toRent:          map[machinePool]int{},
		maxToRent:       protocol.MaxMachinesPerRental * f.callsPerPlan(),
		scannedBins:     map[demandKey]int{},
		unrentable:      map[demandKey]bool{},
	}
}

// addBins lists the rooms that are there or on their way.
func (k *packing) addBins() {
	f, p := k.autoscaler, k.registry
	p.Each(func(m *machineregistry.Machine) {
		t := p.MachineType(m.Type)
		if t == nil || m.Terminating || m.InterruptionNotice || m.Quarantined {
			return
		}
		k.machinesPerZone[m.Zone]++
		if m.Registered && k.now-m.LastHeartbeat > p.SilenceTimeout() &&
			(k.now >= f.unreachableUntil[m.Zone] || f.zonePolicies[m.Zone].IgnoreSilent) {
			return // not to be counted on, unless all of them are to come back
		}
		k.bins = append(
			k.bins,
			bin{
				name:        m.Name,
				pool:        machinePool{m.Type, m.Zone, m.Spot},
				machineType: t,
				free:        p.FreeCapacity(m),
				machine:     m,
			},
		)
	})
	for _, req := range slices.Sorted(maps.Keys(f.pendingRentals)) {
		pl := f.pendingRentals[req]
		if t := p.MachineType(pl.machineType); t != nil {
			for range f.pendingCounts[req] {
				k.machinesPerZone[pl.zone]++
				k.bins = append(k.bins, bin{pool: pl, machineType: t, free: machineregistry.CapacityOf(t)})
			}
		}
	}
}

// pack packs a unit's tasks, into rooms to be rented if need be.
func (k *packing) pack(u *Demand) {
	kind, left := demandKeyOf(u), u.Count
	for _, i := range k.tightestBins(u, kind, left) {
		left = k.fill(u, &k.bins[i], left)
		if left == 0 {
			return
		}
	}
	for left > 0 {
		r := k.openBin(u, kind)
		if r == nil {
			return
		}
		left = k.fill(u, r, left)
	}
}

// fill packs as many tasks of a unit into a room as it holds, and returns how many are left.
func (k *packing) fill(u *Demand, r *bin, left int) int {
	need := machineregistry.TaskResources(u.Job)
	k.usedMachines[r.name] = true
	for left > 0 && need.Fits(r.freeFor(u)) {
		r.free = r.free.Minus(need)
		left--
		if need == (machineregistry.Resources{}) {
			return 0
		}
	}
	return left
}

// tightestBins returns up to so many rooms that will do for a unit: those with least free, the
// tightest first. Each of them takes a task at least.
func (k *packing) tightestBins(u *Demand, kind demandKey, most int) []int {
	few := &leastTightHeap{packing: k, demand: u}
	for i := k.scannedBins[kind]; i < len(k.bins); i++ {
		if !k.feasible(u, kind.resources, &k.bins[i]) {
			continue
		}
		switch {
		case len(few.bins) < most:
			heap.Push(few, i)
		case few.before(i, few.bins[0]):
			few.bins[0] = i
			heap.Fix(few, 0)
		}
	}
	if len(few.bins) == 0 && len(u.ExcludedMachines) == 0 {
		k.scannedBins[kind] = len(k.bins)
	}
	sort.Slice(few.bins, func(i, j int) bool { return few.before(few.bins[i], few.bins[j]) })
	return few.bins
}

// leastTightHeap is a heap of rooms with the least tight at its top.
type leastTightHeap struct {
	packing *packing
	demand  *Demand
	bins    []int
}

// before says whether a room is tighter than another, or as tight and earlier in the list.
func (t *leastTightHeap) before(i, j int) bool {
	a, b := t.packing.bins[i].freeFor(t.demand), t.packing.bins[j].freeFor(t.demand)
	if tighter(a, b) || tighter(b, a) {
		return tighter(a, b)
	}
	return i < j
}

// Len, Less, Swap, Push and Pop make it a heap.

func (t *leastTightHeap) Len() int { return len(t.bins) }

func (t *leastTightHeap) Less(i, j int) bool { return t.before(t.bins[j], t.bins[i]) }

func (t *leastTightHeap) Swap(i, j int) { t.bins[i], t.bins[j] = t.bins[j], t.bins[i] }

func (t *leastTightHeap) Push(x any) { t.bins = append(t.bins, x.(int)) }

func (t *leastTightHeap) Pop() any {
	last := t.bins[len(t.bins)-1]
	t.bins = t.bins[:len(t.bins)-1]
	return last
}

func (k *packing) feasible(u *Demand, need machineregistry.Resources, r *bin) bool {
	return need.Fits(r.freeFor(u)) && r.machineType.AllowedBy(u.Job) && (u.Zone == "" || u.Zone == r.pool.zone) &&
		(u.Job.Zone == "" || u.Job.Zone == r.pool.zone) && (!r.pool.spot || u.Job.SpotAllowed) && !u.ExcludedMachines[r.name]
}

// openBin adds a room to be rented for a unit, or returns nil if there can be none.
func (k *packing) openBin(u *Demand, kind demandKey) *bin {
	if k.unrentable[kind] || k.toRentTotal >= k.maxToRent {
		return nil
	}
	pl, ok := k.autoscaler.choosePool(k.now, k.registry, *u, k.machinesPerZone)
	if !ok {
		k.unrentable[kind] = true
		return nil
	}
	t := k.registry.MachineType(pl.machineType)
	if !kind.resources.Fits(machineregistry.CapacityOf(t)) {
		return nil
	}
	k.bins = append(k.bins, bin{pool: pl, machineType: t, free: machineregistry.CapacityOf(t)})
	k.toRent[pl]++
	k.machinesPerZone[pl.zone]++
	if k.autoscaler.startingByZone != nil {
		k.autoscaler.startingByZone[pl.zone]++
	}
	k.toRentTotal++
	return &k.bins[len(k.bins)-1]
}

// scaleOutEffects asks for the wanted machines, as many in a request as the cloud allows.
func (f *Autoscaler) scaleOutEffects(wanted map[machinePool]int) (effects []Effect) {
	pools := make([]machinePool, 0, len(wanted))
	for pl := range wanted {
		pools = append(pools, pl)
	}
	sort.Slice(pools, func(i, j int) bool { return fmt.Sprint(pools[i]) < fmt.Sprint(pools[j]) })
	for _, pl := range pools {
		for left := wanted[pl]; left > 0; left -= protocol.MaxMachinesPerRental {
			effects = append(effects, f.scaleOutEffect(pl, min(left, protocol.MaxMachinesPerRental)))
		}
	}
	return effects
}

func (f *Autoscaler) scaleOutEffect(pl machinePool, count int) Effect {
	f.requestSeq++
	// The term makes the name unique across leaders and restarts.
	req := fmt.Sprintf("r-%d-%d", f.term, f.requestSeq)
	f.pendingRentals[req], f.pendingCounts[req] = pl, count
	return ScaleOut{
		protocol.Rental{RequestID: req, MachineType: pl.machineType, Zone: pl.zone, Spot: pl.spot, Count: count},
	}
}

func tighter(a, b machineregistry.Resources) bool {
	if a.GPUs != b.GPUs {
		return a.GPUs < b.GPUs
	}
	return a.CPUs < b.CPUs
}
