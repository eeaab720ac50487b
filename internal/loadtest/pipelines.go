package loadtest

import (
	"pinebay/internal/protocol"
)

// classPipeline is the class of jobs that await others.
const classPipeline = "pipeline"

// pipelineTasks are the tasks of a pipeline's stages, each of which awaits the one before.
var pipelineTasks = []int{8, 8, 2}

// submitPipeline submits the stages of a pipeline one after another, each as soon as the one before is accepted, and
// follows them until they are over. The last is urgent and has a deadline.
func (r *run) submitPipeline() {
	var before []string
	for i, tasks := range pipelineTasks {
		j := r.newJob(classPipeline, protocol.Array, tasks, urgentTeam)
		j.Priority, j.Dependencies = "best_effort", before
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
		before = []string{j.ID}
	}
}

// dependencies lists the jobs that a job awaits.
func (r *run) dependencies(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.world.Jobs[id]; j != nil {
		return j.Dependencies
	}
	return nil
}
