package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// CheapestPreemption returns the candidate on which it costs least to preempt work for a task of the job,
// and the victims, among those where the task's image is there within the given time. Of the job's own team
// only work of at least the victim priority (a lower one has a higher number) may be preempted.
//
// It examines the machines that have work of at least that priority, or of any if the job's team is within
// its guaranteed quota, or work that is stopping anyhow.
func (f *Finder) CheapestPreemption(
	now time.Duration,
	j *jobstate.Job,
	l *ZoneLimits,
	maxFetchTime time.Duration,
	victimPriority int,
) (*candidates.Candidate, []*machineregistry.Placement) {
	lowest := victimPriority
	if f.rules.Quotas.WithinGuarantee(j.Spec.Team, j.TaskResources) {
		lowest = 0
	}
	sets := []*machineregistry.MachineSet{f.rules.Machines.MachinesWithStopping()}
	for priority := lowest; priority < machineregistry.PriorityLevels; priority++ {
		sets = append(sets, f.rules.Machines.MachinesAtPriority(priority))
	}
	total := 0
	for _, set := range sets {
		total += set.Len()
	}
	from := ""
	if total > MaxExaminedMachines {
		from = f.victimCursor
	}
	s := victimSearch{
		finder:         f,
		now:            now,
		job:            j,
		limits:         l,
		maxFetchTime:   maxFetchTime,
		victimPriority: victimPriority,
		lowestPriority: lowest,
		remaining:      MaxExaminedMachines,
		cost:           math.Inf(1),
	}
	for _, set := range sets {
		s.scan(set, from)
	}
	if total > MaxExaminedMachines {
		f.victimCursor = s.lastExamined
	}
	return s.best, s.victims
}

// victimSearch is the state of one search for victims.
type victimSearch struct {
	finder         *Finder
	now            time.Duration
	job            *jobstate.Job
	limits         *ZoneLimits
	maxFetchTime   time.Duration
	victimPriority int
	lowestPriority int // of work that may be preempted for any reason
	remaining      int // machines that may still be examined
	lastExamined   string

	best    *candidates.Candidate
	victims []*machineregistry.Placement
	cost    float64
}

// scan examines the machines of a set from a name on, and then those before it.
func (s *victimSearch) scan(set *machineregistry.MachineSet, from string) {
	visit := func(m *machineregistry.Machine) bool {
		if s.remaining--; s.remaining < 0 {
			return false
		}
		s.lastExamined = m.Name
		s.examine(m)
		return true
	}
	set.Ascend(&machineregistry.Machine{Name: from}, visit)
	if from == "" || s.remaining < 0 {
		return
	}
	set.Scan(func(m *machineregistry.Machine) bool { return m.Name < from && visit(m) })
}

// examine compares the cost of preempting on a machine with the lowest so far.
func (s *victimSearch) examine(m *machineregistry.Machine) {
	s.finder.budget.spend(1)
	s.finder.Examined++
	rules := s.finder.rules
	x := rules.Candidates.Of(s.now, m)
	if x == nil || !s.mayMakeRoom(x) {
		return
	}
	fetch := rules.Machines.FetchTime(s.now, m, &s.job.Spec)
	if fetch > s.maxFetchTime {
		return
	}
	s.finder.budget.spend(victimSelectionCost)
	victims, cost, ok := rules.SelectVictims(s.now, s.job, x, s.victimPriority)
	cost += fetch.Seconds()
	if ok && (cost < s.cost || cost == s.cost && s.best != nil && m.Name < s.best.Machine.Name) {
		s.best, s.victims, s.cost = x, victims, cost
	}
}

// mayMakeRoom reports whether the task could run on a candidate if all work left that may be preempted for
// any reason. A machine that is nominated for the job already does not count again.
func (s *victimSearch) mayMakeRoom(x *candidates.Candidate) bool {
	task := s.job.TaskResources
	return task.Fits(x.Free.Plus(x.Machine.PreemptibleResources(s.lowestPriority))) &&
		task.Fits(x.Capacity()) &&
		s.finder.rules.Feasible(s.now, s.job, x, s.limits) &&
		!x.Machine.IsNominatedFor(s.now, s.job.Spec.ID)
}

