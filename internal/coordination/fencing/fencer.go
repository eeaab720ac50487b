// Package fencing returns silent machines to the cloud while no controller can lead.
//
// A task of a cancelled job must be gone within the cancellation's time limit. As a
// rule the leader sees to that: it releases a silent machine that may still have such a
// task. During an outage of the state service no leader can be elected, and nobody
// else knows where tasks are placed. But a machine that hangs resumes whatever it had,
// however late. So when no leader can be elected for a while, and there may be a
// cancellation whose deadline is near, every machine is released that the cloud lists
// as running and that no controller hears. A machine that is silent for so long has
// lost its tasks with its lease, unless it hangs: its release costs a boot at most.
//
// The package does no I/O and reads no clock.
package fencing

import (
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// Timing are the intervals of fencing; all are ratios of the settings' figures.
type Timing struct {
	// GracePeriod is how long there must have been no leader, and for how long a machine must
	// have been silent: by then a healthy worker has found another controller.
	GracePeriod time.Duration
	// MinIntentAge is how old a cancellation intent must be: a leader has fenced by then.
	MinIntentAge time.Duration
	// Retention is how long a released machine is remembered, which old machine lists
	// still show.
	Retention time.Duration
}

// Event is what a Monitor's step takes.
type Event interface{ event() }

type (
	// Assessment tells how this controller stands among the others.
	Assessment struct {
		// Leaderless says that a majority agrees that no leader is there and that none
		// can be elected.
		Leaderless bool
		// Recovering says that this process began so lately that an earlier one may have
		// held intents that still matter.
		Recovering bool
		// Oldest is when the oldest cancellation intent came that is still held, if Held.
		HasIntent      bool
		OldestIntentAt time.Duration
	}
	// HeartbeatReceived is a worker's report that reached this controller.
	HeartbeatReceived struct{ Heartbeat *protocol.WorkerHeartbeat }
	// MachinesListed is the cloud's machine list.
	MachinesListed struct{ Machines []protocol.ListedMachine }
	// SilenceConfirmed names machines that none of the peers hears either.
	SilenceConfirmed struct{ Machines []string }
	// MachinesReleased names machines that the cloud has taken back.
	MachinesReleased struct{ Machines []string }
	// PeerQuery is a peer's question which of the machines this controller hears.
	PeerQuery struct {
		Machines []string
		Reply    chan<- []string // takes one answer without blocking
	}
)

func (Assessment) event()        {}
func (HeartbeatReceived) event() {}
func (MachinesListed) event()    {}
func (SilenceConfirmed) event()  {}
func (MachinesReleased) event()  {}
func (PeerQuery) event()         {}

// Effect is what a Monitor's step asks for.
type Effect interface{ effect() }

type (
	// ListMachines asks for the cloud's machine list.
	ListMachines struct{}
	// QueryPeers asks every peer which of the machines it hears.
	QueryPeers struct{ Machines []string }
	// ReleaseMachines returns machines to the cloud.
	ReleaseMachines struct{ Machines []string }
	// AnswerPeer answers a peer's question.
	AnswerPeer struct {
		Heard []string
		Reply chan<- []string
	}
)

func (ListMachines) effect()    {}
func (QueryPeers) effect()      {}
func (ReleaseMachines) effect() {}
func (AnswerPeer) effect()      {}

// lastHeartbeat is the newest report of a machine, and when it came.
type lastHeartbeat struct {
	incarnation, sequence uint64
	receivedAt            time.Duration
}

// Fencer is the state of one controller.
type Fencer struct {
	timing          Timing
	leaderlessSince time.Duration // when the spell without a leader began
	leaderless      bool          // there is such a spell
	mayRelease      bool          // machines may be released now
	lastHeartbeats  map[string]lastHeartbeat
	released        map[string]time.Duration
}

// New returns a monitor that has heard nothing.
func New(times Timing) *Fencer {
	return &Fencer{timing: times, lastHeartbeats: map[string]lastHeartbeat{}, released: map[string]time.Duration{}}
}

// Step takes an event and returns what is to be done.
func (m *Fencer) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Assessment:
		return m.assess(now, e)
	case HeartbeatReceived:
		m.recordHeartbeat(now, e.Heartbeat)
	case MachinesListed:
		if silent := m.silentMachines(now, e.Machines); m.mayRelease && len(silent) > 0 {
			return []Effect{QueryPeers{silent}}
		}
	case SilenceConfirmed:
		// A report may have come while the peers were asked.
		silent := slices.DeleteFunc(
			slices.Clone(e.Machines),
			func(name string) bool { return m.heardRecently(now, name) },
		)
		if m.mayRelease && len(silent) > 0 {
			return []Effect{ReleaseMachines{silent}}
		}
	case MachinesReleased:
		for _, name := range e.Machines {
			m.released[name] = now
		}
	case PeerQuery:
		heard := slices.DeleteFunc(
			slices.Clone(e.Machines),
			func(name string) bool { return !m.heardRecently(now, name) },
		)
		return []Effect{AnswerPeer{Heard: heard, Reply: e.Reply}}
	}
	return nil
}

