package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
)

// allTasksDone reports whether all tasks of a job have completed.
func (c *cluster) allTasksDone(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.world.Jobs[id].TaskCount {
		if !c.world.Done[protocol.TaskID{JobID: id, Index: i}] {
			return false
		}
	}
	return true
}

// dependencies returns the dependencies of a job.
func (c *cluster) dependencies(id string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.world.Jobs[id]; j != nil {
		return j.Dependencies
	}
	return nil
}

// recordCancelled records that a user was told that a job is cancelled.
func (c *cluster) recordCancelled(id string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.world.Cancelled[id] = at
	c.occurred["cancelled"]++
}

// request sends a user request to a controller and checks the answer.
func (c *cluster) request(n *controller, kind, id string) (int, protocol.JobStatus) {
	c.mu.Lock()
	job := c.world.Jobs[id]
	c.mu.Unlock()
	return c.users.Request(c.ctx, n.ip+":8080", kind, id, job)
}

// requestAndVerify is like request. If queryAfterAnswers is set and the answer shows that the job was accepted or has a
// final state, it also queries all controllers about the job several times within milliseconds and submits it again to
// each, so that inconsistent answers of different controllers are found.
func (c *cluster) requestAndVerify(n *controller, kind, id string) (int, protocol.JobStatus) {
	status, st := c.request(n, kind, id)
	c.mu.Lock()
	verify := c.queryAfterAnswers && (kind != RequestQuery || st.State.Final()) && (status == 200 || status == 201)
	c.mu.Unlock()
	if verify {
		c.recordOccurrence("looks")
		for _, o := range c.controllers {
			for i := range 3 {
				c.spawn(func() {
					time.Sleep(time.Duration(i)*3*ms + c.randomDuration(fmt.Sprint("look ", i, o.name, id), ms))
					c.request(o, RequestQuery, id)
				})
			}
			c.spawn(func() {
				time.Sleep(c.randomDuration("submit again "+o.name+id, ms))
				c.request(o, RequestSubmit, id)
			})
		}
	}
	return status, st
}

// anyController returns a random controller for a request about a job, as a load balancer would.
func (c *cluster) anyController(id string) *controller {
	return c.controllers[c.randomInt("any "+id, len(c.controllers))]
}

// submit starts a user who submits a job and queries it until it has a final state. The user retries failed requests.
func (c *cluster) submit(j protocol.Job) { c.submitAfter(j, nil, nil) }

// submitAfter is like submit, but the job is submitted only after all of the dependencies channels are closed.
// accepted, if not nil, is closed when the job has been accepted.
func (c *cluster) submitAfter(j protocol.Job, dependencies []chan struct{}, accepted chan struct{}) {
	c.mu.Lock()
	c.world.Jobs[j.ID] = &j
	c.jobIDs = append(c.jobIDs, j.ID)
	c.mu.Unlock()
	c.spawn(func() {
		for _, dependency := range dependencies {
			select {
			case <-dependency:
			case <-c.ctx.Done():
				return
			}
		}
		for c.ctx.Err() == nil {
			if status, _ := c.requestAndVerify(
				c.anyController(j.ID),
				RequestSubmit,
				j.ID,
			); status == 200 ||
				status == 201 {
				break
			}
			time.Sleep(time.Second)
		}
		if accepted != nil {
			close(accepted)
		}
		c.pollUntilFinal(j.ID)
	})
}

// pollInBackground starts a user who queries an accepted job until it has a final state.
func (c *cluster) pollInBackground(id string) { c.spawn(func() { c.pollUntilFinal(id) }) }

// pollUntilFinal queries a job every few seconds until an answer has a final state.
func (c *cluster) pollUntilFinal(id string) {
	for c.ctx.Err() == nil {
		if status, st := c.requestAndVerify(c.anyController(id), RequestQuery, id); status == 200 && st.State.Final() {
			return
		}
		time.Sleep(4*time.Second + c.randomDuration("poll "+id, 2*time.Second))
	}
}

// cancelUntilFinal sends requests to cancel a job to random ones of the target controllers until an answer has a final
// state, for at most within. It reports whether an answer confirmed the cancellation.
func (c *cluster) cancelUntilFinal(id string, targets []*controller, within time.Duration) bool {
	end := c.now() + within
	for c.ctx.Err() == nil && c.now() < end {
		if status, st := c.requestAndVerify(
			targets[c.randomInt("cancel "+id, len(targets))],
			RequestCancel,
			id,
		); status == 200 &&
			st.State.Final() {
			return st.State == protocol.JobCancelled
		}
		time.Sleep(300 * ms)
	}
	return false
}

// newJob returns a job with a new ID.
func (c *cluster) newJob(shape protocol.Shape, tasks int, gpus float64) protocol.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := fmt.Sprintf("j-%06d", len(c.jobIDs))
	j := protocol.Job{
		ID:        id,
		Class:     string(shape),
		Team:      []string{"red", "blue"}[c.randomInt("team "+id, 2)],
		Shape:     shape,
		Priority:  "normal",
		TaskCount: tasks,
		CPUs:      4,
		GPUs:      gpus,
		MemoryGB:  16,
		Image: fmt.Sprintf(
			"img-%d",
			c.randomInt("image "+id, 3),
		),
		ImageGB:         4,
		EstimateSeconds: 20,
		DeadlineSeconds: 900,
	}
	if shape == protocol.Service {
		j.Priority, j.EstimateSeconds = "critical", 0
	}
	return j
}

// submitMixture submits n jobs: services, arrays and gangs in turn.
func (c *cluster) submitMixture(n int) {
	for i := range n {
		switch i % 3 {
		case 0:
			c.submit(c.newJob(protocol.Service, 1+i%2, 2))
		case 1:
			c.submit(c.newJob(protocol.Array, 3, 1))
		case 2:
			c.submit(c.newJob(protocol.Gang, 2, 2))
		}
	}
}
