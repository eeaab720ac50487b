package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
)

// capacityDemand lists the room that is wanted: for tasks that wait, and then for the
// jobs that are likely to come before a machine rented now would be up.
func (c *Scheduler) capacityDemand(now time.Duration) []autoscaler.Demand {
	var units []autoscaler.Demand
	zones := map[zoneChoiceKey]string{}
	for _, j := range c.inSchedulingOrder(c.queues.Pending) {
		n := min(j.TaskCounts[jobstate.TaskPending], c.tasksWithinQuotaLimit(j))
		if n == 0 || c.startForbidden(j) {
			continue
		}
		if j.LikelyFaulty() {
			// Its tasks fail everywhere. It still gets room, or it could never
			// show that the machines were at fault, but just for one attempt.
			if now < j.BackoffUntil {
				continue
			}
			if j.Spec.Shape != protocol.Gang {
				n = 1
			}
		}
		l := placement.ZoneLimitsOf(j)
		if j.Spec.SameZone && l.OnlyZone == "" && n > 1 {
			l.OnlyZone = c.chooseZone(now, j, zones)
		}
		if !j.Spec.Spread || l.OnlyZone != "" {
			units = append(
				units,
				autoscaler.Demand{Job: &j.Spec, Zone: l.OnlyZone, Count: n, ExcludedMachines: j.AvoidedMachines()},
			)
			continue
		}
		for _, u := range c.unitsByZone(&j.Spec, l, n) {
			u.ExcludedMachines = j.AvoidedMachines()
			units = append(units, u)
		}
	}
	c.forecastUnits = c.forecastCapacity(now)
	return append(append(units, c.forecastBlockedJobs(now)...), c.forecastUnits...)
}

// zoneChoiceKey is what the choice of a zone depends on.
type zoneChoiceKey struct {
	need        machineregistry.Resources
	types, zone string
	tasks       int
	spot        bool
}

// chooseZone picks the zone in which room for a job that must be in one is gathered, and
// remembers it for its like. Without it, machines in several zones could look like enough room
// while no zone has it, and the job would wait for ever.
func (c *Scheduler) chooseZone(now time.Duration, j *jobstate.Job, known map[zoneChoiceKey]string) string {
	q := zoneChoiceKey{j.TaskResources, j.AllowedTypes, j.Spec.Zone, j.Spec.TaskCount, j.Spec.SpotAllowed}
	zone, ok := known[q]
	if !ok {
		zone = c.zoneWithMostCapacity(now, j)
		known[q] = zone
	}
	return zone
}

// zoneWithMostCapacity returns the zone with room for most of a job's tasks, there or to be rented.
func (c *Scheduler) zoneWithMostCapacity(now time.Duration, j *jobstate.Job) string {
	room := map[string]int{}
	c.machines.Each(func(m *machineregistry.Machine) {
		t := c.machines.MachineType(m.Type)
		if t == nil || !t.AllowedBy(&j.Spec) || m.Terminating || m.InterruptionNotice || m.Quarantined ||
			m.Spot && !j.Spec.SpotAllowed ||
			c.isZoneLost(m.Zone) {
			return
		}
		free := c.machines.FreeCapacity(m)
		for n := 0; n < j.Spec.TaskCount && j.TaskResources.Fits(free); n++ {
			free = free.Minus(j.TaskResources)
			room[m.Zone]++
		}
	})
	best, bestRoom := "", -1
	for _, z := range c.zonesByAvailability(&j.Spec) {
		n := room[z]
		if n < j.Spec.TaskCount && c.autoscaler.CanScaleOut(now, &j.Spec, z) {
			n += j.Spec.TaskCount
		}
		if n > bestRoom {
			best, bestRoom = z, n
		}
	}
	return best
}

