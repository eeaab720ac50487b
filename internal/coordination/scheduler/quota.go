package scheduler

import (
	"math"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
)

// team returns the team of that name, or nil.
func (c *Scheduler) team(name string) *config.Team { return c.teams[name] }

// weightedUsage is what a team uses for its weight: its guarantee, or 1.
func (c *Scheduler) weightedUsage(team string) float64 {
	u := c.machines.TeamUsage(team)
	t := c.team(team)
	if t != nil && (t.GuaranteedGPUs > 0 || t.GuaranteedCPUs > 0) {
		return u.DominantShare(machineregistry.Resources{CPUs: t.GuaranteedCPUs, GPUs: t.GuaranteedGPUs})
	}
	return u.GPUs + u.CPUs
}

// tasksWithinQuotaLimit is how many more tasks of the job its team's limit lets start.
func (c *Scheduler) tasksWithinQuotaLimit(j *Job) int {
	t := c.team(j.Spec.Team)
	n := math.MaxInt32
	if t == nil {
		return n
	}
	u := c.machines.TeamUsage(j.Spec.Team)
	if t.MaxCPUs > 0 && j.TaskResources.CPUs > 0 {
		n = min(n, int((t.MaxCPUs-u.CPUs)/j.TaskResources.CPUs+1e-9))
	}
	if t.MaxGPUs > 0 && j.TaskResources.GPUs > 0 {
		n = min(n, int((t.MaxGPUs-u.GPUs)/j.TaskResources.GPUs+1e-9))
	}
	return max(0, n)
}

// exceedsGuaranteedQuota says whether a placement's team uses more than its guarantee.
func (c *Scheduler) exceedsGuaranteedQuota(pl *machineregistry.Placement) bool {
	return !fitsGuaranteedQuota(c.team(pl.Team), c.machines.TeamUsage(pl.Team))
}

// withinGuaranteedQuota says whether a job's team is still within its guarantee with one more
// of its tasks.
func (c *Scheduler) withinGuaranteedQuota(j *Job) bool {
	return fitsGuaranteedQuota(c.team(j.Spec.Team), c.machines.TeamUsage(j.Spec.Team).Plus(j.TaskResources))
}

// tasksWithinGuaranteedQuota is how many more of a job's tasks its team can run within its guarantee.
func (c *Scheduler) tasksWithinGuaranteedQuota(j *Job) int {
	if !c.withinGuaranteedQuota(j) {
		return 0
	}
	t, used := c.team(j.Spec.Team), c.machines.TeamUsage(j.Spec.Team)
	n := j.TaskCounts[TaskPending]
	for _, r := range [][3]float64{{t.GuaranteedCPUs, used.CPUs, j.TaskResources.CPUs}, {t.GuaranteedGPUs, used.GPUs, j.TaskResources.GPUs}} {
		if guarantee, taken, each := r[0], r[1], r[2]; guarantee > 0 && each > 0 {
			n = min(n, int((guarantee-taken)/each+1e-9))
		}
	}
	return n
}

// fitsGuaranteedQuota says whether a team that uses so much has a guarantee and fits into
// it. A resource that no guarantee names does not count.
func fitsGuaranteedQuota(t *config.Team, used machineregistry.Resources) bool {
	if t == nil || t.GuaranteedCPUs == 0 && t.GuaranteedGPUs == 0 {
		return false
	}
	return (t.GuaranteedCPUs == 0 || used.CPUs <= t.GuaranteedCPUs) &&
		(t.GuaranteedGPUs == 0 || used.GPUs <= t.GuaranteedGPUs)
}
