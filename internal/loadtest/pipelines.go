package loadtest

import (
	"pinebay/internal/protocol"
)

// classPipeline is the class of the jobs of pipelines. A pipeline is a chain of jobs that each depend on the one
// before.
const classPipeline = "pipeline"

// pipelineTasks has the number of tasks of each stage of a pipeline. A stage is a job that depends on the stage before.
var pipelineTasks = []int{8, 8, 2}

// submitPipeline submits the stages of a pipeline, each when the one before has been accepted, and polls them until
// they are final. The last stage is urgent and has a deadline.
func (r *sizeRun) submitPipeline() {
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

// dependencies returns the IDs of the jobs on which a job depends.
func (r *sizeRun) dependencies(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.world.Jobs[id]; j != nil {
		return j.Dependencies
	}
	return nil
}
