package simulation

import (
	"fmt"
	"sync"
	"time"

	"pinebay/internal/protocol"
)

// AnswerChecker watches over what users are told, by any controller: it keeps every answer
// that binds later ones, and notes each that breaks a rule of the protocol.
type AnswerChecker struct {
	mu              sync.Mutex
	submitted       map[string]bool
	cancelRequested map[string]bool // to cancel
	accepted        map[string]time.Duration
	finals          map[string]finalAnswer
	answered        map[string]time.Duration // when a question was last answered
	// AllTasksDone says whether all tasks of a job are done, and OnCancelled takes in
	// that a user was told.
	AllTasksDone func(id string) bool
	OnCancelled  func(id string, at time.Duration)
	// Dependencies, if set, lists the jobs that a job awaits, and CancelTimeout is how long after the cancellation of
	// one of them it may still be called queued.
	Dependencies  func(id string) []string
	CancelTimeout time.Duration
	violations    []string
	// BindingAnswers counts answers that bind.
	BindingAnswers int
}

type finalAnswer struct {
	state protocol.JobState
	at    time.Duration
}

// NewAnswerChecker returns an empty ledger.
func NewAnswerChecker(allDone func(string) bool, toldCancelled func(string, time.Duration)) *AnswerChecker {
	return &AnswerChecker{
		submitted:       map[string]bool{},
		cancelRequested: map[string]bool{},
		accepted:        map[string]time.Duration{},
		finals:          map[string]finalAnswer{},
		answered:        map[string]time.Duration{},
		AllTasksDone:    allDone,
		OnCancelled:     toldCancelled,
	}
}

// Kinds of users' requests.
const (
	RequestSubmit = "submission"
	RequestQuery  = "question"
	RequestCancel = "cancellation"
)

// RecordRequest notes that a user sends a request.
func (l *AnswerChecker) RecordRequest(kind, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch kind {
	case RequestSubmit:
		l.submitted[id] = true
	case RequestCancel:
		l.cancelRequested[id] = true
	}
}

// RecordAnswer takes in the answer to a request about a job. Only what somebody was told
// before the request was sent binds the answer; but two different final states never
// go together.
func (l *AnswerChecker) RecordAnswer(kind, id string, sent, now time.Duration, status int, st protocol.JobStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := func(rule, format string, args ...any) {
		l.violations = append(l.violations, fmt.Sprintf("%s: %s at %v: ", rule, id, now)+fmt.Sprintf(format, args...))
	}
	at, ok := l.accepted[id]
	known := ok && at <= sent
	switch status {
	case 404, 400, 422:
		if known && (status == 404) == (kind != RequestSubmit) {
			broken("forgotten", "a %s got %d", kind, status)
		}
		return
	case 200, 201:
	default:
		return
	}
	l.BindingAnswers++
	l.answered[id] = now
	if !l.submitted[id] {
		broken("invented", "a %s got %d", kind, status)
		return
	}
	if !ok {
		l.accepted[id] = now
	}
	f, over := l.finals[id]
	switch {
	case over && st.State != f.state && (f.at <= sent || st.State.Final()):
		broken("went_back", "a %s got %s after %s", kind, st.State, f.state)
	case st.State == protocol.JobCancelled && !l.cancellationRequested(id):
		broken("went_back", "cancelled, though nobody asked for it")
	case st.State != protocol.JobCancelled && l.orphaned(id, now):
		broken("orphaned", "a %s got %s long after a job before it was cancelled", kind, st.State)
	case st.State == protocol.JobDone && !l.AllTasksDone(id):
		broken("not_done", "a %s got done", kind)
	}
	if !over && st.State.Final() {
		l.finals[id] = finalAnswer{st.State, now}
		if st.State == protocol.JobCancelled {
			l.OnCancelled(id, now)
		}
	}
}

// walkDependencies calls f for a job and all that it awaits, directly or not, until it returns false.
func (l *AnswerChecker) walkDependencies(id string, f func(id string) bool) {
	seen := map[string]bool{id: true}
	for stack := []string{id}; len(stack) > 0; {
		at := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if !f(at) {
			return
		}
		if l.Dependencies == nil {
			continue
		}
		for _, need := range l.Dependencies(at) {
			if !seen[need] {
				seen[need] = true
				stack = append(stack, need)
			}
		}
	}
}

// cancellationRequested says whether a user has asked to cancel a job, or one that it awaits.
func (l *AnswerChecker) cancellationRequested(id string) (asked bool) {
	l.walkDependencies(id, func(at string) bool {
		asked = asked || l.cancelRequested[at]
		return !asked
	})
	return asked
}

// orphaned says whether a user was told long ago that a job is cancelled that this one awaits.
func (l *AnswerChecker) orphaned(id string, now time.Duration) (orphaned bool) {
	l.walkDependencies(id, func(at string) bool {
		f, over := l.finals[at]
		orphaned = orphaned || at != id && over && f.state == protocol.JobCancelled && now > f.at+l.CancelTimeout
		return !orphaned
	})
	return orphaned
}

// Unanswered returns the accepted jobs about which no question was answered since
// the given time.
func (l *AnswerChecker) Unanswered(since time.Duration) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.accepted {
		if _, over := l.finals[id]; !over && l.answered[id] < since {
			ids = append(ids, id)
		}
	}
	return ids
}

// FinalState returns the final state that users were told of a job.
func (l *AnswerChecker) FinalState(id string) (protocol.JobState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, ok := l.finals[id]
	return f.state, ok
}

// Violations returns the rules that were broken so far.
func (l *AnswerChecker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.violations...)
}