// SelectVictims selects the placements on a candidate that have to leave for a task of the job, and returns
// what that costs, in seconds of work that is lost or has to move. It returns false if the task would not
// fit, or needs no preemption.
func (r *Rules) SelectVictims(
	now time.Duration,
	j *jobstate.Job,
	x *candidates.Candidate,
	victimPriority int,
) (victims []*machineregistry.Placement, cost float64, ok bool) {
	free := x.Free // without what this cycle has given away
	var preemptible []*machineregistry.Placement
	x.Machine.EachPlacement(func(pl *machineregistry.Placement) {
		switch {
		case pl.Stopping:
			free = free.Plus(pl.Resources)
			victims = append(victims, pl)
		case r.mayPreempt(j, pl, victimPriority):
			preemptible = append(preemptible, pl)
		}
	})
	slices.SortFunc(preemptible, func(a, b *machineregistry.Placement) int { return r.compareVictims(now, a, b) })
	for _, pl := range preemptible {
		if j.TaskResources.Fits(free) {
			break
		}
		free = free.Plus(pl.Resources)
		victims = append(victims, pl)
		cost += r.preemptionCost(now, pl, x)
		if pl.Job != nil && pl.Job.Shape == protocol.Gang {
			// All of it has to find room, and often its image, again.
			cost += float64(pl.Job.TaskCount) * x.Type.BootSeconds
		}
	}
	return victims, cost, len(victims) > 0 && j.TaskResources.Fits(free)
}

// compareVictims orders work by who is preempted first: the lowest priority, then the youngest job, then
// what has run for the shortest time.
func (r *Rules) compareVictims(now time.Duration, a, b *machineregistry.Placement) int {
	if order := cmp.Compare(b.PriorityLevel, a.PriorityLevel); order != 0 {
		return order
	}
	if order := cmp.Compare(r.jobAge(now, a), r.jobAge(now, b)); order != 0 {
		return order
	}
	if order := cmp.Compare(b.StateSince, a.StateSince); order != 0 {
		return order
	}
	return cmp.Compare(a.Task.String(), b.Task.String())
}

// preemptionCost returns the cost of preempting one placement, in seconds: the work that is lost, by its
// share of the machine, and something for the job's age. An old job has been passed over or preempted
// before, and is the more likely to miss its objective.
func (r *Rules) preemptionCost(now time.Duration, pl *machineregistry.Placement, x *candidates.Candidate) float64 {
	const jobAgeWeight = 10
	lost := (now - pl.StateSince).Seconds()
	if pl.Job != nil && pl.Job.CheckpointIntervalSeconds > 0 {
		lost = pl.Job.SaveSeconds
	}
	return 1 + lost*pl.Resources.DominantShare(x.Capacity()) + r.jobAge(now, pl).Seconds()/jobAgeWeight
}

// mayPreempt reports whether a placement may be preempted for a job: work of at least the victim priority,
// and work of any priority that another team runs beyond its guaranteed quota, for a team within its own.
// What a team runs within its guaranteed quota yields to no other team. Work of other teams is not exempt
// in general: else idle-time batch work of one team keeps whole machines while urgent gangs of others wait.
func (r *Rules) mayPreempt(j *jobstate.Job, pl *machineregistry.Placement, victimPriority int) bool {
	if r.Zones.RecoversBefore(pl, j) {
		return false
	}
	if pl.Team == j.Spec.Team {
		return pl.PriorityLevel >= victimPriority
	}
	return r.Quotas.ExceedsGuarantee(pl.Team) &&
		(pl.PriorityLevel >= victimPriority || r.Quotas.WithinGuarantee(j.Spec.Team, j.TaskResources))
}

// jobAge returns how long the job of a placement has been known.
func (r *Rules) jobAge(now time.Duration, pl *machineregistry.Placement) time.Duration {
	if j := r.Jobs[pl.Task.JobID]; j != nil {
		return now - j.WaitingSince
	}
	return 0
}
