package scheduler

import (
	"math"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// zoneLimits are the places that are left to a job, given its other tasks.
type zoneLimits struct {
	onlyZone        string // the only one, or ""
	tasksPerZone    map[string]int
	maxTasksPerZone int // tasks in one zone
}

func (c *Scheduler) zoneLimitsOf(j *jobstate.Job) *zoneLimits {
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
func (c *Scheduler) feasible(now time.Duration, j *jobstate.Job, x *candidates.Candidate, l *zoneLimits) bool {
	if x.Machine.Spot && !j.Spec.SpotAllowed || !x.Type.AllowedBy(&j.Spec) || !l.allows(x.Machine.Zone) ||
		j.AvoidedMachines()[x.Machine.Name] {
		return false
	}
	return !c.nominatedForOther(now, x.Machine, j.Spec.ID)
}

// score orders machines that fit, lower is better, in seconds: the wait for
// the image, then what packs tightly.
func (c *Scheduler) score(now time.Duration, j *jobstate.Job, x *candidates.Candidate, l *zoneLimits) float64 {
	yields := c.yieldingFetches(j)
	warm := c.machines.FetchTimeWithout(now, x.Machine, &j.Spec, yields)
	s := warm.Seconds() + c.machines.FetchDelayWithout(now, x.Machine, &j.Spec, yields).Seconds()
	cap := x.Capacity()
	if aim := c.startLatencyObjective(
		j.Spec.Class,
	); math.IsInf(aim, 1) ||
		warm > config.Seconds(max(aim, x.Type.BootSeconds)) {
		// No aim presses, or the fetch outlasts the aim and a boot. The next of its kind will want
		// to start here without one, so room beside it, free or held by arrays,
		// is worth having: half the fetch at most, as a warm machine stays better.
		s += 1 - warm.Seconds()/2*x.Free.Minus(j.TaskResources).Plus(x.Machine.ArrayUsage()).DominantShare(cap)
	} else if warm > 0 && warm.Seconds()*machineregistry.SlowFetchFactor > c.startLatencyObjective(j.Spec.Class) &&
		x.Machine.PlacementCount() > 0 {
		// The same for smaller fetches, but an empty machine is left to jobs that
		// want a whole one.
		s -= x.Free.Minus(j.TaskResources).Plus(x.Machine.ArrayUsage()).DominantShare(cap)
	} else {
		s += x.Free.Minus(j.TaskResources).DominantShare(cap)
	}
	if j.Spec.Spread && l.tasksPerZone != nil {
		s += float64(l.tasksPerZone[x.Machine.Zone]) / float64(j.Spec.TaskCount)
	}
	if x.Machine.Spot {
		if j.Spec.CheckpointIntervalSeconds > 0 {
			s--
		} else {
			s += x.Type.BootSeconds
		}
	}
	if j.FailedOn[x.Machine.Name] {
		s += 10 * x.Type.BootSeconds
	}
	return s + float64(len(x.Machine.FailedJobs))*x.Type.BootSeconds + c.zoneRiskPenalty(j, x.Machine.Zone)
}

// selectMachine chooses the machine for a task. attempted says that one was passed over
// just for this task's sake, so that another task may still have it.
func (c *Scheduler) selectMachine(
	now time.Duration,
	j *jobstate.Job,
	task int,
	l *zoneLimits,
) (best *candidates.Candidate, attempted bool) {
	id := protocol.TaskID{JobID: j.Spec.ID, Index: task}
	best = c.finder.bestMachine(now, j, l, func(x *candidates.Candidate) bool {
		if !j.TaskResources.Fits(c.freeForJob(x, j)) || !c.feasible(now, j, x, l) {
			return false
		}
		if x.Machine.HasAttempt(id) {
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
func (c *Scheduler) yieldingFetches(j *jobstate.Job) func(*machineregistry.Placement) bool {
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
func (c *Scheduler) stopCompetingFetches(now time.Duration, j *jobstate.Job, x *candidates.Candidate) {
	yields := c.yieldingFetches(j)
	if yields == nil ||
		c.machines.FetchTime(now, x.Machine, &j.Spec) == c.machines.FetchTimeWithout(now, x.Machine, &j.Spec, yields) {
		return
	}
	for _, pl := range c.placementsOn(x.Machine) {
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
