// Package fleet decides which machines to rent and which to return. It does
// no I/O and reads no clock.
package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

// Unit is room that is wanted: Count tasks of the same need.
type Unit struct {
	Job   *protocol.Job
	Zone  string // the only zone that will do, or ""
	Count int
	Avoid map[string]bool // machines that will not do
	Spare bool            // kept ready for jobs to come, not for one that waits
	Quick bool            // spare that must be free: there is no time to clear arrays off it
}

// Effect is what the fleet asks of the cloud: Rent, Release or List.
type Effect interface{ effect() }

// Rent asks for machines.
type Rent struct{ Rental protocol.Rental }

// Release returns machines.
type Release struct{ Names []string }

// List asks the cloud for its list.
type List struct{}

func (Rent) effect()    {}
func (Release) effect() {}
func (List) effect()    {}

// memoryCancels is how long a returned machine is remembered, in times that a
// cancellation may take. Messages come minutes late; one that came later still
// would bring up a machine that is silent, and so returned once more.
const memoryCancels = 20

type pool struct {
	kind, zone string
	spot       bool
}

// Fleet is the leader's view of what it rents.
type Fleet struct {
	cloud   config.Cloud
	workers config.Workers
	term    uint64
	seq     uint64

	blocked   map[pool]time.Duration // refused lately
	refusals  map[pool]int
	pending   map[string]pool // rentals under way, by request
	counts    map[string]int
	releasing map[string]bool
	listing   bool
	listedAt  time.Duration
	complete  time.Duration // when a whole list first came
	firstSeen map[string]time.Duration
	returned  map[string]time.Duration
	darkUntil map[string]time.Duration // zones of which much has been silent lately
	policies  map[string]ZonePolicy
	coming    map[string]int // machines on their way, by zone
}

// ZonePolicy is how the fleet treats a zone that is not as it should be.
type ZonePolicy struct {
	// Closed: nothing is rented there, as it would not come up.
	Closed bool
	// Probe: one machine at a time is rented there, which shows when others would come up.
	Probe bool
	// Uncounted: machines that are silent there are no room for work that waits.
	Uncounted bool
	// KeepUntil is until when machines there are not fenced for their silence alone:
	// somebody else decides which are. Cancelled tasks are fenced as ever.
	KeepUntil time.Duration
}

// SetZones replaces the policies of zones; a zone without one is treated as usual.
func (f *Fleet) SetZones(policies map[string]ZonePolicy) { f.policies = policies }

// New returns the fleet of a term.
func New(term uint64, cloud config.Cloud, workers config.Workers) *Fleet {
	return &Fleet{
		cloud: cloud, workers: workers, term: term, listedAt: math.MinInt64 / 2,
		blocked: map[pool]time.Duration{}, refusals: map[pool]int{}, pending: map[string]pool{}, counts: map[string]int{},
		releasing: map[string]bool{}, firstSeen: map[string]time.Duration{}, returned: map[string]time.Duration{},
		darkUntil: map[string]time.Duration{},
	}
}

func (f *Fleet) lag() time.Duration { return config.Seconds(2 * f.cloud.ListLagS) }

// Known says whether a whole list has come since the term began: before that
// we don't know what is already rented.
func (f *Fleet) Known() bool { return f.complete > 0 }

// Listed takes in the cloud's list, asked for at the given time. It returns
// the machines that are proven gone: a list asked for later than twice the lag
// after a machine was first seen listed describes a later moment than that, so
// if the machine is missing there, it has left for good.
func (f *Fleet) Listed(now, asked time.Duration, p *partition.Partition, list []protocol.ListedMachine) (gone []string) {
	f.listing = false
	seen := make(map[string]bool, len(list))
	for i := range list {
		l := &list[i]
		seen[l.Name] = true
		if f.Gone(l.Name) {
			continue // an old list
		}
		if _, ok := f.firstSeen[l.Name]; !ok {
			f.firstSeen[l.Name] = now
		}
		if f.releasing[l.Name] {
			continue
		}
		m := p.Machine(l.Name)
		if m == nil {
			m = p.Ensure(now, l.Name)
			m.Rented = now - config.Seconds(l.AgeS)
		}
		if !m.Up {
			m.Addr, m.Type, m.Zone, m.Spot = l.Addr, l.Type, l.Zone, l.Spot
		}
		if l.State == protocol.MachineFailed {
			m.Condemned = true
		}
	}
	for name, first := range f.firstSeen {
		if seen[name] || asked <= first+f.lag() {
			continue
		}
		if m := p.Machine(name); m != nil {
			if now-m.Heard < f.lag() {
				continue // it speaks; the list must be wrong
			}
			gone = append(gone, name)
		}
		delete(f.firstSeen, name)
	}
	sort.Strings(gone)
	if f.complete == 0 {
		f.complete = now
	}
	return gone
}

