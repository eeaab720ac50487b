// Package actor provides the building blocks of a controller's actors.
//
// An actor is a goroutine that owns its state. Other goroutines communicate with it only by sending messages to its
// mailbox, so the state needs no locks.
package actor

import (
	"context"
	"sync"
	"time"
)

// Mailbox is an unbounded queue with a single reader. Senders never block, so actors that send messages to each other
// cannot deadlock. Send is safe for concurrent use.
type Mailbox[M any] struct {
	mu    sync.Mutex
	queue []M
	wake  chan struct{} // holds a value when messages may be waiting
}

// NewMailbox returns an empty mailbox.
func NewMailbox[M any]() *Mailbox[M] {
	return &Mailbox[M]{wake: make(chan struct{}, 1)}
}

// Send appends a message without blocking.
func (b *Mailbox[M]) Send(m M) {
	b.mu.Lock()
	b.queue = append(b.queue, m)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Drain removes and returns all waiting messages in the order in which they were sent.
func (b *Mailbox[M]) Drain() []M {
	b.mu.Lock()
	defer b.mu.Unlock()
	messages := b.queue
	b.queue = nil
	return messages
}

// Run calls step for every message, and tick after each batch of messages and at least once per interval, until ctx
// ends. Both are called on the caller's goroutine.
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
		// Messages are always processed before the tick, so that decisions do not depend on whether the message or the
		// timer is received first. A single tick follows messages that arrived together, so it takes all of them into
		// account.
		for _, m := range b.Drain() {
			if ctx.Err() != nil {
				return
			}
			step(m)
		}
		tick()
	}
}

// Throttle returns a function that calls f if at least interval has passed since its last call of f, or since Throttle
// was called. now is the clock. Use it to limit the frequency of work in the tick of a Mailbox, which is called more
// often while messages arrive.
func Throttle(interval time.Duration, now func() time.Duration, f func(now time.Duration)) func() {
	last := now()
	return func() {
		if t := now(); t-last >= interval {
			last = t
			f(t)
		}
	}
}
