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
	// RecordsListed is what the state service holds: the controllers' levels with the versions of their records,
	// and the final level. Failed says that it did not answer.
	RecordsListed struct {
		Controllers map[string]Record
		Final       Level
		Failed      bool
	}
	// AnnounceDone says that the write of the own level has ended, whatever came of it.
	AnnounceDone struct{}
	// PeerHeartbeat is the level that a heartbeat of a peer states.
	PeerHeartbeat struct {
		Controller string
		Level      Level
	}
	// Leadership says whether this controller leads and has read the records.
	Leadership struct{ Leading bool }
	// Finalised is a level that has become final, as the leader here knows.
	Finalised struct{ Level Level }
)

// Record is a controller's level as the state service holds it.
type Record struct {
	Level    Level
	Revision uint64
}

// Effect is what a step asks for.
type Effect interface{ effect() }

// Effects.
type (
	// ListRecords asks what the state service holds.
	ListRecords struct{}
	// Announce asks that the own level be recorded, if the record still has the version.
	Announce struct {
		Level    Level
		Revision uint64
	}
	// Finalise asks the leader to make a level final.
	Finalise struct{ Level Level }
	// Activate says that a level is final.
	Activate struct{ Level Level }
)

func (Tick) event()          {}
func (RecordsListed) event() {}
func (AnnounceDone) event()  {}
func (PeerHeartbeat) event() {}
func (Leadership) event()    {}
func (Finalised) event()     {}

func (ListRecords) effect() {}
func (Announce) effect()    {}
func (Finalise) effect()    {}
func (Activate) effect()    {}

// Gate is the state machine of one controller.
type Gate struct {
	self         string
	controllers  []string // all configured controllers, this one included
	ownLevel     Level
	pollInterval time.Duration

	final          Level
	records        map[string]Record
	peerLevels     map[string]Level // what the last heartbeat of each peer stated
	leading        bool
	requestPending bool // a question or a write is under way
	nextPollAt     time.Duration
}

// New returns the machine of a controller that speaks the level; peers are the other configured ones. It
// looks at the state service at the interval until its own level is final.
func New(self string, peers []string, level Level, interval time.Duration) *Gate {
	return &Gate{
		self: self, controllers: append([]string{self}, peers...), ownLevel: level, pollInterval: interval,
		records: map[string]Record{}, peerLevels: map[string]Level{},
	}
}

// Final returns the level that is final, as far as known.
func (m *Gate) Final() Level { return m.final }

// Step takes an event and returns what is to be done.
func (m *Gate) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		if !m.requestPending && now >= m.nextPollAt && m.final < m.ownLevel {
			m.requestPending, m.nextPollAt = true, now+m.pollInterval
			return []Effect{ListRecords{}}
		}
	case AnnounceDone:
		m.requestPending, m.nextPollAt = false, now
	case PeerHeartbeat:
		m.peerLevels[e.Controller] = e.Level
	case Leadership:
		m.leading = e.Leading
	case Finalised:
		return m.activate(e.Level)
	case RecordsListed:
		m.requestPending = false
		if !e.Failed {
			return m.handleRecords(e)
		}
	}
	return nil
}

// handleRecords takes in what the state service holds.
func (m *Gate) handleRecords(e RecordsListed) []Effect {
	m.records = maps.Clone(e.Controllers)
	effects := m.activate(e.Final)
	if own := m.records[m.self]; own.Level < m.ownLevel {
		m.requestPending = true
		return append(effects, Announce{Level: m.ownLevel, Revision: own.Revision})
	}
	if target := m.commonLevel(); m.leading && target > m.final {
		effects = append(effects, Finalise{Level: target})
	}
	return effects
}

// commonLevel returns the highest level up to this one's own that every configured controller has recorded. A
// controller without a record, or whose last heartbeat stated less, consents to nothing.
func (m *Gate) commonLevel() Level {
	level := m.ownLevel
	for _, node := range m.controllers {
		level = min(level, m.records[node].Level)
		if heard, ok := m.peerLevels[node]; ok {
			level = min(level, heard)
		}
	}
	return level
}

// activate takes in that a level is final. A level above this version's own is known by the term's record,
// which keeps it from leading.
func (m *Gate) activate(level Level) []Effect {
	if level <= m.final {
		return nil
	}
	m.final = level
	return []Effect{Activate{Level: level}}
}

// Missing lists the configured controllers that have not shown this version's level yet, for operators.
func (m *Gate) Missing() []string {
	var missing []string
	for _, node := range m.controllers {
		if m.records[node].Level < m.ownLevel {
			missing = append(missing, node)
		}
	}
	slices.Sort(missing)
	return missing
}
