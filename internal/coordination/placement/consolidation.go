package placement

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// StartCountsAfter is how long a task has to run for its start to count, by the protocol: a start that a
// command ends earlier does not. Tasks are not moved before.
const StartCountsAfter = 30 * time.Second

// maxConsolidatedUtilization is the utilization up to which a machine may be emptied.
const maxConsolidatedUtilization = 0.5

// Consolidator finds machines that few replicas hold, and that can be emptied by moving these to fuller
// machines. A move takes a replica away for a moment, while a machine that one small replica holds is paid
// for as long as the replica lives.
type Consolidator struct {
	rules *Rules
	pause time.Duration
	// lastAt is when a machine was last found.
	lastAt time.Duration
	// cursor is the machine at which the next search in a large fleet begins.
	cursor string
}

// NewConsolidator returns a consolidator that finds a machine after each pause at most.
func NewConsolidator(rules *Rules, pause time.Duration) *Consolidator {
	return &Consolidator{rules: rules, pause: pause}
}

// Next returns the least utilized machine whose tasks all fit elsewhere, or nil.
func (c *Consolidator) Next(now time.Duration) *machineregistry.Machine {
	if now-c.lastAt < c.pause {
		return nil
	}
	light := c.underutilized(now)
	slices.SortStableFunc(light, func(a, b *candidates.Candidate) int {
		return cmp.Compare(c.utilization(a), c.utilization(b))
	})
	for _, x := range light {
		if c.fitsElsewhere(now, x) {
			c.lastAt = now
			return x.Machine
		}
	}
	return nil
}

// utilization returns the share of a machine that is reserved.
func (c *Consolidator) utilization(x *candidates.Candidate) float64 {
	capacity := x.Capacity()
	return capacity.Minus(c.rules.Machines.FreeCapacity(x.Machine)).DominantShare(capacity)
}

// underutilized returns machines that may be emptied. In a large fleet it examines a part of the machines,
// and goes on from there the next time.
func (c *Consolidator) underutilized(now time.Duration) (light []*candidates.Candidate) {
	remaining := MaxExaminedMachines
	from := c.cursor
	c.cursor = ""
	c.rules.Machines.EachFrom(from, func(m *machineregistry.Machine) bool {
		if remaining--; remaining < 0 {
			c.cursor = m.Name
			return false
		}
		if x := c.rules.Candidates.Of(now, m); x != nil && c.mayBeEmptied(now, x) {
			light = append(light, x)
		}
		return true
	})
	return light
}

// mayBeEmptied reports whether a machine holds nothing but a few replicas that have run for long enough.
func (c *Consolidator) mayBeEmptied(now time.Duration, x *candidates.Candidate) bool {
	if x.Machine.PlacementCount() == 0 || c.rules.NominatedForOther(now, x.Machine, "") {
		return false
	}
	movable := true
	x.Machine.EachPlacement(func(pl *machineregistry.Placement) {
		movable = movable && c.movable(now, pl)
	})
	return movable && c.utilization(x) <= maxConsolidatedUtilization
}

func (c *Consolidator) movable(now time.Duration, pl *machineregistry.Placement) bool {
	j := c.rules.Jobs[pl.Task.JobID]
	return j != nil && !j.Ended && !j.WriteInFlight && j.Spec.Shape == protocol.Service &&
		!pl.Stopping && pl.State == protocol.TaskRunning && now-pl.StateSince >= StartCountsAfter
}

// fitsElsewhere reports whether all that a machine holds fits on fuller machines in its zone that have the
// images.
func (c *Consolidator) fitsElsewhere(now time.Duration, x *candidates.Candidate) bool {
	taken := map[*candidates.Candidate]machineregistry.Resources{}
	for _, pl := range PlacementsOn(x.Machine) {
		target := c.fullestTarget(now, x, pl, taken)
		if target == nil {
			return false
		}
		taken[target] = taken[target].Plus(pl.Resources)
	}
	return true
}

// fullestTarget returns the fullest machine to which a placement could move from a machine, or nil.
func (c *Consolidator) fullestTarget(
	now time.Duration,
	from *candidates.Candidate,
	pl *machineregistry.Placement,
	taken map[*candidates.Candidate]machineregistry.Resources,
) (fullest *candidates.Candidate) {
	set := c.rules.Machines.MachinesWithImage(pl.Job.Image)
	if set == nil {
		return nil
	}
	examined := 0
	set.Scan(func(m *machineregistry.Machine) bool {
		if examined++; examined > MaxExaminedMachines {
			return false
		}
		x := c.rules.Candidates.Of(now, m)
		if x == nil || x == from || !c.isTarget(now, x, from, pl) || !pl.Resources.Fits(x.Free.Minus(taken[x])) {
			return true
		}
		if fullest == nil || c.utilization(x) > c.utilization(fullest) {
			fullest = x
		}
		return true
	})
	return fullest
}

// isTarget reports whether a placement may move to a machine, whatever is free there: an on-demand machine
// in the same zone that is used no less, is reliable, and has the image.
func (c *Consolidator) isTarget(now time.Duration, x, from *candidates.Candidate, pl *machineregistry.Placement) bool {
	m := x.Machine
	return m.Zone == from.Machine.Zone && !m.Spot && x.Type.AllowedBy(pl.Job) &&
		c.utilization(x) >= c.utilization(from) && m.PlacementCount() > 0 &&
		!m.HasAttempt(pl.Task) && len(m.FailedJobs) == 0 &&
		c.rules.Machines.FetchTime(now, m, pl.Job) == 0 &&
		!c.rules.NominatedForOther(now, m, "")
}
