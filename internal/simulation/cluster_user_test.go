package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
)

// allTasksDone reports whether all tasks of a job are done.
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

// request sends a user's request to a controller, and has the answer checked.
func (c *cluster) request(n *controller, kind, id string) (int, protocol.JobStatus) {
	c.mu.Lock()
	job := c.world.Jobs[id]
	c.mu.Unlock()
	return c.users.Request(c.ctx, n.ip+":8080", kind, id, job)
}

// requestAndVerify is like request. With queryAfterAnswers, once a job was accepted, done or cancelled, all controllers
// are queried about it several times within milliseconds, and get its submission again.
func (c *cluster) requestAndVerify(n *controller, kind, id string) (int, protocol.JobStatus) {
	status, st := c.request(n, kind, id)
	c.mu.Lock()
	looks := c.queryAfterAnswers && (kind != RequestQuery || st.State.Final()) && (status == 200 || status == 201)
	c.mu.Unlock()
	if looks {
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

// anyController returns the controller that a load balancer chooses for a request about a job.
func (c *cluster) anyController(id string) *controller {
	return c.controllers[c.randomInt("any "+id, len(c.controllers))]
}

// submit has a user submit a job and query it until it is over. The user repeats requests that fail.
func (c *cluster) submit(j protocol.Job) { c.submitAfter(j, nil, nil) }

// submitAfter is like submit for a job that is submitted once others are accepted. accepted, if not nil, is closed when
// the job is accepted.
func (c *cluster) submitAfter(j protocol.Job, others []chan struct{}, accepted chan struct{}) {
	c.mu.Lock()
	c.world.Jobs[j.ID] = &j
	c.jobIDs = append(c.jobIDs, j.ID)
	c.mu.Unlock()
	c.spawn(func() {
		for _, other := range others {
			select {
			case <-other:
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

// pollInBackground has a user query an accepted job until it is over.
func (c *cluster) pollInBackground(id string) { c.spawn(func() { c.pollUntilFinal(id) }) }

// pollUntilFinal has a user query a job until it is over.
func (c *cluster) pollUntilFinal(id string) {
	for c.ctx.Err() == nil {
		if status, st := c.requestAndVerify(c.anyController(id), RequestQuery, id); status == 200 && st.State.Final() {
			return
		}
		time.Sleep(4*time.Second + c.randomDuration("poll "+id, 2*time.Second))
	}
}

// cancelUntilFinal has a user cancel a job at the given controllers until one says that the job is over, or until the
// time is up. It returns whether the user was told that the job is cancelled.
func (c *cluster) cancelUntilFinal(id string, at []*controller, within time.Duration) bool {
	end := c.now() + within
	for c.ctx.Err() == nil && c.now() < end {
		if status, st := c.requestAndVerify(
			at[c.randomInt("cancel "+id, len(at))],
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

// newJob returns a job of a shape with a new id.
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

// submitMixture submits n jobs of all shapes.
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
