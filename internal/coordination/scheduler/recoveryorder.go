package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// recoverySortKey is what jobs are sorted by while the order of return is in force.
type recoverySortKey struct {
	position, priorityLevel int
	debt                    float64
	objective               float64
}

// recoveryOrderInEffect says whether jobs go in the order of return: while a zone is lost or not yet trusted
// again, and until all loans are repaid.
func (c *Scheduler) recoveryOrderInEffect() bool {
	return c.zoneFailover != nil && (c.inZoneFailover() || c.zoneFailover.ledger.Len() > 0)
}

// sortForRecovery puts jobs into the order of return: by the stated order, priority, what
// lenders are owed once no zone is lost, the class's aim on waiting, and age. The list is
// sorted by priority and age when it comes.
func (c *Scheduler) sortForRecovery(jobs []*jobstate.Job) {
	z := c.zoneFailover
	if !c.recoveryOrderInEffect() {
		return
	}
	debts := map[string]float64{}
	if !z.monitor.AnyInState(zonefailover.Lost) {
		debts = z.ledger.Debts()
	}
	keys := make(map[*jobstate.Job]recoverySortKey, len(jobs))
	for _, j := range jobs {
		keys[j] = recoverySortKey{
			z.order.Position(j.Spec.Class, j.Spec.Team),
			j.EffectivePriority,
			debts[j.Spec.ID],
			c.rules.StartLatency.Seconds(j.Spec.Class),
		}
	}
	slices.SortStableFunc(jobs, func(a, b *jobstate.Job) int {
		x, y := keys[a], keys[b]
		return cmp.Or(
			cmp.Compare(x.position, y.position),
			cmp.Compare(x.priorityLevel, y.priorityLevel),
			cmp.Compare(y.debt, x.debt),
			cmp.Compare(x.objective, y.objective),
		)
	})
}

// zonesByAvailability lists the zones that a job allows, those that are available first: where several
// have as little room, a lost one must not be where it waits for some.
func (c *Scheduler) zonesByAvailability(spec *protocol.Job) []string {
	names := c.allowedZones(spec)
	if c.zoneFailover == nil {
		return names
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(c.zoneFailover.monitor.State(a), c.zoneFailover.monitor.State(b))
	})
	return names
}

// recoversBefore says whether, by the order in force, the work of a placement goes before a
// job, whatever their priorities are.
func (c *Scheduler) recoversBefore(pl *machineregistry.Placement, j *jobstate.Job) bool {
	if !c.inZoneFailover() {
		return false
	}
	class := ""
	if pl.Job != nil {
		class = pl.Job.Class
	}
	order := c.zoneFailover.order
	return order.Position(class, pl.Team) < order.Position(j.Spec.Class, j.Spec.Team)
}

// recoveryPosition is a job's position in the order of return, while that is in force.
func (c *Scheduler) recoveryPosition(spec *protocol.Job) int {
	if !c.inZoneFailover() {
		return 0
	}
	return c.zoneFailover.order.Position(spec.Class, spec.Team)
}

// placeWithinQuota places what teams run within their guarantee, which need not wait for
// other teams, in the order of return. What is beyond it has its turn with the others, and
// so have the team's jobs after it: a guarantee is held against other teams, not within one.
func (c *Scheduler) placeWithinQuota(now time.Duration, waiting []*jobstate.Job) {
	beyond := map[string]bool{} // teams
	for _, j := range waiting {
		if beyond[j.Spec.Team] {
			continue
		}
		least := 1
		if j.Spec.Shape == protocol.Gang {
			least = j.Spec.TaskCount
		}
		guaranteed := c.quotas.TasksWithinGuarantee(j.Spec.Team, j.TaskResources, j.TaskCounts[jobstate.TaskPending])
		if n := min(c.tasksWithinQuotaLimit(j), guaranteed); n >= least {
			c.placeJob(now, j, n)
		}
		beyond[j.Spec.Team] = j.TaskCounts[jobstate.TaskPending] > 0
	}
}

// zoneRiskPenalty is what a start of a critical replica costs more, in seconds, in a zone that may
// be lost again at any time.
func (c *Scheduler) zoneRiskPenalty(j *jobstate.Job, zone string) float64 {
	if c.zoneFailover == nil || j.EffectivePriority > 0 || j.Spec.Shape != protocol.Service ||
		c.zoneFailover.monitor.State(zone) == zonefailover.Available {
		return 0
	}
	return c.cfg.Workers.LeaseSeconds
}
