package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// Bounds of what one look at a lost zone may cost and do.
const (
	fenceDivisor = 20 // of a zone's machines, one in so many may be fenced in a cycle
	// maxWaitingConsidered is for how many of a job's waiting tasks room is set aside before that.
	maxWaitingConsidered = 32
	// searchesPerCore is for how many jobs a whole core looks for room in a cycle, next to
	// its other work: a search among a hundred full machines takes it a millisecond or two.
	searchesPerCore = 100
	// searchRetryDelay is the time until the next search for a job for which there was no room.
	searchRetryDelay = 3 * CycleInterval
)

// searchBudget is for how many jobs room may be looked for in a cycle.
func (c *Scheduler) searchBudget() int { return max(2, int(searchesPerCore*c.cfg.Quota.CoreShare)) }

// fenceLostMachines returns machines of lost zones whose tasks would find room elsewhere, in the
// order of return: only that proves the tasks gone. What would find no room stays, and goes
// on at once when the zone comes back.
func (c *Scheduler) fenceLostMachines(now time.Duration, jobs []*jobstate.Job) {
	if !c.zoneFailover.monitor.AnyInState(zonefailover.Lost) {
		return
	}
	patience := c.lostMachineGracePeriod()
	budget := c.fenceBudget()
	market := c.newBorrowableCapacity(now)
	tries := c.searchBudget()
	for _, j := range jobs {
		if budget <= 0 || tries <= 0 {
			return
		}
		held := c.placementsInLostZones(now, j, patience)
		waiting := min(j.TaskCounts[jobstate.TaskPending], c.tasksWithinQuotaLimit(j), maxWaitingConsidered)
		if c.startForbidden(j) || len(held)+waiting == 0 || now < j.NextLoanSearch {
			continue
		}
		whole := j.Spec.Shape == protocol.Gang || j.Spec.SameZone
		wanted := waiting + len(held)
		if whole {
			wanted = j.TaskCounts[jobstate.TaskPending] + len(j.Placements)
		}
		request, ok := c.requestInAvailableZones(j, wanted)
		if !ok {
			continue
		}
		tries--
		// What waits already takes its room first.
		found := market.placeJob(j, request, whole) - waiting
		if found <= 0 && len(held) > 0 {
			j.NextLoanSearch = now + searchRetryDelay
		}
		for _, pl := range held[:max(0, min(found, len(held)))] {
			budget -= c.fenceMachineOf(now, j, pl)
		}
	}
}

// fenceBudget is how many machines may be fenced in this cycle.
func (c *Scheduler) fenceBudget() int {
	n := 0
	c.machines.Each(func(m *machineregistry.Machine) {
		if c.isZoneLost(m.Zone) {
			n++
		}
	})
	return max(1, n/fenceDivisor)
}

// lostMachineGracePeriod is for how long a machine of a lost zone is waited for: until its leases are
// surely over, and as long as a machine takes to boot. Work that goes elsewhere pays about
// that much once more, for a fetch there and for a boot when the zone is back; whoever waits as
// long as it would pay never pays more than twice what foresight would.
func (c *Scheduler) lostMachineGracePeriod() time.Duration {
	patience := c.maxLeaseLifetime()
	for _, t := range c.machines.MachineTypes() {
		patience = max(patience, config.Seconds(t.BootSeconds))
	}
	return patience
}

// placementsInLostZones returns the placements of a job on machines of lost zones that have been
// silent for longer than the patience.
func (c *Scheduler) placementsInLostZones(
	now time.Duration,
	j *jobstate.Job,
	patience time.Duration,
) (held []*machineregistry.Placement) {
	for _, pl := range sortedPlacements(j) {
		m := c.machines.Machine(pl.Machine)
		if c.isZoneLost(pl.Zone) && m != nil && now-m.LastHeartbeat > patience {
			held = append(held, pl)
		}
	}
	return held
}

// fenceMachineOf has the machine of a placement returned, and says how many that makes.
func (c *Scheduler) fenceMachineOf(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement) int {
	m := c.machines.Machine(pl.Machine)
	if m == nil || m.Terminating {
		return 0
	}
	since, _ := c.zoneFailover.monitor.LostSince(pl.Zone)
	m.MarkTerminating()
	c.addDecision(zonefailover.MachineFenced{Machine: m.Name, Zone: m.Zone, Job: j.Spec.ID, LostFor: now - since})
	return 1
}

// requestInAvailableZones is the room that tasks of a job may take outside the lost zones; false if
// its limits allow none.
func (c *Scheduler) requestInAvailableZones(j *jobstate.Job, tasks int) (zonefailover.CapacityRequest, bool) {
	perZone := map[string]int{}
	limits := placement.ZoneLimitsOf(j)
	total := 0
	for _, zone := range c.zoneFailover.monitor.Zones() {
		allowed := j.Spec.Zone == "" || j.Spec.Zone == zone.Name
		if left := min(
			tasks,
			limits.MaxTasksPerZone-limits.TasksPerZone[zone.Name],
		); allowed && left > 0 &&
			zone.State == zonefailover.Available {
			perZone[zone.Name] = left
			total += left
		}
	}
	return zonefailover.CapacityRequest{
		Need:            j.TaskResources,
		Tasks:           min(tasks, total),
		MaxPerZone:      perZone,
		DisturbanceCost: c.disturbanceCost(),
	}, total > 0
}
