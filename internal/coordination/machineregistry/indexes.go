package machineregistry

import (
	"github.com/tidwall/btree"
)

// MachineSet is a set of machines in name order.
type MachineSet = btree.BTreeG[*Machine]

// indexes holds sets of machines for the lookups that callers need, so that they do not have to scan all machines.
// Every change of the registry updates them.
type indexes struct {
	withImage              map[string]*MachineSet
	fetching               map[string]*MachineSet      // the subset of withImage in which the image is not confirmed
	byPriority             [PriorityLevels]*MachineSet // machines with placements of each priority level
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

// TakeChangedMachines returns the machines whose free capacity, type or schedulability may have changed since the
// last call, including removed machines. Changes that result only from the passage of time are not included: missed
// heartbeats and the end of Machine.UnresponsiveUntil.
func (r *Registry) TakeChangedMachines() []*Machine {
	list := r.indexes.changedMachines
	r.indexes.changedMachines = nil
	for _, m := range list {
		m.listedAsChanged = false
	}
	return list
}

// markChanged adds a machine to the result of the next TakeChangedMachines.
func (r *Registry) markChanged(m *Machine) {
	if !m.listedAsChanged {
		m.listedAsChanged = true
		r.indexes.changedMachines = append(r.indexes.changedMachines, m)
	}
}

// TakeChangedTeams calls f for each team whose usage has changed since the last call, in no particular order.
func (r *Registry) TakeChangedTeams(f func(team string)) {
	for team := range r.indexes.changedTeams {
		f(team)
	}
	clear(r.indexes.changedTeams)
}

// setTeamUsage sets the usage of a team and records the change for TakeChangedTeams.
func (r *Registry) setTeamUsage(team string, usage Resources) {
	r.teamUsage[team] = usage
	r.indexes.changedTeams[team] = true
}

// MachinesWithImage returns the machines that have an image or are fetching it, or nil if there are none. The caller
// must not modify the set.
func (r *Registry) MachinesWithImage(image string) *MachineSet { return r.indexes.withImage[image] }

// MachinesFetching returns the machines that may still be fetching an image, or nil if there are none. The caller
// must not modify the set.
func (r *Registry) MachinesFetching(image string) *MachineSet { return r.indexes.fetching[image] }

// MachinesAtPriority returns the machines with placements at a priority level. The caller must not modify the set.
func (r *Registry) MachinesAtPriority(level int) *MachineSet { return r.indexes.byPriority[level] }

// MachinesWithStoppingPlacements returns the machines with placements that are being stopped. The caller must not
// modify the set.
func (r *Registry) MachinesWithStoppingPlacements() *MachineSet { return r.indexes.withStopping }

// EachWithInterruptionNotice calls f for every machine that has received an interruption notice from the cloud, in
// name order.
func (r *Registry) EachWithInterruptionNotice(f func(*Machine)) {
	r.indexes.withInterruptionNotice.Scan(func(m *Machine) bool {
		f(m)
		return true
	})
}

// setImage adds an entry to the image cache of a machine, or updates the indexes after the entry has changed.
func (r *Registry) setImage(m *Machine, image string, e *imageEntry) {
	m.images[image] = e
	addToSet(r.indexes.withImage, image, m)
	if e.confirmed {
		removeFromSet(r.indexes.fetching, image, m)
	} else {
		addToSet(r.indexes.fetching, image, m)
	}
}

// deleteImage removes an entry from the image cache of a machine and from the indexes.
func (r *Registry) deleteImage(m *Machine, image string) {
	delete(m.images, image)
	removeFromSet(r.indexes.withImage, image, m)
	removeFromSet(r.indexes.fetching, image, m)
}

// addToSet adds a machine to the set for a key, and creates the set if it does not exist.
func addToSet(sets map[string]*MachineSet, key string, m *Machine) {
	set := sets[key]
	if set == nil {
		set = newMachineSet()
		sets[key] = set
	}
	set.Set(m)
}

// removeFromSet removes a machine from the set for a key, and deletes the set if it becomes empty.
func removeFromSet(sets map[string]*MachineSet, key string, m *Machine) {
	set := sets[key]
	if set == nil {
		return
	}
	if set.Delete(m); set.Len() == 0 {
		delete(sets, key)
	}
}

// indexPlacement adds a placement to the usage of its machine and to the indexes.
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

// unindexPlacement reverts indexPlacement.
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

// indexStopping updates the usage and the indexes after an indexed placement has started to stop.
func (r *Registry) indexStopping(pl *Placement) {
	m := r.machines[pl.Machine]
	if m == nil || m.placements[pl.Task] != pl {
		return
	}
	m.usage.stopping.add(pl.Resources)
	r.indexes.withStopping.Set(m)
}

// unindexMachine removes a machine that is being removed from the registry from all indexes.
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
