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

// machinePool is a set of machines among which the cloud makes no difference.
type machinePool struct {
	machineType, zone string
	spot              bool
}

// sortKey orders pools, so that the same requests are made in the same order every time.
func (p machinePool) sortKey() string { return fmt.Sprintf("%s %s %t", p.machineType, p.zone, p.spot) }

// pendingRental is a ScaleOut effect without an outcome.
type pendingRental struct {
	pool  machinePool
	count int
}

// poolBackoff keeps a pool from being asked for a while after the cloud had too few machines.
type poolBackoff struct {
	refusals     int // since the last request that was met in full
	blockedUntil time.Duration
}

// maxBackoffSteps is how many refusals make the time longer for which a pool is not asked. Each
// adds half of what a list may be stale.
const maxBackoffSteps = 4

// RentalOutcome is the outcome of a ScaleOut effect.
type RentalOutcome struct {
	RequestID   string
	RequestedAt time.Duration
	Machines    []string // may be fewer than requested
	Refused     bool
}

// HandleScaleOut adds the machines of a rental to the registry. A repeated outcome is ignored.
func (a *Autoscaler) HandleScaleOut(now time.Duration, outcome RentalOutcome) {
	rental, ok := a.pendingRentals[outcome.RequestID]
	if !ok {
		return
	}
	delete(a.pendingRentals, outcome.RequestID)
	for _, name := range outcome.Machines {
		m := a.registry.GetOrCreate(now, name)
		m.RentedAt = outcome.RequestedAt
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

// CanScaleOut reports whether machines for the job can be requested in the zone, as far as the
// last refusals show.
func (a *Autoscaler) CanScaleOut(
	now time.Duration,
	j *protocol.Job,
	zone string,
) bool {
	_, ok := a.choosePool(now, &Demand{Job: j, Zone: zone}, nil)
	return ok
}

// scaleOut returns the effects that meet the demands, and the names of the machines that are used
// for them: these must not be returned.
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

// countStarting counts the machines of each zone that are requested or booting.
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

// zoneScarcityWeight makes zones with fewer machines a little cheaper, so that equal prices are
// spread over the zones.
const zoneScarcityWeight = 1e-3

// choosePool returns the cheapest pool per task of those that suit the demand, or false if there
// is none. Of pools with the same price the one in the zone with fewer machines is chosen.
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
				if spot && !bearsInterruption(d.Job) || now < a.backoff[pool].blockedUntil {
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

// canScaleOutIn reports whether the zone's policy allows to request a machine there now.
func (a *Autoscaler) canScaleOutIn(zone string) bool {
	policy := a.zonePolicies[zone]
	return !policy.NoScaleOut && (!policy.ProbeOnly || a.startingByZone[zone] == 0)
}

// allowsZone reports whether machines of a zone suit the demand.
func (d *Demand) allowsZone(zone string) bool {
	return (d.Zone == "" || zone == d.Zone) && (d.Job.Zone == "" || zone == d.Job.Zone)
}

// bearsInterruption reports whether spot machines are requested for the job: it must save
// checkpoints, or an interruption would lose all its progress.
func bearsInterruption(j *protocol.Job) bool {
	return j.SpotAllowed && j.CheckpointIntervalSeconds != 0
}

// rentalEffects requests the machines, in as few calls as the cloud's limit allows.
func (a *Autoscaler) rentalEffects(wanted map[machinePool]int) (effects []Effect) {
	pools := slices.SortedFunc(maps.Keys(wanted), func(x, y machinePool) int {
		return cmp.Compare(x.sortKey(), y.sortKey())
	})
	for _, pool := range pools {
		for left := wanted[pool]; left > 0; left -= protocol.MaxMachinesPerRental {
			effects = append(effects, a.rentalEffect(pool, min(left, protocol.MaxMachinesPerRental)))
		}
	}
	return effects
}

func (a *Autoscaler) rentalEffect(pool machinePool, count int) Effect {
	a.requestSeq++
	// The term makes the identifier unique across leaders and restarts.
	id := fmt.Sprintf("r-%d-%d", a.term, a.requestSeq)
	a.pendingRentals[id] = pendingRental{pool: pool, count: count}
	return ScaleOut{Rental: protocol.Rental{
		RequestID:   id,
		MachineType: pool.machineType,
		Zone:        pool.zone,
		Spot:        pool.spot,
		Count:       count,
	}}
}
