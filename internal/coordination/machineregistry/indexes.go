package machineregistry

import (
	"github.com/tidwall/btree"
)

// MachineSet is a set of machines in name order.
type MachineSet = btree.BTreeG[*Machine]

// indexes are sets of machines by what callers look for, so that none has to walk all machines.
// Every change of the registry keeps them up to date.
type indexes struct {
	withImage              map[string]*MachineSet
	fetching               map[string]*MachineSet // of those, the machines whose copy is not confirmed
	byPriority             [PriorityLevels]*MachineSet
	withStopping           *MachineSet
	withInterruptionNotice *MachineSet

	changedMachines []*Machine
	changedTeams    map[string]bool
}

func newIndexes() indexes {
	x := indexes{
		changedTeams:           map[string]bool{},
		withImage:              map[string]*MachineSet{},
		fetching:               map[string]*MachineSet{},
		withStopping:           newMachineSet(),
		withInterruptionNotice: newMachineSet(),
	}
	for level := range x.byPriority {
		x.byPriority[level] = newMachineSet()
	}
	return x
}

func newMachineSet() *MachineSet {
	return btree.NewBTreeGOptions(func(a, b *Machine) bool { return a.Name < b.Name }, btree.Options{NoLocks: true})
}

// TakeChanged returns the machines whose free capacity, type or schedulability may have changed
// since the last call, removed ones among them. Conditions that end by the passage of time
// (silence, Machine.UnresponsiveUntil) are not noticed.
func (r *Registry) TakeChanged() []*Machine {
	list := r.indexes.changedMachines
	r.indexes.changedMachines = nil
	for _, m := range list {
		m.listedAsChanged = false
	}
	return list
}

func (r *Registry) markChanged(m *Machine) {
	if !m.listedAsChanged {
		m.listedAsChanged = true
		r.indexes.changedMachines = append(r.indexes.changedMachines, m)
	}
}

// TakeChangedTeams calls f for each team whose usage has changed since the last call, in no
// particular order.
func (r *Registry) TakeChangedTeams(f func(team string)) {
	for team := range r.indexes.changedTeams {
		f(team)
	}
	clear(r.indexes.changedTeams)
}

func (r *Registry) setTeamUsage(team string, usage Resources) {
	r.teamUsage[team] = usage
	r.indexes.changedTeams[team] = true
}

// MachinesWithImage returns the machines that have an image or are fetching it, or nil if there is
// none. The caller must not change the set.
func (r *Registry) MachinesWithImage(image string) *MachineSet { return r.indexes.withImage[image] }

// MachinesFetching returns the machines that may still be fetching an image, or nil if there is
// none. The caller must not change the set.
func (r *Registry) MachinesFetching(image string) *MachineSet { return r.indexes.fetching[image] }

// MachinesAtPriority returns the machines with placements of a priority level. The caller must not
// change the set.
func (r *Registry) MachinesAtPriority(level int) *MachineSet { return r.indexes.byPriority[level] }

// MachinesWithStopping returns the machines with placements that are to end. The caller must not
// change the set.
func (r *Registry) MachinesWithStopping() *MachineSet { return r.indexes.withStopping }

// EachWithInterruptionNotice calls f for every machine that the cloud has announced to take away,
// in name order.
func (r *Registry) EachWithInterruptionNotice(f func(*Machine)) {
	r.indexes.withInterruptionNotice.Scan(func(m *Machine) bool {
		f(m)
		return true
	})
}

// setImage puts an entry into a machine's image cache, or indexes the changed entry anew.
func (r *Registry) setImage(m *Machine, image string, e *imageEntry) {
	m.images[image] = e
	addToSet(r.indexes.withImage, image, m)
	if e.confirmed {
		removeFromSet(r.indexes.fetching, image, m)
	} else {
		addToSet(r.indexes.fetching, image, m)
	}
}

func (r *Registry) deleteImage(m *Machine, image string) {
	delete(m.images, image)
	removeFromSet(r.indexes.withImage, image, m)
	removeFromSet(r.indexes.fetching, image, m)
}

func addToSet(sets map[string]*MachineSet, key string, m *Machine) {
	set := sets[key]
	if set == nil {
		set = newMachineSet()
		sets[key] = set
	}
	set.Set(m)
}

func removeFromSet(sets map[string]*MachineSet, key string, m *Machine) {
	set := sets[key]
	if set == nil {
		return
	}
	if set.Delete(m); set.Len() == 0 {
		delete(sets, key)
	}
}

// indexPlacement counts a placement in its machine's usage and in the indexes.
func (r *Registry) indexPlacement(m *Machine, pl *Placement) {
	level := clampedPriorityLevel(pl)
	m.usage.byPriority[level].add(pl.Resources)
	r.indexes.byPriority[level].Set(m)
	if checkpointable(pl) {
		m.usage.checkpointable[level].add(pl.Resources)
	}
	if pl.Stopping {
		m.usage.stopping.add(pl.Resources)
		r.indexes.withStopping.Set(m)
	}
	r.markChanged(m)
}

// unindexPlacement undoes indexPlacement.
func (r *Registry) unindexPlacement(m *Machine, pl *Placement) {
	level := clampedPriorityLevel(pl)
	if m.usage.byPriority[level].remove(pl.Resources); m.usage.byPriority[level].count == 0 {
		r.indexes.byPriority[level].Delete(m)
	}
	if checkpointable(pl) {
		m.usage.checkpointable[level].remove(pl.Resources)
	}
	if pl.Stopping {
		if m.usage.stopping.remove(pl.Resources); m.usage.stopping.count == 0 {
			r.indexes.withStopping.Delete(m)
		}
	}
	r.markChanged(m)
}

// indexStopping counts a placement as stopping that was indexed before.
func (r *Registry) indexStopping(pl *Placement) {
	m := r.machines[pl.Machine]
	if m == nil || m.placements[pl.Task] != pl {
		return
	}
	m.usage.stopping.add(pl.Resources)
	r.indexes.withStopping.Set(m)
}

// unindexMachine takes a machine that is being removed out of all indexes.
func (r *Registry) unindexMachine(m *Machine) {
	m.removed = true
	for image := range m.images {
		r.deleteImage(m, image)
	}
	for level := range r.indexes.byPriority {
		r.indexes.byPriority[level].Delete(m)
	}
	r.indexes.withStopping.Delete(m)
	r.indexes.withInterruptionNotice.Delete(m)
	r.markChanged(m)
}
