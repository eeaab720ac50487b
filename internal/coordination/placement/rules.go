// Package placement finds machines for tasks, and work to preempt for them. Its steps have the names of
// the Kubernetes scheduling framework: a machine is filtered (Rules.Feasible), scored (Rules.Score), or, if
// none is free, chosen for preemption with the victims that cost least (Rules.SelectVictims). Finder
// applies the rules to the candidate index without examining every machine.
//
// The package only proposes. The scheduler reserves capacity, records placements and stops the victims.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/fairshare"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// ZonePolicy is what the failover between zones adds to the rules.
type ZonePolicy interface {
	// RiskPenalty returns what starting a task of the job in a zone adds to the score.
	RiskPenalty(j *jobstate.Job, zone string) float64
	// RecoversBefore reports whether a placement's work goes before a job in the recovery order that is
	// in effect, so that it must not be preempted for the job.
	RecoversBefore(pl *machineregistry.Placement, j *jobstate.Job) bool
}

// Rules decides where a task may and should go. It reads the scheduler's state and changes none of it but
// nominations.
type Rules struct {
	Machines     *machineregistry.Registry
	Candidates   *candidates.Index
	Quotas       *fairshare.Quotas
	StartLatency StartLatencyObjectives
	Zones        ZonePolicy
	// Jobs holds the scheduler's jobs by ID.
	Jobs map[string]*jobstate.Job
	// Cycle is the number of the current scheduling cycle.
	Cycle uint64
}

// Feasible reports whether a job's constraints admit a candidate, whatever is free there.
func (r *Rules) Feasible(now time.Duration, j *jobstate.Job, x *candidates.Candidate, l *ZoneLimits) bool {
	if !AllowsMachine(&j.Spec, x) || !l.Allows(x.Machine.Zone) || j.AvoidedMachines()[x.Machine.Name] {
		return false
	}
	return !r.NominatedForOther(now, x.Machine, j.Spec.ID)
}

// AllowsMachine reports whether a job's own constraints admit the type and kind of a candidate.
func AllowsMachine(spec *protocol.Job, x *candidates.Candidate) bool {
	return (!x.Machine.Spot || spec.SpotAllowed) && x.Type.AllowedBy(spec)
}

// Score returns the score of a feasible candidate for a task, in seconds; lower is better. It adds up the
// time until the image is there, how well the task packs, and penalties for risks.
func (r *Rules) Score(now time.Duration, j *jobstate.Job, x *candidates.Candidate, l *ZoneLimits) float64 {
	yields := r.YieldingFetches(j)
	fetch := r.Machines.FetchTimeWithout(now, x.Machine, &j.Spec, yields)
	score := fetch.Seconds() + r.Machines.FetchDelayWithout(now, x.Machine, &j.Spec, yields).Seconds()
	score += r.packingScore(j, x, fetch)
	if j.Spec.Spread && l.TasksPerZone != nil {
		score += float64(l.TasksPerZone[x.Machine.Zone]) / float64(j.Spec.TaskCount)
	}
	if x.Machine.Spot {
		score += spotScore(j, x.Type)
	}
	if j.FailedOn[x.Machine.Name] {
		score += failedOnMachineBoots * x.Type.BootSeconds
	}
	return score + float64(len(x.Machine.FailedJobs))*x.Type.BootSeconds + r.Zones.RiskPenalty(j, x.Machine.Zone)
}

// failedOnMachineBoots is the penalty for a machine on which the job has failed, in boot times.
const failedOnMachineBoots = 10

// packingScore prefers machines that the task fills up, unless its image has to be fetched for so long that
// the next task of the kind will want to start beside it without a fetch. Then it prefers room beside the
// task, free or held by arrays, and values it at no more than half the fetch, as a machine that has the
// image stays better.
func (r *Rules) packingScore(j *jobstate.Job, x *candidates.Candidate, fetch time.Duration) float64 {
	capacity := x.Capacity()
	left := x.Free.Minus(j.TaskResources)
	objective := r.StartLatency.Seconds(j.Spec.Class)
	switch {
	case math.IsInf(objective, 1) || fetch > config.Seconds(max(objective, x.Type.BootSeconds)):
		return 1 - fetch.Seconds()/2*left.Plus(x.Machine.ArrayUsage()).DominantShare(capacity)
	case fetch > 0 && fetch.Seconds()*machineregistry.SlowFetchFactor > objective && x.Machine.PlacementCount() > 0:
		// A shorter fetch that may still miss the objective. Empty machines are left to jobs that need a
		// whole one.
		return -left.Plus(x.Machine.ArrayUsage()).DominantShare(capacity)
	default:
		return left.DominantShare(capacity)
	}
}

