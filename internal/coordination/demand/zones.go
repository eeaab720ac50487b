package demand

import (
	"maps"
	"slices"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/protocol"
)

// AllowedZones returns the zones, sorted by name, that a job allows and that offer a machine type it allows.
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

// SpreadOverZones returns the demand for up to the given number of tasks of a job. It assigns each task to the zone
// with the fewest tasks of the job so far. No zone gets more than maxPerZone tasks, including those already placed.
func SpreadOverZones(
	job *protocol.Job, zones []string, placed map[string]int, maxPerZone, tasks int,
) []autoscaler.Demand {
	added := map[string]int{}
	for ; tasks > 0; tasks-- {
		zone, ok := leastLoadedZone(zones, placed, added, maxPerZone)
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

// leastLoadedZone returns the first of the zones with the fewest tasks, among those with fewer than maxPerZone.
func leastLoadedZone(zones []string, placed, added map[string]int, maxPerZone int) (leastLoaded string, ok bool) {
	for _, zone := range zones {
		tasks := placed[zone] + added[zone]
		if tasks < maxPerZone && (!ok || tasks < placed[leastLoaded]+added[leastLoaded]) {
			leastLoaded, ok = zone, true
		}
	}
	return leastLoaded, ok
}
