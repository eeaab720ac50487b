package fleet

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

// room is a machine, there or to be rented, in which wanted tasks are packed.
type room struct {
	name string
	pool pool
	kind *protocol.MachineType
	free partition.Need
	// machine is nil for one to be rented.
	machine *partition.Machine
}

// Levels is the number of priorities.
const Levels = partition.Levels

// open is the room for a unit. What work takes that can save, and is of lower priority, is room
// that a job to come could have at once, and so as good as free.
func (r *room) open(u *Unit) partition.Need {
	if !u.Spare || u.Quick || r.machine == nil {
		return r.free
	}
	return r.free.Plus(r.machine.Savable(max(0, u.Job.Priority.Rank()) + 1))
}

// unitKind is what it depends on whether a room will do for a unit that avoids no machine.
type unitKind struct {
	need          partition.Need
	types         string
	zone, jobZone string
	level         int
	spot, saves   bool
	spare, quick  bool
}

func kindOf(u *Unit) unitKind {
	return unitKind{
		need: partition.NeedOf(u.Job), types: strings.Join(u.Job.MachineTypes, " "), zone: u.Zone, jobZone: u.Job.Zone, level: u.Job.Priority.Rank(),
		spot: u.Job.SpotAllowed, saves: u.Job.CheckpointIntervalSeconds > 0, spare: u.Spare, quick: u.Quick,
	}
}

// packing packs wanted tasks into rooms, and finds out what must be rented for the rest.
type packing struct {
	fleet    *Fleet
	now      time.Duration
	machines *partition.Partition
	rooms    []room
	perZone  map[string]int
	used     map[string]bool // machines that wanted tasks fit on
	wanted   map[pool]int
	total    int
	most     int // may be rented in all
	// full is up to where the rooms are known not to do for a kind, and denied says that none
	// can be rented for it: rooms only get fuller while tasks are packed.
	full   map[unitKind]int
	denied map[unitKind]bool
}

// rent returns the rentals that the units ask for, and the machines that they would use.
func (f *Fleet) rent(now time.Duration, p *partition.Partition, units []Unit) (effects []Effect, used map[string]bool) {
	if len(f.policies) > 0 {
		f.countComing(p)
	}
	k := f.newPacking(now, p)
	if len(units) > 0 {
		k.addRooms()
	}
	for i := range units {
		k.pack(&units[i])
	}
	f.rooms = k.rooms // to be filled anew the next time
	return f.rentals(k.wanted), k.used
}

func (f *Fleet) newPacking(now time.Duration, p *partition.Partition) *packing {
	return &packing{
		fleet: f, now: now, machines: p, rooms: f.rooms[:0], perZone: map[string]int{}, used: map[string]bool{}, wanted: map[pool]int{},
		most: protocol.MaxMachinesPerRental * f.callsPerPlan(), full: map[unitKind]int{}, denied: map[unitKind]bool{},
	}
}

// addRooms lists the rooms that are there or on their way.
func (k *packing) addRooms() {
	f, p := k.fleet, k.machines
	p.Each(func(m *partition.Machine) {
		t := p.Type(m.Type)
		if t == nil || m.Condemned || m.Notice || m.Sick {
			return
		}
		k.perZone[m.Zone]++
		if m.Up && k.now-m.Heard > p.Silent() && (k.now >= f.darkUntil[m.Zone] || f.policies[m.Zone].Uncounted) {
			return // not to be counted on, unless all of them are to come back
		}
		k.rooms = append(k.rooms, room{name: m.Name, pool: pool{m.Type, m.Zone, m.Spot}, kind: t, free: p.Free(m), machine: m})
	})
	for _, req := range slices.Sorted(maps.Keys(f.pending)) {
		pl := f.pending[req]
		if t := p.Type(pl.kind); t != nil {
			for range f.counts[req] {
				k.perZone[pl.zone]++
				k.rooms = append(k.rooms, room{pool: pl, kind: t, free: partition.CapacityOf(t)})
			}
		}
	}
}

// pack packs a unit's tasks, into rooms to be rented if need be.
func (k *packing) pack(u *Unit) {
	kind, left := kindOf(u), u.Count
	for _, i := range k.tightest(u, kind, left) {
		left = k.fill(u, &k.rooms[i], left)
		if left == 0 {
			return
		}
	}
	for left > 0 {
		r := k.order(u, kind)
		if r == nil {
			return
		}
		left = k.fill(u, r, left)
	}
}

// fill packs as many tasks of a unit into a room as it holds, and returns how many are left.
func (k *packing) fill(u *Unit, r *room, left int) int {
	need := partition.NeedOf(u.Job)
	k.used[r.name] = true
	for left > 0 && need.Fits(r.open(u)) {
		r.free = r.free.Minus(need)
		left--
		if need == (partition.Need{}) {
			return 0
		}
	}
	return left
}

