// Package partition keeps what a controller knows of the machines that it owns:
// their reports, their room, the placements on them and the commands that are
// due. It grants room, starts only what a written record names, and decides
// when a task is proven gone. It does no I/O and reads no clock.
package partition

import (
	"slices"
	"strings"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// Placement is one attempt of a task on a machine, from its grant until it is
// proven gone.
type Placement struct {
	Task    protocol.TaskID
	Attempt uint64
	Machine string
	Session uint64
	Zone    string
	Need    Need
	Team    string
	Level   int // of the job's priority
	Job     *protocol.Job

	Granted  time.Duration
	Recorded bool // a record names it
	Written  bool // it may be started: all that must be recorded first is
	Seen     bool // its machine has reported it
	State    protocol.TaskState
	Since    time.Duration // when State was first seen
	Cause    protocol.ExitCause
	Saved    bool
	Gone     bool // proven gone

	Stopping bool
	GraceS   float64
	// FenceAt is when the machine is to be fenced if it is silent, since the job was
	// cancelled; 0: at no set time.
	FenceAt time.Duration

	sent     bool   // a run has left for the machine
	runToken uint64 // with this token, the last time
}

// Partition is the set of machines that a controller owns.
type Partition struct {
	term        uint64
	workers     config.Workers
	types       map[string]*protocol.MachineType
	machines    map[string]*Machine
	ordered     []*Machine // by name, for the same decisions every time
	usage       map[string]Need
	commandsDue map[string]*Machine // those on which a placement may need a command
	hints       map[string][]Copy   // images that machines had in an earlier term
	views       views
}

// New returns an empty part of the given term.
func New(term uint64, w config.Workers) *Partition {
	return &Partition{
		term: term, workers: w,
		types: map[string]*protocol.MachineType{}, machines: map[string]*Machine{}, usage: map[string]Need{},
		hints: map[string][]Copy{}, commandsDue: map[string]*Machine{}, views: newViews(),
	}
}

// SetTypes replaces the list of machine types.
func (p *Partition) SetTypes(types []protocol.MachineType) {
	for i := range types {
		p.types[types[i].Name] = &types[i]
	}
	for _, m := range p.ordered {
		p.touch(m)
	}
}

// Type returns a machine type, or nil.
func (p *Partition) Type(name string) *protocol.MachineType { return p.types[name] }

// Types returns the machine types by name.
func (p *Partition) Types() map[string]*protocol.MachineType { return p.types }

// Up says whether the machine's worker has been heard.
func (p *Partition) Up(name string) bool {
	m := p.machines[name]
	return m != nil && m.Up
}

// Each calls f for every machine in name order.
func (p *Partition) Each(f func(*Machine)) {
	for _, m := range p.ordered {
		f(m)
	}
}

// EachFrom calls f for the machines from a name on, in name order, until it returns false.
func (p *Partition) EachFrom(name string, f func(*Machine) bool) {
	i, _ := slices.BinarySearchFunc(p.ordered, name, compareToName)
	for _, m := range p.ordered[i:] {
		if !f(m) {
			return
		}
	}
}

// Len returns the number of machines.
func (p *Partition) Len() int { return len(p.ordered) }

// Usage returns what a team's tasks may be using.
func (p *Partition) Usage(team string) Need { return p.usage[team] }

// Ensure returns the machine of that name, making a blank one if need be.
func (p *Partition) Ensure(now time.Duration, name string) *Machine {
	if m := p.machines[name]; m != nil {
		return m
	}
	m := &Machine{
		Name: name, Heard: now, Rented: now, IdleSince: now,
		Errors: map[string]bool{}, placements: map[protocol.TaskID]*Placement{},
		exits: map[protocol.TaskID]*exit{}, stray: map[protocol.TaskID]uint64{}, images: map[string]*image{},
	}
	for _, c := range p.hints[name] {
		p.setImage(m, c.Image, &image{sizeGB: c.SizeGB, sure: true, used: now})
	}
	delete(p.hints, name)
	p.machines[name] = m
	i, _ := slices.BinarySearchFunc(p.ordered, name, compareToName)
	p.ordered = slices.Insert(p.ordered, i, m)
	p.touch(m)
	return m
}

func compareToName(m *Machine, name string) int { return strings.Compare(m.Name, name) }

// Free returns the room on a machine that is not promised to anybody.
func (p *Partition) Free(m *Machine) Need {
	t := p.types[m.Type]
	if t == nil {
		return Need{}
	}
	return CapacityOf(t).Minus(m.used)
}

// Open says whether new tasks may go to the machine now.
func (p *Partition) Open(now time.Duration, m *Machine) bool {
	return m.Up && !m.Notice && !m.Condemned && !m.Sick && len(m.stray) == 0 &&
		now >= m.MutedUntil && now-m.Heard < p.Silent()
}

// Silent is how long a machine may be silent before nothing new goes there.
func (p *Partition) Silent() time.Duration {
	return config.Seconds(min(p.workers.LeaseS/2, 2.5*p.workers.ReportS))
}

// Grant promises the named room to placements, all or none.
func (p *Partition) Grant(now time.Duration, ps []*Placement) bool {
	for i, pl := range ps {
		m := p.machines[pl.Machine]
		if m == nil || !p.Open(now, m) || m.HasAttempt(pl.Task) || !pl.Need.Fits(p.Free(m)) {
			for _, done := range ps[:i] {
				p.Refuse(now, done)
			}
			return false
		}
		pl.Session, pl.Zone, pl.Granted = m.Session, m.Zone, now
		p.add(m, pl)
		p.useImage(now, m, pl.Job)
	}
	return true
}

// Adopt takes over a placement that a record names.
func (p *Partition) Adopt(now time.Duration, pl *Placement) {
	m := p.Ensure(now, pl.Machine)
	if m.Zone == "" {
		m.Zone = pl.Zone
	}
	pl.Written, pl.sent, pl.Granted = true, true, now
	pl.runToken = protocol.FencingToken(p.term, 0) - 1 // whatever an earlier leader sent
	p.commandsDue[m.Name] = m
	p.add(m, pl)
}

func (p *Partition) add(m *Machine, pl *Placement) {
	m.placements[pl.Task] = pl
	m.used = m.used.Plus(pl.Need)
	p.changeUsage(pl.Team, p.usage[pl.Team].Plus(pl.Need))
	p.enter(m, pl)
}

// remove takes a placement that is gone off the books.
func (p *Partition) remove(now time.Duration, m *Machine, pl *Placement) {
	pl.Gone = true
	if m.placements[pl.Task] != pl {
		return
	}
	delete(m.placements, pl.Task)
	if pl.Job != nil && m.images[pl.Job.Image] != nil {
		m.images[pl.Job.Image].used = now // until now
	}
	m.used = m.used.Minus(pl.Need)
	p.changeUsage(pl.Team, p.usage[pl.Team].Minus(pl.Need))
	p.leave(m, pl)
	if len(m.placements) == 0 {
		m.used = Need{}
		m.IdleSince = now
	}
}

// Refuse gives granted room back. Nothing of it may have been started.
func (p *Partition) Refuse(now time.Duration, pl *Placement) {
	if m := p.machines[pl.Machine]; m != nil {
		p.remove(now, m, pl)
		p.dropFetch(m, pl)
	}
}

// Start lets a placement's run go out, now that a record names it. The pause
// after an earlier command is for repeats, not for what is new.
func (p *Partition) Start(pl *Placement) {
	pl.Written = true
	p.expedite(pl)
}

// expedite lets the machine's next command go out without a pause.
func (p *Partition) expedite(pl *Placement) {
	if m := p.machines[pl.Machine]; m != nil {
		m.RetryAt, m.fresh = 0, true
		p.commandsDue[m.Name] = m
	}
}

// Stop asks that a placement ends. A run that has never left for the machine
// needs no proof: the placement is gone at once, and Stop returns true.
func (p *Partition) Stop(now time.Duration, pl *Placement, graceS float64) bool {
	if pl.Gone {
		return false
	}
	if !pl.Stopping {
		pl.Stopping, pl.GraceS = true, graceS
		p.stops(pl)
	}
	pl.GraceS = min(pl.GraceS, graceS)
	p.expedite(pl)
	if !pl.sent {
		p.Refuse(now, pl)
		return true
	}
	return false
}

// Settle says that the records no longer count on an exited placement.
func (p *Partition) Settle(pl *Placement) {
	if m := p.machines[pl.Machine]; m != nil {
		if e := m.exits[pl.Task]; e != nil && e.attempt == pl.Attempt {
			e.settled = true
		}
	}
}
