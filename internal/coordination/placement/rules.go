// Package placement selects machines for tasks, and placements to preempt for them. Its steps follow the Kubernetes
// scheduling framework: machines are filtered (Rules.Feasible) and scored (Rules.Score); if none has enough free
// capacity, a machine is selected for preemption together with the victims that cost least (Rules.SelectVictims).
// Finder applies these rules to the candidate index without examining every machine.
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

// ZonePolicy is the influence of zone failover on placement.
type ZonePolicy interface {
	// RiskPenalty returns the score penalty for starting a task of the job in a zone.
	RiskPenalty(j *jobstate.Job, zone string) float64
	// RecoversBefore reports whether a placement precedes the job in the current recovery order, so that it must not
	// be preempted for the job.
	RecoversBefore(pl *machineregistry.Placement, j *jobstate.Job) bool
}

// Rules decides which machines a task may run on and which of them is best. It reads the state of the scheduler and
// changes nothing but nominations.
type Rules struct {
	Machines     *machineregistry.Registry
	Candidates   *candidates.Index
	Quotas       *fairshare.Quotas
	StartLatency StartLatencyObjectives
	Zones        ZonePolicy
	// Jobs holds the jobs of the scheduler by ID.
	Jobs map[string]*jobstate.Job
	// Cycle is the number of the current scheduling cycle.
	Cycle uint64
}

// Feasible reports whether a task of the job may run on a candidate, regardless of the free capacity.
func (r *Rules) Feasible(now time.Duration, j *jobstate.Job, x *candidates.Candidate, l *ZoneLimits) bool {
	if !AllowsMachine(&j.Spec, x) || !l.Allows(x.Machine.Zone) || j.AvoidedMachines()[x.Machine.Name] {
		return false
	}
	return !r.NominatedForOther(now, x.Machine, j.Spec.ID)
}

// AllowsMachine reports whether a job allows the machine type of a candidate and, if the candidate is a spot machine,
// allows spot machines.
func AllowsMachine(spec *protocol.Job, x *candidates.Candidate) bool {
	return (!x.Machine.Spot || spec.SpotAllowed) && x.Type.AllowedBy(spec)
}

// Score returns the score of a feasible candidate for a task, in seconds; lower is better. It is the sum of the time
// until the image is available, the delay of other fetches, the packing score, and penalties for risks.
func (r *Rules) Score(now time.Duration, j *jobstate.Job, x *candidates.Candidate, l *ZoneLimits) float64 {
	preemptible := r.PreemptibleFetches(j)
	fetch := r.Machines.FetchTimeIfEvicted(now, x.Machine, &j.Spec, preemptible)
	score := fetch.Seconds() + r.Machines.FetchDelayIfEvicted(now, x.Machine, &j.Spec, preemptible).Seconds()
	score += r.packingScore(j, x, fetch)
	if j.Spec.Spread && l.TasksPerZone != nil {
		score += float64(l.TasksPerZone[x.Machine.Zone]) / float64(j.Spec.TaskCount)
	}
	if x.Machine.Spot {
		score += spotScore(j, x.Type)
	}
	if j.FailedOn[x.Machine.Name] {
		score += failedMachinePenaltyBoots * x.Type.BootSeconds
	}
	return score + float64(len(x.Machine.FailedJobs))*x.Type.BootSeconds + r.Zones.RiskPenalty(j, x.Machine.Zone)
}

// failedMachinePenaltyBoots is the score penalty for a machine on which a task of the job has failed, as a multiple of
// the machine's boot time.
const failedMachinePenaltyBoots = 10

// packingScore returns the part of the score that rates how a task packs onto a machine. It normally prefers the
// machine with the least capacity left. If the image takes long to fetch, it prefers the machine with the most
// capacity left instead, including capacity held by array tasks, so that later tasks of the same kind can start there
// without a fetch. That preference is worth at most half of the fetch time, so that a machine that already has the
// image still scores better.
func (r *Rules) packingScore(j *jobstate.Job, x *candidates.Candidate, fetch time.Duration) float64 {
	capacity := x.Capacity()
	left := x.Free.Minus(j.TaskResources)
	objective := r.StartLatency.Seconds(j.Spec.Class)
	switch {
	case math.IsInf(objective, 1) || fetch > config.Seconds(max(objective, x.Type.BootSeconds)):
		return 1 - fetch.Seconds()/2*left.Plus(x.Machine.ArrayUsage()).DominantShare(capacity)
	case fetch > 0 && fetch.Seconds()*machineregistry.SlowFetchFactor > objective && x.Machine.PlacementCount() > 0:
		// The fetch is shorter, but may still miss the objective. Empty machines are left to jobs that need a whole
		// machine.
		return -left.Plus(x.Machine.ArrayUsage()).DominantShare(capacity)
	default:
		return left.DominantShare(capacity)
	}
}

// spotScore prefers spot machines for jobs that save checkpoints and penalizes them for other jobs.
func spotScore(j *jobstate.Job, t *protocol.MachineType) float64 {
	if j.Spec.CheckpointIntervalSeconds > 0 {
		return -1
	}
	return t.BootSeconds
}

// fetchPreemptionPriorityGap is the number of priority levels by which a fetching task must be less important than a
// job with a start latency objective to be preempted for it.
const fetchPreemptionPriorityGap = 2

// PreemptibleFetches returns a function that selects the placements that may be preempted so that the job fetches its
// image at the full rate, or nil if the job is a gang or has no start latency objective. Only array tasks of much
// lower priority that are still fetching are selected, as they lose nothing but the fetch. Without this, when many
// jobs are submitted at once, array tasks are placed first, and service replicas that share the fetch rate with them
// take twice as long to start.
func (r *Rules) PreemptibleFetches(j *jobstate.Job) func(*machineregistry.Placement) bool {
	if j.Spec.Shape == protocol.Gang || !r.StartLatency.Has(j.Spec.Class) {
		return nil
	}
	return func(pl *machineregistry.Placement) bool {
		// A placement adopted from an earlier term may be running without having been reported yet; it is selected
		// only once it is reported as fetching.
		return pl.PriorityLevel >= j.EffectivePriority+fetchPreemptionPriorityGap &&
			pl.Job != nil && pl.Job.Shape == protocol.Array && pl.Job.Image != j.Spec.Image &&
			(!pl.StartAllowed || pl.State == protocol.TaskFetching)
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

// prefersFreeCapacity reports whether the score of machines without the job's image falls as their free capacity
// grows (see packingScore).
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

// fetchSeconds returns how long a machine of the type takes to fetch the job's image with no other fetch in progress.
func (r *Rules) fetchSeconds(j *jobstate.Job, machineType string) float64 {
	t := r.Machines.MachineType(machineType)
	if t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	return config.Seconds(j.Spec.ImageGB / t.FetchGBPerSecond).Seconds()
}

// PlacementsOn returns the placements on a machine, sorted by task name.
func PlacementsOn(m *machineregistry.Machine) (list []*machineregistry.Placement) {
	m.EachPlacement(func(pl *machineregistry.Placement) { list = append(list, pl) })
	slices.SortFunc(list, func(a, b *machineregistry.Placement) int {
		return cmp.Compare(a.Task.String(), b.Task.String())
	})
	return list
}
