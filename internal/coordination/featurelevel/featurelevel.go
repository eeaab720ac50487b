// Package featurelevel decides when controllers of several versions may use what only the newer ones
// understand. Each controller records the highest level that a process of it has spoken; the leader makes
// a level final once every configured controller has shown it, in the record of the term, so that
// processes of a lower level can't lead any more. Until then nothing is written or accepted that the
// version in production can't read. It does no I/O and reads no clock.
package featurelevel

import (
	"maps"
	"slices"
	"time"
)

// Level counts what a version can read, judge and carry on.
type Level int

// Levels.
const (
	// Production is the level of versions that record none.
	Production Level = 0
	// Pipelines adds jobs that await others, compact pages, and the state service's next limits.
	Pipelines Level = 1
	// Current is the level that this version speaks.
	Current = Pipelines
)

// Event is what a step takes.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// Listed is what the state service holds: the controllers' levels with the versions of their records,
	// and the final level. Failed says that it did not answer.
	Listed struct {
		Nodes  map[string]Recorded
		Final  Level
		Failed bool
	}
	// AnnounceDone says that the write of the own level has ended, whatever came of it.
	AnnounceDone struct{}
	// Heard is the level that a heartbeat of a peer states.
	Heard struct {
		Node  string
		Level Level
	}
	// Led says whether this controller leads and has read the records.
	Led struct{ Leading bool }
	// Finalised is a level that has become final, as the leader here knows.
	Finalised struct{ Level Level }
)

// Recorded is a controller's level as the state service holds it.
type Recorded struct {
	Level   Level
	Version uint64
}

// Effect is what a step asks for.
type Effect interface{ effect() }

// Effects.
type (
	// List asks what the state service holds.
	List struct{}
	// Announce asks that the own level be recorded, if the record still has the version.
	Announce struct {
		Level   Level
		Version uint64
	}
	// Finalise asks the leader to make a level final.
	Finalise struct{ Level Level }
	// Reached says that a level is final.
	Reached struct{ Level Level }
)

func (Tick) event()         {}
func (Listed) event()       {}
func (AnnounceDone) event() {}
func (Heard) event()        {}
func (Led) event()          {}
func (Finalised) event()    {}

func (List) effect()     {}
func (Announce) effect() {}
func (Finalise) effect() {}
func (Reached) effect()  {}

// Machine is the state machine of one controller.
type Machine struct {
	self     string
	members  []string // all configured controllers, this one included
	level    Level
	interval time.Duration

	final   Level
	nodes   map[string]Recorded
	heard   map[string]Level // what the last heartbeat of each peer stated
	leading bool
	busy    bool // a question or a write is under way
	lookAt  time.Duration
}

// New returns the machine of a controller that speaks the level; peers are the other configured ones. It
// looks at the state service at the interval until its own level is final.
func New(self string, peers []string, level Level, interval time.Duration) *Machine {
	return &Machine{self: self, members: append([]string{self}, peers...), level: level, interval: interval,
		nodes: map[string]Recorded{}, heard: map[string]Level{}}
}

// Final returns the level that is final, as far as known.
func (m *Machine) Final() Level { return m.final }

// Step takes an event and returns what is to be done.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		if !m.busy && now >= m.lookAt && m.final < m.level {
			m.busy, m.lookAt = true, now+m.interval
			return []Effect{List{}}
		}
	case AnnounceDone:
		m.busy, m.lookAt = false, now
	case Heard:
		m.heard[e.Node] = e.Level
	case Led:
		m.leading = e.Leading
	case Finalised:
		return m.reach(e.Level)
	case Listed:
		m.busy = false
		if !e.Failed {
			return m.listed(e)
		}
	}
	return nil
}

// listed takes in what the state service holds.
func (m *Machine) listed(e Listed) []Effect {
	m.nodes = maps.Clone(e.Nodes)
	effects := m.reach(e.Final)
	if own := m.nodes[m.self]; own.Level < m.level {
		m.busy = true
		return append(effects, Announce{Level: m.level, Version: own.Version})
	}
	if target := m.shown(); m.leading && target > m.final {
		effects = append(effects, Finalise{Level: target})
	}
	return effects
}

// shown returns the highest level up to this one's own that every configured controller has recorded. A controller
// without a record, or whose last heartbeat stated less, consents to nothing.
func (m *Machine) shown() Level {
	level := m.level
	for _, node := range m.members {
		level = min(level, m.nodes[node].Level)
		if heard, ok := m.heard[node]; ok {
			level = min(level, heard)
		}
	}
	return level
}

// reach takes in that a level is final. A level above this version's own is known by the term's record,
// which keeps it from leading.
func (m *Machine) reach(level Level) []Effect {
	if level <= m.final {
		return nil
	}
	m.final = level
	return []Effect{Reached{Level: level}}
}

// Missing lists the configured controllers that have not shown this version's level yet, for operators.
func (m *Machine) Missing() []string {
	var missing []string
	for _, node := range m.members {
		if m.nodes[node].Level < m.level {
			missing = append(missing, node)
		}
	}
	slices.Sort(missing)
	return missing
}
