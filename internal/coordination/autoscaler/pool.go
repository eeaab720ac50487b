package autoscaler

import (
	"maps"
	"math"
	"slices"
	"time"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// canScaleOutIn says whether machines may be rented in a zone now.
func (f *Autoscaler) canScaleOutIn(zone string) bool {
	policy := f.zonePolicies[zone]
	return !policy.NoScaleOut && !(policy.ProbeOnly && f.startingByZone[zone] > 0)
}

// countStarting counts the machines that are on their way.
func (f *Autoscaler) countStarting(p *machineregistry.Registry) {
	f.startingByZone = map[string]int{}
	p.Each(func(m *machineregistry.Machine) {
		if !m.Registered && m.PlacementCount() == 0 && !m.Terminating {
			f.startingByZone[m.Zone]++
		}
	})
	for request, pl := range f.pendingRentals {
		f.startingByZone[pl.zone] += f.pendingCounts[request]
	}
}

// CanScaleOut says whether machines for the job may be had in the zone, as far as
// the last refusals tell.
func (f *Autoscaler) CanScaleOut(now time.Duration, p *machineregistry.Registry, j *protocol.Job, zone string) bool {
	_, ok := f.choosePool(now, p, Demand{Job: j, Zone: zone}, nil)
	return ok
}

// choosePool picks the pool to rent from: what the job allows, cheap first, then
// the zone with fewer machines.
func (f *Autoscaler) choosePool(
	now time.Duration,
	p *machineregistry.Registry,
	u Demand,
	perZone map[string]int,
) (machinePool, bool) {
	var best machinePool
	bestCost := math.Inf(1)
	for _, n := range slices.Sorted(maps.Keys(p.MachineTypes())) {
		t := p.MachineType(n)
		k := t.TaskCapacity(u.Job)
		if k == 0 || !t.AllowedBy(u.Job) {
			continue
		}
		for _, z := range t.Zones {
			if !f.canScaleOutIn(z) || u.Zone != "" && z != u.Zone || u.Job.Zone != "" && z != u.Job.Zone {
				continue
			}
			for _, spot := range []bool{true, false} {
				if spot && (!u.Job.SpotAllowed || u.Job.CheckpointIntervalSeconds == 0) {
					continue // work that cannot save does not bear a taking
				}
				pl := machinePool{n, z, spot}
				if now < f.blockedUntil[pl] {
					continue
				}
				price := t.HourlyPrice
				if spot {
					price = t.HourlySpotPrice
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
