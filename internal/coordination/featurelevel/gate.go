// Package featurelevel decides when controllers of different versions may start to use features that only newer
// versions understand.
//
// Each controller records in the store the highest feature level that any of its processes has supported. Once all
// configured controllers have recorded a level, the leader makes it final in the record of its term, and processes that
// support only a lower level can no longer lead. Until then, nothing is written or accepted that the oldest supported
// version cannot read.
//
// Gate is a pure state machine: it performs no I/O, reads no clock and is not safe for concurrent use.
package featurelevel

import (
	"maps"
	"slices"
	"time"
)

// Level identifies a set of features that a version can read, evaluate and write.
type Level int

// The feature levels.
const (
	// Baseline is the level of versions that do not record a level.
	Baseline Level = 0
	// Pipelines adds jobs with dependencies, compact placement pages, and the store's future limits.
	Pipelines Level = 1
	// Current is the level that this version supports.
	Current = Pipelines
)

// Gate is the state machine of a single controller.
type Gate struct {
	self           string
	controllers    []string // all configured controllers, including this one
	supportedLevel Level
	pollInterval   time.Duration

	final           Level
	records         map[string]Record
	peerLevels      map[string]Level // from the latest heartbeat of each peer
	leading         bool
	requestInFlight bool // a ListRecords or an Announce is in flight
	nextPollAt      time.Duration
}

// New returns the gate of a controller that supports supportedLevel. peers are the other configured controllers. The
// gate polls the records at the given interval until supportedLevel is final.
func New(self string, peers []string, supportedLevel Level, pollInterval time.Duration) *Gate {
	return &Gate{
		self:           self,
		controllers:    append([]string{self}, peers...),
		supportedLevel: supportedLevel,
		pollInterval:   pollInterval,
		records:        map[string]Record{},
		peerLevels:     map[string]Level{},
	}
}

// Final returns the highest level known to be final.
func (g *Gate) Final() Level { return g.final }

// Missing returns, in name order, the configured controllers that have not recorded the level that this version
// supports.
func (g *Gate) Missing() []string {
	var missing []string
	for _, name := range g.controllers {
		if g.records[name].Level < g.supportedLevel {
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
		g.requestInFlight = false
		if !e.Failed {
			return g.handleRecords(e)
		}
	case AnnounceDone:
		g.requestInFlight, g.nextPollAt = false, now
	case PeerHeartbeat:
		g.peerLevels[e.Controller] = e.Level
	case Leadership:
		g.leading = e.Leading
	case Finalised:
		return g.activate(e.Level)
	}
	return nil
}

// poll requests the records if the next poll is due.
func (g *Gate) poll(now time.Duration) []Effect {
	if g.requestInFlight || now < g.nextPollAt || g.final >= g.supportedLevel {
		return nil
	}
	g.requestInFlight, g.nextPollAt = true, now+g.pollInterval
	return []Effect{ListRecords{}}
}

// handleRecords announces this controller's level if its record is missing or states a lower one. Otherwise, the leader
// makes the common level final.
func (g *Gate) handleRecords(e RecordsListed) []Effect {
	g.records = maps.Clone(e.Controllers)
	effects := g.activate(e.Final)
	if own := g.records[g.self]; own.Level < g.supportedLevel {
		g.requestInFlight = true
		return append(effects, Announce{Level: g.supportedLevel, Revision: own.Revision})
	}
	if common := g.commonLevel(); g.leading && common > g.final {
		effects = append(effects, Finalise{Level: common})
	}
	return effects
}

// commonLevel returns the highest level, capped at supportedLevel, that all configured controllers have recorded. A
// controller that has no record, or that stated a lower level in its latest heartbeat, lowers the result.
func (g *Gate) commonLevel() Level {
	level := g.supportedLevel
	for _, name := range g.controllers {
		level = min(level, g.records[name].Level)
		if stated, ok := g.peerLevels[name]; ok {
			level = min(level, stated)
		}
	}
	return level
}

// activate records that a level is final. That may be a level that this version does not support; the term record then
// prevents this controller from leading.
func (g *Gate) activate(level Level) []Effect {
	if level <= g.final {
		return nil
	}
	g.final = level
	return []Effect{Activate{Level: level}}
}
