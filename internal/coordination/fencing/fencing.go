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

// Times are the intervals of fencing; all are ratios of the settings' figures.
type Times struct {
	// Grace is how long there must have been no leader, and for how long a machine must
	// have been silent: by then a healthy worker has found another controller.
	Grace time.Duration
	// Age is how old a cancellation intent must be: a leader has fenced by then.
	Age time.Duration
	// Memory is how long a released machine is remembered, which old machine lists
	// still show.
	Memory time.Duration
}

// Event is what a Monitor's step takes.
type Event interface{ event() }

type (
	// Assessed tells how this controller stands among the others.
	Assessed struct {
		// Leaderless says that a majority agrees that no leader is there and that none
		// can be elected.
		Leaderless bool
		// Forgetful says that this process began so lately that an earlier one may have
		// held intents that still matter.
		Forgetful bool
		// Oldest is when the oldest cancellation intent came that is still held, if Held.
		Held   bool
		Oldest time.Duration
	}
	// Heard is a worker's report that reached this controller.
	Heard struct{ Report *protocol.WorkerHeartbeat }
	// Listed is the cloud's machine list.
	Listed struct{ Machines []protocol.ListedMachine }
	// Confirmed names machines that none of the peers hears either.
	Confirmed struct{ Silent []string }
	// Released names machines that the cloud has taken back.
	Released struct{ Machines []string }
	// Asked is a peer's question which of the machines this controller hears.
	Asked struct {
		Machines []string
		Reply    chan<- []string // takes one answer without blocking
	}
)

func (Assessed) event()  {}
func (Heard) event()     {}
func (Listed) event()    {}
func (Confirmed) event() {}
func (Released) event()  {}
func (Asked) event()     {}

// Effect is what a Monitor's step asks for.
type Effect interface{ effect() }

type (
	// List asks for the cloud's machine list.
	List struct{}
	// AskPeers asks every peer which of the machines it hears.
	AskPeers struct{ Machines []string }
	// Release returns machines to the cloud.
	Release struct{ Machines []string }
	// Answer answers a peer's question.
	Answer struct {
		Heard []string
		Reply chan<- []string
	}
)

func (List) effect()     {}
func (AskPeers) effect() {}
func (Release) effect()  {}
func (Answer) effect()   {}

// contact is the newest report of a machine, and when it came.
type contact struct {
	session, sequence uint64
	at                time.Duration
}

// Monitor is the state of one controller.
type Monitor struct {
	times    Times
	since    time.Duration // when the spell without a leader began
	spell    bool          // there is such a spell
	due      bool          // machines may be released now
	contacts map[string]contact
	released map[string]time.Duration
}

// New returns a monitor that has heard nothing.
func New(times Times) *Monitor {
	return &Monitor{times: times, contacts: map[string]contact{}, released: map[string]time.Duration{}}
}

// Step takes an event and returns what is to be done.
func (m *Monitor) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Assessed:
		return m.assess(now, e)
	case Heard:
		m.hear(now, e.Report)
	case Listed:
		if silent := m.silent(now, e.Machines); m.due && len(silent) > 0 {
			return []Effect{AskPeers{silent}}
		}
	case Confirmed:
		// A report may have come while the peers were asked.
		silent := slices.DeleteFunc(slices.Clone(e.Silent), func(name string) bool { return m.hears(now, name) })
		if m.due && len(silent) > 0 {
			return []Effect{Release{silent}}
		}
	case Released:
		for _, name := range e.Machines {
			m.released[name] = now
		}
	case Asked:
		heard := slices.DeleteFunc(slices.Clone(e.Machines), func(name string) bool { return !m.hears(now, name) })
		return []Effect{Answer{Heard: heard, Reply: e.Reply}}
	}
	return nil
}

// assess decides whether machines may be released now.
func (m *Monitor) assess(now time.Duration, e Assessed) []Effect {
	m.forget(now)
	if !e.Leaderless {
		m.spell, m.due = false, false
		return nil
	}
	if !m.spell {
		m.spell, m.since = true, now
	}
	outstanding := e.Forgetful || e.Held && now-e.Oldest >= m.times.Age
	m.due = outstanding && now-m.since >= m.times.Grace
	if !m.due {
		return nil
	}
	return []Effect{List{}}
}

// hear notes a report. A copy of an older one proves nothing of how its machine is.
func (m *Monitor) hear(now time.Duration, r *protocol.WorkerHeartbeat) {
	last := m.contacts[r.Machine]
	if r.Incarnation > last.session || r.Incarnation == last.session && r.Sequence > last.sequence {
		m.contacts[r.Machine] = contact{session: r.Incarnation, sequence: r.Sequence, at: now}
	}
}

// hears says whether the machine has reported lately.
func (m *Monitor) hears(now time.Duration, name string) bool {
	c, ok := m.contacts[name]
	return ok && now-c.at <= m.times.Grace
}

// silent returns the machines that run, as far as the cloud knows, and have not
// reported here lately.
func (m *Monitor) silent(now time.Duration, list []protocol.ListedMachine) (names []string) {
	for i := range list {
		name := list[i].Name
		_, released := m.released[name]
		if list[i].State == protocol.MachineRunning && !released && !m.hears(now, name) {
			names = append(names, name)
		}
	}
	return names
}

// PeerAnswer is what became of the question which of the machines a peer hears.
type PeerAnswer struct {
	Answered bool
	Heard    []string
	// Counted says that the peer has just been counted among those that agree that
	// nobody leads, and so may be serving machines.
	Counted bool
}

// StillSilent returns those of the machines that no peer hears. It is not certain, and
// false, when a peer that counts has missed the question: a live machine that only this
// peer hears would be released. The next assessment asks again.
func StillSilent(machines []string, answers []PeerAnswer) (silent []string, certain bool) {
	heard := map[string]bool{}
	for _, a := range answers {
		if !a.Answered && a.Counted {
			return nil, false
		}
		for _, name := range a.Heard {
			heard[name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(machines), func(name string) bool { return heard[name] }), true
}

// forget drops what no longer matters, so that memory does not grow with every
// machine that ever was.
func (m *Monitor) forget(now time.Duration) {
	for name, c := range m.contacts {
		if now-c.at > m.times.Memory {
			delete(m.contacts, name)
		}
	}
	for name, at := range m.released {
		if now-at > m.times.Memory {
			delete(m.released, name)
		}
	}
}
