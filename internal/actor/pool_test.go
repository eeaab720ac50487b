package actor

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestPool: work begins in the order in which it was given, no more than so many pieces at a time,
// and all of it is done.
func TestPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most, pieces = 3, 40
		began := make(chan int, pieces)
		p := NewPool(most, func(n int) {
			began <- n
			time.Sleep(time.Second)
		})
		start := time.Now()
		for n := range pieces {
			p.Add(n)
		}
		var order []int
		for range pieces {
			order = append(order, <-began)
		}
		// Those that begin at one moment do so in no order.
		for i := 0; i+most <= pieces; i += most {
			slices.Sort(order[i : i+most])
		}
		if !slices.IsSorted(order) {
			t.Errorf("began as %v", order)
		}
		if took, want := time.Since(start), time.Duration((pieces-1)/most)*time.Second; took != want {
			t.Errorf("the last began after %v, want %v", took, want)
		}
		time.Sleep(2 * time.Second)
		p.Add(pieces)
		if n := <-began; n != pieces {
			t.Errorf("%d, after it had come to rest", n)
		}
		time.Sleep(2 * time.Second)
	})
}
