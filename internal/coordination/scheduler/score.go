package scheduler

import (
	"math"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// zoneLimits are the places that are left to a job, given its other tasks.
type zoneLimits struct {
	onlyZone        string // the only one, or ""
	tasksPerZone    map[string]int
	maxTasksPerZone int // tasks in one zone
}

func (c *Scheduler) zoneLimitsOf(j *Job) *zoneLimits {
	l := &zoneLimits{onlyZone: j.Spec.Zone, tasksPerZone: map[string]int{}, maxTasksPerZone: math.MaxInt}
	for _, pl := range j.Placements {
		l.tasksPerZone[pl.Zone]++
		if j.Spec.SameZone {
			l.onlyZone = pl.Zone
		}
	}
	if j.Spec.Spread {
		l.maxTasksPerZone = (j.Spec.TaskCount + 1) / 2
	}
	return l
}

func (l *zoneLimits) allows(zone string) bool {
	return (l.onlyZone == "" || l.onlyZone == zone) && l.tasksPerZone[zone] < l.maxTasksPerZone
}

// feasible is the predicate: whether the job allows the machine at all.
func (c *Scheduler) feasible(now time.Duration, j *Job, x *candidate, l *zoneLimits) bool {
	if x.machine.Spot && !j.Spec.SpotAllowed || !x.machineType.AllowedBy(&j.Spec) || !l.allows(x.machine.Zone) ||
		j.AvoidedMachines()[x.machine.Name] {
		return false
	}
	return !c.nominatedForOther(now, x.machine, j.Spec.ID)
}

// nominatedForOther says whether a machine's room is being cleared for another job that
// goes before. A job that comes first may take it: did every gang keep what was
// cleared for it, each could sit on a part of what one of them needs. And a job
// that has found its room elsewhere keeps none.
func (c *Scheduler) nominatedForOther(now time.Duration, m *machineregistry.Machine, id string) bool {
	if m.ReservedJob == "" || m.ReservedJob == id || now >= m.ReservedUntil {
		return false
	}
	o := c.jobs[m.ReservedJob]
	if o == nil || o.Ended || o.TaskCounts[TaskPending] == 0 && !o.HasStoppingTasks() {
		return false
	}
	return o.LastWaitingCycle != c.cycleCount || o.LastTriedCycle == c.cycleCount
}

// score orders machines that fit, lower is better, in seconds: the wait for
// the image, then what packs tightly.
func (c *Scheduler) score(now time.Duration, j *Job, x *candidate, l *zoneLimits) float64 {
	yields := c.yieldingFetches(j)
	warm := c.machines.FetchTimeWithout(now, x.machine, &j.Spec, yields)
	s := warm.Seconds() + c.machines.FetchDelayWithout(now, x.machine, &j.Spec, yields).Seconds()
	cap := machineregistry.CapacityOf(x.machineType)
	if aim := c.startLatencyObjective(
		j.Spec.Class,
	); math.IsInf(aim, 1) ||
		warm > config.Seconds(max(aim, x.machineType.BootSeconds)) {
		// No aim presses, or the fetch outlasts the aim and a boot. The next of its kind will want
		// to start here without one, so room beside it, free or held by arrays,
		// is worth having: half the fetch at most, as a warm machine stays better.
		s += 1 - warm.Seconds()/2*x.free.Minus(j.TaskResources).Plus(x.machine.ArrayUsage()).DominantShare(cap)
	} else if warm > 0 && warm.Seconds()*machineregistry.SlowFetchFactor > c.startLatencyObjective(j.Spec.Class) &&
		x.machine.PlacementCount() > 0 {
		// The same for smaller fetches, but an empty machine is left to jobs that
		// want a whole one.
		s -= x.free.Minus(j.TaskResources).Plus(x.machine.ArrayUsage()).DominantShare(cap)
	} else {
		s += x.free.Minus(j.TaskResources).DominantShare(cap)
	}
	if j.Spec.Spread && l.tasksPerZone != nil {
		s += float64(l.tasksPerZone[x.machine.Zone]) / float64(j.Spec.TaskCount)
	}
	if x.machine.Spot {
		if j.Spec.CheckpointIntervalSeconds > 0 {
			s--
		} else {
			s += x.machineType.BootSeconds
		}
	}
	if j.FailedOn[x.machine.Name] {
		s += 10 * x.machineType.BootSeconds
	}
	return s + float64(len(x.machine.FailedJobs))*x.machineType.BootSeconds + c.zoneRiskPenalty(j, x.machine.Zone)
}

// selectMachine chooses the machine for a task. attempted says that one was passed over
// just for this task's sake, so that another task may still have it.
func (c *Scheduler) selectMachine(
	now time.Duration,
	j *Job,
	task int,
	l *zoneLimits,
) (best *candidate, attempted bool) {
	id := protocol.TaskID{JobID: j.Spec.ID, Index: task}
	best = c.finder.bestMachine(now, j, l, func(x *candidate) bool {
		if !j.TaskResources.Fits(c.freeForJob(x, j)) || !c.feasible(now, j, x, l) {
			return false
		}
		if x.machine.HasAttempt(id) {
			attempted = true
			return false
		}
		return true
	})
	return best, attempted
}

// yieldingFetches names, for a job with an aim on waiting, tasks that it may drive
// off a machine to have the whole rate for its fetch: those of arrays at least two
// steps lower in priority that are fetching, and lose nothing but that. In a
// crowd, as when a fleet is opened, arrays had come first, and replicas that shared
// the rate with them took twice as long to be up.
func (c *Scheduler) yieldingFetches(j *Job) func(*machineregistry.Placement) bool {
	if j.Spec.Shape == protocol.Gang || math.IsInf(c.startLatencyObjective(j.Spec.Class), 1) {
		return nil
	}
	return func(pl *machineregistry.Placement) bool {
		return pl.PriorityLevel >= j.EffectivePriority+2 && pl.Job != nil && pl.Job.Shape == protocol.Array &&
			pl.Job.Image != j.Spec.Image &&
			(!pl.StartAllowed || pl.State == protocol.TaskFetching) // one from an earlier term may run unseen
	}
}

// stopCompetingFetches stops the fetches that yield to a task's.
func (c *Scheduler) stopCompetingFetches(now time.Duration, j *Job, x *candidate) {
	yields := c.yieldingFetches(j)
	if yields == nil ||
		c.machines.FetchTime(now, x.machine, &j.Spec) == c.machines.FetchTimeWithout(now, x.machine, &j.Spec, yields) {
		return
	}
	for _, pl := range c.placementsOn(x.machine) {
		if o := c.jobs[pl.Task.JobID]; o != nil && !pl.Stopping && yields(pl) {
			c.log.Info("stopped fetching", "task", pl.Task, "for", j.Spec.ID, "machine", pl.Machine)
			c.stopPlacement(now, o, pl, 0)
		}
	}
}

// startLatencyObjective is the shortest wait that the objectives ask for a class, in seconds.
func (c *Scheduler) startLatencyObjective(class string) float64 {
	if within, ok := c.startLatencyObjectives[class]; ok {
		return within
	}
	return math.Inf(1)
}

// startLatencyObjectivesOf returns the shortest wait that the objectives ask for each class.
func startLatencyObjectivesOf(objectives []config.Objective) map[string]float64 {
	aims := map[string]float64{}
	for _, o := range objectives {
		if within, ok := aims[o.Class]; o.Kind == "wait" && (!ok || o.WithinSeconds < within) {
			aims[o.Class] = o.WithinSeconds
		}
	}
	return aims
}