// allowedZones lists the zones that a job allows, in order.
func (c *Scheduler) allowedZones(spec *protocol.Job) []string {
	zones := map[string]bool{}
	for _, t := range c.machines.MachineTypes() {
		if t.AllowedBy(spec) {
			for _, z := range t.Zones {
				if spec.Zone == "" || spec.Zone == z {
					zones[z] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// unitsByZone deals tasks to zones as the job's spread demands.
func (c *Scheduler) unitsByZone(spec *protocol.Job, l *placement.ZoneLimits, n int) []autoscaler.Demand {
	names := c.allowedZones(spec)
	counts := map[string]int{}
	for ; n > 0; n-- {
		best := ""
		for _, z := range names {
			if l.TasksPerZone[z]+counts[z] < l.MaxTasksPerZone &&
				(best == "" || l.TasksPerZone[z]+counts[z] < l.TasksPerZone[best]+counts[best]) {
				best = z
			}
		}
		if best == "" {
			break
		}
		counts[best]++
	}
	var units []autoscaler.Demand
	for _, z := range names {
		if counts[z] > 0 {
			units = append(units, autoscaler.Demand{Job: spec, Zone: z, Count: counts[z]})
		}
	}
	return units
}

// forecastCapacity is the room kept for classes whose aim on waiting is shorter than a
// machine takes to come up with their image.
func (c *Scheduler) forecastCapacity(now time.Duration) []autoscaler.Demand {
	var units []autoscaler.Demand
	for _, class := range slices.Sorted(maps.Keys(c.newestJobs)) {
		spec := c.newestJobs[class]
		within := c.rules.StartLatency.Seconds(class)
		boot, ready := 0.0, math.Inf(1)
		for _, t := range c.machines.MachineTypes() {
			if t.AllowedBy(spec) && t.TaskCapacity(spec) > 0 && t.FetchGBPerSecond > 0 {
				if r := t.BootSeconds + spec.ImageGB/t.FetchGBPerSecond; r < ready {
					boot, ready = t.BootSeconds, r
				}
			}
		}
		if within >= ready || math.IsInf(ready, 1) {
			continue
		}
		mean := c.expectedArrivals(now, class, config.Seconds(boot))
		if mean < 0.1 {
			continue
		}
		// Where a fetch that takes a third longer outlasts the aim, no time is
		// left to clear room first.
		quick := within < (ready-boot)*machineregistry.SlowFetchFactor
		jobs := mean + c.safetyMargin(class)*math.Sqrt(mean)
		tasks := int(math.Round(jobs * c.meanTasks[class]))
		if tasks == 0 {
			continue
		}
		if spec.Spread {
			l := &placement.ZoneLimits{TasksPerZone: map[string]int{}, MaxTasksPerZone: (tasks + 1) / 2}
			for _, u := range c.unitsByZone(spec, l, tasks) {
				u.Headroom, u.MustBeFree = true, quick
				units = append(units, u)
			}
			continue
		}
		units = append(units, autoscaler.Demand{Job: spec, Count: tasks, Headroom: true, MustBeFree: quick})
	}
	return units
}

// safetyMargin is how many deviations above the expected arrivals are met by the
// share of starts in time that a class's aims ask for.
func (c *Scheduler) safetyMargin(class string) float64 {
	share := 0.5
	for _, o := range c.cfg.Objectives {
		if o.Kind == "wait" && o.Class == class {
			share = max(share, min(o.Fraction, 0.999))
		}
	}
	return math.Sqrt2 * math.Erfinv(2*share-1)
}

// expectedArrivals is how many jobs of a class are likely to come in one boot time,
// with something added for a swing. Arrivals count for less as they age.
func (c *Scheduler) expectedArrivals(now time.Duration, class string, boot time.Duration) float64 {
	memory := arrivalMemoryBoots * boot
	as := c.arrivals[class]
	for len(as) > 0 && as[0] < now-4*memory {
		as = as[1:]
	}
	c.arrivals[class] = as
	prior := c.inheritedArrivals[class] * math.Exp(-(now-c.termStartedAt).Seconds()/memory.Seconds())
	if len(as) == 0 && prior == 0 {
		return 0
	}
	// A crowd that comes at once, as when a fleet is opened, tells little of
	// the rate: no short while counts for more than two.
	sum, crowd, first := 0.0, 0, time.Duration(math.MinInt64/2)
	for _, a := range as {
		if a-first > boot/8 {
			first, crowd = a, 0
		}
		if crowd++; crowd <= 2 {
			sum += math.Exp(-(now - a).Seconds() / memory.Seconds())
		}
	}
	// What came in so short a time that it could not yet have aged counts as if
	// it had come in a boot time or two.
	c.decayedArrivals[class] = sum + prior
	if prior > 0 {
		return 1.2 * (sum + prior) * boot.Seconds() / memory.Seconds()
	}
	seen := 1 - math.Exp(-max(now-as[0], 2*boot).Seconds()/memory.Seconds())
	return 1.2 * sum * boot.Seconds() / memory.Seconds() / seen
}

// arrivalMemoryBoots is the memory of the arrival rate, in boot times.
const arrivalMemoryBoots = 3
