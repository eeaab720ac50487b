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

// capacityDemand returns the capacity that is needed for pending tasks, for blocked jobs that are likely to be
// unblocked before a machine requested now has booted, and for jobs that are likely to be submitted before then.
func (s *Scheduler) capacityDemand(now time.Duration) []autoscaler.Demand {
	var demands []autoscaler.Demand
	zones := map[zoneChoiceKey]string{}
	for _, j := range s.inSchedulingOrder(s.queues.Pending) {
		if tasks := s.demandedTasks(now, j); tasks > 0 {
			demands = s.appendDemand(demands, now, j, tasks, zones)
		}
	}
	s.forecast.PlanHeadroom(now, s.machines.MachineTypes(), s.objectives())
	return append(append(demands, s.forecastBlockedJobs(now)...), s.forecast.Headroom()...)
}

// demandedTasks returns the number of tasks of a job for which capacity is needed. A job that is likely to be faulty
// gets capacity for one attempt at a time: without any capacity it could never show that the machines were at fault.
func (s *Scheduler) demandedTasks(now time.Duration, j *jobstate.Job) int {
	tasks := min(j.PendingTasks(), s.tasksWithinQuotaLimit(j))
	switch {
	case tasks == 0 || s.startForbidden(j):
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

// appendDemand appends the demand for tasks of a job, in the zones that the job allows. zones caches the zones chosen
// so far.
func (s *Scheduler) appendDemand(
	demands []autoscaler.Demand, now time.Duration, j *jobstate.Job, tasks int, zones map[zoneChoiceKey]string,
) []autoscaler.Demand {
	limits := placement.ZoneLimitsOf(j)
	zone := limits.OnlyZone
	if j.Spec.SameZone && zone == "" && tasks > 1 {
		zone = s.chooseZone(now, j, zones)
	}
	if !j.Spec.Spread || zone != "" {
		return append(demands, autoscaler.Demand{
			Job:              &j.Spec,
			Zone:             zone,
			Count:            tasks,
			ExcludedMachines: j.AvoidedMachines(),
		})
	}
	allowed := s.allowedZones(&j.Spec)
	for _, d := range demand.SpreadOverZones(&j.Spec, allowed, limits.TasksPerZone, limits.MaxTasksPerZone, tasks) {
		d.ExcludedMachines = j.AvoidedMachines()
		demands = append(demands, d)
	}
	return demands
}

// zoneChoiceKey contains everything that the choice of a zone depends on. Jobs with the same key are assigned the same
// zone.
type zoneChoiceKey struct {
	need        machineregistry.Resources
	types, zone string
	tasks       int
	spot        bool
}

// chooseZone returns the zone in which to provide capacity for a job that must run in a single zone, and caches the
// choice for other jobs with the same key. Without a common choice, machines in several zones could appear to be enough
// together although no zone has enough, and the jobs would wait forever.
func (s *Scheduler) chooseZone(now time.Duration, j *jobstate.Job, chosen map[zoneChoiceKey]string) string {
	key := zoneChoiceKey{
		need:  j.TaskResources,
		types: j.AllowedTypes,
		zone:  j.Spec.Zone,
		tasks: j.Spec.TaskCount,
		spot:  j.Spec.SpotAllowed,
	}
	zone, ok := chosen[key]
	if !ok {
		zone = s.zoneWithMostCapacity(now, j)
		chosen[key] = zone
	}
	return zone
}

// zoneWithMostCapacity returns the zone with capacity for the most tasks of a job, on existing or new machines.
func (s *Scheduler) zoneWithMostCapacity(now time.Duration, j *jobstate.Job) string {
	free := s.freeSlotsByZone(j)
	best, bestTasks := "", -1
	for _, zone := range s.zonesByAvailability(&j.Spec) {
		tasks := free[zone]
		if tasks < j.Spec.TaskCount && s.autoscaler.CanScaleOut(now, &j.Spec, zone) {
			tasks += j.Spec.TaskCount
		}
		if tasks > bestTasks {
			best, bestTasks = zone, tasks
		}
	}
	return best
}

// freeSlotsByZone returns, for each zone, the number of tasks of a job that fit into the free capacity of its machines.
// A single machine counts for no more tasks than the job has.
func (s *Scheduler) freeSlotsByZone(j *jobstate.Job) map[string]int {
	tasks := map[string]int{}
	s.machines.Each(func(m *machineregistry.Machine) {
		if !s.mayHost(m, j) {
			return
		}
		free := s.machines.FreeCapacity(m)
		for n := 0; n < j.Spec.TaskCount && j.TaskResources.Fits(free); n++ {
			free = free.Minus(j.TaskResources)
			tasks[m.Zone]++
		}
	})
	return tasks
}

// mayHost reports whether a machine can be expected to run tasks of a job now or soon.
func (s *Scheduler) mayHost(m *machineregistry.Machine, j *jobstate.Job) bool {
	machineType := s.machines.MachineType(m.Type)
	return machineType != nil && machineType.AllowedBy(&j.Spec) &&
		(!m.Spot || j.Spec.SpotAllowed) &&
		!m.Terminating && !m.InterruptionNotice && !m.Quarantined &&
		!s.zoneFailover.IsZoneLost(m.Zone)
}

// allowedZones returns the zones that a job allows, sorted.
func (s *Scheduler) allowedZones(spec *protocol.Job) []string {
	return demand.AllowedZones(s.machines.MachineTypes(), spec)
}

// objectives returns the service-level objectives for which headroom is kept.
func (s *Scheduler) objectives() demand.Objectives {
	return demand.Objectives{StartLatencySeconds: s.rules.StartLatency, All: s.cfg.Objectives}
}

// maxForecastJobs is the maximum number of blocked jobs, in scheduling order, that a capacity plan considers.
const maxForecastJobs = 256

// forecastBlockedJobs returns the capacity that blocked jobs are likely to need before a machine requested now has
// booted.
func (s *Scheduler) forecastBlockedJobs(now time.Duration) (demands []autoscaler.Demand) {
	remaining := maxForecastJobs
	s.queues.Blocked.Scan(func(j *jobstate.Job) bool {
		if remaining--; remaining < 0 {
			return false
		}
		if s.dependencies.State(j.Spec.ID) == dependency.Live && s.dependenciesEndSoon(now, j) {
			demands = append(demands, autoscaler.Demand{
				Job:      &j.Spec,
				Count:    min(j.Spec.TaskCount, s.tasksWithinQuotaLimit(j)),
				Headroom: true,
			})
		}
		return true
	})
	return demands
}

// dependenciesEndSoon reports whether all dependencies of a job are running and likely to be done within the time that
// a machine takes to boot.
func (s *Scheduler) dependenciesEndSoon(now time.Duration, j *jobstate.Job) bool {
	boot := s.longestBootSeconds()
	for _, id := range j.Spec.Dependencies {
		d := s.jobs[id]
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

// longestBootSeconds returns the longest boot time of all machine types, in seconds.
func (s *Scheduler) longestBootSeconds() float64 {
	boot := 0.0
	for _, t := range s.machines.MachineTypes() {
		boot = max(boot, t.BootSeconds)
	}
	return boot
}
