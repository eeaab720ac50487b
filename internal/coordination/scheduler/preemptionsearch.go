package scheduler

import (
	"math"
	"time"

	"pinebay/internal/coordination/partition"
)

// preemptionLooks bounds what searches for work to stop may cost in a cycle, in machines looked
// at; one whose work must be chosen counts as several.
const (
	preemptionLooks = 1 << 18
	choiceLooks     = 8
)

// cheapest looks at the machines that have work which may have to leave: of at least the level,
// or about to leave anyhow, or any if the job's team is within its guarantee.
func (f indexFinder) cheapest(now time.Duration, j *job, l *limits, within time.Duration, level int) (*candidate, []*partition.Placement) {
	lowest := level
	if f.c.guaranteed(j) {
		lowest = 0
	}
	sets := []*partition.MachineSet{f.c.machines.MachinesWithStopping()}
	for r := lowest; r < partition.PriorityLevels; r++ {
		sets = append(sets, f.c.machines.MachinesAtPriority(r))
	}
	total := 0
	for _, set := range sets {
		total += set.Len()
	}
	from := ""
	if total > maxLooks {
		from = f.c.preemptFrom
	}
	s := preemptionSearch{c: f.c, now: now, j: j, l: l, within: within, level: level, lowest: lowest, cost: math.Inf(1), left: maxLooks}
	for _, set := range sets {
		s.scan(set, from)
	}
	if total > maxLooks {
		f.c.preemptFrom = s.last
	}
	return s.best, s.victims
}

// preemptionSearch is a search for work to stop.
type preemptionSearch struct {
	c      *Core
	now    time.Duration
	j      *job
	l      *limits
	within time.Duration
	level  int // work of at least it leaves
	lowest int // level of work that may leave for whatever reason
	left   int // machines that may still be looked at
	last   string

	best    *candidate
	victims []*partition.Placement
	cost    float64
}

// scan looks at the machines of a set from a name on, and then at those before it.
func (s *preemptionSearch) scan(set *partition.MachineSet, from string) {
	look := func(m *partition.Machine) bool {
		if s.left--; s.left < 0 {
			return false
		}
		s.last = m.Name
		s.look(m)
		return true
	}
	set.Ascend(&partition.Machine{Name: from}, look)
	if from == "" || s.left < 0 {
		return
	}
	set.Scan(func(m *partition.Machine) bool { return m.Name < from && look(m) })
}

// look takes a machine into account.
func (s *preemptionSearch) look(m *partition.Machine) {
	c, j := s.c, s.j
	c.preemptionLeft--
	c.looks++
	x := c.candidateOf(s.now, m)
	if x == nil || !j.need.Fits(x.free.Plus(m.PreemptibleResources(s.lowest))) || !j.need.Fits(partition.CapacityOf(x.kind)) ||
		!c.fits(s.now, j, x, s.l) || m.IsReservedFor(s.now, j.spec.ID) {
		return
	}
	warm := c.machines.FetchTime(s.now, m, &j.spec)
	if warm > s.within {
		return
	}
	c.preemptionLeft -= choiceLooks
	victims, cost, ok := c.victims(s.now, j, x, s.level)
	cost += warm.Seconds()
	if ok && (cost < s.cost || cost == s.cost && s.best != nil && m.Name < s.best.m.Name) {
		s.best, s.victims, s.cost = x, victims, cost
	}
}
