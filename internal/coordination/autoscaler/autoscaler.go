// Package autoscaler decides which machines are requested from the cloud and which are returned to
// it, and fences machines that have fallen silent by returning them.
//
// An Autoscaler only decides: Plan returns Effects, which the caller carries out, and the outcome
// of each comes back by a Handle method. It does no I/O, reads no clock (callers pass the time)
// and is not safe for concurrent use.
package autoscaler

import (
	"math"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// PriorityLevels is the number of priorities.
const PriorityLevels = machineregistry.PriorityLevels

// Demand is capacity for a number of tasks of one job.
type Demand struct {
	Job              *protocol.Job
	Zone             string // the only suitable zone, or ""
	Count            int
	ExcludedMachines map[string]bool
	// Headroom is capacity that is kept ready for jobs to come, not for one that waits. Lower work
	// that can save a checkpoint may hold it meanwhile, unless MustBeFree is set: then there would
	// be no time to preempt that work.
	Headroom   bool
	MustBeFree bool
}

// Effect is a call to the cloud: ScaleOut, ScaleIn or ListMachines.
type Effect interface{ effect() }

// ScaleOut requests machines. Its outcome goes to Autoscaler.HandleScaleOut.
type ScaleOut struct{ Rental protocol.Rental }

// ScaleIn returns machines. Its outcome goes to Autoscaler.HandleScaleIn.
type ScaleIn struct{ Machines []string }

// ListMachines reads the cloud's list of machines. Its outcome goes to Autoscaler.HandleList or
// HandleListFailure.
type ListMachines struct{}

func (ScaleOut) effect()     {}
func (ScaleIn) effect()      {}
func (ListMachines) effect() {}

// ZonePolicy is how a zone is treated that may be lost or is returning.
type ZonePolicy struct {
	// NoScaleOut: no machine is requested there, as it would not come up.
	NoScaleOut bool
	// ProbeOnly: one machine at a time is requested there, to learn whether others would come up.
	ProbeOnly bool
	// IgnoreSilent: silent machines there do not count as capacity.
	IgnoreSilent bool
	// NoFencingUntil is until when machines there are not fenced for their silence alone, since the
	// zone failover decides on them. Machines with overdue cancelled tasks are fenced all the same.
	NoFencingUntil time.Duration
}

// Autoscaler is the state of one leader's term.
type Autoscaler struct {
	cloudSettings  config.Cloud
	workerSettings config.Workers
	term           uint64
	requestSeq     uint64

	registry *machineregistry.Registry
	list     machineList

	pendingRentals map[string]pendingRental // by request
	backoff        map[machinePool]poolBackoff
	// releasing are the machines of ScaleIn effects without an outcome.
	releasing map[string]bool

	zonePolicies map[string]ZonePolicy
	// startingByZone counts the machines that are requested or booting. It is only kept while there
	// are zone policies.
	startingByZone map[string]int
	// unreachableUntil is when a zone, of which many machines fell silent at once, counts as
	// reachable again.
	unreachableUntil map[string]time.Duration

	binBuffer []bin // of the last plan, reused
}

// New returns the autoscaler of a leader's term, which adds machines to the registry and reads what
// else it decides on there.
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

// SetZonePolicies replaces the policies of zones. A zone without one is treated as usual.
func (a *Autoscaler) SetZonePolicies(policies map[string]ZonePolicy) { a.zonePolicies = policies }

// Plan compares the demand with the machines there are and returns what is to be done. It must be
// called once a second: the cloud's request rate is shared out on that assumption. Nothing is
// requested before the first complete list of the term has arrived.
func (a *Autoscaler) Plan(
	now time.Duration,
	demands []Demand,
) (effects []Effect) {
	if !a.list.requestInFlight && now-a.list.lastRequest >= a.listInterval(a.registry.Len()) {
		a.list.requestInFlight, a.list.lastRequest = true, now
		effects = append(effects, ListMachines{})
	}
	a.fenceSilent(now)
	var used map[string]bool
	if a.HasMachineList() {
		var scaleOuts []Effect
		scaleOuts, used = a.scaleOut(now, demands)
		effects = append(effects, scaleOuts...)
	}
	return append(effects, a.scaleIn(now, used)...)
}

// rateSharePerCallKind is the share of the cloud's request rate that each kind of call may take.
// Calls beyond the rate queue in the cloud's client.
const rateSharePerCallKind = 0.5

// callsPerPlan is how many calls of a kind one plan may ask for; there is a plan a second.
func (a *Autoscaler) callsPerPlan() int { return max(1, int(a.cloudSettings.RPS*rateSharePerCallKind)) }
