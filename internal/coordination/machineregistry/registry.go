// Package machineregistry holds the leader's view of the worker machines: their state, placements, free capacity,
// image caches, and the commands that are due for them.
//
// A Registry is a passive data structure. It does no I/O, reads no clock (callers pass the time) and is not safe for
// concurrent use. It guarantees that:
//   - no capacity is reserved twice (Registry.Reserve);
//   - a run command is sent only after the caller has confirmed that the placement is recorded (Registry.AllowStart);
//   - a placement is terminated only once it is proven that its task does not run and will not run later
//     (Registry.HandleHeartbeat, Registry.Remove).
package machineregistry

import (
	"slices"
	"strings"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// Registry is the set of machines that the leader of one term schedules on.
type Registry struct {
	term           uint64
	workerSettings config.Workers
	machineTypes   map[string]*protocol.MachineType
	machines       map[string]*Machine
	// sortedMachines holds the same machines in name order, so that decisions do not depend on map order.
	sortedMachines []*Machine
	teamUsage      map[string]Resources
	// commandsDue holds the machines with placements for which a command may be due.
	commandsDue     map[string]*Machine
	outdatedBatches []*Machine // see TakeOutdatedBatches
	// imageHints holds the images that machines had in an earlier term, for machines that have not been created yet.
	imageHints map[string][]CachedImage
	indexes    indexes
}

// New returns an empty registry for the given term.
func New(term uint64, workerSettings config.Workers) *Registry {
	return &Registry{
		term:           term,
		workerSettings: workerSettings,
		machineTypes:   map[string]*protocol.MachineType{},
		machines:       map[string]*Machine{},
		teamUsage:      map[string]Resources{},
		imageHints:     map[string][]CachedImage{},
		commandsDue:    map[string]*Machine{},
		indexes:        newIndexes(),
	}
}

// SetMachineTypes adds or replaces machine types. The registry keeps pointers into the slice.
func (r *Registry) SetMachineTypes(types []protocol.MachineType) {
	for i := range types {
		r.machineTypes[types[i].Name] = &types[i]
	}
	for _, m := range r.sortedMachines {
		r.markChanged(m)
	}
}

// MachineType returns a machine type, or nil if it is unknown.
func (r *Registry) MachineType(name string) *protocol.MachineType { return r.machineTypes[name] }

// MachineTypes returns the machine types by name. The caller must not modify the map.
func (r *Registry) MachineTypes() map[string]*protocol.MachineType { return r.machineTypes }

// Machine returns a machine, or nil if it is unknown or was removed.
func (r *Registry) Machine(name string) *Machine { return r.machines[name] }

// Registered reports whether the machine is known and its worker has sent a heartbeat in this term.
func (r *Registry) Registered(name string) bool {
	m := r.machines[name]
	return m != nil && m.Registered
}

// Each calls f for every machine in name order.
func (r *Registry) Each(f func(*Machine)) {
	for _, m := range r.sortedMachines {
		f(m)
	}
}

// EachFrom calls f for each machine in name order, starting at the given name, until f returns false.
func (r *Registry) EachFrom(name string, f func(*Machine) bool) {
	i, _ := slices.BinarySearchFunc(r.sortedMachines, name, compareName)
	for _, m := range r.sortedMachines[i:] {
		if !f(m) {
			return
		}
	}
}

// Len returns the number of machines.
func (r *Registry) Len() int { return len(r.sortedMachines) }

// TeamUsage returns the total resources of a team's placements.
func (r *Registry) TeamUsage(team string) Resources { return r.teamUsage[team] }

// GetOrCreate returns the machine with the given name and creates it if it is unknown. A new machine has no type and
// is not registered; the current time counts as its last heartbeat and as the time when it was requested.
func (r *Registry) GetOrCreate(now time.Duration, name string) *Machine {
	if m := r.machines[name]; m != nil {
		return m
	}
	m := &Machine{
		Name:          name,
		LastHeartbeat: now,
		RequestedAt:   now,
		IdleSince:     now,
		FailedJobs:    map[string]bool{},
		placements:    map[protocol.TaskID]*Placement{},
		exitedTasks:   map[protocol.TaskID]*exitedTask{},
		unknownTasks:  map[protocol.TaskID]uint64{},
		images:        imageCache{},
	}
	for _, c := range r.imageHints[name] {
		r.setImage(m, c.Image, &imageEntry{sizeGB: c.SizeGB, confirmed: true, lastUsed: now})
	}
	delete(r.imageHints, name)
	r.machines[name] = m
	i, _ := slices.BinarySearchFunc(r.sortedMachines, name, compareName)
	r.sortedMachines = slices.Insert(r.sortedMachines, i, m)
	r.markChanged(m)
	return m
}

func compareName(m *Machine, name string) int { return strings.Compare(m.Name, name) }

// Remove removes a machine that is proven to be gone and terminates its placements. It returns one observation per
// placement, sorted by task. An unknown name is ignored.
func (r *Registry) Remove(now time.Duration, name string) []Observation {
	m := r.machines[name]
	if m == nil {
		return nil
	}
	var observations []Observation
	for _, pl := range sortedPlacements(m.placements) {
		r.removePlacement(now, m, pl)
		observations = append(observations, Observation{Placement: pl, Lost: true})
	}
	r.unindexMachine(m)
	delete(r.machines, name)
	if i, ok := slices.BinarySearchFunc(r.sortedMachines, name, compareName); ok {
		r.sortedMachines = slices.Delete(r.sortedMachines, i, i+1)
	}
	return observations
}

// FreeCapacity returns the unreserved capacity of a machine, or zero if its type is unknown.
func (r *Registry) FreeCapacity(m *Machine) Resources {
	t := r.machineTypes[m.Type]
	if t == nil {
		return Resources{}
	}
	return CapacityOf(t).Minus(m.usage.total)
}

// Schedulable reports whether new tasks may be placed on the machine now.
func (r *Registry) Schedulable(now time.Duration, m *Machine) bool {
	return m.Registered && !m.InterruptionNotice && !m.Terminating && !m.Quarantined && len(m.unknownTasks) == 0 &&
		now >= m.UnresponsiveUntil && now-m.LastHeartbeat < r.UnreachableTimeout()
}

// UnreachableTimeout returns the time without heartbeats after which a machine is not schedulable: 2.5 heartbeat
// intervals, but at most half a lease.
func (r *Registry) UnreachableTimeout() time.Duration {
	const heartbeats = 2.5
	return config.Seconds(min(r.workerSettings.LeaseSeconds/2, heartbeats*r.workerSettings.HeartbeatSeconds))
}
