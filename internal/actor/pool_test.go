package actor

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestPool checks that work items are started in the order in which they were added, that no more than the limit run
// concurrently, and that all of them are processed.
func TestPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, items = 3, 40
		started := make(chan int, items)
		p := NewPool(limit, func(n int) {
			started <- n
			time.Sleep(time.Second)
		})
		start := time.Now()
		for n := range items {
			p.Add(n)
		}
		var order []int
		for range items {
			order = append(order, <-started)
		}
		// Items that start at the same time may do so in any order.
		for i := 0; i+limit <= items; i += limit {
			slices.Sort(order[i : i+limit])
		}
		if !slices.IsSorted(order) {
			t.Errorf("items started in the order %v", order)
		}
		if took, want := time.Since(start), time.Duration((items-1)/limit)*time.Second; took != want {
			t.Errorf("the last item started after %v, want %v", took, want)
		}
		time.Sleep(2 * time.Second)
		p.Add(items)
		if n := <-started; n != items {
			t.Errorf("item %d started after the pool was idle, want %d", n, items)
		}
		time.Sleep(2 * time.Second)
	})
}