// Gone says whether the machine was returned not long ago: old lists and late
// reports must not bring it back.
func (f *Fleet) Gone(name string) bool {
	_, ok := f.returned[name]
	return ok
}

// ListFailed notes that a list did not come.
func (f *Fleet) ListFailed() { f.listing = false }

// Rented takes in the outcome of a rental.
func (f *Fleet) Rented(now, asked time.Duration, p *partition.Partition, request string, names []string, refused bool) {
	pl, ok := f.pending[request]
	if !ok {
		return
	}
	want := f.counts[request]
	delete(f.pending, request)
	delete(f.counts, request)
	for _, n := range names {
		m := p.Ensure(now, n)
		m.Rented = asked
		if !m.Up {
			m.Type, m.Zone, m.Spot = pl.kind, pl.zone, pl.spot
		}
	}
	if refused || len(names) < want {
		n := min(f.refusals[pl]+1, 4)
		f.refusals[pl] = n
		f.blocked[pl] = now + time.Duration(n)*f.lag()/2
		return
	}
	delete(f.refusals, pl)
}

// Released takes in the outcome of a release, and returns whether the machines
// are proven gone.
func (f *Fleet) Released(now time.Duration, names []string, ok bool) {
	for n, at := range f.returned {
		if now-at > config.Seconds(memoryCancels*f.workers.CancelS) {
			delete(f.returned, n)
		}
	}
	for _, n := range names {
		delete(f.releasing, n)
		if ok {
			f.returned[n] = now
			delete(f.firstSeen, n)
		}
	}
}

// silent fences machines: those that cannot be heard for a while are released,
// since only that proves their tasks gone. When many of a zone fall silent at
// once, the network is the likelier cause, and we wait; also for those that come
// back later than the others, since workers that lost their controller need
// until about then to find a way round, and each that is fenced is a healthy one.
func (f *Fleet) silent(now time.Duration, p *partition.Partition) {
	lease, patience := config.Seconds(f.workers.LeaseS), f.Patience()
	// That a zone falls silent must be plain before the first of its machines
	// would be fenced.
	late := min(p.Silent(), patience-config.Seconds(f.workers.ReportS))
	up, quiet := map[string]int{}, map[string]int{}
	var dead []*partition.Machine
	p.Each(func(m *partition.Machine) {
		if !m.Up && m.Count() == 0 {
			return
		}
		up[m.Zone]++
		if now-m.Heard > late {
			quiet[m.Zone]++
		}
		switch {
		case now-m.Heard > p.Silent() && m.FencingDue(now):
			// Its zone may be dark, and it may have ended its tasks by itself; but users
			// were told that they are gone.
			m.Condemned = true
		case now-m.Heard > patience && now >= f.policies[m.Zone].KeepUntil:
			dead = append(dead, m)
		}
	})
	for zone, n := range quiet {
		if n > max(2, up[zone]/3) {
			f.darkUntil[zone] = now + lease
		}
	}
	fenced := map[string]int{}
	for _, m := range dead {
		if now < f.darkUntil[m.Zone] {
			if now-m.Heard < 3*lease || fenced[m.Zone] >= max(1, up[m.Zone]/20) {
				continue
			}
			fenced[m.Zone]++
		}
		m.Condemned = true
	}
}

// Patience is how long a machine may be silent before it is fenced: as long as a
// worker takes that reports at its slowest, waits for an answer in vain and goes
// on to the next controller, and no longer than most of a lease.
func (f *Fleet) Patience() time.Duration {
	report := config.Seconds(f.workers.ReportS)
	return min(config.Seconds(f.workers.LeaseS)*3/4, report*3/2+protocol.ReportPatience+protocol.ReportPause)
}

