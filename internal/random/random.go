// Package random provides random numbers that are reproducible in a simulation.
//
// A number depends only on the seed, the purpose for which it is drawn and the current time, but not on the order in
// which goroutines draw numbers. A test with a fixed seed and simulated time therefore gets the same numbers in every
// run. Renaming a purpose changes the numbers that are drawn for it.
package random

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"pinebay/internal/actor"
)

// Source draws random numbers. Its only state is the seed. It is safe for concurrent use.
type Source struct{ seed uint64 }

// New returns a source with the given seed.
func New(seed uint64) *Source { return &Source{seed: seed} }

// NewSystemSeeded returns a source with a random seed.
func NewSystemSeeded() *Source { return New(rand.Uint64()) }

// Derive returns an independent source for a component. Its seed is derived from the seed of s and the name.
func (s *Source) Derive(name string) *Source { return New(s.seed ^ hash(name)) }

// For returns a generator for a purpose at the current time. It returns the same sequence of numbers whenever it is
// called for the same purpose at the same time.
func (s *Source) For(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed^hash(purpose), uint64(time.Now().UnixNano())))
}

// UpTo returns a random duration in [0, limit).
func (s *Source) UpTo(purpose string, limit time.Duration) time.Duration {
	return time.Duration(s.For(purpose).Float64() * float64(limit))
}

// Pause waits for a random duration in [d/2, 3d/2). It returns early if ctx ends.
func (s *Source) Pause(ctx context.Context, purpose string, d time.Duration) {
	_ = actor.Sleep(ctx, d/2+s.UpTo(purpose, d)) // callers check ctx themselves
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text) // hash.Hash.Write never returns an error
	return h.Sum64()
}
