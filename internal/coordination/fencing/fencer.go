// Package fencing returns silent machines to the cloud while no controller can lead.
//
// A task of a cancelled job must have ended within the cancellation's time limit. Normally the
// leader ensures that: it releases a silent machine that may still run such a task. During an
// outage of the store no leader can be elected, and no other controller knows where tasks are
// placed. But a machine that hangs resumes whatever it had, however late. So when no leader can be
// elected for a while and the deadline of a cancellation may be near, every machine is released
// that the cloud lists as running and that no controller hears. A machine that has been silent for
// that long has lost its tasks with its lease, unless it hangs: the cost of its release is at most
// a boot.
//
// Fencer is a pure state machine: it does no I/O, reads no clock and is not safe for concurrent
// use. The caller passes every event to Step and carries out the returned effects. A release takes
// these events and effects; if one of them fails, the next assessment starts over:
//
//	event               effect
//	Assessment          ListMachines
//	MachinesListed      QueryPeers
//	SilenceConfirmed    ReleaseMachines
//	MachinesReleased
package fencing

import (
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// Timing holds the intervals of fencing. All are derived from the settings.
type Timing struct {
	// GracePeriod is how long there must have been no leader, and how long a machine must have been
	// silent. A healthy worker finds another controller within it.
	GracePeriod time.Duration
	// MinIntentAge is how old a cancellation intent must be. A leader would have fenced by then.
	MinIntentAge time.Duration
	// Retention is how long heartbeats are remembered, and released machines, which old machine
	// lists still show.
	Retention time.Duration
}

// lastHeartbeat identifies the newest heartbeat of a machine.
type lastHeartbeat struct {
	incarnation, sequence uint64
	receivedAt            time.Duration
}

// Fencer is the state machine of one controller.
type Fencer struct {
	timing          Timing
	leaderless      bool
	leaderlessSince time.Duration
	mayRelease      bool // as of the last assessment
	lastHeartbeats  map[string]lastHeartbeat
	released        map[string]time.Duration // when each machine was released
}

// New returns a Fencer that has heard no machine.
func New(timing Timing) *Fencer {
	return &Fencer{timing: timing, lastHeartbeats: map[string]lastHeartbeat{}, released: map[string]time.Duration{}}
}

// Step processes an event and returns the effects that the caller must carry out, in order.
func (f *Fencer) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Assessment:
		return f.assess(now, e)
	case HeartbeatReceived:
		f.recordHeartbeat(now, e.Heartbeat)
	case MachinesListed:
		if silent := f.silentMachines(now, e.Machines); f.mayRelease && len(silent) > 0 {
			return []Effect{QueryPeers{Machines: silent}}
		}
	case SilenceConfirmed:
		// A heartbeat may have come while the peers were asked.
		silent := slices.DeleteFunc(
			slices.Clone(e.Machines),
			func(name string) bool { return f.heardRecently(now, name) },
		)
		if f.mayRelease && len(silent) > 0 {
			return []Effect{ReleaseMachines{Machines: silent}}
		}
	case MachinesReleased:
		for _, name := range e.Machines {
			f.released[name] = now
		}
	case PeerQuery:
		heard := slices.DeleteFunc(
			slices.Clone(e.Machines),
			func(name string) bool { return !f.heardRecently(now, name) },
		)
		return []Effect{AnswerPeer{Heard: heard, Reply: e.Reply}}
	}
	return nil
}

// assess decides whether machines may be released until the next assessment.
func (f *Fencer) assess(now time.Duration, a Assessment) []Effect {
	f.expire(now)
	if !a.Leaderless {
		f.leaderless, f.mayRelease = false, false
		return nil
	}
	if !f.leaderless {
		f.leaderless, f.leaderlessSince = true, now
	}
	deadlineNear := a.Recovering || a.HasIntent && now-a.OldestIntentAt >= f.timing.MinIntentAge
	f.mayRelease = deadlineNear && now-f.leaderlessSince >= f.timing.GracePeriod
	if !f.mayRelease {
		return nil
	}
	return []Effect{ListMachines{}}
}

// recordHeartbeat notes a heartbeat. A copy of an older one proves nothing about the machine.
func (f *Fencer) recordHeartbeat(now time.Duration, h *protocol.WorkerHeartbeat) {
	last := f.lastHeartbeats[h.Machine]
	if h.Incarnation > last.incarnation || h.Incarnation == last.incarnation && h.Sequence > last.sequence {
		f.lastHeartbeats[h.Machine] = lastHeartbeat{incarnation: h.Incarnation, sequence: h.Sequence, receivedAt: now}
	}
}

// heardRecently says whether a machine has sent a heartbeat within the grace period.
func (f *Fencer) heardRecently(now time.Duration, name string) bool {
	last, ok := f.lastHeartbeats[name]
	return ok && now-last.receivedAt <= f.timing.GracePeriod
}

// silentMachines returns the machines that run according to the cloud, have not been released, and
// have not been heard here recently.
func (f *Fencer) silentMachines(now time.Duration, list []protocol.ListedMachine) (names []string) {
	for i := range list {
		name := list[i].Name
		_, released := f.released[name]
		if list[i].State == protocol.MachineRunning && !released && !f.heardRecently(now, name) {
			names = append(names, name)
		}
	}
	return names
}

// expire drops what no longer matters, so that memory does not grow with every machine that ever
// existed.
func (f *Fencer) expire(now time.Duration) {
	for name, last := range f.lastHeartbeats {
		if now-last.receivedAt > f.timing.Retention {
			delete(f.lastHeartbeats, name)
		}
	}
	for name, at := range f.released {
		if now-at > f.timing.Retention {
			delete(f.released, name)
		}
	}
}
