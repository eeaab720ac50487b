package partition

import (
	"github.com/tidwall/btree"

	"pinebay/internal/protocol"
)

// views are the machines by what is asked of them, so that whoever looks for some need not
// walk all. They are kept up by each change.
type views struct {
	changed  []*Machine
	teams    map[string]bool // whose usage has changed
	images   map[string]*MachineSet
	fetching map[string]*MachineSet // those of them of which it is not certain that they have it
	levels   [Levels]*MachineSet
	stopping *MachineSet
	noticed  *MachineSet
}

// MachineSet is a set of machines in name order.
type MachineSet = btree.BTreeG[*Machine]

func newMachineSet() *MachineSet {
	return btree.NewBTreeGOptions(func(a, b *Machine) bool { return a.Name < b.Name }, btree.Options{NoLocks: true})
}

func newViews() views {
	v := views{teams: map[string]bool{}, images: map[string]*MachineSet{}, fetching: map[string]*MachineSet{}, stopping: newMachineSet(), noticed: newMachineSet()}
	for level := range v.levels {
		v.levels[level] = newMachineSet()
	}
	return v
}

// Changed returns the machines whose room, type or openness may have changed since it was last
// called, those that are lost among them.
func (p *Partition) Changed() []*Machine {
	list := p.views.changed
	p.views.changed = nil
	for _, m := range list {
		m.touched = false
	}
	return list
}

// touch notes that a machine's room, type or openness may have changed.
func (p *Partition) touch(m *Machine) {
	if !m.touched {
		m.touched = true
		p.views.changed = append(p.views.changed, m)
	}
}

// ChangedTeams calls f for each team whose usage has changed since it was last called, in no
// order.
func (p *Partition) ChangedTeams(f func(team string)) {
	for team := range p.views.teams {
		f(team)
	}
	clear(p.views.teams)
}

func (p *Partition) changeUsage(team string, usage Need) {
	p.usage[team] = usage
	p.views.teams[team] = true
}

// WithImage returns the machines that have an image or fetch it, or nil. It must not be changed.
func (p *Partition) WithImage(image string) *MachineSet { return p.views.images[image] }

// Fetching returns the machines of which it is not certain that they have an image that they
// fetch, or nil. It must not be changed.
func (p *Partition) Fetching(image string) *MachineSet { return p.views.fetching[image] }

// AtLevel returns the machines with placements of a level. It must not be changed.
func (p *Partition) AtLevel(level int) *MachineSet { return p.views.levels[level] }

// WithStopping returns the machines with placements that are to end. It must not be changed.
func (p *Partition) WithStopping() *MachineSet { return p.views.stopping }

// Noticed calls f for every machine that the cloud is about to take away, in name order.
func (p *Partition) Noticed(f func(*Machine)) {
	p.views.noticed.Scan(func(m *Machine) bool {
		f(m)
		return true
	})
}

// setImage notes that a machine has an image or fetches it.
func (p *Partition) setImage(m *Machine, name string, im *image) {
	m.images[name] = im
	putInto(p.views.images, name, m)
	if im.sure {
		takeFrom(p.views.fetching, name, m)
	} else {
		putInto(p.views.fetching, name, m)
	}
}

// deleteImage forgets a machine's copy of an image.
func (p *Partition) deleteImage(m *Machine, name string) {
	delete(m.images, name)
	takeFrom(p.views.images, name, m)
	takeFrom(p.views.fetching, name, m)
}

func putInto(sets map[string]*MachineSet, name string, m *Machine) {
	set := sets[name]
	if set == nil {
		set = newMachineSet()
		sets[name] = set
	}
	set.Set(m)
}

func takeFrom(sets map[string]*MachineSet, name string, m *Machine) {
	set := sets[name]
	if set == nil {
		return
	}
	if set.Delete(m); set.Len() == 0 {
		delete(sets, name)
	}
}

// levelOf is the level by which a placement is counted.
func levelOf(pl *Placement) int { return min(max(pl.Level, 0), Levels-1) }

func (u *rankUse) add(n Need) {
	u.count++
	u.need = u.need.Plus(n)
}

func (u *rankUse) remove(n Need) {
	u.count--
	u.need = u.need.Minus(n)
	if u.count == 0 {
		u.need = Need{} // no rounding error outlives the placements
	}
}

// savable says whether a placement's work can be saved when it is stopped.
func savable(pl *Placement) bool {
	return pl.Job != nil && pl.Job.Shape != protocol.Service && pl.Job.CheckpointIntervalSeconds > 0
}

// enter counts a placement that is new on a machine.
func (p *Partition) enter(m *Machine, pl *Placement) {
	level := levelOf(pl)
	m.byRank[level].add(pl.Need)
	p.views.levels[level].Set(m)
	if savable(pl) {
		m.savable[level].add(pl.Need)
	}
	if pl.Stopping {
		m.stopping.add(pl.Need)
		p.views.stopping.Set(m)
	}
	p.touch(m)
}

// leave takes a placement off the counts of its machine.
func (p *Partition) leave(m *Machine, pl *Placement) {
	level := levelOf(pl)
	if m.byRank[level].remove(pl.Need); m.byRank[level].count == 0 {
		p.views.levels[level].Delete(m)
	}
	if savable(pl) {
		m.savable[level].remove(pl.Need)
	}
	if pl.Stopping {
		if m.stopping.remove(pl.Need); m.stopping.count == 0 {
			p.views.stopping.Delete(m)
		}
	}
	p.touch(m)
}

// SetLevel has a placement count by another priority from now on.
func (p *Partition) SetLevel(pl *Placement, level int) {
	m := p.machines[pl.Machine]
	if m == nil || m.placements[pl.Task] != pl {
		pl.Level = level
		return
	}
	p.leave(m, pl)
	pl.Level = level
	p.enter(m, pl)
}

// stops counts a placement that is to end from now on.
func (p *Partition) stops(pl *Placement) {
	m := p.machines[pl.Machine]
	if m == nil || m.placements[pl.Task] != pl {
		return
	}
	m.stopping.add(pl.Need)
	p.views.stopping.Set(m)
}

// forget takes a machine that is lost out of all views.
func (p *Partition) forget(m *Machine) {
	m.lost = true
	for name := range m.images {
		p.deleteImage(m, name)
	}
	for level := range p.views.levels {
		p.views.levels[level].Delete(m)
	}
	p.views.stopping.Delete(m)
	p.views.noticed.Delete(m)
	p.touch(m)
}
