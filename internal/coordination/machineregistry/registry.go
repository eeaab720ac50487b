// Package machineregistry keeps what a controller knows of the machines that it owns:
// their reports, their room, the placements on them and the commands that are
// due. It grants room, starts only what a written record names, and decides
// when a task is proven gone. It does no I/O and reads no clock.
package machineregistry

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
	Task          protocol.TaskID
	Attempt       uint64
	Machine       string
	Incarnation   uint64
	Zone          string
	Resources     Resources
	Team          string
	PriorityLevel int // of the job's priority
	Job           *protocol.Job

	ReservedAt      time.Duration
	Recorded        bool // a record names it
	StartAllowed    bool // it may be started: all that must be recorded first is
	Reported        bool // its machine has reported it
	State           protocol.TaskState
	StateSince      time.Duration // when State was first seen
	Cause           protocol.ExitCause
	CheckpointSaved bool
	Terminated      bool // proven gone

	Stopping bool
	GraceS   float64
	// FenceAt is when the machine is to be fenced if it is silent, since the job was
	// cancelled; 0: at no set time.
	FenceAt time.Duration

	runSent         bool   // a run has left for the machine
	runFencingToken uint64 // with this token, the last time
}

// Registry is the set of machines that a controller owns.
type Registry struct {
	term           uint64
	workerSettings config.Workers
	machineTypes   map[string]*protocol.MachineType
	machines       map[string]*Machine
	sortedMachines []*Machine // by name, for the same decisions every time
	teamUsage      map[string]Resources
	commandsDue    map[string]*Machine      // those on which a placement may need a command
	imageHints     map[string][]CachedImage // images that machines had in an earlier term
	indexes        indexes
}

// New returns an empty part of the given term.
func New(term uint64, w config.Workers) *Registry {
	return &Registry{
		term:           term,
		workerSettings: w,
		machineTypes:   map[string]*protocol.MachineType{},
		machines:       map[string]*Machine{},
		teamUsage:      map[string]Resources{},
		imageHints:     map[string][]CachedImage{},
		commandsDue:    map[string]*Machine{},
		indexes:        newIndexes(),
	}
}

// SetMachineTypes replaces the list of machine types.
func (p *Registry) SetMachineTypes(types []protocol.MachineType) {
	for i := range types {
		p.machineTypes[types[i].Name] = &types[i]
	}
	for _, m := range p.sortedMachines {
		p.markChanged(m)
	}
}

// MachineType returns a machine type, or nil.
func (p *Registry) MachineType(name string) *protocol.MachineType { return p.machineTypes[name] }

// MachineTypes returns the machine types by name.
func (p *Registry) MachineTypes() map[string]*protocol.MachineType { return p.machineTypes }

// Registered says whether the machine's worker has been heard.
func (p *Registry) Registered(name string) bool {
	m := p.machines[name]
	return m != nil && m.Registered
}

// Each calls f for every machine in name order.
func (p *Registry) Each(f func(*Machine)) {
	for _, m := range p.sortedMachines {
		f(m)
	}
}

// EachFrom calls f for the machines from a name on, in name order, until it returns false.
func (p *Registry) EachFrom(name string, f func(*Machine) bool) {
	i, _ := slices.BinarySearchFunc(p.sortedMachines, name, compareName)
	for _, m := range p.sortedMachines[i:] {
		if !f(m) {
			return
		}
	}
}

// Len returns the number of machines.
func (p *Registry) Len() int { return len(p.sortedMachines) }

// TeamUsage returns what a team's tasks may be using.
func (p *Registry) TeamUsage(team string) Resources { return p.teamUsage[team] }

// GetOrCreate returns the machine of that name, making a blank one if need be.
func (p *Registry) GetOrCreate(now time.Duration, name string) *Machine {
	if m := p.machines[name]; m != nil {
		return m
	}
	m := &Machine{
		Name:          name,
		LastHeartbeat: now,
		RentedAt:      now,
		IdleSince:     now,
		FailedJobs:    map[string]bool{},
		placements:    map[protocol.TaskID]*Placement{},
		exitedTasks:   map[protocol.TaskID]*exitedTask{},
		unknownTasks:  map[protocol.TaskID]uint64{},
		images:        map[string]*imageEntry{},
	}
	for _, c := range p.imageHints[name] {
		p.setImage(m, c.Image, &imageEntry{sizeGB: c.SizeGB, confirmed: true, lastUsed: now})
	}
	delete(p.imageHints, name)
	p.machines[name] = m
	i, _ := slices.BinarySearchFunc(p.sortedMachines, name, compareName)
	p.sortedMachines = slices.Insert(p.sortedMachines, i, m)
	p.markChanged(m)
	return m
}

func compareName(m *Machine, name string) int { return strings.Compare(m.Name, name) }