// assess decides whether machines may be released now.
func (m *Fencer) assess(now time.Duration, e Assessment) []Effect {
	m.expire(now)
	if !e.Leaderless {
		m.leaderless, m.mayRelease = false, false
		return nil
	}
	if !m.leaderless {
		m.leaderless, m.leaderlessSince = true, now
	}
	outstanding := e.Recovering || e.HasIntent && now-e.OldestIntentAt >= m.timing.MinIntentAge
	m.mayRelease = outstanding && now-m.leaderlessSince >= m.timing.GracePeriod
	if !m.mayRelease {
		return nil
	}
	return []Effect{ListMachines{}}
}

// recordHeartbeat notes a report. A copy of an older one proves nothing of how its machine is.
func (m *Fencer) recordHeartbeat(now time.Duration, r *protocol.WorkerHeartbeat) {
	last := m.lastHeartbeats[r.Machine]
	if r.Incarnation > last.incarnation || r.Incarnation == last.incarnation && r.Sequence > last.sequence {
		m.lastHeartbeats[r.Machine] = lastHeartbeat{incarnation: r.Incarnation, sequence: r.Sequence, receivedAt: now}
	}
}

// heardRecently says whether the machine has reported lately.
func (m *Fencer) heardRecently(now time.Duration, name string) bool {
	c, ok := m.lastHeartbeats[name]
	return ok && now-c.receivedAt <= m.timing.GracePeriod
}

// silentMachines returns the machines that run, as far as the cloud knows, and have not
// reported here lately.
func (m *Fencer) silentMachines(now time.Duration, list []protocol.ListedMachine) (names []string) {
	for i := range list {
		name := list[i].Name
		_, released := m.released[name]
		if list[i].State == protocol.MachineRunning && !released && !m.heardRecently(now, name) {
			names = append(names, name)
		}
	}
	return names
}

// PeerReply is what became of the question which of the machines a peer hears.
type PeerReply struct {
	Answered bool
	Heard    []string
	// InQuorum says that the peer has just been counted among those that agree that
	// nobody leads, and so may be serving machines.
	InQuorum bool
}

// StillSilent returns those of the machines that no peer hears. It is not certain, and
// false, when a peer that counts has missed the question: a live machine that only this
// peer hears would be released. The next assessment asks again.
func StillSilent(machines []string, answers []PeerReply) (silent []string, certain bool) {
	heard := map[string]bool{}
	for _, a := range answers {
		if !a.Answered && a.InQuorum {
			return nil, false
		}
		for _, name := range a.Heard {
			heard[name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(machines), func(name string) bool { return heard[name] }), true
}

// expire drops what no longer matters, so that memory does not grow with every
// machine that ever was.
func (m *Fencer) expire(now time.Duration) {
	for name, c := range m.lastHeartbeats {
		if now-c.receivedAt > m.timing.Retention {
			delete(m.lastHeartbeats, name)
		}
	}
	for name, at := range m.released {
		if now-at > m.timing.Retention {
			delete(m.released, name)
		}
	}
}
