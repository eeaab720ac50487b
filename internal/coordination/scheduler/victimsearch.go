package scheduler

import (
	"math"
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
)

// cheapestPreemption looks at the machines that have work which may have to leave: of at least the level,
// or about to leave anyhow, or any if the job's team is within its guarantee.
func (f *indexFinder) cheapestPreemption(
	now time.Duration,
	j *jobstate.Job,
	l *zoneLimits,
	within time.Duration,
	level int,
) (*candidates.Candidate, []*machineregistry.Placement) {
	lowest := level
	if f.scheduler.withinGuaranteedQuota(j) {
		lowest = 0
	}
	sets := []*machineregistry.MachineSet{f.scheduler.machines.MachinesWithStopping()}
	for r := lowest; r < machineregistry.PriorityLevels; r++ {
		sets = append(sets, f.scheduler.machines.MachinesAtPriority(r))
	}
	total := 0
	for _, set := range sets {
		total += set.Len()
	}
	from := ""
	if total > maxExaminedMachines {
		from = f.victimCursor
	}
	s := victimSearch{
		finder:         f,
		now:            now,
		job:            j,
		limits:         l,
		maxFetchTime:   within,
		victimLevel:    level,
		candidateLevel: lowest,
		cost:           math.Inf(1),
		remaining:      maxExaminedMachines,
	}
	for _, set := range sets {
		s.scan(set, from)
	}
	if total > maxExaminedMachines {
		f.victimCursor = s.lastExamined
	}
	return s.best, s.victims
}

// victimSearch is a search for work to stop.
type victimSearch struct {
	finder         *indexFinder
	now            time.Duration
	job            *jobstate.Job
	limits         *zoneLimits
	maxFetchTime   time.Duration
	victimLevel    int // work of at least it leaves
	candidateLevel int // level of work that may leave for whatever reason
	remaining      int // machines that may still be looked at
	lastExamined   string

	best    *candidates.Candidate
	victims []*machineregistry.Placement
	cost    float64
}

// scan looks at the machines of a set from a name on, and then at those before it.
func (s *victimSearch) scan(set *machineregistry.MachineSet, from string) {
	look := func(m *machineregistry.Machine) bool {
		if s.remaining--; s.remaining < 0 {
			return false
		}
		s.lastExamined = m.Name
		s.examine(m)
		return true
	}
	set.Ascend(&machineregistry.Machine{Name: from}, look)
	if from == "" || s.remaining < 0 {
		return
	}
	set.Scan(func(m *machineregistry.Machine) bool { return m.Name < from && look(m) })
}

// examine takes a machine into account.
func (s *victimSearch) examine(m *machineregistry.Machine) {
	c, j := s.finder.scheduler, s.job
	c.preemption.spend(1)
	s.finder.examined++
	x := c.candidates.Of(s.now, m)
	if x == nil || !j.TaskResources.Fits(x.Free.Plus(m.PreemptibleResources(s.candidateLevel))) ||
		!j.TaskResources.Fits(x.Capacity()) ||
		!c.feasible(s.now, j, x, s.limits) ||
		m.IsReservedFor(s.now, j.Spec.ID) {
		return
	}
	warm := c.machines.FetchTime(s.now, m, &j.Spec)
	if warm > s.maxFetchTime {
		return
	}
	c.preemption.spend(victimSelectionCost)
	victims, cost, ok := c.selectVictims(s.now, j, x, s.victimLevel)
	cost += warm.Seconds()
	if ok && (cost < s.cost || cost == s.cost && s.best != nil && m.Name < s.best.Machine.Name) {
		s.best, s.victims, s.cost = x, victims, cost
	}
}
