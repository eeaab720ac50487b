package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// borrowableCapacity is the room outside the lost zones, free or held by work that may lend it, while
// it is dealt out to jobs one after the other.
type borrowableCapacity struct {
	scheduler   *Scheduler
	now         time.Duration
	machines    []*borrowableMachine
	usageByTeam map[string]machineregistry.Resources // of teams, less what has been lent
	lent        map[zonefailover.TaskAttempt]bool
}

// borrowableMachine is a machine on the market.
type borrowableMachine struct {
	candidate *candidates.Candidate
	free      machineregistry.Resources
	lenders   []*machineregistry.Placement
}

// newBorrowableCapacity returns the room on all machines of zones that are available.
func (c *Scheduler) newBorrowableCapacity(now time.Duration) *borrowableCapacity {
	c.candidates.Refresh(now)
	return c.borrowableCapacityOf(now, c.candidates.All(now))
}

// borrowableCapacityOf returns the room on candidates, less what this cycle has given away.
func (c *Scheduler) borrowableCapacityOf(now time.Duration, cands []*candidates.Candidate) *borrowableCapacity {
	k := &borrowableCapacity{
		scheduler:   c,
		now:         now,
		usageByTeam: map[string]machineregistry.Resources{},
		lent:        map[zonefailover.TaskAttempt]bool{},
	}
	for _, x := range cands {
		if c.zoneFailover.monitor.State(x.Machine.Zone) != zonefailover.Available {
			continue
		}
		room := &borrowableMachine{candidate: x, free: x.Free}
		x.Machine.EachPlacement(func(pl *machineregistry.Placement) {
			switch {
			case pl.Stopping:
				room.free = room.free.Plus(pl.Resources)
			case c.isLendable(pl):
				room.lenders = append(room.lenders, pl)
			}
		})
		slices.SortFunc(room.lenders, func(a, b *machineregistry.Placement) int {
			return cmp.Or(cmp.Compare(a.Task.JobID, b.Task.JobID), cmp.Compare(a.Task.Index, b.Task.Index))
		})
		k.machines = append(k.machines, room)
	}
	return k
}

// isLendable says whether a placement's room may be lent at all: never that of critical work,
// nor what has been lent already.
func (c *Scheduler) isLendable(pl *machineregistry.Placement) bool {
	j := c.jobs[pl.Task.JobID]
	return pl.PriorityLevel > 0 && j != nil && !j.Ended && !c.zoneFailover.ledger.IsLent(taskAttemptOf(pl))
}

func taskAttemptOf(pl *machineregistry.Placement) zonefailover.TaskAttempt {
	return zonefailover.TaskAttempt{Job: pl.Task.JobID, Task: pl.Task.Index, Attempt: pl.Attempt}
}

// choose looks for room for the request, without taking it.
func (k *borrowableCapacity) choose(
	j *jobstate.Job,
	request zonefailover.CapacityRequest,
	allowed func(*candidates.Candidate) bool,
) zonefailover.Choice {
	var offers []zonefailover.CapacityOffer
	for _, room := range k.machines {
		x := room.candidate
		if request.MaxPerZone[x.Machine.Zone] <= 0 || !allowed(x) ||
			!j.TaskResources.Fits(x.Capacity()) {
			continue
		}
		offers = append(offers, zonefailover.CapacityOffer{
			Machine: x.Machine.Name, Zone: x.Machine.Zone, Free: room.free, Lenders: k.lendersFor(j, room),
			StartCost: k.scheduler.machines.FetchTime(k.now, x.Machine, &j.Spec).Seconds(),
		})
	}
	return zonefailover.ChooseLenders(request, offers)
}

// lendersFor returns the work on a machine that lends its room to a job: lower work that its
// team does not run within its guarantee.
func (k *borrowableCapacity) lendersFor(j *jobstate.Job, room *borrowableMachine) (lenders []zonefailover.Lender) {
	capacity := machineregistry.CapacityOf(room.candidate.Type)
	for _, pl := range room.lenders {
		if pl.PriorityLevel <= j.EffectivePriority || k.scheduler.recoversBefore(pl, j) || k.lent[taskAttemptOf(pl)] ||
			k.protectedByQuota(pl) {
			continue
		}
		gang := pl.Job != nil && pl.Job.Shape == protocol.Gang
		// Who has lent before is the more likely to be late for it.
		cost := k.scheduler.lostWorkSeconds(
			k.now,
			pl,
		)*pl.Resources.DominantShare(
			capacity,
		) + float64(
			k.scheduler.zoneFailover.loansByJob[pl.Task.JobID],
		)
		if gang {
			cost += room.candidate.Type.BootSeconds // all of it has to find room, and often its image, again
		}
		lenders = append(
			lenders,
			zonefailover.Lender{Task: taskAttemptOf(pl), Need: pl.Resources, Cost: cost, Gang: gang},
		)
	}
	return lenders
}

