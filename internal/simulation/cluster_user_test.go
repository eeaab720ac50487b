package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
)

// allTasksDone reports whether all tasks of a job are done.
func (l *cluster) allTasksDone(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.world.Jobs[id].TaskCount {
		if !l.world.Done[protocol.TaskID{JobID: id, Index: i}] {
			return false
		}
	}
	return true
}

// dependencies returns the dependencies of a job.
func (l *cluster) dependencies(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.world.Jobs[id]; j != nil {
		return j.Dependencies
	}
	return nil
}

// recordCancelled records that a user was told that a job is cancelled.
func (l *cluster) recordCancelled(id string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.Cancelled[id] = at
	l.occurred["cancelled"]++
}

// request sends a user's request to a controller, and has the answer checked.
func (l *cluster) request(n *controller, kind, id string) (int, protocol.JobStatus) {
	l.mu.Lock()
	job := l.world.Jobs[id]
	l.mu.Unlock()
	return l.users.Request(l.ctx, n.ip+":8080", kind, id, job)
}

// requestAndVerify is like request. With queryAfterAnswers, once a job was accepted, done or cancelled, all controllers
// are queried about it several times within milliseconds, and get its submission again.
func (l *cluster) requestAndVerify(n *controller, kind, id string) (int, protocol.JobStatus) {
	status, st := l.request(n, kind, id)
	l.mu.Lock()
	looks := l.queryAfterAnswers && (kind != RequestQuery || st.State.Final()) && (status == 200 || status == 201)
	l.mu.Unlock()
	if looks {
		l.recordOccurrence("looks")
		for _, o := range l.controllers {
			for i := range 3 {
				l.spawn(func() {
					time.Sleep(time.Duration(i)*3*ms + l.randomDuration(fmt.Sprint("look ", i, o.name, id), ms))
					l.request(o, RequestQuery, id)
				})
			}
			l.spawn(func() {
				time.Sleep(l.randomDuration("submit again "+o.name+id, ms))
				l.request(o, RequestSubmit, id)
			})
		}
	}
	return status, st
}

// anyController returns the controller that a load balancer chooses for a request about a job.
func (l *cluster) anyController(id string) *controller {
	return l.controllers[l.randomInt("any "+id, len(l.controllers))]
}

// submit has a user submit a job and query it until it is over. The user repeats requests that fail.
func (l *cluster) submit(j protocol.Job) { l.submitAfter(j, nil, nil) }

// submitAfter is like submit for a job that is submitted once others are accepted. accepted, if not nil, is closed when
// the job is accepted.
func (l *cluster) submitAfter(j protocol.Job, others []chan struct{}, accepted chan struct{}) {
	l.mu.Lock()
	l.world.Jobs[j.ID] = &j
	l.jobIDs = append(l.jobIDs, j.ID)
	l.mu.Unlock()
	l.spawn(func() {
		for _, other := range others {
			select {
			case <-other:
			case <-l.ctx.Done():
				return
			}
		}
		for l.ctx.Err() == nil {
			if status, _ := l.requestAndVerify(
				l.anyController(j.ID),
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
		l.pollUntilFinal(j.ID)
	})
}

// pollInBackground has a user query an accepted job until it is over.
func (l *cluster) pollInBackground(id string) { l.spawn(func() { l.pollUntilFinal(id) }) }

// pollUntilFinal has a user query a job until it is over.
func (l *cluster) pollUntilFinal(id string) {
	for l.ctx.Err() == nil {
		if status, st := l.requestAndVerify(l.anyController(id), RequestQuery, id); status == 200 && st.State.Final() {
			return
		}
		time.Sleep(4*time.Second + l.randomDuration("poll "+id, 2*time.Second))
	}
}

// cancelUntilFinal has a user cancel a job at the given controllers until one says that the job is over, or until the
// time is up. It returns whether the user was told that the job is cancelled.
func (l *cluster) cancelUntilFinal(id string, at []*controller, within time.Duration) bool {
	end := l.now() + within
	for l.ctx.Err() == nil && l.now() < end {
		if status, st := l.requestAndVerify(
			at[l.randomInt("cancel "+id, len(at))],
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
func (l *cluster) newJob(shape protocol.Shape, tasks int, gpus float64) protocol.Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := fmt.Sprintf("j-%06d", len(l.jobIDs))
	j := protocol.Job{
		ID:        id,
		Class:     string(shape),
		Team:      []string{"red", "blue"}[l.randomInt("team "+id, 2)],
		Shape:     shape,
		Priority:  "normal",
		TaskCount: tasks,
		CPUs:      4,
		GPUs:      gpus,
		MemoryGB:  16,
		Image: fmt.Sprintf(
			"img-%d",
			l.randomInt("image "+id, 3),
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
func (l *cluster) submitMixture(n int) {
	for i := range n {
		switch i % 3 {
		case 0:
			l.submit(l.newJob(protocol.Service, 1+i%2, 2))
		case 1:
			l.submit(l.newJob(protocol.Array, 3, 1))
		case 2:
			l.submit(l.newJob(protocol.Gang, 2, 2))
		}
	}
}
