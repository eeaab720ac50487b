// Package random is where a process draws its random numbers. What is drawn depends on a seed, on
// what it is for and on the moment, and not on which goroutine asks first: a test that gives the
// seed and simulates time draws the same numbers in every run.
package random

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"pinebay/internal/actor"
)

// Source draws random numbers. It holds no state but its seed, so any number of goroutines may use
// it at a time.
type Source struct{ seed uint64 }

// New returns the source of a seed.
func New(seed uint64) *Source { return &Source{seed: seed} }

// NewSystemSeeded returns a source with a seed of the system's.
func NewSystemSeeded() *Source { return New(rand.Uint64()) }

// Named returns a source of its own for a part of what draws from this one.
func (s *Source) Named(name string) *Source { return New(s.seed ^ hash(name)) }

// For returns the numbers for a purpose at this moment. Whoever asks twice for the same purpose at
// the same moment gets the same numbers.
func (s *Source) For(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed^hash(purpose), uint64(time.Now().UnixNano())))
}

// UpTo draws a duration below the given one.
func (s *Source) UpTo(purpose string, d time.Duration) time.Duration {
	return time.Duration(s.For(purpose).Float64() * float64(d))
}

// Pause waits for about d, give or take a half, or until the context ends.
func (s *Source) Pause(ctx context.Context, purpose string, d time.Duration) {
	_ = actor.Sleep(ctx, d/2+s.UpTo(purpose, d)) // whoever paused looks at the context
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text) // a hash takes whatever it is given
	return h.Sum64()
}
