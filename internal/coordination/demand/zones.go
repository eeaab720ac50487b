package demand

import (
	"maps"
	"slices"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/protocol"
)

// AllowedZones returns the zones with machine types that a job allows, in order.
func AllowedZones(types map[string]*protocol.MachineType, job *protocol.Job) []string {
	zones := map[string]bool{}
	for _, t := range types {
		if !t.AllowedBy(job) {
			continue
		}
		for _, zone := range t.Zones {
			if job.Zone == "" || job.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// SpreadOverZones returns the demand for up to so many tasks of a job, each in the zone that has the fewest of its
// tasks so far. No zone gets more than a maximum, in which the tasks that are placed already count.
func SpreadOverZones(
	job *protocol.Job, zones []string, placed map[string]int, maxPerZone, tasks int,
) []autoscaler.Demand {
	added := map[string]int{}
	for ; tasks > 0; tasks-- {
		zone, ok := emptiestZone(zones, placed, added, maxPerZone)
		if !ok {
			break
		}
		added[zone]++
	}
	var demands []autoscaler.Demand
	for _, zone := range zones {
		if added[zone] > 0 {
			demands = append(demands, autoscaler.Demand{Job: job, Zone: zone, Count: added[zone]})
		}
	}
	return demands
}

// emptiestZone returns the first zone with the fewest tasks, of those with fewer than the maximum.
func emptiestZone(zones []string, placed, added map[string]int, maxPerZone int) (emptiest string, ok bool) {
	for _, zone := range zones {
		tasks := placed[zone] + added[zone]
		if tasks < maxPerZone && (!ok || tasks < placed[emptiest]+added[emptiest]) {
			emptiest, ok = zone, true
		}
	}
	return emptiest, ok
}
