//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
)

// errNoAnswer is returned if a user got no decisive answer in the time that the protocol gives a submission.
var errNoAnswer = errors.New("no decisive answer")

const maxTrying = time.Minute

// request sends a request to the controllers in turn, as the load balancer would, until an answer is decisive.
func (l *lab) request(kind, id string, job *protocol.Job) (int, protocol.JobStatus, error) {
	for i, start := 0, l.now(); l.now()-start < maxTrying && l.ctx.Err() == nil; i++ {
		c := l.controllers[i%len(l.controllers)]
		status, answer := l.users.Request(l.ctx, c.addr, kind, id, job)
		if status != http.StatusServiceUnavailable || i%10 == 0 {
			l.record("user: %s of %s at %s: %d %s", kind, id, c.name, status, answer.State)
		}
		switch status {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusNotFound,
			http.StatusUnprocessableEntity:
			return status, answer, nil
		}
		l.sleep(requestInterval)
	}
	return 0, protocol.JobStatus{}, fmt.Errorf("%w to the %s of %s", errNoAnswer, kind, id)
}

// submit submits a job until it is accepted.
func (l *lab) submit(job protocol.Job) error {
	l.mu.Lock()
	l.jobs[job.ID] = &job
	l.mu.Unlock()
	status, _, err := l.request(simulation.RequestSubmit, job.ID, &job)
	if err == nil && status != http.StatusCreated && status != http.StatusOK {
		err = fmt.Errorf("submission of %s was answered with %d", job.ID, status)
	}
	return err
}

// state returns the state of a job that a controller reports, or "" without an answer.
func (l *lab) state(id string) protocol.JobState {
	_, answer, err := l.request(simulation.RequestQuery, id, nil)
	if err != nil {
		return ""
	}
	return answer.State
}

// sleep waits for d or until the lab stops.
func (l *lab) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-l.ctx.Done():
	}
}

// waitUntil waits until a condition holds, which is checked with mu held. It returns an error after the limit.
func (l *lab) waitUntil(what string, limit time.Duration, condition func() bool) error {
	for start := l.now(); l.now()-start < limit; l.sleep(modelInterval) {
		l.mu.Lock()
		ok := condition()
		l.mu.Unlock()
		if ok {
			l.record("seen: %s", what)
			return nil
		}
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// waitForFleet waits until every machine has had an answer to a report.
func (l *lab) waitForFleet() error {
	return l.waitUntil("every machine's report was answered", 30*time.Second, func() bool {
		return len(l.answered) == len(l.site.machineZones)
	})
}

// otherRules returns the rules that the project's own checkers of tasks and answers found broken.
func (l *lab) otherRules() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(append([]string{}, l.world.Violations...), l.checker.Violations()...)
}

func jobID(number int) string { return fmt.Sprintf("j-%06d", number) }
