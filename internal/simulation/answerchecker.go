package simulation

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"pinebay/internal/protocol"
)

// The kinds of users' requests.
const (
	RequestSubmit = "submission"
	RequestQuery  = "question"
	RequestCancel = "cancellation"
)

// AnswerChecker checks the answers that users get, from any controller. It remembers every answer that later ones must
// agree with, and records a violation for each that breaks a rule of the protocol. It is safe for concurrent use.
type AnswerChecker struct {
	// AllTasksDone returns whether all tasks of a job are done.
	AllTasksDone func(id string) bool
	// OnCancelled is called when a user is told for the first time that a job is cancelled.
	OnCancelled func(id string, at time.Duration)
	// Dependencies, if set, returns the dependencies of a job.
	Dependencies func(id string) []string
	// CancelTimeout is how long a job may still be called queued after a user was told that a dependency is cancelled.
	CancelTimeout time.Duration
	// BindingAnswers is the number of answers with a status of a job.
	BindingAnswers int

	mu              sync.Mutex
	submitted       map[string]bool
	cancelRequested map[string]bool
	accepted        map[string]time.Duration // when a user was first told so
	finals          map[string]finalAnswer
	answered        map[string]time.Duration // when a request about the job was last answered
	violations      []string
}

// finalAnswer is the first answer with a final state.
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

// RecordRequest records that a user sends a request.
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

// RecordAnswer checks the answer to a request about a job. An answer must agree with those that users had received when
// the request was sent; and two different final states never agree.
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
	c.BindingAnswers++
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

// checkState checks the state of a job in an answer. The caller holds c.mu.
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
		violation("went_back", "cancelled, though nobody asked for it")
	case state != protocol.JobCancelled && c.orphaned(id, now):
		violation("orphaned", "a %s got %s long after a job before it was cancelled", kind, state)
	case state == protocol.JobDone && !c.AllTasksDone(id):
		violation("not_done", "a %s got done", kind)
	}
}

// recordFinal remembers the first answer with a final state. The caller holds c.mu.
func (c *AnswerChecker) recordFinal(id string, now time.Duration, state protocol.JobState) {
	if _, ended := c.finals[id]; ended || !state.Final() {
		return
	}
	c.finals[id] = finalAnswer{state: state, at: now}
	if state == protocol.JobCancelled {
		c.OnCancelled(id, now)
	}
}

// walkDependencies calls visit for a job and all its direct and indirect dependencies, until visit returns false.
func (c *AnswerChecker) walkDependencies(id string, visit func(id string) bool) {
	seen := map[string]bool{id: true}
	for stack := []string{id}; len(stack) > 0; {
		at := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if !visit(at) {
			return
		}
		if c.Dependencies == nil {
			continue
		}
		for _, dependency := range c.Dependencies(at) {
			if !seen[dependency] {
				seen[dependency] = true
				stack = append(stack, dependency)
			}
		}
	}
}

// cancellationRequested returns whether a user has asked to cancel a job or one of its dependencies.
func (c *AnswerChecker) cancellationRequested(id string) (requested bool) {
	c.walkDependencies(id, func(at string) bool {
		requested = requested || c.cancelRequested[at]
		return !requested
	})
	return requested
}

// orphaned returns whether a user was told long ago that a dependency of a job is cancelled.
func (c *AnswerChecker) orphaned(id string, now time.Duration) (orphaned bool) {
	c.walkDependencies(id, func(at string) bool {
		final, ended := c.finals[at]
		cancelled := ended && final.state == protocol.JobCancelled && now > final.at+c.CancelTimeout
		orphaned = orphaned || at != id && cancelled
		return !orphaned
	})
	return orphaned
}

// Unanswered returns the accepted jobs about which no request was answered since the given time.
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

// FinalState returns the final state of a job, if a user was told one.
func (c *AnswerChecker) FinalState(id string) (protocol.JobState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	final, ok := c.finals[id]
	return final.state, ok
}

// Violations returns the violations so far.
func (c *AnswerChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.violations...)
}