// opens says whether machines may be rented in a zone now.
func (f *Fleet) opens(zone string) bool {
	policy := f.policies[zone]
	return !policy.Closed && !(policy.Probe && f.coming[zone] > 0)
}

// countComing counts the machines that are on their way.
func (f *Fleet) countComing(p *partition.Partition) {
	f.coming = map[string]int{}
	p.Each(func(m *partition.Machine) {
		if !m.Up && m.Count() == 0 && !m.Condemned {
			f.coming[m.Zone]++
		}
	})
	for request, pl := range f.pending {
		f.coming[pl.zone] += f.counts[request]
	}
}

// Plan compares what is wanted with what there is.
func (f *Fleet) Plan(now time.Duration, p *partition.Partition, units []Unit) (effects []Effect) {
	if !f.listing && now-f.listedAt >= config.Seconds(f.cloud.ListLagS/2) {
		f.listing, f.listedAt = true, now
		effects = append(effects, List{})
	}
	f.silent(now, p)
	used := map[string]bool{}
	if f.Known() {
		var rents []Effect
		rents, used = f.rent(now, p, units)
		effects = append(effects, rents...)
	}
	return append(effects, f.release(now, p, used)...)
}

// room is a machine, there or to be rented, in which wanted tasks are packed.
type room struct {
	name string
	pool pool
	free partition.Need
	// soft is what work of each rank that can save takes: room that a job of higher
	// priority could have at once, and so as good as free for one to come.
	soft [Ranks]partition.Need
}

// Ranks is the number of priorities.
const Ranks = 4

// open is the room for a unit.
func (r *room) open(u *Unit) partition.Need {
	n := r.free
	if u.Spare && !u.Quick {
		for i := max(0, u.Job.Priority.Rank()) + 1; i < Ranks; i++ {
			n = n.Plus(r.soft[i])
		}
	}
	return n
}

func (f *Fleet) rent(now time.Duration, p *partition.Partition, units []Unit) (effects []Effect, used map[string]bool) {
	var rooms []*room
	perZone := map[string]int{}
	if len(f.policies) > 0 {
		f.countComing(p)
	}
	used = map[string]bool{}
	p.Each(func(m *partition.Machine) {
		t := p.Type(m.Type)
		if t == nil || m.Condemned || m.Notice || m.Sick {
			return
		}
		perZone[m.Zone]++
		if m.Up && now-m.Heard > p.Silent() && (now >= f.darkUntil[m.Zone] || f.policies[m.Zone].Uncounted) {
			return // not to be counted on, unless all of them are to come back
		}
		r := &room{name: m.Name, pool: pool{m.Type, m.Zone, m.Spot}, free: p.Free(m)}
		m.Placements(func(pl *partition.Placement) {
			if pl.Job != nil && pl.Job.Shape != protocol.Service && pl.Job.CheckpointS > 0 {
				r.soft[pl.Rank] = r.soft[pl.Rank].Plus(pl.Need)
			}
		})
		rooms = append(rooms, r)
	})
	for req, pl := range f.pending {
		if t := p.Type(pl.kind); t != nil {
			for range f.counts[req] {
				perZone[pl.zone]++
				rooms = append(rooms, &room{pool: pl, free: partition.CapacityOf(t)})
			}
		}
	}
	wanted := map[pool]int{}
	total := 0
	for _, u := range units {
		need := partition.NeedOf(u.Job)
		left := u.Count
		fits := func(r *room) bool {
			t := p.Type(r.pool.kind)
			return t != nil && t.Allows(u.Job) && (u.Zone == "" || u.Zone == r.pool.zone) &&
				(u.Job.Zone == "" || u.Job.Zone == r.pool.zone) && (!r.pool.spot || u.Job.Spot) && !u.Avoid[r.name] && need.Fits(r.open(&u))
		}
		for left > 0 {
			var best *room
			for _, r := range rooms {
				if fits(r) && (best == nil || tighter(r.open(&u), best.open(&u))) {
					best = r
				}
			}
			if best == nil {
				pl, ok := f.choose(now, p, u, perZone)
				if !ok || total >= protocol.MaxRental {
					break
				}
				best = &room{pool: pl, free: partition.CapacityOf(p.Type(pl.kind))}
				if !need.Fits(best.free) {
					break
				}
				rooms = append(rooms, best)
				wanted[pl]++
				perZone[pl.zone]++
				if f.coming != nil {
					f.coming[pl.zone]++
				}
				total++
			}
			used[best.name] = true
			for left > 0 && need.Fits(best.open(&u)) {
				best.free = best.free.Minus(need)
				left--
				if need == (partition.Need{}) {
					left = 0
				}
			}
		}
	}
	pools := make([]pool, 0, len(wanted))
	for pl := range wanted {
		pools = append(pools, pl)
	}
	sort.Slice(pools, func(i, j int) bool { return fmt.Sprint(pools[i]) < fmt.Sprint(pools[j]) })
	for _, pl := range pools {
		f.seq++
		// The term makes the name unique across leaders and restarts.
		req := fmt.Sprintf("r-%d-%d", f.term, f.seq)
		f.pending[req], f.counts[req] = pl, wanted[pl]
		effects = append(effects, Rent{protocol.Rental{Request: req, Type: pl.kind, Zone: pl.zone, Spot: pl.spot, Count: wanted[pl]}})
	}
	return effects, used
}

