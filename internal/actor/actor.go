// Package actor holds the mailbox that every actor of the daemon reads from.
//
// An actor is one goroutine that owns its state. Others speak to it only by
// putting messages into its mailbox, so no state machine needs a lock.
package actor

import (
	"context"
	"sync"
	"time"
)

// Mailbox is an unbounded queue with one reader. Senders never block, so two
// actors that speak to each other cannot wait in a circle.
type Mailbox[M any] struct {
	mu    sync.Mutex
	queue []M
	wake  chan struct{}
}

// NewMailbox returns an empty mailbox.
func NewMailbox[M any]() *Mailbox[M] {
	return &Mailbox[M]{wake: make(chan struct{}, 1)}
}

// Send appends a message.
func (b *Mailbox[M]) Send(m M) {
	b.mu.Lock()
	b.queue = append(b.queue, m)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Drain removes and returns all messages that are waiting.
func (b *Mailbox[M]) Drain() []M {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queue
	b.queue = nil
	return q
}

// Run hands every message to step, and calls tick at least once per interval,
// until the context ends. Both run on the caller's goroutine.
func (b *Mailbox[M]) Run(ctx context.Context, interval time.Duration, step func(M), tick func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-t.C:
		}
		// Messages go before the tick whichever woke us, so that what is decided does not depend on
		// which of the two that are due is looked at first. Messages that came together are decided
		// on together.
		for _, m := range b.Drain() {
			if ctx.Err() != nil {
				return
			}
			step(m)
		}
		tick()
	}
}
