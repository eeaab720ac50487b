package scheduler

import (
	"math"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

// limits are the places that are left to a job, given its other tasks.
type limits struct {
	zone    string // the only one, or ""
	perZone map[string]int
	most    int // tasks in one zone
}

func (c *Core) limits(j *job) *limits {
	l := &limits{zone: j.spec.Zone, perZone: map[string]int{}, most: math.MaxInt}
	for _, pl := range j.places {
		l.perZone[pl.Zone]++
		if j.spec.SameZone {
			l.zone = pl.Zone
		}
	}
	if j.spec.Spread {
		l.most = (j.spec.TaskCount + 1) / 2
	}
	return l
}

func (l *limits) allow(zone string) bool {
	return (l.zone == "" || l.zone == zone) && l.perZone[zone] < l.most
}

// fits is the predicate: whether the job allows the machine at all.
func (c *Core) fits(now time.Duration, j *job, x *candidate, l *limits) bool {
	if x.m.Spot && !j.spec.SpotAllowed || !x.kind.AllowedBy(&j.spec) || !l.allow(x.m.Zone) || j.avoids()[x.m.Name] {
		return false
	}
	return !c.reserved(now, x.m, j.spec.ID)
}

// reserved says whether a machine's room is being cleared for another job that
// goes before. A job that comes first may take it: did every gang keep what was
// cleared for it, each could sit on a part of what one of them needs. And a job
// that has found its room elsewhere keeps none.
func (c *Core) reserved(now time.Duration, m *partition.Machine, id string) bool {
	if m.ReservedJob == "" || m.ReservedJob == id || now >= m.ReservedUntil {
		return false
	}
	o := c.jobs[m.ReservedJob]
	if o == nil || o.over || o.counts[pending] == 0 && !o.leaving() {
		return false
	}
	return o.queued != c.cycles || o.served == c.cycles
}

// score orders machines that fit, lower is better, in seconds: the wait for
// the image, then what packs tightly.
func (c *Core) score(now time.Duration, j *job, x *candidate, l *limits) float64 {
	yields := c.fetchesYield(j)
	warm := c.machines.FetchTimeWithout(now, x.m, &j.spec, yields)
	s := warm.Seconds() + c.machines.FetchDelayWithout(now, x.m, &j.spec, yields).Seconds()
	cap := partition.CapacityOf(x.kind)
	if aim := c.waitAim(j.spec.Class); math.IsInf(aim, 1) || warm > config.Seconds(max(aim, x.kind.BootSeconds)) {
		// No aim presses, or the fetch outlasts the aim and a boot. The next of its kind will want
		// to start here without one, so room beside it, free or held by arrays,
		// is worth having: half the fetch at most, as a warm machine stays better.
		s += 1 - warm.Seconds()/2*x.free.Minus(j.need).Plus(x.m.ArrayUsage()).DominantShare(cap)
	} else if warm > 0 && warm.Seconds()*partition.SlowFetchFactor > c.waitAim(j.spec.Class) && x.m.PlacementCount() > 0 {
		// The same for smaller fetches, but an empty machine is left to jobs that
		// want a whole one.
		s -= x.free.Minus(j.need).Plus(x.m.ArrayUsage()).DominantShare(cap)
	} else {
		s += x.free.Minus(j.need).DominantShare(cap)
	}
	if j.spec.Spread && l.perZone != nil {
		s += float64(l.perZone[x.m.Zone]) / float64(j.spec.TaskCount)
	}
	if x.m.Spot {
		if j.spec.CheckpointIntervalSeconds > 0 {
			s--
		} else {
			s += x.kind.BootSeconds
		}
	}
	if j.failedOn[x.m.Name] {
		s += 10 * x.kind.BootSeconds
	}
	return s + float64(len(x.m.FailedJobs))*x.kind.BootSeconds + c.zoneRiskPenalty(j, x.m.Zone)
}

// pick chooses the machine for a task. attempted says that one was passed over
// just for this task's sake, so that another task may still have it.
func (c *Core) pick(now time.Duration, j *job, task int, l *limits) (best *candidate, attempted bool) {
	id := protocol.TaskID{JobID: j.spec.ID, Index: task}
	best = c.find.best(now, j, l, func(x *candidate) bool {
		if !j.need.Fits(c.room(x, j)) || !c.fits(now, j, x, l) {
			return false
		}
		if x.m.HasAttempt(id) {
			attempted = true
			return false
		}
		return true
	})
	return best, attempted
}

// fetchesYield names, for a job with an aim on waiting, tasks that it may drive
// off a machine to have the whole rate for its fetch: those of arrays at least two
// steps lower in priority that are fetching, and lose nothing but that. In a
// crowd, as when a fleet is opened, arrays had come first, and replicas that shared
// the rate with them took twice as long to be up.
func (c *Core) fetchesYield(j *job) func(*partition.Placement) bool {
	if j.spec.Shape == protocol.Gang || math.IsInf(c.waitAim(j.spec.Class), 1) {
		return nil
	}
	return func(pl *partition.Placement) bool {
		return pl.PriorityLevel >= j.level+2 && pl.Job != nil && pl.Job.Shape == protocol.Array && pl.Job.Image != j.spec.Image &&
			(!pl.StartAllowed || pl.State == protocol.TaskFetching) // one from an earlier term may run unseen
	}
}

// stopCompetingFetches stops the fetches that yield to a task's.
func (c *Core) stopCompetingFetches(now time.Duration, j *job, x *candidate) {
	yields := c.fetchesYield(j)
	if yields == nil || c.machines.FetchTime(now, x.m, &j.spec) == c.machines.FetchTimeWithout(now, x.m, &j.spec, yields) {
		return
	}
	for _, pl := range c.placementsOn(x.m) {
		if o := c.jobs[pl.Task.JobID]; o != nil && !pl.Stopping && yields(pl) {
			c.log.Info("stopped fetching", "task", pl.Task, "for", j.spec.ID, "machine", pl.Machine)
			c.stop(now, o, pl, 0)
		}
	}
}

// waitAim is the shortest wait that the objectives ask for a class, in seconds.
func (c *Core) waitAim(class string) float64 {
	if within, ok := c.waitAims[class]; ok {
		return within
	}
	return math.Inf(1)
}

// waitAimsOf returns the shortest wait that the objectives ask for each class.
func waitAimsOf(objectives []config.Objective) map[string]float64 {
	aims := map[string]float64{}
	for _, o := range objectives {
		if within, ok := aims[o.Class]; o.Kind == "wait" && (!ok || o.WithinSeconds < within) {
			aims[o.Class] = o.WithinSeconds
		}
	}
	return aims
}