// tightest returns up to so many rooms that will do for a unit: those with least free, the
// tightest first. Each of them takes a task at least.
func (k *packing) tightest(u *Unit, kind unitKind, most int) []int {
	few := &tightestRooms{k: k, u: u}
	for i := k.full[kind]; i < len(k.rooms); i++ {
		if !k.fits(u, kind.need, &k.rooms[i]) {
			continue
		}
		switch {
		case len(few.rooms) < most:
			heap.Push(few, i)
		case few.before(i, few.rooms[0]):
			few.rooms[0] = i
			heap.Fix(few, 0)
		}
	}
	if len(few.rooms) == 0 && len(u.Avoid) == 0 {
		k.full[kind] = len(k.rooms)
	}
	sort.Slice(few.rooms, func(i, j int) bool { return few.before(few.rooms[i], few.rooms[j]) })
	return few.rooms
}

// tightestRooms is a heap of rooms with the least tight at its top.
type tightestRooms struct {
	k     *packing
	u     *Unit
	rooms []int
}

// before says whether a room is tighter than another, or as tight and earlier in the list.
func (t *tightestRooms) before(i, j int) bool {
	a, b := t.k.rooms[i].open(t.u), t.k.rooms[j].open(t.u)
	if tighter(a, b) || tighter(b, a) {
		return tighter(a, b)
	}
	return i < j
}

// Len, Less, Swap, Push and Pop make it a heap.

func (t *tightestRooms) Len() int { return len(t.rooms) }

func (t *tightestRooms) Less(i, j int) bool { return t.before(t.rooms[j], t.rooms[i]) }

func (t *tightestRooms) Swap(i, j int) { t.rooms[i], t.rooms[j] = t.rooms[j], t.rooms[i] }

func (t *tightestRooms) Push(x any) { t.rooms = append(t.rooms, x.(int)) }

func (t *tightestRooms) Pop() any {
	last := t.rooms[len(t.rooms)-1]
	t.rooms = t.rooms[:len(t.rooms)-1]
	return last
}

func (k *packing) fits(u *Unit, need partition.Need, r *room) bool {
	return need.Fits(r.open(u)) && r.kind.AllowedBy(u.Job) && (u.Zone == "" || u.Zone == r.pool.zone) &&
		(u.Job.Zone == "" || u.Job.Zone == r.pool.zone) && (!r.pool.spot || u.Job.SpotAllowed) && !u.Avoid[r.name]
}

// order adds a room to be rented for a unit, or returns nil if there can be none.
func (k *packing) order(u *Unit, kind unitKind) *room {
	if k.denied[kind] || k.total >= k.most {
		return nil
	}
	pl, ok := k.fleet.choose(k.now, k.machines, *u, k.perZone)
	if !ok {
		k.denied[kind] = true
		return nil
	}
	t := k.machines.Type(pl.kind)
	if !kind.need.Fits(partition.CapacityOf(t)) {
		return nil
	}
	k.rooms = append(k.rooms, room{pool: pl, kind: t, free: partition.CapacityOf(t)})
	k.wanted[pl]++
	k.perZone[pl.zone]++
	if k.fleet.coming != nil {
		k.fleet.coming[pl.zone]++
	}
	k.total++
	return &k.rooms[len(k.rooms)-1]
}

// rentals asks for the wanted machines, as many in a request as the cloud allows.
func (f *Fleet) rentals(wanted map[pool]int) (effects []Effect) {
	pools := make([]pool, 0, len(wanted))
	for pl := range wanted {
		pools = append(pools, pl)
	}
	sort.Slice(pools, func(i, j int) bool { return fmt.Sprint(pools[i]) < fmt.Sprint(pools[j]) })
	for _, pl := range pools {
		for left := wanted[pl]; left > 0; left -= protocol.MaxMachinesPerRental {
			effects = append(effects, f.rental(pl, min(left, protocol.MaxMachinesPerRental)))
		}
	}
	return effects
}

func (f *Fleet) rental(pl pool, count int) Effect {
	f.seq++
	// The term makes the name unique across leaders and restarts.
	req := fmt.Sprintf("r-%d-%d", f.term, f.seq)
	f.pending[req], f.counts[req] = pl, count
	return Rent{protocol.Rental{RequestID: req, MachineType: pl.kind, Zone: pl.zone, Spot: pl.spot, Count: count}}
}

func tighter(a, b partition.Need) bool {
	if a.GPUs != b.GPUs {
		return a.GPUs < b.GPUs
	}
	return a.CPUs < b.CPUs
}
