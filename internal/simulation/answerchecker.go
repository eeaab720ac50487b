package simulation

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"pinebay/internal/protocol"
)

// Kinds of user requests.
const (
	RequestSubmit = "submission"
	RequestQuery  = "question"
	RequestCancel = "cancellation"
)

// AnswerChecker checks that the answers of all controllers to users are consistent with each other and with the rules
// of the protocol. It keeps what users have been told so far and records a violation for each answer that contradicts
// it. It is safe for concurrent use.
type AnswerChecker struct {
	// AllTasksDone reports whether all tasks of a job have completed.
	AllTasksDone func(id string) bool
	// OnCancelled is called when a user is told for the first time that a job is cancelled.
	OnCancelled func(id string, at time.Duration)
	// Dependencies, if set, returns the dependencies of a job.
	Dependencies func(id string) []string
	// CancelTimeout limits how long a job may be reported in another state after a user was told that one of its
	// dependencies is cancelled.
	CancelTimeout time.Duration
	// StatusAnswers is the number of answers that contained the status of a job.
	StatusAnswers int

	mu              sync.Mutex
	submitted       map[string]bool
	cancelRequested map[string]bool
	accepted        map[string]time.Duration // time of the first answer that shows the job as accepted
	finals          map[string]finalAnswer
	answered        map[string]time.Duration // time of the last answer with the job's status
	violations      []string
}

// finalAnswer is the first answer that gave a job a final state.
type finalAnswer struct {
	state protocol.JobState
	at    time.Duration
}

// NewAnswerChecker returns a checker that has seen no answers.
func NewAnswerChecker(allTasksDone func(string) bool, onCancelled func(string, time.Duration)) *AnswerChecker {
	return &AnswerChecker{
		AllTasksDone:    allTasksDone,
		OnCancelled:     onCancelled,
		submitted:       map[string]bool{},
		cancelRequested: map[string]bool{},
		accepted:        map[string]time.Duration{},
		finals:          map[string]finalAnswer{},
		answered:        map[string]time.Duration{},
	}
}

// RecordRequest records that a user is about to send a request. It must be called before the request is sent.
func (c *AnswerChecker) RecordRequest(kind, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch kind {
	case RequestSubmit:
		c.submitted[id] = true
	case RequestCancel:
		c.cancelRequested[id] = true
	}
}

// RecordAnswer checks and records the answer to a request about a job. An answer must be consistent with every answer
// that users had received by the time the request was sent. Two answers with different final states are a violation in
// any order.
func (c *AnswerChecker) RecordAnswer(
	kind, id string,
	sent, now time.Duration,
	status int,
	answer protocol.JobStatus,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	violation := func(rule, format string, args ...any) {
		text := fmt.Sprintf("%s: %s at %v: ", rule, id, now) + fmt.Sprintf(format, args...)
		c.violations = append(c.violations, text)
	}
	acceptedAt, accepted := c.accepted[id]
	switch status {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		rejectsSubmission := status != http.StatusNotFound
		if accepted && acceptedAt <= sent && rejectsSubmission == (kind == RequestSubmit) {
			violation("forgotten", "a %s got %d", kind, status)
		}
		return
	case http.StatusOK, http.StatusCreated:
	default:
		return
	}
	c.StatusAnswers++
	c.answered[id] = now
	if !c.submitted[id] {
		violation("invented", "a %s got %d", kind, status)
		return
	}
	if !accepted {
		c.accepted[id] = now
	}
	c.checkState(kind, id, sent, now, answer.State, violation)
	c.recordFinal(id, now, answer.State)
}

// checkState checks the job state in an answer against earlier answers. The caller holds c.mu.
func (c *AnswerChecker) checkState(
	kind, id string,
	sent, now time.Duration,
	state protocol.JobState,
	violation func(rule, format string, args ...any),
) {
	final, ended := c.finals[id]
	switch {
	case ended && state != final.state && (final.at <= sent || state.Final()):
		violation("went_back", "a %s got %s after %s", kind, state, final.state)
	case state == protocol.JobCancelled && !c.cancellationRequested(id):
		violation("went_back", "cancelled without a request to cancel it or a dependency")
	case state != protocol.JobCancelled && c.orphaned(id, now):
		violation("orphaned", "a %s got %s although a dependency was cancelled long before", kind, state)
	case state == protocol.JobDone && !c.AllTasksDone(id):
		violation("not_done", "a %s got done", kind)
	}
}

// recordFinal records the state if it is the first final one of the job. The caller holds c.mu.
func (c *AnswerChecker) recordFinal(id string, now time.Duration, state protocol.JobState) {
	if _, ended := c.finals[id]; ended || !state.Final() {
		return
	}
	c.finals[id] = finalAnswer{state: state, at: now}
	if state == protocol.JobCancelled {
		c.OnCancelled(id, now)
	}
}

// walkDependencies calls visit for a job and for each of its direct and indirect dependencies until visit returns
// false.
func (c *AnswerChecker) walkDependencies(id string, visit func(id string) bool) {
	seen := map[string]bool{id: true}
	for stack := []string{id}; len(stack) > 0; {
		current := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if !visit(current) {
			return
		}
		if c.Dependencies == nil {
			continue
		}
		for _, dependency := range c.Dependencies(current) {
			if !seen[dependency] {
				seen[dependency] = true
				stack = append(stack, dependency)
			}
		}
	}
}

// cancellationRequested reports whether a user has asked to cancel a job or one of its dependencies.
func (c *AnswerChecker) cancellationRequested(id string) (requested bool) {
	c.walkDependencies(id, func(job string) bool {
		requested = requested || c.cancelRequested[job]
		return !requested
	})
	return requested
}

// orphaned reports whether more than CancelTimeout has passed since a user was told that a dependency of a job is
// cancelled. The job itself must be cancelled by then.
func (c *AnswerChecker) orphaned(id string, now time.Duration) (orphaned bool) {
	c.walkDependencies(id, func(job string) bool {
		final, ended := c.finals[job]
		cancelled := ended && final.state == protocol.JobCancelled && now > final.at+c.CancelTimeout
		orphaned = orphaned || job != id && cancelled
		return !orphaned
	})
	return orphaned
}

// Unanswered returns the accepted jobs without a final state for which no answer with a status was received since the
// given time.
func (c *AnswerChecker) Unanswered(since time.Duration) (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.accepted {
		if _, ended := c.finals[id]; !ended && c.answered[id] < since {
			ids = append(ids, id)
		}
	}
	return ids
}

// FinalState returns the final state of a job, and false if no user was told one yet.
func (c *AnswerChecker) FinalState(id string) (protocol.JobState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	final, ok := c.finals[id]
	return final.state, ok
}

// Violations returns the violations that were found so far.
func (c *AnswerChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.violations...)
}
