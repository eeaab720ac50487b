package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/partition"
	"pinebay/internal/coordination/zones"
	"pinebay/internal/protocol"
)

// market is the room outside the lost zones, free or held by work that may lend it, while
// it is dealt out to jobs one after the other.
type market struct {
	core   *Core
	now    time.Duration
	rooms  []*marketRoom
	usage  map[string]partition.Resources // of teams, less what has been lent
	leaves map[zones.LentTask]bool
}

// marketRoom is a machine on the market.
type marketRoom struct {
	x       *candidate
	free    partition.Resources
	lenders []*partition.Placement
}

// newMarket returns the room on all machines of zones that are available.
func (c *Core) newMarket(now time.Duration) *market {
	c.beginCycle(now)
	return c.marketOf(now, c.candidates(now))
}

// marketOf returns the room on candidates, less what this cycle has given away.
func (c *Core) marketOf(now time.Duration, cands []*candidate) *market {
	k := &market{core: c, now: now, usage: map[string]partition.Resources{}, leaves: map[zones.LentTask]bool{}}
	for _, x := range cands {
		if c.returning.monitor.State(x.m.Zone) != zones.Available {
			continue
		}
		room := &marketRoom{x: x, free: x.free}
		x.m.EachPlacement(func(pl *partition.Placement) {
			switch {
			case pl.Stopping:
				room.free = room.free.Plus(pl.Resources)
			case c.lendable(pl):
				room.lenders = append(room.lenders, pl)
			}
		})
		slices.SortFunc(room.lenders, func(a, b *partition.Placement) int {
			return cmp.Or(cmp.Compare(a.Task.JobID, b.Task.JobID), cmp.Compare(a.Task.Index, b.Task.Index))
		})
		k.rooms = append(k.rooms, room)
	}
	return k
}

// lendable says whether a placement's room may be lent at all: never that of critical work,
// nor what has been lent already.
func (c *Core) lendable(pl *partition.Placement) bool {
	j := c.jobs[pl.Task.JobID]
	return pl.PriorityLevel > 0 && j != nil && !j.over && !c.returning.ledger.Lent(lentTask(pl))
}

func lentTask(pl *partition.Placement) zones.LentTask {
	return zones.LentTask{Job: pl.Task.JobID, Task: pl.Task.Index, Attempt: pl.Attempt}
}

// choose looks for room for the request, without taking it.
func (k *market) choose(j *job, request zones.Request, allowed func(*candidate) bool) zones.Choice {
	var offers []zones.Offer
	for _, room := range k.rooms {
		x := room.x
		if request.PerZone[x.m.Zone] <= 0 || !allowed(x) || !j.need.Fits(partition.CapacityOf(x.kind)) {
			continue
		}
		offers = append(offers, zones.Offer{
			Machine: x.m.Name, Zone: x.m.Zone, Free: room.free, Lenders: k.lendersFor(j, room),
			Cost: k.core.machines.FetchTime(k.now, x.m, &j.spec).Seconds(),
		})
	}
	return zones.ChooseLenders(request, offers)
}

// lendersFor returns the work on a machine that lends its room to a job: lower work that its
// team does not run within its guarantee.
func (k *market) lendersFor(j *job, room *marketRoom) (lenders []zones.Lender) {
	capacity := partition.CapacityOf(room.x.kind)
	for _, pl := range room.lenders {
		if pl.PriorityLevel <= j.level || k.core.returnsBefore(pl, j) || k.leaves[lentTask(pl)] || k.protected(pl) {
			continue
		}
		gang := pl.Job != nil && pl.Job.Shape == protocol.Gang
		// Who has lent before is the more likely to be late for it.
		cost := k.core.lostBy(k.now, pl)*pl.Resources.DominantShare(capacity) + float64(k.core.returning.lentBy[pl.Task.JobID])
		if gang {
			cost += room.x.kind.BootSeconds // all of it has to find room, and often its image, again
		}
		lenders = append(lenders, zones.Lender{Task: lentTask(pl), Need: pl.Resources, Cost: cost, Gang: gang})
	}
	return lenders
}

// protected says whether a placement runs within its team's guarantee, given what of the
// team leaves already.
func (k *market) protected(pl *partition.Placement) bool {
	return withinGuarantee(k.core.team(pl.Team), k.teamUsage(pl.Team))
}

func (k *market) teamUsage(team string) partition.Resources {
	used, ok := k.usage[team]
	if !ok {
		used = k.core.machines.TeamUsage(team)
	}
	return used
}

// lostBy is the work that a placement loses when it is stopped, in seconds.
func (c *Core) lostBy(now time.Duration, pl *partition.Placement) float64 {
	if pl.Job != nil && pl.Job.CheckpointIntervalSeconds > 0 {
		return min(pl.Job.SaveSeconds, (now - pl.StateSince).Seconds())
	}
	return (now - pl.StateSince).Seconds()
}

// place finds room for tasks of a job and takes it off the market, and returns for how many
// there is room; for a job that must be whole, and in one zone if it says so, none or all.
func (k *market) place(j *job, request zones.Request, whole bool) int {
	anywhere := func(*candidate) bool { return true }
	choose := k.choose
	if j.spec.SameZone {
		choose = k.chooseZone
	}
	best := choose(j, request, anywhere)
	if whole && len(best.Picks) < request.Tasks {
		return 0
	}
	k.take(j, best)
	return len(best.Picks)
}

// chooseZone looks for room in a single zone, where it costs least among those with most.
func (k *market) chooseZone(j *job, request zones.Request, allowed func(*candidate) bool) (best zones.Choice) {
	for _, zone := range k.core.zones(&j.spec) {
		one := request
		one.PerZone = map[string]int{zone: request.PerZone[zone]}
		got := k.choose(j, one, allowed)
		if len(got.Picks) > len(best.Picks) || len(got.Picks) == len(best.Picks) && got.Cost < best.Cost {
			best = got
		}
	}
	return best
}

// take takes a choice off the market.
func (k *market) take(j *job, choice zones.Choice) {
	for _, room := range k.rooms {
		for _, pl := range room.lenders {
			if !slices.Contains(choice.Lenders, lentTask(pl)) {
				continue
			}
			k.leaves[lentTask(pl)] = true
			k.usage[pl.Team] = k.teamUsage(pl.Team).Minus(pl.Resources)
			room.free = room.free.Plus(pl.Resources)
		}
		for _, pick := range choice.Picks {
			if pick.Machine == room.x.m.Name {
				room.free = room.free.Minus(j.need)
			}
		}
	}
}

// unsafe says whether a choice, taken as a whole, would take a team into its guarantee: each
// lender alone is beyond it, but several of them may not be.
func (k *market) unsafe(choice zones.Choice) bool {
	usage := map[string]partition.Resources{}
	for _, room := range k.rooms {
		for _, pl := range room.lenders {
			if !slices.Contains(choice.Lenders, lentTask(pl)) {
				continue
			}
			used, ok := usage[pl.Team]
			if !ok {
				used = k.teamUsage(pl.Team)
			}
			if withinGuarantee(k.core.team(pl.Team), used) {
				return true
			}
			usage[pl.Team] = used.Minus(pl.Resources)
		}
	}
	return false
}
