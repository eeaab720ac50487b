package machineregistry

import (
	"github.com/tidwall/btree"

	"pinebay/internal/protocol"
)

// indexes are the machines by what is asked of them, so that whoever looks for some need not
// walk all. They are kept up by each change.
type indexes struct {
	changedMachines        []*Machine
	changedTeams           map[string]bool // whose usage has changed
	withImage              map[string]*MachineSet
	fetching               map[string]*MachineSet // those of them of which it is not certain that they have it
	byPriority             [PriorityLevels]*MachineSet
	withStopping           *MachineSet
	withInterruptionNotice *MachineSet
}

// MachineSet is a set of machines in name order.
type MachineSet = btree.BTreeG[*Machine]

func newMachineSet() *MachineSet {
	return btree.NewBTreeGOptions(func(a, b *Machine) bool { return a.Name < b.Name }, btree.Options{NoLocks: true})
}

func newIndexes() indexes {
	v := indexes{
		changedTeams:           map[string]bool{},
		withImage:              map[string]*MachineSet{},
		fetching:               map[string]*MachineSet{},
		withStopping:           newMachineSet(),
		withInterruptionNotice: newMachineSet(),
	}
	for level := range v.byPriority {
		v.byPriority[level] = newMachineSet()
	}
	return v
}

// TakeChanged returns the machines whose room, type or openness may have changed since it was last
// called, those that are lost among them.
func (p *Registry) TakeChanged() []*Machine {
	list := p.indexes.changedMachines
	p.indexes.changedMachines = nil
	for _, m := range list {
		m.listedAsChanged = false
	}
	return list
}

// markChanged notes that a machine's room, type or openness may have changed.
func (p *Registry) markChanged(m *Machine) {
	if !m.listedAsChanged {
		m.listedAsChanged = true
		p.indexes.changedMachines = append(p.indexes.changedMachines, m)
	}
}

// TakeChangedTeams calls f for each team whose usage has changed since it was last called, in no
// order.
func (p *Registry) TakeChangedTeams(f func(team string)) {
	for team := range p.indexes.changedTeams {
		f(team)
	}
	clear(p.indexes.changedTeams)
}

func (p *Registry) setTeamUsage(team string, usage Resources) {
	p.teamUsage[team] = usage
	p.indexes.changedTeams[team] = true
}

// MachinesWithImage returns the machines that have an image or fetch it, or nil. It must not be changed.
func (p *Registry) MachinesWithImage(image string) *MachineSet { return p.indexes.withImage[image] }

// MachinesFetching returns the machines of which it is not certain that they have an image that they
// fetch, or nil. It must not be changed.
func (p *Registry) MachinesFetching(image string) *MachineSet { return p.indexes.fetching[image] }

// MachinesAtPriority returns the machines with placements of a level. It must not be changed.
func (p *Registry) MachinesAtPriority(level int) *MachineSet { return p.indexes.byPriority[level] }

// MachinesWithStopping returns the machines with placements that are to end. It must not be changed.
func (p *Registry) MachinesWithStopping() *MachineSet { return p.indexes.withStopping }

// EachWithInterruptionNotice calls f for every machine that the cloud is about to take away, in name order.
func (p *Registry) EachWithInterruptionNotice(f func(*Machine)) {
	p.indexes.withInterruptionNotice.Scan(func(m *Machine) bool {
		f(m)
		return true
	})
}

// setImage notes that a machine has an image or fetches it.
func (p *Registry) setImage(m *Machine, name string, im *imageEntry) {
	m.images[name] = im
	addToSet(p.indexes.withImage, name, m)
	if im.confirmed {
		removeFromSet(p.indexes.fetching, name, m)
	} else {
		addToSet(p.indexes.fetching, name, m)
	}
}

// deleteImage forgets a machine's copy of an image.
func (p *Registry) deleteImage(m *Machine, name string) {
	delete(m.images, name)
	removeFromSet(p.indexes.withImage, name, m)
	removeFromSet(p.indexes.fetching, name, m)
}

func addToSet(sets map[string]*MachineSet, name string, m *Machine) {
	set := sets[name]
	if set == nil {
		set = newMachineSet()
		sets[name] = set
	}
	set.Set(m)
}

func removeFromSet(sets map[string]*MachineSet, name string, m *Machine) {
	set := sets[name]
	if set == nil {
		return
	}
	if set.Delete(m); set.Len() == 0 {
		delete(sets, name)
	}
}

// clampedPriorityLevel is the level by which a placement is counted.
func clampedPriorityLevel(pl *Placement) int { return min(max(pl.PriorityLevel, 0), PriorityLevels-1) }

func (u *placementUsage) add(n Resources) {
	u.count++
	u.resources = u.resources.Plus(n)
}

func (u *placementUsage) remove(n Resources) {
	u.count--
	u.resources = u.resources.Minus(n)
	if u.count == 0 {
		u.resources = Resources{} // no rounding error outlives the placements
	}
}

// checkpointable says whether a placement's work can be saved when it is stopped.
func checkpointable(pl *Placement) bool {
	return pl.Job != nil && pl.Job.Shape != protocol.Service && pl.Job.CheckpointIntervalSeconds > 0
}

// indexPlacement counts a placement that is new on a machine.
func (p *Registry) indexPlacement(m *Machine, pl *Placement) {
	level := clampedPriorityLevel(pl)
	m.usageByPriority[level].add(pl.Resources)
	p.indexes.byPriority[level].Set(m)
	if checkpointable(pl) {
		m.checkpointableUsage[level].add(pl.Resources)
	}
	if pl.Stopping {
		m.stoppingUsage.add(pl.Resources)
		p.indexes.withStopping.Set(m)
	}
	p.markChanged(m)
}

// unindexPlacement takes a placement off the counts of its machine.
func (p *Registry) unindexPlacement(m *Machine, pl *Placement) {
	level := clampedPriorityLevel(pl)
	if m.usageByPriority[level].remove(pl.Resources); m.usageByPriority[level].count == 0 {
		p.indexes.byPriority[level].Delete(m)
	}
	if checkpointable(pl) {
		m.checkpointableUsage[level].remove(pl.Resources)
	}
	if pl.Stopping {
		if m.stoppingUsage.remove(pl.Resources); m.stoppingUsage.count == 0 {
			p.indexes.withStopping.Delete(m)
		}
	}
	p.markChanged(m)
}

// SetPriorityLevel has a placement count by another priority from now on.
func (p *Registry) SetPriorityLevel(pl *Placement, level int) {
	m := p.machines[pl.Machine]
	if m == nil || m.placements[pl.Task] != pl {
		pl.PriorityLevel = level
		return
	}
	p.unindexPlacement(m, pl)
	pl.PriorityLevel = level
	p.indexPlacement(m, pl)
}

// indexStopping counts a placement that is to end from now on.
func (p *Registry) indexStopping(pl *Placement) {
	m := p.machines[pl.Machine]
	if m == nil || m.placements[pl.Task] != pl {
		return
	}
	m.stoppingUsage.add(pl.Resources)
	p.indexes.withStopping.Set(m)
}

// unindexMachine takes a machine that is lost out of all views.
func (p *Registry) unindexMachine(m *Machine) {
	m.removed = true
	for name := range m.images {
		p.deleteImage(m, name)
	}
	for level := range p.indexes.byPriority {
		p.indexes.byPriority[level].Delete(m)
	}
	p.indexes.withStopping.Delete(m)
	p.indexes.withInterruptionNotice.Delete(m)
	p.markChanged(m)
}
