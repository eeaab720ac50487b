package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"pinebay/internal/coordination/failuredetector"
)

// Member is an incarnation of a controller that owns machines.
type Member struct {
	Controller  string
	Incarnation failuredetector.Incarnation
}

// Table maps machines to their owners in one epoch, by rendezvous hashing of the members' names. A change of one member
// therefore moves only the machines of that member. A Table is immutable and safe for concurrent use.
type Table struct {
	Epoch   uint64
	members []Member
	hash    *rendezvous.Rendezvous
}

// NewTable returns the table for an epoch.
func NewTable(epoch uint64, members []Member) *Table {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Controller
	}
	slices.Sort(names)
	return &Table{
		Epoch:   epoch,
		members: slices.Clone(members),
		hash:    rendezvous.New(names, xxhash.Sum64String),
	}
}

// Members returns the controllers that own machines.
func (t *Table) Members() []Member { return slices.Clone(t.members) }

// Member returns the entry of a controller, and whether the controller owns machines.
func (t *Table) Member(controller string) (Member, bool) { return findMember(t.members, controller) }

func findMember(members []Member, controller string) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.Controller == controller })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

// Owner returns the controller that owns a machine, or "" if there is none.
func (t *Table) Owner(machine string) string { return t.hash.Lookup(machine) }
