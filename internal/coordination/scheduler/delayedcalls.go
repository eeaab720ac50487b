package scheduler

import "time"

// delayedCalls are functions to be called at a later time, from the tick that follows it.
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

// run calls what is due, in the order in which it was added. Calls may add others, which are not run before the
// next tick.
func (d *delayedCalls) run(now time.Duration) {
	if len(d.calls) == 0 {
		return
	}
	calls := d.calls
	d.calls = nil
	for _, c := range calls {
		if now < c.at {
			d.calls = append(d.calls, c)
			continue
		}
		c.call(now)
	}
}
