package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"pinebay/internal/coordination/failuredetector"
)

// Member is a controller that owns machines, in one incarnation.
type Member struct {
	Controller  string
	Incarnation failuredetector.Incarnation
}

// Table says who owns which machines in an epoch. It is never changed, so that other actors may read it. The owners
// follow from the members by rendezvous hashing: a change of one moves the machines of that one alone.
type Table struct {
	Epoch   uint64
	members []Member
	hash    *rendezvous.Rendezvous
}

// NewTable returns the table of an epoch.
func NewTable(epoch uint64, members []Member) *Table {
	t := &Table{Epoch: epoch, members: slices.Clone(members)}
	nodes := make([]string, len(members))
	for i, m := range members {
		nodes[i] = m.Controller
	}
	slices.Sort(nodes)
	t.hash = rendezvous.New(nodes, xxhash.Sum64String)
	return t
}

// Members returns the controllers that own machines.
func (t *Table) Members() []Member { return slices.Clone(t.members) }

// Member returns a controller's entry.
func (t *Table) Member(node string) (Member, bool) { return findMember(t.members, node) }

// findMember returns a controller's entry among members.
func findMember(members []Member, node string) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.Controller == node })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

// Owner returns the controller that owns a machine, or "" if nobody does.
func (t *Table) Owner(machine string) string { return t.hash.Lookup(machine) }
