// Package actor provides what the actors of a controller are made of.
//
// An actor is one goroutine that owns its state. Others communicate with it only by putting
// messages into its mailbox, so the state machine that it drives needs no lock.
package actor

import (
	"context"
	"sync"
	"time"
)

// Mailbox is an unbounded queue with one reader. Senders never block, so actors that send to each
// other cannot deadlock. Send is safe for concurrent use.
type Mailbox[M any] struct {
	mu    sync.Mutex
	queue []M
	wake  chan struct{} // has a token when messages may be waiting
}

// NewMailbox returns an empty mailbox.
func NewMailbox[M any]() *Mailbox[M] {
	return &Mailbox[M]{wake: make(chan struct{}, 1)}
}

// Send appends a message. It does not block.
func (b *Mailbox[M]) Send(m M) {
	b.mu.Lock()
	b.queue = append(b.queue, m)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Drain removes and returns all messages that are waiting, in the order in which they were sent.
func (b *Mailbox[M]) Drain() []M {
	b.mu.Lock()
	defer b.mu.Unlock()
	messages := b.queue
	b.queue = nil
	return messages
}

// Run passes every message to step, and calls tick after each batch of messages and at least once
// per interval, until the context ends. Both are called on the caller's goroutine.
func (b *Mailbox[M]) Run(ctx context.Context, interval time.Duration, step func(M), tick func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-ticker.C:
		}
		// Messages are processed before the tick whichever woke the actor, so that decisions do not
		// depend on which of the two is received first. Messages that have arrived together are decided
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

// Every returns a function that calls f if at least the interval has passed since the last call of
// f, or since Every was called. It paces the ticks of a Mailbox, which are more frequent while
// messages arrive. now is the clock.
func Every(interval time.Duration, now func() time.Duration, f func(now time.Duration)) func() {
	last := now()
	return func() {
		if t := now(); t-last >= interval {
			last = t
			f(t)
		}
	}
}
