// Package fairshare divides the fleet among teams. Quotas compares the usage of a team with its guaranteed quota and
// its limit, and Queue decides which team's job is scheduled next. The package stores no usage itself: the usage of a
// team is what the machine registry has reserved for its tasks.
package fairshare

import (
	"math"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
)

// roundingTolerance keeps rounding errors in sums of decimal amounts from reducing a count of whole tasks.
const roundingTolerance = 1e-9

// Quotas compares the usage of teams with their quotas.
type Quotas struct {
	teams    map[string]*config.Team
	machines *machineregistry.Registry
}

// NewQuotas returns the quotas of the teams. Their usage is taken from the registry. The teams are not copied.
func NewQuotas(teams []config.Team, machines *machineregistry.Registry) *Quotas {
	q := &Quotas{teams: make(map[string]*config.Team, len(teams)), machines: machines}
	for i := range teams {
		q.teams[teams[i].Name] = &teams[i]
	}
	return q
}

// WeightedUsage returns the measure by which the usage of teams is compared: the dominant share of the team's
// guaranteed quota or, for a team without one, the sum of its GPUs and CPUs.
func (q *Quotas) WeightedUsage(team string) float64 {
	usage := q.machines.TeamUsage(team)
	t := q.teams[team]
	if t != nil && (t.GuaranteedGPUs > 0 || t.GuaranteedCPUs > 0) {
		return usage.DominantShare(machineregistry.Resources{CPUs: t.GuaranteedCPUs, GPUs: t.GuaranteedGPUs})
	}
	return usage.GPUs + usage.CPUs
}

// TasksWithinLimit returns how many more tasks of the given size fit within the team's quota limit.
func (q *Quotas) TasksWithinLimit(team string, task machineregistry.Resources) int {
	t := q.teams[team]
	n := math.MaxInt32
	if t == nil {
		return n
	}
	usage := q.machines.TeamUsage(team)
	if t.MaxCPUs > 0 && task.CPUs > 0 {
		n = min(n, wholeTasks(t.MaxCPUs-usage.CPUs, task.CPUs))
	}
	if t.MaxGPUs > 0 && task.GPUs > 0 {
		n = min(n, wholeTasks(t.MaxGPUs-usage.GPUs, task.GPUs))
	}
	return max(0, n)
}

// wholeTasks returns how many tasks that need perTask each fit into an amount.
func wholeTasks(amount, perTask float64) int { return int(amount/perTask + roundingTolerance) }

// WithinGuarantee reports whether the team would stay within its guaranteed quota with one more task of the given
// size.
func (q *Quotas) WithinGuarantee(team string, task machineregistry.Resources) bool {
	return q.GuaranteeCovers(team, q.machines.TeamUsage(team).Plus(task))
}

// ExceedsGuarantee reports whether the team uses more than its guaranteed quota.
func (q *Quotas) ExceedsGuarantee(team string) bool {
	return !q.GuaranteeCovers(team, q.machines.TeamUsage(team))
}

// TasksWithinGuarantee returns how many more tasks of the given size fit within the team's guaranteed quota, but at
// most maxTasks.
func (q *Quotas) TasksWithinGuarantee(team string, task machineregistry.Resources, maxTasks int) int {
	if !q.WithinGuarantee(team, task) {
		return 0
	}
	t, usage := q.teams[team], q.machines.TeamUsage(team)
	n := maxTasks
	if t.GuaranteedCPUs > 0 && task.CPUs > 0 {
		n = min(n, wholeTasks(t.GuaranteedCPUs-usage.CPUs, task.CPUs))
	}
	if t.GuaranteedGPUs > 0 && task.GPUs > 0 {
		n = min(n, wholeTasks(t.GuaranteedGPUs-usage.GPUs, task.GPUs))
	}
	return n
}

// GuaranteeCovers reports whether the team has a guaranteed quota that covers the given usage.
func (q *Quotas) GuaranteeCovers(team string, usage machineregistry.Resources) bool {
	return GuaranteeCovers(q.teams[team], usage)
}

// GuaranteeCovers reports whether a team has a guaranteed quota that covers the given usage. Resources without a
// guarantee are ignored. A nil team has no quota.
func GuaranteeCovers(t *config.Team, usage machineregistry.Resources) bool {
	if t == nil || t.GuaranteedCPUs == 0 && t.GuaranteedGPUs == 0 {
		return false
	}
	return (t.GuaranteedCPUs == 0 || usage.CPUs <= t.GuaranteedCPUs) &&
		(t.GuaranteedGPUs == 0 || usage.GPUs <= t.GuaranteedGPUs)
}
