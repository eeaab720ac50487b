package autoscaler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// machinePool is a set of machines that the cloud treats as interchangeable.
type machinePool struct {
	machineType, zone string
	spot              bool
}

// sortKey returns a key by which pools are ordered, so that requests are always made in the same order.
func (p machinePool) sortKey() string { return fmt.Sprintf("%s %s %t", p.machineType, p.zone, p.spot) }

// pendingRental is a ScaleOut effect whose outcome is not known yet.
type pendingRental struct {
	pool  machinePool
	count int
}

// poolBackoff delays further requests to a pool after the cloud had too few machines.
type poolBackoff struct {
	refusals     int // since the last request that was fulfilled completely
	blockedUntil time.Duration
}

// maxBackoffSteps is the number of consecutive refusals up to which the backoff grows. Each refusal adds half of the
// maximum staleness of the machine list.
const maxBackoffSteps = 4

// RentalOutcome is the outcome of a [ScaleOut] effect.
type RentalOutcome struct {
	RequestID   string
	RequestedAt time.Duration
	Machines    []string // may be fewer than requested
	Refused     bool
}

// HandleScaleOut adds the rented machines to the registry. It ignores a repeated outcome.
func (a *Autoscaler) HandleScaleOut(now time.Duration, outcome RentalOutcome) {
	rental, ok := a.pendingRentals[outcome.RequestID]
	if !ok {
		return
	}
	delete(a.pendingRentals, outcome.RequestID)
	for _, name := range outcome.Machines {
		m := a.registry.GetOrCreate(now, name)
		m.RequestedAt = outcome.RequestedAt
		if !m.Registered {
			m.Type, m.Zone, m.Spot = rental.pool.machineType, rental.pool.zone, rental.pool.spot
		}
	}
	backoff := a.backoff[rental.pool]
	if outcome.Refused || len(outcome.Machines) < rental.count {
		backoff.refusals = min(backoff.refusals+1, maxBackoffSteps)
		backoff.blockedUntil = now + time.Duration(backoff.refusals)*a.listStaleness()/2
	} else {
		backoff.refusals = 0
	}
	a.backoff[rental.pool] = backoff
}

// CanScaleOut reports whether machines for the job can be rented in the zone, judged by recent refusals and the zone
// policies.
func (a *Autoscaler) CanScaleOut(
	now time.Duration,
	j *protocol.Job,
	zone string,
) bool {
	_, ok := a.choosePool(now, &Demand{Job: j, Zone: zone}, nil)
	return ok
}

// scaleOut returns the effects that satisfy the demands, and the names of the machines that the demands use, which must
// not be released.
func (a *Autoscaler) scaleOut(
	now time.Duration,
	demands []Demand,
) (effects []Effect, used map[string]bool) {
	if len(a.zonePolicies) > 0 {
		a.countStarting()
	}
	p := a.newPacking(now)
	if len(demands) > 0 {
		p.addBins()
	}
	for i := range demands {
		p.pack(&demands[i])
	}
	a.binBuffer = p.bins
	return a.rentalEffects(p.toRent), p.usedMachines
}

// countStarting counts the machines per zone that have been rented and have not registered yet.
func (a *Autoscaler) countStarting() {
	a.startingByZone = map[string]int{}
	a.registry.Each(func(m *machineregistry.Machine) {
		if !m.Registered && m.PlacementCount() == 0 && !m.Terminating {
			a.startingByZone[m.Zone]++
		}
	})
	for _, rental := range a.pendingRentals {
		a.startingByZone[rental.pool.zone] += rental.count
	}
}

// zoneScarcityWeight is the relative increase of the cost of a pool for each machine in its zone. It makes zones with
// fewer machines slightly cheaper, so that machines of equal price are spread over the zones.
const zoneScarcityWeight = 1e-3

// choosePool returns the suitable pool with the lowest price per task, and false if no pool is suitable. Among pools of
// equal price, it prefers the zone with fewer machines.
func (a *Autoscaler) choosePool(
	now time.Duration,
	d *Demand,
	machinesPerZone map[string]int,
) (machinePool, bool) {
	var best machinePool
	bestCost := math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(a.registry.MachineTypes())) {
		t := a.registry.MachineType(name)
		tasks := t.TaskCapacity(d.Job)
		if tasks == 0 || !t.AllowedBy(d.Job) {
			continue
		}
		for _, zone := range t.Zones {
			if !a.canScaleOutIn(zone) || !d.allowsZone(zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				pool := machinePool{machineType: name, zone: zone, spot: spot}
				if spot && !toleratesInterruption(d.Job) || now < a.backoff[pool].blockedUntil {
					continue
				}
				price := t.HourlyPrice
				if spot {
					price = t.HourlySpotPrice
				}
				cost := price / float64(tasks) * (1 + zoneScarcityWeight*float64(machinesPerZone[zone]))
				if cost < bestCost {
					best, bestCost = pool, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// canScaleOutIn reports whether the zone's policy allows renting a machine there now.
func (a *Autoscaler) canScaleOutIn(zone string) bool {
	policy := a.zonePolicies[zone]
	return !policy.NoScaleOut && (!policy.ProbeOnly || a.startingByZone[zone] == 0)
}

// allowsZone reports whether machines in the zone suit the demand.
func (d *Demand) allowsZone(zone string) bool {
	return (d.Zone == "" || zone == d.Zone) && (d.Job.Zone == "" || zone == d.Job.Zone)
}

// toleratesInterruption reports whether spot machines may be rented for the job. The job must save checkpoints, or an
// interruption would lose all its progress.
func toleratesInterruption(j *protocol.Job) bool {
	return j.SpotAllowed && j.CheckpointIntervalSeconds != 0
}

// rentalEffects returns the effects that rent the machines, in as few calls as the cloud's limit allows.
func (a *Autoscaler) rentalEffects(wanted map[machinePool]int) (effects []Effect) {
	pools := slices.SortedFunc(maps.Keys(wanted), func(x, y machinePool) int {
		return cmp.Compare(x.sortKey(), y.sortKey())
	})
	for _, pool := range pools {
		for remaining := wanted[pool]; remaining > 0; remaining -= protocol.MaxMachinesPerRental {
			effects = append(effects, a.rentalEffect(pool, min(remaining, protocol.MaxMachinesPerRental)))
		}
	}
	return effects
}

func (a *Autoscaler) rentalEffect(pool machinePool, count int) Effect {
	a.requestSeq++
	// The term makes the request ID unique across leaders and restarts.
	id := fmt.Sprintf("r-%d-%d", a.term, a.requestSeq)
	a.pendingRentals[id] = pendingRental{pool: pool, count: count}
	return ScaleOut{Rental: protocol.RentalRequest{
		RequestID:   id,
		MachineType: pool.machineType,
		Zone:        pool.zone,
		Spot:        pool.spot,
		Count:       count,
	}}
}
