package scheduler

import (
	"time"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/demand"
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
		n := min(j.PendingTasks(), c.tasksWithinQuotaLimit(j))
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
		for _, u := range demand.SpreadOverZones(&j.Spec, c.allowedZones(&j.Spec), l.TasksPerZone, l.MaxTasksPerZone, n) {
			u.ExcludedMachines = j.AvoidedMachines()
			units = append(units, u)
		}
	}
	c.headroom = c.forecast.Headroom(now, c.machines.MachineTypes(), c.objectives())
	return append(append(units, c.forecastBlockedJobs(now)...), c.headroom...)
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
	return demand.AllowedZones(c.machines.MachineTypes(), spec)
}

// objectives returns the service-level objectives that headroom is kept for.
func (c *Scheduler) objectives() demand.Objectives {
	return demand.Objectives{StartLatencySeconds: c.rules.StartLatency, All: c.cfg.Objectives}
}
