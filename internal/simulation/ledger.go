package simulation

import (
	"fmt"
	"sync"
	"time"

	"pinebay/internal/protocol"
)

// Ledger watches over what users are told, by any controller: it keeps every answer
// that binds later ones, and notes each that breaks a rule of the protocol.
type Ledger struct {
	mu        sync.Mutex
	submitted map[string]bool
	asked     map[string]bool // to cancel
	accepted  map[string]time.Duration
	finals    map[string]final
	answered  map[string]time.Duration // when a question was last answered
	// AllDone says whether all tasks of a job are done, and ToldCancelled takes in
	// that a user was told.
	AllDone       func(id string) bool
	ToldCancelled func(id string, at time.Duration)
	// Awaits, if set, lists the jobs that a job awaits, and CancelS is how long after the cancellation of one
	// of them it may still be called queued.
	Awaits  func(id string) []string
	CancelS time.Duration
	Broken  []string
	// Told counts answers that bind.
	Told int
}

type final struct {
	standing protocol.Standing
	at       time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger(allDone func(string) bool, toldCancelled func(string, time.Duration)) *Ledger {
	return &Ledger{submitted: map[string]bool{}, asked: map[string]bool{}, accepted: map[string]time.Duration{},
		finals: map[string]final{}, answered: map[string]time.Duration{}, AllDone: allDone, ToldCancelled: toldCancelled}
}

// Kinds of users' requests.
const (
	Submits = "submission"
	Asks    = "question"
	Cancels = "cancellation"
)

// Sent notes that a user sends a request.
func (l *Ledger) Sent(kind, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch kind {
	case Submits:
		l.submitted[id] = true
	case Cancels:
		l.asked[id] = true
	}
}

// Answered takes in the answer to a request about a job. Only what somebody was told
// before the request was sent binds the answer; but two different final states never
// go together.
func (l *Ledger) Answered(kind, id string, sent, now time.Duration, status int, st protocol.JobStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := func(rule, format string, args ...any) {
		l.Broken = append(l.Broken, fmt.Sprintf("%s: %s at %v: ", rule, id, now)+fmt.Sprintf(format, args...))
	}
	at, ok := l.accepted[id]
	known := ok && at <= sent
	switch status {
	case 404, 400, 422:
		if known && (status == 404) == (kind != Submits) {
			broken("forgotten", "a %s got %d", kind, status)
		}
		return
	case 200, 201:
	default:
		return
	}
	l.Told++
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
	case over && st.Standing != f.standing && (f.at <= sent || st.Standing.Final()):
		broken("went_back", "a %s got %s after %s", kind, st.Standing, f.standing)
	case st.Standing == protocol.Cancelled && !l.askedBefore(id):
		broken("went_back", "cancelled, though nobody asked for it")
	case st.Standing != protocol.Cancelled && l.orphaned(id, now):
		broken("orphaned", "a %s got %s long after a job before it was cancelled", kind, st.Standing)
	case st.Standing == protocol.Done && !l.AllDone(id):
		broken("not_done", "a %s got done", kind)
	}
	if !over && st.Standing.Final() {
		l.finals[id] = final{st.Standing, now}
		if st.Standing == protocol.Cancelled {
			l.ToldCancelled(id, now)
		}
	}
}

// before calls f for a job and all that it awaits, directly or not, until it returns false.
func (l *Ledger) before(id string, f func(id string) bool) {
	seen := map[string]bool{id: true}
	for stack := []string{id}; len(stack) > 0; {
		at := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if !f(at) {
			return
		}
		if l.Awaits == nil {
			continue
		}
		for _, need := range l.Awaits(at) {
			if !seen[need] {
				seen[need] = true
				stack = append(stack, need)
			}
		}
	}
}

// askedBefore says whether a user has asked to cancel a job, or one that it awaits.
func (l *Ledger) askedBefore(id string) (asked bool) {
	l.before(id, func(at string) bool {
		asked = asked || l.asked[at]
		return !asked
	})
	return asked
}

// orphaned says whether a user was told long ago that a job is cancelled that this one awaits.
func (l *Ledger) orphaned(id string, now time.Duration) (orphaned bool) {
	l.before(id, func(at string) bool {
		f, over := l.finals[at]
		orphaned = orphaned || at != id && over && f.standing == protocol.Cancelled && now > f.at+l.CancelS
		return !orphaned
	})
	return orphaned
}

// Unanswered returns the accepted jobs about which no question was answered since
// the given time.
func (l *Ledger) Unanswered(since time.Duration) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.accepted {
		if _, over := l.finals[id]; !over && l.answered[id] < since {
			ids = append(ids, id)
		}
	}
	return ids
}

// Final returns the final state that users were told of a job.
func (l *Ledger) Final(id string) (protocol.Standing, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, ok := l.finals[id]
	return f.standing, ok
}

// Breaches returns the rules that were broken so far.
func (l *Ledger) Breaches() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.Broken...)
}
