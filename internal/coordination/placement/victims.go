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

// CheapestPreemption returns the candidate on which preempting placements for a task of the job costs least, and the
// victims there. It considers only candidates that can have the image within maxFetchTime. Placements of the job's
// own team are preempted only at level victimPriority or less important levels, which have higher numbers.
//
// It examines machines with placements at these levels (at any level if the job's team is within its guaranteed
// quota) and machines with placements that are stopping already.
func (f *Finder) CheapestPreemption(
	now time.Duration,
	j *jobstate.Job,
	l *ZoneLimits,
	maxFetchTime time.Duration,
	victimPriority int,
) (*candidates.Candidate, []*machineregistry.Placement) {
	mostImportant := victimPriority
	if f.rules.Quotas.WithinGuarantee(j.Spec.Team, j.TaskResources) {
		mostImportant = 0
	}
	sets := []*machineregistry.MachineSet{f.rules.Machines.MachinesWithStoppingPlacements()}
	for priority := mostImportant; priority < machineregistry.PriorityLevels; priority++ {
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
		finder:             f,
		now:                now,
		job:                j,
		limits:             l,
		maxFetchTime:       maxFetchTime,
		victimPriority:     victimPriority,
		mostImportantLevel: mostImportant,
		remaining:          MaxExaminedMachines,
		cost:               math.Inf(1),
	}
	for _, set := range sets {
		s.scan(set, from)
	}
	if total > MaxExaminedMachines {
		f.victimCursor = s.lastExamined
	}
	return s.best, s.victims
}

// victimSearch is the state of one preemption search.
type victimSearch struct {
	finder         *Finder
	now            time.Duration
	job            *jobstate.Job
	limits         *ZoneLimits
	maxFetchTime   time.Duration
	victimPriority int
	// mostImportantLevel is the most important priority level at which any placement may be preempted.
	mostImportantLevel int
	// remaining is the number of machines that may still be examined.
	remaining    int
	lastExamined string

	best    *candidates.Candidate
	victims []*machineregistry.Placement
	cost    float64
}

// scan examines the machines of a set in name order, starting at the given name and wrapping around at the end.
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

// examine determines the cost of preemption on a machine and keeps the machine if it is the cheapest so far.
func (s *victimSearch) examine(m *machineregistry.Machine) {
	s.finder.budget.spend(1)
	s.finder.Examined++
	rules := s.finder.rules
	x := rules.Candidates.CandidateFor(s.now, m)
	if x == nil || !s.canMakeRoom(x) {
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

// canMakeRoom reports whether the task would fit on a feasible candidate if every placement that may be preempted for
// any reason were gone. Machines that are already nominated for the job are left out.
func (s *victimSearch) canMakeRoom(x *candidates.Candidate) bool {
	task := s.job.TaskResources
	return task.Fits(x.Free.Plus(x.Machine.PreemptibleResources(s.mostImportantLevel))) &&
		task.Fits(x.Capacity()) &&
		s.finder.rules.Feasible(s.now, s.job, x, s.limits) &&
		!x.Machine.IsNominatedFor(s.now, s.job.Spec.ID)
}

// SelectVictims selects the placements on a candidate to be preempted for a task of the job, and returns the cost of
// preempting them, in seconds of work that is lost or has to be placed again. It returns false if the task would not
// fit even after the preemption, or needs none.
func (r *Rules) SelectVictims(
	now time.Duration,
	j *jobstate.Job,
	x *candidates.Candidate,
	victimPriority int,
) (victims []*machineregistry.Placement, cost float64, ok bool) {
	free := x.Free // excludes capacity allocated in this cycle
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
			// The whole gang has to be placed again, and often has to fetch its image again.
			cost += float64(pl.Job.TaskCount) * x.Type.BootSeconds
		}
	}
	return victims, cost, len(victims) > 0 && j.TaskResources.Fits(free)
}

// compareVictims defines the order in which placements are preempted: least important priority first, then youngest
// job first, then the latest change of state first.
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

// preemptionCost returns the cost of preempting one placement, in seconds: the work that is lost, weighted by the
// placement's share of the machine, plus a term for the age of the job. An old job has probably been passed over or
// preempted before and is more likely to miss its objective.
func (r *Rules) preemptionCost(now time.Duration, pl *machineregistry.Placement, x *candidates.Candidate) float64 {
	const jobAgePerCost = 10 // seconds of job age that add one second to the cost
	lost := (now - pl.StateSince).Seconds()
	if pl.Job != nil && pl.Job.CheckpointIntervalSeconds > 0 {
		lost = pl.Job.CheckpointSaveSeconds
	}
	return 1 + lost*pl.Resources.DominantShare(x.Capacity()) + r.jobAge(now, pl).Seconds()/jobAgePerCost
}

// mayPreempt reports whether a placement may be preempted for a job. Placements of the job's own team may be
// preempted at level victimPriority and less important levels. Placements of another team may be preempted only while
// that team exceeds its guaranteed quota, and only at these levels or if the job is within its own team's guaranteed
// quota.
//
// Placements of other teams are not exempt in general: otherwise best-effort batch tasks of one team would hold whole
// machines while urgent gangs of other teams wait.
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

// jobAge returns the time since the job of a placement was accepted or unblocked, or 0 if the job is unknown.
func (r *Rules) jobAge(now time.Duration, pl *machineregistry.Placement) time.Duration {
	if j := r.Jobs[pl.Task.JobID]; j != nil {
		return now - j.WaitingSince
	}
	return 0
}
