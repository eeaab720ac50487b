package placement

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// MinCountedRunTime is the time that a task must run for its start to count. By the protocol, a start does not count
// if a command ends the task earlier. Consolidation therefore does not move tasks that have run for less.
const MinCountedRunTime = 30 * time.Second

// maxConsolidatedUtilization is the highest utilization at which a machine may be drained.
const maxConsolidatedUtilization = 0.5

// Consolidator selects underutilized machines to drain: machines that hold only a few service replicas, all of which
// fit on better utilized machines. Moving a replica interrupts it briefly, while a machine that is kept for one small
// replica has to be paid for as long as the replica lives.
type Consolidator struct {
	rules    *Rules
	interval time.Duration
	// lastSelected is when Next last returned a machine.
	lastSelected time.Duration
	// cursor is the name of the machine at which the next scan of a large fleet starts.
	cursor string
}

// NewConsolidator returns a consolidator that selects at most one machine per interval.
func NewConsolidator(rules *Rules, interval time.Duration) *Consolidator {
	return &Consolidator{rules: rules, interval: interval}
}

// Next returns the least utilized machine whose placements all fit on other machines. It returns nil if there is none
// or if the interval since it last returned a machine has not passed.
func (c *Consolidator) Next(now time.Duration) *machineregistry.Machine {
	if now-c.lastSelected < c.interval {
		return nil
	}
	list := c.underutilized(now)
	slices.SortStableFunc(list, func(a, b *candidates.Candidate) int {
		return cmp.Compare(c.utilization(a), c.utilization(b))
	})
	for _, x := range list {
		if c.fitsElsewhere(now, x) {
			c.lastSelected = now
			return x.Machine
		}
	}
	return nil
}

// utilization returns the dominant share of a machine's capacity that is reserved.
func (c *Consolidator) utilization(x *candidates.Candidate) float64 {
	capacity := x.Capacity()
	return capacity.Minus(c.rules.Machines.FreeCapacity(x.Machine)).DominantShare(capacity)
}

// underutilized returns machines that may be drained. It examines at most MaxExaminedMachines, and the next call
// continues with the rest of the fleet.
func (c *Consolidator) underutilized(now time.Duration) (list []*candidates.Candidate) {
	remaining := MaxExaminedMachines
	from := c.cursor
	c.cursor = ""
	c.rules.Machines.EachFrom(from, func(m *machineregistry.Machine) bool {
		if remaining--; remaining < 0 {
			c.cursor = m.Name
			return false
		}
		if x := c.rules.Candidates.CandidateFor(now, m); x != nil && c.drainable(now, x) {
			list = append(list, x)
		}
		return true
	})
	return list
}

// drainable reports whether a machine holds only movable replicas, is utilized little enough, and is not nominated
// for a job.
func (c *Consolidator) drainable(now time.Duration, x *candidates.Candidate) bool {
	if x.Machine.PlacementCount() == 0 || c.rules.NominatedForOther(now, x.Machine, "") {
		return false
	}
	movable := true
	x.Machine.EachPlacement(func(pl *machineregistry.Placement) {
		movable = movable && c.movable(now, pl)
	})
	return movable && c.utilization(x) <= maxConsolidatedUtilization
}

// movable reports whether a placement is a service replica that has run long enough to be moved, with no write of its
// job's records in flight.
func (c *Consolidator) movable(now time.Duration, pl *machineregistry.Placement) bool {
	j := c.rules.Jobs[pl.Task.JobID]
	return j != nil && !j.Ended && !j.WriteInFlight && j.Spec.Shape == protocol.Service &&
		!pl.Stopping && pl.State == protocol.TaskRunning && now-pl.StateSince >= MinCountedRunTime
}

// fitsElsewhere reports whether all placements of a machine fit on better utilized machines of its zone that have the
// images.
func (c *Consolidator) fitsElsewhere(now time.Duration, x *candidates.Candidate) bool {
	claimed := map[*candidates.Candidate]machineregistry.Resources{}
	for _, pl := range PlacementsOn(x.Machine) {
		target := c.mostUtilizedTarget(now, x, pl, claimed)
		if target == nil {
			return false
		}
		claimed[target] = claimed[target].Plus(pl.Resources)
	}
	return true
}

// mostUtilizedTarget returns the most utilized machine to which a placement may move, or nil. claimed is the capacity
// that other placements of the same machine have already claimed on each target.
func (c *Consolidator) mostUtilizedTarget(
	now time.Duration,
	from *candidates.Candidate,
	pl *machineregistry.Placement,
	claimed map[*candidates.Candidate]machineregistry.Resources,
) (mostUtilized *candidates.Candidate) {
	set := c.rules.Machines.MachinesWithImage(pl.Job.Image)
	if set == nil {
		return nil
	}
	examined := 0
	set.Scan(func(m *machineregistry.Machine) bool {
		if examined++; examined > MaxExaminedMachines {
			return false
		}
		x := c.rules.Candidates.CandidateFor(now, m)
		if x == nil || x == from || !c.isTarget(now, x, from, pl) || !pl.Resources.Fits(x.Free.Minus(claimed[x])) {
			return true
		}
		if mostUtilized == nil || c.utilization(x) > c.utilization(mostUtilized) {
			mostUtilized = x
		}
		return true
	})
	return mostUtilized
}

// isTarget reports whether a placement may move to a machine, regardless of its free capacity: an on-demand machine
// of the same zone that is at least as utilized as the source, has the image, and had no task failure since a task
// last succeeded there.
func (c *Consolidator) isTarget(now time.Duration, x, from *candidates.Candidate, pl *machineregistry.Placement) bool {
	m := x.Machine
	return m.Zone == from.Machine.Zone && !m.Spot && x.Type.AllowedBy(pl.Job) &&
		c.utilization(x) >= c.utilization(from) && m.PlacementCount() > 0 &&
		!m.HasAttempt(pl.Task) && len(m.FailedJobs) == 0 &&
		c.rules.Machines.FetchTime(now, m, pl.Job) == 0 &&
		!c.rules.NominatedForOther(now, m, "")
}
