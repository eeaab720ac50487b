package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

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
		k := t.TaskCapacity(u.Job)
		if k == 0 || !t.AllowedBy(u.Job) {
			continue
		}
		for _, z := range t.Zones {
			if !f.opens(z) || u.Zone != "" && z != u.Zone || u.Job.Zone != "" && z != u.Job.Zone {
				continue
			}
			for _, spot := range []bool{true, false} {
				if spot && (!u.Job.SpotAllowed || u.Job.CheckpointIntervalSeconds == 0) {
					continue // work that cannot save does not bear a taking
				}
				pl := pool{n, z, spot}
				if now < f.blocked[pl] {
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