// FreeCapacity returns the room on a machine that is not promised to anybody.
func (p *Registry) FreeCapacity(m *Machine) Resources {
	t := p.machineTypes[m.Type]
	if t == nil {
		return Resources{}
	}
	return CapacityOf(t).Minus(m.used)
}

// Schedulable says whether new tasks may go to the machine now.
func (p *Registry) Schedulable(now time.Duration, m *Machine) bool {
	return m.Registered && !m.InterruptionNotice && !m.Terminating && !m.Quarantined && len(m.unknownTasks) == 0 &&
		now >= m.UnresponsiveUntil && now-m.LastHeartbeat < p.SilenceTimeout()
}

// SilenceTimeout is how long a machine may be silent before nothing new goes there.
func (p *Registry) SilenceTimeout() time.Duration {
	return config.Seconds(min(p.workerSettings.LeaseSeconds/2, 2.5*p.workerSettings.HeartbeatSeconds))
}

// Reserve promises the named room to placements, all or none.
func (p *Registry) Reserve(now time.Duration, ps []*Placement) bool {
	for i, pl := range ps {
		m := p.machines[pl.Machine]
		if m == nil || !p.Schedulable(now, m) || m.HasAttempt(pl.Task) || !pl.Resources.Fits(p.FreeCapacity(m)) {
			for _, done := range ps[:i] {
				p.Unreserve(now, done)
			}
			return false
		}
		pl.Incarnation, pl.Zone, pl.ReservedAt = m.Incarnation, m.Zone, now
		p.addPlacement(m, pl)
		p.recordImageUse(now, m, pl.Job)
	}
	return true
}

// Adopt takes over a placement that a record names.
func (p *Registry) Adopt(now time.Duration, pl *Placement) {
	m := p.GetOrCreate(now, pl.Machine)
	if m.Zone == "" {
		m.Zone = pl.Zone
	}
	pl.StartAllowed, pl.runSent, pl.ReservedAt = true, true, now
	pl.runFencingToken = protocol.FencingToken(p.term, 0) - 1 // whatever an earlier leader sent
	p.commandsDue[m.Name] = m
	p.addPlacement(m, pl)
}

func (p *Registry) addPlacement(m *Machine, pl *Placement) {
	m.placements[pl.Task] = pl
	m.used = m.used.Plus(pl.Resources)
	p.setTeamUsage(pl.Team, p.teamUsage[pl.Team].Plus(pl.Resources))
	p.indexPlacement(m, pl)
}

// removePlacement takes a placement that is gone off the books.
func (p *Registry) removePlacement(now time.Duration, m *Machine, pl *Placement) {
	pl.Terminated = true
	if m.placements[pl.Task] != pl {
		return
	}
	delete(m.placements, pl.Task)
	if pl.Job != nil && m.images[pl.Job.Image] != nil {
		m.images[pl.Job.Image].lastUsed = now // until now
	}
	m.used = m.used.Minus(pl.Resources)
	p.setTeamUsage(pl.Team, p.teamUsage[pl.Team].Minus(pl.Resources))
	p.unindexPlacement(m, pl)
	if len(m.placements) == 0 {
		m.used = Resources{}
		m.IdleSince = now
	}
}

// Unreserve gives granted room back. Nothing of it may have been started.
func (p *Registry) Unreserve(now time.Duration, pl *Placement) {
	if m := p.machines[pl.Machine]; m != nil {
		p.removePlacement(now, m, pl)
		p.abandonFetch(m, pl)
	}
}

// AllowStart lets a placement's run go out, now that a record names it. The pause
// after an earlier command is for repeats, not for what is new.
func (p *Registry) AllowStart(pl *Placement) {
	pl.StartAllowed = true
	p.expediteCommand(pl)
}

// expediteCommand lets the machine's next command go out without a pause.
func (p *Registry) expediteCommand(pl *Placement) {
	if m := p.machines[pl.Machine]; m != nil {
		m.CommandRetryAt, m.newCommandsDue = 0, true
		p.commandsDue[m.Name] = m
	}
}

// Stop asks that a placement ends. A run that has never left for the machine
// needs no proof: the placement is gone at once, and Stop returns true.
func (p *Registry) Stop(now time.Duration, pl *Placement, graceS float64) bool {
	if pl.Terminated {
		return false
	}
	if !pl.Stopping {
		pl.Stopping, pl.GraceS = true, graceS
		p.indexStopping(pl)
	}
	pl.GraceS = min(pl.GraceS, graceS)
	p.expediteCommand(pl)
	if !pl.runSent {
		p.Unreserve(now, pl)
		return true
	}
	return false
}

// MarkOutcomeRecorded says that the records no longer count on an exited placement.
func (p *Registry) MarkOutcomeRecorded(pl *Placement) {
	if m := p.machines[pl.Machine]; m != nil {
		if e := m.exitedTasks[pl.Task]; e != nil && e.attempt == pl.Attempt {
			e.outcomeRecorded = true
		}
	}
}