func tighter(a, b partition.Need) bool {
	if a.GPUs != b.GPUs {
		return a.GPUs < b.GPUs
	}
	return a.CPUs < b.CPUs
}

// CanRent says whether machines for the job may be had in the zone, as far as
// the last refusals tell.
func (f *Fleet) CanRent(now time.Duration, p *partition.Partition, j *protocol.Job, zone string) bool {
	_, ok := f.choose(now, p, Unit{Job: j, Zone: zone}, nil)
	return ok
}

// choose picks the pool to rent from: what the job allows, cheap first, then
// the zone with fewer machines.
func (f *Fleet) choose(now time.Duration, p *partition.Partition, u Unit, perZone map[string]int) (pool, bool) {
	var best pool
	bestCost := math.Inf(1)
	for _, n := range slices.Sorted(maps.Keys(p.Types())) {
		t := p.Type(n)
		k := t.Fits(u.Job)
		if k == 0 || !t.Allows(u.Job) {
			continue
		}
		for _, z := range t.Zones {
			if !f.opens(z) || u.Zone != "" && z != u.Zone || u.Job.Zone != "" && z != u.Job.Zone {
				continue
			}
			for _, spot := range []bool{true, false} {
				if spot && (!u.Job.Spot || u.Job.CheckpointS == 0) {
					continue // work that cannot save does not bear a taking
				}
				pl := pool{n, z, spot}
				if now < f.blocked[pl] {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				cost := price / float64(k) * (1 + 1e-3*float64(perZone[z]))
				if cost < bestCost {
					best, bestCost = pl, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

func (f *Fleet) release(now time.Duration, p *partition.Partition, used map[string]bool) (effects []Effect) {
	var names []string
	p.Each(func(m *partition.Machine) {
		if f.releasing[m.Name] || len(names) >= protocol.MaxRelease {
			return
		}
		t := p.Type(m.Type)
		if t == nil {
			if m.Count() > 0 && m.Condemned {
				names = append(names, m.Name)
			}
			return
		}
		boot := config.Seconds(t.BootS)
		switch {
		case m.Sick && m.Count() == 0, m.Notice && m.Count() == 0, m.Condemned:
		case !m.Up && now-m.Rented > 4*boot && now-m.Heard > boot && (m.Count() == 0 || now >= f.policies[m.Zone].KeepUntil):
			// It never came up, and is charged until it is deleted.
		case m.Up && m.Count() == 0 && !used[m.Name] && f.Known() && now-m.IdleSince > boot/8 && now-m.Rented > time.Minute &&
			now-m.Heard <= p.Silent():
			// Idle beyond what is forecast; a machine is paid for a minute anyway.
		default:
			return
		}
		m.Condemned = true
		names = append(names, m.Name)
	})
	for _, n := range names {
		f.releasing[n] = true
	}
	if len(names) > 0 {
		effects = append(effects, Release{names})
	}
	return effects
}
