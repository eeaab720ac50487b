package scheduler

import "time"

// delayedCalls holds functions to be called at a later time. The first tick at or after that time calls them.
type delayedCalls struct {
	calls []delayedCall
}

type delayedCall struct {
	at   time.Duration
	call func(now time.Duration)
}

func (d *delayedCalls) add(at time.Duration, call func(now time.Duration)) {
	d.calls = append(d.calls, delayedCall{at, call})
}

// run makes the calls that are due, in the order in which they were added. Calls that they add run with the next tick
// at the earliest.
func (d *delayedCalls) run(now time.Duration) {
	if len(d.calls) == 0 {
		return
	}
	calls := d.calls
	d.calls = nil
	for _, delayed := range calls {
		if now < delayed.at {
			d.calls = append(d.calls, delayed)
			continue
		}
		delayed.call(now)
	}
}
