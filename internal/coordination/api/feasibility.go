package api

import (
	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// quotaTolerance, in CPUs or GPUs, allows for rounding errors when the resources of the tasks add up to exactly the
// team's limit.
const quotaTolerance = 1e-6

// checkFeasible returns an error if a job could not run even with all machines free.
func checkFeasible(cfg *config.Deployment, types []protocol.MachineType, job *protocol.Job) error {
	team := cfg.Team(job.Team)
	if team == nil {
		return unprocessable("unknown team %q", job.Team)
	}
	zones := feasibleZones(types, job)
	if len(zones) == 0 {
		return unprocessable("a task fits no allowed machine type")
	}
	if exceedsLimit(team, job) {
		return unprocessable("needs more than the team's limit")
	}
	if job.Spread && job.TaskCount > 1 && (job.SameZone || len(zones) < 2) {
		return unprocessable("its tasks must be spread over zones and may not be")
	}
	return nil
}

// feasibleZones returns the zones in which an empty machine of an allowed type has room for a task of the job.
func feasibleZones(types []protocol.MachineType, job *protocol.Job) map[string]bool {
	zones := map[string]bool{}
	for i := range types {
		machineType := &types[i]
		if !machineType.AllowedBy(job) || machineType.TaskCapacity(job) == 0 {
			continue
		}
		for _, zone := range machineType.Zones {
			if job.Zone == "" || job.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}

// exceedsLimit reports whether the tasks of a job that run concurrently need more than the team's limit. The tasks of
// an array need not run concurrently, so only one of them is counted.
func exceedsLimit(team *config.Team, job *protocol.Job) bool {
	tasks := float64(job.TaskCount)
	if job.Shape == protocol.Array {
		tasks = 1
	}
	cpus, gpus := tasks*job.CPUs, tasks*job.GPUs
	return team.MaxCPUs > 0 && cpus > team.MaxCPUs+quotaTolerance ||
		team.MaxGPUs > 0 && gpus > team.MaxGPUs+quotaTolerance
}
