// Package random provides random numbers that a simulation can reproduce.
//
// A number depends only on the seed, on its purpose and on the current time, and not on which
// goroutine asks first. A test that fixes the seed and simulates the time draws the same numbers
// in every run. The names of purposes are therefore part of the behaviour.
package random

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"pinebay/internal/actor"
)

// Source draws random numbers. It holds no state but its seed and is safe for concurrent use.
type Source struct{ seed uint64 }

// New returns the source of a seed.
func New(seed uint64) *Source { return &Source{seed: seed} }

// NewSystemSeeded returns a source whose seed the system has drawn.
func NewSystemSeeded() *Source { return New(rand.Uint64()) }

// Named returns an independent source for a component that draws from this one.
func (s *Source) Named(name string) *Source { return New(s.seed ^ hash(name)) }

// For returns a generator for a purpose at the current time. Generators for the same purpose at the
// same time return the same numbers.
func (s *Source) For(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed^hash(purpose), uint64(time.Now().UnixNano())))
}

// UpTo returns a random duration in [0, limit).
func (s *Source) UpTo(purpose string, limit time.Duration) time.Duration {
	return time.Duration(s.For(purpose).Float64() * float64(limit))
}

// Pause waits for a random duration in [d/2, 3d/2), or until the context ends.
func (s *Source) Pause(ctx context.Context, purpose string, d time.Duration) {
	_ = actor.Sleep(ctx, d/2+s.UpTo(purpose, d)) // callers check the context
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text) // writing to a hash never fails
	return h.Sum64()
}