// spotScore prefers spot machines for jobs that save checkpoints, and avoids them for others.
func spotScore(j *jobstate.Job, t *protocol.MachineType) float64 {
	if j.Spec.CheckpointIntervalSeconds > 0 {
		return -1
	}
	return t.BootSeconds
}

// yieldingPriorityGap is by how many priorities the work that yields to a start latency objective must be lower.
const yieldingPriorityGap = 2

// YieldingFetches returns the placements that a job with a start latency objective may drive off a machine
// to fetch its image at the full rate, or nil: tasks of arrays of much lower priority that are fetching, and
// lose nothing else. When many jobs are submitted at once, arrays come first, and replicas that share the
// rate with them take twice as long to start.
func (r *Rules) YieldingFetches(j *jobstate.Job) func(*machineregistry.Placement) bool {
	if j.Spec.Shape == protocol.Gang || !r.StartLatency.Has(j.Spec.Class) {
		return nil
	}
	return func(pl *machineregistry.Placement) bool {
		return pl.PriorityLevel >= j.EffectivePriority+yieldingPriorityGap &&
			pl.Job != nil && pl.Job.Shape == protocol.Array && pl.Job.Image != j.Spec.Image &&
			(!pl.StartAllowed || pl.State == protocol.TaskFetching) // one from an earlier term may run unseen
	}
}

// poolFeasible reports whether machines of a pool can be feasible for a job.
func (r *Rules) poolFeasible(j *jobstate.Job, l *ZoneLimits, p machineindex.Pool) bool {
	t := r.Machines.MachineType(p.Type)
	return t != nil && (!p.Spot || j.Spec.SpotAllowed) && t.AllowedBy(&j.Spec) &&
		(l.TasksPerZone == nil || l.Allows(p.Zone))
}

// poolScore returns the part of the score that is the same for all machines of a pool.
func (r *Rules) poolScore(j *jobstate.Job, l *ZoneLimits, p machineindex.Pool) float64 {
	score := r.Zones.RiskPenalty(j, p.Zone)
	if j.Spec.Spread && l.TasksPerZone != nil {
		score += float64(l.TasksPerZone[p.Zone]) / float64(j.Spec.TaskCount)
	}
	if p.Spot {
		score += spotScore(j, r.Machines.MachineType(p.Type))
	}
	return score
}

// prefersFreeCapacity reports whether the score of machines without the job's image falls with their free
// capacity (see packingScore).
func (r *Rules) prefersFreeCapacity(j *jobstate.Job) bool {
	if !r.StartLatency.Has(j.Spec.Class) {
		return true
	}
	objective := r.StartLatency.Seconds(j.Spec.Class)
	for name, t := range r.Machines.MachineTypes() {
		fetch := r.fetchSeconds(j, name)
		if fetch > max(objective, t.BootSeconds) || fetch*machineregistry.SlowFetchFactor > objective {
			return true
		}
	}
	return false
}

// fetchSeconds returns how long a type of machines takes to fetch the job's image alone.
func (r *Rules) fetchSeconds(j *jobstate.Job, machineType string) float64 {
	t := r.Machines.MachineType(machineType)
	if t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	return config.Seconds(j.Spec.ImageGB / t.FetchGBPerSecond).Seconds()
}

// PlacementsOn returns the placements on a machine in the order of their tasks' names.
func PlacementsOn(m *machineregistry.Machine) (list []*machineregistry.Placement) {
	m.EachPlacement(func(pl *machineregistry.Placement) { list = append(list, pl) })
	slices.SortFunc(list, func(a, b *machineregistry.Placement) int {
		return cmp.Compare(a.Task.String(), b.Task.String())
	})
	return list
}
