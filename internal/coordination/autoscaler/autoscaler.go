// Package autoscaler decides which machines to rent and which to return. It does
// no I/O and reads no clock.
package autoscaler

import (
	"math"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Demand is room that is wanted: Count tasks of the same need.
type Demand struct {
	Job              *protocol.Job
	Zone             string // the only zone that will do, or ""
	Count            int
	ExcludedMachines map[string]bool // machines that will not do
	Headroom         bool            // kept ready for jobs to come, not for one that waits
	MustBeFree       bool            // spare that must be free: there is no time to clear arrays off it
}

// Effect is what the fleet asks of the cloud: Rent, Release or List.
type Effect interface{ effect() }

// ScaleOut asks for machines.
type ScaleOut struct{ Rental protocol.Rental }

// ScaleIn returns machines.
type ScaleIn struct{ Machines []string }

// ListMachines asks the cloud for its list.
type ListMachines struct{}

func (ScaleOut) effect()     {}
func (ScaleIn) effect()      {}
func (ListMachines) effect() {}

// releasedMemoryFactor is how long a returned machine is remembered, in times that a
// cancellation may take. Messages come minutes late; one that came later still
// would bring up a machine that is silent, and so returned once more.
const releasedMemoryFactor = 20

type machinePool struct {
	machineType, zone string
	spot              bool
}

// Autoscaler is the leader's view of what it rents.
type Autoscaler struct {
	cloudSettings  config.Cloud
	workerSettings config.Workers
	term           uint64
	requestSeq     uint64

	blockedUntil     map[machinePool]time.Duration // refused lately
	refusals         map[machinePool]int
	pendingRentals   map[string]machinePool // rentals under way, by request
	pendingCounts    map[string]int
	releasing        map[string]bool
	listInFlight     bool
	lastListRequest  time.Duration
	firstListAt      time.Duration // when a whole list first came
	firstListed      map[string]time.Duration
	releasedAt       map[string]time.Duration
	unreachableUntil map[string]time.Duration // zones of which much has been silent lately
	zonePolicies     map[string]ZonePolicy
	startingByZone   map[string]int // machines on their way, by zone
	binBuffer        []bin          // kept for their memory alone
}

// ZonePolicy is how the fleet treats a zone that is not as it should be.
type ZonePolicy struct {
	// NoScaleOut: nothing is rented there, as it would not come up.
	NoScaleOut bool
	// ProbeOnly: one machine at a time is rented there, which shows when others would come up.
	ProbeOnly bool
	// IgnoreSilent: machines that are silent there are no room for work that waits.
	IgnoreSilent bool
	// NoFencingUntil is until when machines there are not fenced for their silence alone:
	// somebody else decides which are. Cancelled tasks are fenced as ever.
	NoFencingUntil time.Duration
}

// SetZonePolicies replaces the policies of zones; a zone without one is treated as usual.
func (f *Autoscaler) SetZonePolicies(policies map[string]ZonePolicy) { f.zonePolicies = policies }

// New returns the fleet of a term.
func New(term uint64, cloud config.Cloud, workers config.Workers) *Autoscaler {
	return &Autoscaler{
		cloudSettings:    cloud,
		workerSettings:   workers,
		term:             term,
		lastListRequest:  math.MinInt64 / 2,
		blockedUntil:     map[machinePool]time.Duration{},
		refusals:         map[machinePool]int{},
		pendingRentals:   map[string]machinePool{},
		pendingCounts:    map[string]int{},
		releasing:        map[string]bool{},
		firstListed:      map[string]time.Duration{},
		releasedAt:       map[string]time.Duration{},
		unreachableUntil: map[string]time.Duration{},
	}
}

func (f *Autoscaler) listStaleness() time.Duration {
	return config.Seconds(2 * f.cloudSettings.ListLagSeconds)
}

// HasMachineList says whether a whole list has come since the term began: before that
// we don't know what is already rented.
func (f *Autoscaler) HasMachineList() bool { return f.firstListAt > 0 }

// HandleList takes in the cloud's list, asked for at the given time. It returns
// the machines that are proven gone: a list asked for later than twice the lag
// after a machine was first seen listed describes a later moment than that, so
// if the machine is missing there, it has left for good.
func (f *Autoscaler) HandleList(
	now, asked time.Duration,
	p *machineregistry.Registry,
	list []protocol.ListedMachine,
) (gone []string) {
	f.listInFlight = false
	seen := make(map[string]bool, len(list))
	for i := range list {
		l := &list[i]
		seen[l.Name] = true
		if f.RecentlyReleased(l.Name) {
			continue // an old list
		}
		if _, ok := f.firstListed[l.Name]; !ok {
			f.firstListed[l.Name] = now
		}
		if f.releasing[l.Name] {
			continue
		}
		m := p.Machine(l.Name)
		if m == nil {
			m = p.GetOrCreate(now, l.Name)
			m.RentedAt = now - config.Seconds(l.AgeSeconds)
		}
		if !m.Registered {
			m.Addr, m.Type, m.Zone, m.Spot = l.Addr, l.Type, l.Zone, l.Spot
		}
		if l.State == protocol.MachineFailed {
			m.MarkTerminating()
		}
	}
	for name, first := range f.firstListed {
		if seen[name] || asked <= first+f.listStaleness() {
			continue
		}
		if m := p.Machine(name); m != nil {
			if now-m.LastHeartbeat < f.listStaleness() {
				continue // it speaks; the list must be wrong
			}
			gone = append(gone, name)
		}
		delete(f.firstListed, name)
	}
	sort.Strings(gone)
	if f.firstListAt == 0 {
		f.firstListAt = now
	}
	return gone
}

// RecentlyReleased says whether the machine was returned not long ago: old lists and late
// reports must not bring it back.
func (f *Autoscaler) RecentlyReleased(name string) bool {
	_, ok := f.releasedAt[name]
	return ok
}

// HandleListFailure notes that a list did not come.
func (f *Autoscaler) HandleListFailure() { f.listInFlight = false }

// HandleScaleOut takes in the outcome of a rental.
func (f *Autoscaler) HandleScaleOut(
	now, asked time.Duration,
	p *machineregistry.Registry,
	request string,
	names []string,
	refused bool,
) {
	pl, ok := f.pendingRentals[request]
	if !ok {
		return
	}
	want := f.pendingCounts[request]
	delete(f.pendingRentals, request)
	delete(f.pendingCounts, request)
	for _, n := range names {
		m := p.GetOrCreate(now, n)
		m.RentedAt = asked
		if !m.Registered {
			m.Type, m.Zone, m.Spot = pl.machineType, pl.zone, pl.spot
		}
	}
	if refused || len(names) < want {
		n := min(f.refusals[pl]+1, 4)
		f.refusals[pl] = n
		f.blockedUntil[pl] = now + time.Duration(n)*f.listStaleness()/2
		return
	}
	delete(f.refusals, pl)
}

// HandleScaleIn takes in the outcome of a release, and returns whether the machines
// are proven gone.
func (f *Autoscaler) HandleScaleIn(now time.Duration, names []string, ok bool) {
	for n, at := range f.releasedAt {
		if now-at > config.Seconds(releasedMemoryFactor*f.workerSettings.CancelSeconds) {
			delete(f.releasedAt, n)
		}
	}
	for _, n := range names {
		delete(f.releasing, n)
		if ok {
			f.releasedAt[n] = now
			delete(f.firstListed, n)
		}
	}
}

// rateSharePerCallKind is the part of the cloud's rate that rentals may take, and releases, and reading the
// list, each for itself; the client queues what is too much at a time.
const rateSharePerCallKind = 0.5

// callsPerPlan is how many calls of a kind one plan may ask for; there is a plan a second.
func (f *Autoscaler) callsPerPlan() int { return max(1, int(f.cloudSettings.RPS*rateSharePerCallKind)) }

// listInterval is the time between two readings of the list: half its lag, or as long as its pages take
// within their part of the rate.
func (f *Autoscaler) listInterval(machines int) time.Duration {
	pages := 1 + machines/protocol.MaxMachinesPerPage
	return config.Seconds(
		max(f.cloudSettings.ListLagSeconds/2, float64(pages)/(f.cloudSettings.RPS*rateSharePerCallKind)),
	)
}

// Plan compares what is wanted with what there is. It is asked for once a second.
func (f *Autoscaler) Plan(now time.Duration, p *machineregistry.Registry, units []Demand) (effects []Effect) {
	if !f.listInFlight && now-f.lastListRequest >= f.listInterval(p.Len()) {
		f.listInFlight, f.lastListRequest = true, now
		effects = append(effects, ListMachines{})
	}
	f.fenceSilent(now, p)
	used := map[string]bool{}
	if f.HasMachineList() {
		var rents []Effect
		rents, used = f.scaleOut(now, p, units)
		effects = append(effects, rents...)
	}
	return append(effects, f.scaleIn(now, p, used)...)
}
