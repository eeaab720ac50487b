package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/demand"
	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
)

// capacityDemand returns the capacity that is needed: for pending tasks, for blocked jobs that are likely to be
// unblocked before a machine requested now has booted, and for jobs that are likely to be submitted before that.
func (c *Scheduler) capacityDemand(now time.Duration) []autoscaler.Demand {
	var demands []autoscaler.Demand
	zones := map[zoneChoiceKey]string{}
	for _, j := range c.inSchedulingOrder(c.queues.Pending) {
		if tasks := c.tasksInDemand(now, j); tasks > 0 {
			demands = c.appendDemand(demands, now, j, tasks, zones)
		}
	}
	c.forecast.PlanHeadroom(now, c.machines.MachineTypes(), c.objectives())
	return append(append(demands, c.forecastBlockedJobs(now)...), c.forecast.Headroom()...)
}

// tasksInDemand returns for how many tasks of a job capacity is needed. A job whose tasks fail everywhere gets
// capacity for one attempt at a time: without any it could never show that the machines were at fault.
func (c *Scheduler) tasksInDemand(now time.Duration, j *jobstate.Job) int {
	tasks := min(j.PendingTasks(), c.tasksWithinQuotaLimit(j))
	switch {
	case tasks == 0 || c.startForbidden(j):
		return 0
	case !j.LikelyFaulty():
		return tasks
	case now < j.BackoffUntil:
		return 0
	case j.Spec.Shape != protocol.Gang:
		return 1
	}
	return tasks
}

// appendDemand appends the demand for tasks of a job, in the zones that the job allows. zones holds the choices made
// so far.
func (c *Scheduler) appendDemand(
	demands []autoscaler.Demand, now time.Duration, j *jobstate.Job, tasks int, zones map[zoneChoiceKey]string,
) []autoscaler.Demand {
	limits := placement.ZoneLimitsOf(j)
	zone := limits.OnlyZone
	if j.Spec.SameZone && zone == "" && tasks > 1 {
		zone = c.chooseZone(now, j, zones)
	}
	if !j.Spec.Spread || zone != "" {
		return append(demands, autoscaler.Demand{
			Job:              &j.Spec,
			Zone:             zone,
			Count:            tasks,
			ExcludedMachines: j.AvoidedMachines(),
		})
	}
	allowed := c.allowedZones(&j.Spec)
	for _, d := range demand.SpreadOverZones(&j.Spec, allowed, limits.TasksPerZone, limits.MaxTasksPerZone, tasks) {
		d.ExcludedMachines = j.AvoidedMachines()
		demands = append(demands, d)
	}
	return demands
}

// zoneChoiceKey is what the choice of a zone depends on. Jobs with the same key get the same zone.
type zoneChoiceKey struct {
	need        machineregistry.Resources
	types, zone string
	tasks       int
	spot        bool
}

// chooseZone returns the zone in which capacity is provided for a job that must be in one, and keeps the choice for
// others of its kind. Otherwise machines in several zones could seem to be enough while no zone has enough, and the job
// would wait forever.
func (c *Scheduler) chooseZone(now time.Duration, j *jobstate.Job, chosen map[zoneChoiceKey]string) string {
	key := zoneChoiceKey{
		need:  j.TaskResources,
		types: j.AllowedTypes,
		zone:  j.Spec.Zone,
		tasks: j.Spec.TaskCount,
		spot:  j.Spec.SpotAllowed,
	}
	zone, ok := chosen[key]
	if !ok {
		zone = c.zoneWithMostCapacity(now, j)
		chosen[key] = zone
	}
	return zone
}

// zoneWithMostCapacity returns the zone with capacity for most of a job's tasks, on its machines or on new ones.
func (c *Scheduler) zoneWithMostCapacity(now time.Duration, j *jobstate.Job) string {
	free := c.freeTasksByZone(j)
	best, bestTasks := "", -1
	for _, zone := range c.zonesByAvailability(&j.Spec) {
		tasks := free[zone]
		if tasks < j.Spec.TaskCount && c.autoscaler.CanScaleOut(now, &j.Spec, zone) {
			tasks += j.Spec.TaskCount
		}
		if tasks > bestTasks {
			best, bestTasks = zone, tasks
		}
	}
	return best
}

// freeTasksByZone returns for how many tasks of a job the machines of each zone have free capacity. No machine counts
// for more tasks than the job has.
func (c *Scheduler) freeTasksByZone(j *jobstate.Job) map[string]int {
	tasks := map[string]int{}
	c.machines.Each(func(m *machineregistry.Machine) {
		if !c.mayHost(m, j) {
			return
		}
		free := c.machines.FreeCapacity(m)
		for n := 0; n < j.Spec.TaskCount && j.TaskResources.Fits(free); n++ {
			free = free.Minus(j.TaskResources)
			tasks[m.Zone]++
		}
	})
	return tasks
}

// mayHost reports whether a machine can be expected to run tasks of a job, now or soon.
func (c *Scheduler) mayHost(m *machineregistry.Machine, j *jobstate.Job) bool {
	machineType := c.machines.MachineType(m.Type)
	return machineType != nil && machineType.AllowedBy(&j.Spec) &&
		(!m.Spot || j.Spec.SpotAllowed) &&
		!m.Terminating && !m.InterruptionNotice && !m.Quarantined &&
		!c.zoneFailover.IsZoneLost(m.Zone)
}

// allowedZones returns the zones that a job allows, in order.
func (c *Scheduler) allowedZones(spec *protocol.Job) []string {
	return demand.AllowedZones(c.machines.MachineTypes(), spec)
}

// objectives returns the service-level objectives that headroom is kept for.
func (c *Scheduler) objectives() demand.Objectives {
	return demand.Objectives{StartLatencySeconds: c.rules.StartLatency, All: c.cfg.Objectives}
}

// maxForecastJobs is how many blocked jobs a plan considers, in scheduling order.
const maxForecastJobs = 256

// forecastBlockedJobs returns the capacity that blocked jobs are likely to need before a machine requested now has
// booted.
func (c *Scheduler) forecastBlockedJobs(now time.Duration) (demands []autoscaler.Demand) {
	left := maxForecastJobs
	c.queues.Blocked.Scan(func(j *jobstate.Job) bool {
		if left--; left < 0 {
			return false
		}
		if c.dependencies.State(j.Spec.ID) == dependency.Live && c.dependenciesEndSoon(now, j) {
			demands = append(demands, autoscaler.Demand{
				Job:      &j.Spec,
				Count:    min(j.Spec.TaskCount, c.tasksWithinQuotaLimit(j)),
				Headroom: true,
			})
		}
		return true
	})
	return demands
}

// dependenciesEndSoon reports whether all dependencies of a job run and are likely to be done within a boot time.
func (c *Scheduler) dependenciesEndSoon(now time.Duration, j *jobstate.Job) bool {
	boot := c.longestBootSeconds()
	for _, id := range j.Spec.Dependencies {
		d := c.jobs[id]
		if d == nil || d.Ended {
			continue
		}
		likelyEnd := d.LastTaskStart + config.Seconds(d.Spec.EstimateSeconds)
		if d.LastTaskStart == 0 || d.PendingTasks() > 0 || (likelyEnd-now).Seconds() > boot {
			return false
		}
	}
	return true
}

// longestBootSeconds returns the longest boot time of all machine types.
func (c *Scheduler) longestBootSeconds() float64 {
	boot := 0.0
	for _, t := range c.machines.MachineTypes() {
		boot = max(boot, t.BootSeconds)
	}
	return boot
}
