package ownership

import (
	"fmt"
	"slices"
	"testing"
)

// TestRendezvousMovesFewestMachines checks that only the machines of a departed controller change owners, that they
// return to it when it is back, and that machines are distributed evenly.
func TestRendezvousMovesFewestMachines(t *testing.T) {
	members := []Member{
		member("a", 1, 0),
		member("b", 2, 0),
		member("c", 3, 0),
		member("d", 4, 0),
		member("e", 5, 0),
	}
	before := NewTable(1, members)
	without := NewTable(2, slices.Delete(slices.Clone(members), 2, 3))
	again := NewTable(3, []Member{members[4], members[2], members[0], members[3], member("b", 9, 0)})
	const machines = 4000
	counts := map[string]int{}
	for i := range machines {
		machine := fmt.Sprintf("host-%06d", i)
		owner := before.Owner(machine)
		counts[owner]++
		if moved := without.Owner(machine); owner != "c" && moved != owner {
			t.Fatalf("%s moved from %s to %s although only c left", machine, owner, moved)
		}
		if returned := again.Owner(machine); returned != owner {
			t.Fatalf("%s is owned by %s after all members returned, previously by %s", machine, returned, owner)
		}
	}
	for owner, n := range counts {
		if n < machines/len(members)*3/4 || n > machines/len(members)*5/4 {
			t.Errorf("%s owns %d of %d machines, want an even distribution", owner, n, machines)
		}
	}
	if owner := NewTable(1, nil).Owner("host-000001"); owner != "" {
		t.Errorf("%q owns a machine in an empty table, want no owner", owner)
	}
}
