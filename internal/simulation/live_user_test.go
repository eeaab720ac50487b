package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
)

// Users.

func (l *live) allDone(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.world.Jobs[id].Tasks {
		if !l.world.Done[protocol.TaskID{Job: id, Task: i}] {
			return false
		}
	}
	return true
}

func (l *live) awaits(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.world.Jobs[id]; j != nil {
		return j.Awaits
	}
	return nil
}

func (l *live) toldCancelled(id string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.Cancelled[id] = at
	l.happened["cancelled"]++
}

// request sends a user's request to a controller, and the ledger hears the answer.
func (l *live) request(n *controller, kind, id string) (int, protocol.JobStatus) {
	l.mu.Lock()
	job := l.world.Jobs[id]
	l.mu.Unlock()
	return l.users.Request(l.ctx, n.ip+":8080", kind, id, job)
}

// call is a user's request; with looks, all controllers are asked about the job at
// once and again within milliseconds after it was accepted, ended or cancelled, and
// the submission is repeated there.
func (l *live) call(n *controller, kind, id string) (int, protocol.JobStatus) {
	status, st := l.request(n, kind, id)
	l.mu.Lock()
	looks := l.looks && (kind != Asks || st.Standing.Final()) && (status == 200 || status == 201)
	l.mu.Unlock()
	if looks {
		l.note("looks")
		for _, o := range l.nodes {
			for i := range 3 {
				l.go_(func() {
					time.Sleep(time.Duration(i)*3*ms + l.upTo(fmt.Sprint("look ", i, o.name, id), ms))
					l.request(o, Asks, id)
				})
			}
			l.go_(func() {
				time.Sleep(l.upTo("submit again "+o.name+id, ms))
				l.request(o, Submits, id)
			})
		}
	}
	return status, st
}

// any returns a controller that a load balancer would choose for a request about a job.
func (l *live) any(id string) *controller { return l.nodes[l.draw("any "+id, len(l.nodes))] }

// user submits a job, asks for it until it is over, and repeats what is refused.
func (l *live) user(j protocol.Job) { l.userAfter(j, nil, nil) }

// userAfter is user for a job that is submitted only once others are accepted; accepted is closed when this
// one is.
func (l *live) userAfter(j protocol.Job, others []chan struct{}, accepted chan struct{}) {
	l.mu.Lock()
	l.world.Jobs[j.ID] = &j
	l.jobs = append(l.jobs, j.ID)
	l.mu.Unlock()
	l.go_(func() {
		for _, other := range others {
			select {
			case <-other:
			case <-l.ctx.Done():
				return
			}
		}
		for l.ctx.Err() == nil {
			if status, _ := l.call(l.any(j.ID), Submits, j.ID); status == 200 || status == 201 {
				break
			}
			time.Sleep(time.Second)
		}
		if accepted != nil {
			close(accepted)
		}
		l.poll(j.ID)
	})
}

// follow asks for an accepted job until it is over.
func (l *live) follow(id string) { l.go_(func() { l.poll(id) }) }

func (l *live) poll(id string) {
	for l.ctx.Err() == nil {
		if status, st := l.call(l.any(id), Asks, id); status == 200 && st.Standing.Final() {
			return
		}
		time.Sleep(4*time.Second + l.upTo("poll "+id, 2*time.Second))
	}
}

// cancel has a user call a job off at one of the controllers until told, or until
// the time is up.
func (l *live) cancel(id string, at []*controller, within time.Duration) bool {
	end := l.now() + within
	for l.ctx.Err() == nil && l.now() < end {
		if status, st := l.call(at[l.draw("cancel "+id, len(at))], Cancels, id); status == 200 && st.Standing.Final() {
			return st.Standing == protocol.Cancelled
		}
		time.Sleep(300 * ms)
	}
	return false
}

// job makes up a job of a shape.
func (l *live) job(shape protocol.Shape, tasks int, gpus float64) protocol.Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := fmt.Sprintf("j-%06d", len(l.jobs))
	j := protocol.Job{
		ID: id, Class: string(shape), Team: []string{"red", "blue"}[l.draw("team "+id, 2)], Shape: shape,
		Priority: "normal", Tasks: tasks, CPUs: 4, GPUs: gpus, MemoryGB: 16,
		Image: fmt.Sprintf("img-%d", l.draw("image "+id, 3)), ImageGB: 4, EstimateS: 20, DeadlineS: 900,
	}
	if shape == protocol.Service {
		j.Priority, j.EstimateS = "critical", 0
	}
	return j
}

// crew submits a mixture of jobs.
func (l *live) crew(n int) {
	for i := range n {
		switch i % 3 {
		case 0:
			l.user(l.job(protocol.Service, 1+i%2, 2))
		case 1:
			l.user(l.job(protocol.Array, 3, 1))
		case 2:
			l.user(l.job(protocol.Gang, 2, 2))
		}
	}
}