// protectedByQuota says whether a placement runs within its team's guarantee, given what of the
// team leaves already.
func (k *borrowableCapacity) protectedByQuota(pl *machineregistry.Placement) bool {
	return k.scheduler.quotas.GuaranteeCovers(pl.Team, k.teamUsage(pl.Team))
}

func (k *borrowableCapacity) teamUsage(team string) machineregistry.Resources {
	used, ok := k.usageByTeam[team]
	if !ok {
		used = k.scheduler.machines.TeamUsage(team)
	}
	return used
}

// lostWorkSeconds is the work that a placement loses when it is stopped, in seconds.
func (c *Scheduler) lostWorkSeconds(now time.Duration, pl *machineregistry.Placement) float64 {
	if pl.Job != nil && pl.Job.CheckpointIntervalSeconds > 0 {
		return min(pl.Job.SaveSeconds, (now - pl.StateSince).Seconds())
	}
	return (now - pl.StateSince).Seconds()
}

// placeJob finds room for tasks of a job and takes it off the market, and returns for how many
// there is room; for a job that must be whole, and in one zone if it says so, none or all.
func (k *borrowableCapacity) placeJob(j *jobstate.Job, request zonefailover.CapacityRequest, whole bool) int {
	anywhere := func(*candidates.Candidate) bool { return true }
	choose := k.choose
	if j.Spec.SameZone {
		choose = k.chooseSingleZone
	}
	best := choose(j, request, anywhere)
	if whole && len(best.Picks) < request.Tasks {
		return 0
	}
	k.commit(j, best)
	return len(best.Picks)
}

// chooseSingleZone looks for room in a single zone, where it costs least among those with most.
func (k *borrowableCapacity) chooseSingleZone(
	j *jobstate.Job,
	request zonefailover.CapacityRequest,
	allowed func(*candidates.Candidate) bool,
) (best zonefailover.Choice) {
	for _, zone := range k.scheduler.allowedZones(&j.Spec) {
		one := request
		one.MaxPerZone = map[string]int{zone: request.MaxPerZone[zone]}
		got := k.choose(j, one, allowed)
		if len(got.Picks) > len(best.Picks) || len(got.Picks) == len(best.Picks) && got.Cost < best.Cost {
			best = got
		}
	}
	return best
}

// commit takes a choice off the market.
func (k *borrowableCapacity) commit(j *jobstate.Job, choice zonefailover.Choice) {
	for _, room := range k.machines {
		for _, pl := range room.lenders {
			if !slices.Contains(choice.Lenders, taskAttemptOf(pl)) {
				continue
			}
			k.lent[taskAttemptOf(pl)] = true
			k.usageByTeam[pl.Team] = k.teamUsage(pl.Team).Minus(pl.Resources)
			room.free = room.free.Plus(pl.Resources)
		}
		for _, pick := range choice.Picks {
			if pick.Machine == room.candidate.Machine.Name {
				room.free = room.free.Minus(j.TaskResources)
			}
		}
	}
}

// violatesQuota says whether a choice, taken as a whole, would take a team into its guarantee: each
// lender alone is beyond it, but several of them may not be.
func (k *borrowableCapacity) violatesQuota(choice zonefailover.Choice) bool {
	usage := map[string]machineregistry.Resources{}
	for _, room := range k.machines {
		for _, pl := range room.lenders {
			if !slices.Contains(choice.Lenders, taskAttemptOf(pl)) {
				continue
			}
			used, ok := usage[pl.Team]
			if !ok {
				used = k.teamUsage(pl.Team)
			}
			if k.scheduler.quotas.GuaranteeCovers(pl.Team, used) {
				return true
			}
			usage[pl.Team] = used.Minus(pl.Resources)
		}
	}
	return false
}
