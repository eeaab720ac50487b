// Package fleet decides which machines to rent and which to return. It does
// no I/O and reads no clock.
package fleet

import (
	"math"
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
	rooms     []room         // kept for their memory alone
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
			m.Rented = now - config.Seconds(l.AgeSeconds)
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

// callShare is the part of the cloud's rate that rentals may take, and releases, and reading the
// list, each for itself; the client queues what is too much at a time.
const callShare = 0.5

// callsPerPlan is how many calls of a kind one plan may ask for; there is a plan a second.
func (f *Fleet) callsPerPlan() int { return max(1, int(f.cloud.RPS*callShare)) }

// listPause is the time between two readings of the list: half its lag, or as long as its pages take
// within their part of the rate.
func (f *Fleet) listPause(machines int) time.Duration {
	pages := 1 + machines/protocol.MaxMachinesPerPage
	return config.Seconds(max(f.cloud.ListLagS/2, float64(pages)/(f.cloud.RPS*callShare)))
}

// Plan compares what is wanted with what there is. It is asked for once a second.
func (f *Fleet) Plan(now time.Duration, p *partition.Partition, units []Unit) (effects []Effect) {
	if !f.listing && now-f.listedAt >= f.listPause(p.Len()) {
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
