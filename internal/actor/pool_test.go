package actor

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestPool checks that work starts in the order in which it was added, that no more than the limit
// runs at a time, and that all of it is done.
func TestPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, pieces = 3, 40
		started := make(chan int, pieces)
		p := NewPool(limit, func(n int) {
			started <- n
			time.Sleep(time.Second)
		})
		start := time.Now()
		for n := range pieces {
			p.Add(n)
		}
		var order []int
		for range pieces {
			order = append(order, <-started)
		}
		// Those that start at the same time do so in no particular order.
		for i := 0; i+limit <= pieces; i += limit {
			slices.Sort(order[i : i+limit])
		}
		if !slices.IsSorted(order) {
			t.Errorf("work started in the order %v", order)
		}
		if took, want := time.Since(start), time.Duration((pieces-1)/limit)*time.Second; took != want {
			t.Errorf("the last piece started after %v, want %v", took, want)
		}
		time.Sleep(2 * time.Second)
		p.Add(pieces)
		if n := <-started; n != pieces {
			t.Errorf("piece %d started after the pool was idle, want %d", n, pieces)
		}
		time.Sleep(2 * time.Second)
	})
}
