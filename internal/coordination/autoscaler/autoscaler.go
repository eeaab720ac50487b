// Package autoscaler decides which machines to rent from the cloud and which to release, and fences unreachable
// machines by releasing them.
//
// An [Autoscaler] only makes decisions: [Autoscaler.Plan] returns [Effect] values, which the caller carries out, and
// the caller reports the outcome of each to one of the Handle methods. The package does no I/O and reads no clock
// (callers pass the time). An Autoscaler is not safe for concurrent use.
package autoscaler

import (
	"math"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// PriorityLevels is the number of priority levels of jobs.
const PriorityLevels = machineregistry.PriorityLevels

// Demand is a request for capacity for Count tasks of one job.
type Demand struct {
	Job              *protocol.Job
	Zone             string // the only zone to use, or "" for any
	Count            int
	ExcludedMachines map[string]bool
	// Headroom marks capacity that is kept for jobs expected soon rather than for a pending job. Tasks of lower
	// priority that can save a checkpoint may use it in the meantime, unless MustBeFree is set because there would be
	// no time to preempt them.
	Headroom   bool
	MustBeFree bool
}

// Effect is a call to the cloud: [ScaleOut], [ScaleIn] or [ListMachines].
type Effect interface{ effect() }

// ScaleOut rents machines. Its outcome is passed to [Autoscaler.HandleScaleOut].
type ScaleOut struct{ Rental protocol.RentalRequest }

// ScaleIn releases machines. Its outcome is passed to [Autoscaler.HandleScaleIn].
type ScaleIn struct{ Machines []string }

// ListMachines reads the cloud's list of machines. Its outcome is passed to [Autoscaler.HandleMachineList] or
// [Autoscaler.HandleMachineListFailure].
type ListMachines struct{}

func (ScaleOut) effect()     {}
func (ScaleIn) effect()      {}
func (ListMachines) effect() {}

// ZonePolicy restricts scaling and fencing in a zone that may be lost or is returning.
type ZonePolicy struct {
	// NoScaleOut forbids renting machines in the zone, because they would not register.
	NoScaleOut bool
	// ProbeOnly allows one starting machine at a time in the zone, to find out whether more would register.
	ProbeOnly bool
	// IgnoreUnreachable excludes unreachable machines in the zone from the available capacity.
	IgnoreUnreachable bool
	// NoFencingUntil is the time until which machines in the zone are not fenced for being unreachable, because zone
	// failover decides about them. Machines with overdue cancelled tasks are fenced regardless.
	NoFencingUntil time.Duration
}

// Autoscaler holds the scaling state of one leader's term.
type Autoscaler struct {
	cloudSettings  config.Cloud
	workerSettings config.Workers
	term           uint64
	requestSeq     uint64

	registry *machineregistry.Registry
	list     machineList

	pendingRentals map[string]pendingRental // by request ID
	backoff        map[machinePool]poolBackoff
	// releasing is the set of machines in ScaleIn effects whose outcome is not known yet.
	releasing map[string]bool

	zonePolicies map[string]ZonePolicy
	// startingByZone is the number of machines per zone that have been rented and have not registered yet. It is
	// maintained only while zone policies are set.
	startingByZone map[string]int
	// unreachableUntil is, for each zone in which many machines became unreachable at once, the time until which the
	// zone counts as unreachable.
	unreachableUntil map[string]time.Duration

	binBuffer []bin // of the last plan, kept to avoid an allocation
}

// New returns an autoscaler for the given leader term. It adds rented and listed machines to the registry and reads the
// state of all machines from there.
func New(
	term uint64,
	cloud config.Cloud,
	workers config.Workers,
	registry *machineregistry.Registry,
) *Autoscaler {
	return &Autoscaler{
		registry:       registry,
		cloudSettings:  cloud,
		workerSettings: workers,
		term:           term,
		list: machineList{
			lastRequest: math.MinInt64 / 2,
			firstSeen:   map[string]time.Duration{},
			releasedAt:  map[string]time.Duration{},
		},
		pendingRentals:   map[string]pendingRental{},
		backoff:          map[machinePool]poolBackoff{},
		releasing:        map[string]bool{},
		unreachableUntil: map[string]time.Duration{},
	}
}

// SetZonePolicies replaces all zone policies. A zone without a policy is not restricted.
func (a *Autoscaler) SetZonePolicies(policies map[string]ZonePolicy) { a.zonePolicies = policies }

// Plan compares the demands with the existing machines and returns the calls to make to the cloud. It must be called
// once per second, because its limits on calls per plan assume that interval. It rents no machines before the first
// complete machine list of the term has arrived.
func (a *Autoscaler) Plan(
	now time.Duration,
	demands []Demand,
) (effects []Effect) {
	if !a.list.requestInFlight && now-a.list.lastRequest >= a.listInterval(a.registry.Len()) {
		a.list.requestInFlight, a.list.lastRequest = true, now
		effects = append(effects, ListMachines{})
	}
	a.fenceUnreachable(now)
	var used map[string]bool
	if a.HasMachineList() {
		var scaleOuts []Effect
		scaleOuts, used = a.scaleOut(now, demands)
		effects = append(effects, scaleOuts...)
	}
	return append(effects, a.scaleIn(now, used)...)
}

// rateSharePerCallKind is the fraction of the cloud's request rate that each kind of call may use. Calls beyond the
// rate wait in the cloud client's queue.
const rateSharePerCallKind = 0.5

// callsPerPlan returns the maximum number of calls of one kind per plan. There is one plan per second.
func (a *Autoscaler) callsPerPlan() int { return max(1, int(a.cloudSettings.RPS*rateSharePerCallKind)) }
