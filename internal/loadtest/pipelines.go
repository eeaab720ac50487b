package loadtest

import (
	"pinebay/internal/protocol"
)

// classPipeline is the class of jobs that depend on others.
const classPipeline = "pipeline"

// pipelineTasks are the numbers of tasks of a pipeline's stages. Each stage depends on the one
// before.
var pipelineTasks = []int{8, 8, 2}

// submitPipeline submits the stages of a pipeline, each once the one before is accepted, and polls
// them until they are final. The last one is urgent and has a deadline.
func (r *run) submitPipeline() {
	var dependencies []string
	for i, tasks := range pipelineTasks {
		j := r.newJob(classPipeline, protocol.Array, tasks, urgentTeam)
		j.Priority, j.Dependencies = "best_effort", dependencies
		if i == len(pipelineTasks)-1 {
			j.Priority = "urgent"
			j.DeadlineSeconds = float64(2*len(pipelineTasks)) * r.cfg.MeanRunTime.Seconds()
		}
		r.mu.Lock()
		r.world.Jobs[j.ID] = &j
		r.mu.Unlock()
		if !r.submit(&j) {
			return
		}
		r.wg.Go(func() { r.pollUntilFinal(j.ID) })
		dependencies = []string{j.ID}
	}
}

// dependencies returns the jobs on which a job depends.
func (r *run) dependencies(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.world.Jobs[id]; j != nil {
		return j.Dependencies
	}
	return nil
}
