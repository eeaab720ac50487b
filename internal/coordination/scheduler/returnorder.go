package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/partition"
	"pinebay/internal/coordination/zones"
	"pinebay/internal/protocol"
)

// returnKey is what jobs are sorted by while the order of return is in force.
type returnKey struct {
	position, level int
	debt            float64
	aim             float64
}

// orderInForce says whether jobs go in the order of return: while a zone is lost or not yet trusted
// again, and until all loans are repaid.
func (c *Core) orderInForce() bool {
	return c.returning != nil && (c.recovering() || c.returning.ledger.Len() > 0)
}

// sortForReturn puts jobs into the order of return: by the stated order, priority, what
// lenders are owed once no zone is lost, the class's aim on waiting, and age. The list is
// sorted by priority and age when it comes.
func (c *Core) sortForReturn(jobs []*job) {
	z := c.returning
	if !c.orderInForce() {
		return
	}
	debts := map[string]float64{}
	if !z.monitor.Any(zones.Lost) {
		debts = z.ledger.Debts()
	}
	keys := make(map[*job]returnKey, len(jobs))
	for _, j := range jobs {
		keys[j] = returnKey{z.order.Position(j.spec.Class, j.spec.Team), j.level, debts[j.spec.ID], c.waitAim(j.spec.Class)}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int {
		x, y := keys[a], keys[b]
		return cmp.Or(cmp.Compare(x.position, y.position), cmp.Compare(x.level, y.level), cmp.Compare(y.debt, x.debt), cmp.Compare(x.aim, y.aim))
	})
}

// zonesToTry lists the zones that a job allows, those that are available first: where several
// have as little room, a lost one must not be where it waits for some.
func (c *Core) zonesToTry(spec *protocol.Job) []string {
	names := c.zones(spec)
	if c.returning == nil {
		return names
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(c.returning.monitor.State(a), c.returning.monitor.State(b))
	})
	return names
}

// returnsBefore says whether, by the order in force, the work of a placement goes before a
// job, whatever their priorities are.
func (c *Core) returnsBefore(pl *partition.Placement, j *job) bool {
	if !c.recovering() {
		return false
	}
	class := ""
	if pl.Job != nil {
		class = pl.Job.Class
	}
	order := c.returning.order
	return order.Position(class, pl.Team) < order.Position(j.spec.Class, j.spec.Team)
}

// returnPosition is a job's position in the order of return, while that is in force.
func (c *Core) returnPosition(spec *protocol.Job) int {
	if !c.recovering() {
		return 0
	}
	return c.returning.order.Position(spec.Class, spec.Team)
}

// placeGuaranteed places what teams run within their guarantee, which need not wait for
// other teams, in the order of return. What is beyond it has its turn with the others, and
// so have the team's jobs after it: a guarantee is held against other teams, not within one.
func (c *Core) placeGuaranteed(now time.Duration, waiting []*job) {
	beyond := map[string]bool{} // teams
	for _, j := range waiting {
		if beyond[j.spec.Team] {
			continue
		}
		least := 1
		if j.spec.Shape == protocol.Gang {
			least = j.spec.TaskCount
		}
		if n := min(c.allowance(j), c.tasksWithinGuarantee(j)); n >= least {
			c.place(now, j, n)
		}
		beyond[j.spec.Team] = j.counts[pending] > 0
	}
}

// distrust is what a start of a critical replica costs more, in seconds, in a zone that may
// be lost again at any time.
func (c *Core) distrust(j *job, zone string) float64 {
	if c.returning == nil || j.level > 0 || j.spec.Shape != protocol.Service || c.returning.monitor.State(zone) == zones.Available {
		return 0
	}
	return c.cfg.Workers.LeaseSeconds
}
