// Package featurelevel decides when controllers of several versions may use what only newer
// versions understand.
//
// Every controller records in the store the highest feature level that one of its processes has
// spoken. Once every configured controller has recorded a level, the leader makes that level final
// in the record of its term; from then on processes of a lower level cannot lead. Until then
// nothing is written or accepted that the oldest supported version cannot read.
//
// Gate is a pure state machine: it does no I/O, reads no clock and is not safe for concurrent use.
package featurelevel

import (
	"maps"
	"slices"
	"time"
)

// Level numbers the sets of features that a version can read, evaluate and write.
type Level int

// Levels.
const (
	// Baseline is the level of versions that record none.
	Baseline Level = 0
	// Pipelines adds jobs with dependencies, compact placement pages, and the store's next limits.
	Pipelines Level = 1
	// Current is the level that this version speaks.
	Current = Pipelines
)

// Gate is the state machine of one controller.
type Gate struct {
	self         string
	controllers  []string // all that are configured, including this one
	ownLevel     Level
	pollInterval time.Duration

	final          Level
	records        map[string]Record
	peerLevels     map[string]Level // as stated in each peer's last heartbeat
	leading        bool
	requestPending bool // a ListRecords or an Announce is under way
	nextPollAt     time.Duration
}

// New returns the gate of a controller that speaks ownLevel. peers are the other configured
// controllers. The gate polls the records at the interval until its own level is final.
func New(self string, peers []string, ownLevel Level, pollInterval time.Duration) *Gate {
	return &Gate{
		self:         self,
		controllers:  append([]string{self}, peers...),
		ownLevel:     ownLevel,
		pollInterval: pollInterval,
		records:      map[string]Record{},
		peerLevels:   map[string]Level{},
	}
}

// Final returns the highest level that is known to be final.
func (g *Gate) Final() Level { return g.final }

// Missing lists, in name order, the configured controllers that have not recorded this version's
// level.
func (g *Gate) Missing() []string {
	var missing []string
	for _, name := range g.controllers {
		if g.records[name].Level < g.ownLevel {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// Step processes an event and returns the effects that the caller must carry out, in order.
func (g *Gate) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		return g.poll(now)
	case RecordsListed:
		g.requestPending = false
		if !e.Failed {
			return g.handleRecords(e)
		}
	case AnnounceDone:
		g.requestPending, g.nextPollAt = false, now
	case PeerHeartbeat:
		g.peerLevels[e.Controller] = e.Level
	case Leadership:
		g.leading = e.Leading
	case Finalised:
		return g.activate(e.Level)
	}
	return nil
}

// poll reads the records when that is due.
func (g *Gate) poll(now time.Duration) []Effect {
	if g.requestPending || now < g.nextPollAt || g.final >= g.ownLevel {
		return nil
	}
	g.requestPending, g.nextPollAt = true, now+g.pollInterval
	return []Effect{ListRecords{}}
}

// handleRecords announces this controller's level if its record lacks it. Otherwise, on the
// leader, it makes the common level final.
func (g *Gate) handleRecords(e RecordsListed) []Effect {
	g.records = maps.Clone(e.Controllers)
	effects := g.activate(e.Final)
	if own := g.records[g.self]; own.Level < g.ownLevel {
		g.requestPending = true
		return append(effects, Announce{Level: g.ownLevel, Revision: own.Revision})
	}
	if common := g.commonLevel(); g.leading && common > g.final {
		effects = append(effects, Finalise{Level: common})
	}
	return effects
}

// commonLevel returns the highest level, up to this controller's own, that every configured
// controller has recorded. A controller without a record, or whose last heartbeat stated a lower
// level, holds it back.
func (g *Gate) commonLevel() Level {
	level := g.ownLevel
	for _, name := range g.controllers {
		level = min(level, g.records[name].Level)
		if stated, ok := g.peerLevels[name]; ok {
			level = min(level, stated)
		}
	}
	return level
}

// activate notes that a level is final. The level may be above this version's own: the record of
// the term keeps this controller from leading then.
func (g *Gate) activate(level Level) []Effect {
	if level <= g.final {
		return nil
	}
	g.final = level
	return []Effect{Activate{Level: level}}
}
