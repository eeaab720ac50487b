// Package fencing returns unreachable machines to the cloud while no controller can lead.
//
// A task of a cancelled job must have ended within the time limit for cancellations. Normally the leader enforces this
// by releasing an unreachable machine that may still run such a task. During an outage of the store, no leader can be
// elected, and no other controller knows where tasks are placed. Yet a hung machine resumes its tasks when it recovers,
// however late that is. Therefore, once no leader could be elected for a while and the deadline of a cancellation may
// be near, every machine is released that the cloud lists as running and that no controller has received a heartbeat
// from. Unless it hangs, a machine that has been unreachable for that long has already lost its tasks, because its
// lease has expired. Releasing it costs no more than booting a machine again.
//
// Fencer is a pure state machine: it performs no I/O, reads no clock and is not safe for concurrent use. The caller
// passes each event to Step and carries out the returned effects. A release is the following sequence; if any effect
// fails, the next Assessment starts over:
//
//	event                   effect
//	Assessment              ListMachines
//	MachinesListed          QueryPeers
//	UnreachableConfirmed    ReleaseMachines
//	MachinesReleased
package fencing

import (
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// Timing holds the intervals of the fencer, all of which are derived from the configuration.
type Timing struct {
	// GracePeriod is how long there must have been no leader, and how long a machine must have been unreachable, before
	// the machine is released. A healthy worker finds another controller within this time.
	GracePeriod time.Duration
	// MinIntentAge is the minimum age of a cancellation intent that justifies a release. A leader would have fenced the
	// machine by then.
	MinIntentAge time.Duration
	// Retention is how long heartbeats and released machines are remembered. Released machines are remembered because
	// outdated machine lists still contain them.
	Retention time.Duration
}

// lastHeartbeat identifies the most recent heartbeat of a machine.
type lastHeartbeat struct {
	incarnation, sequence uint64
	receivedAt            time.Duration
}

// Fencer is the state machine of a single controller. See the package comment for how to drive it.
type Fencer struct {
	timing          Timing
	leaderless      bool
	leaderlessSince time.Duration
	mayRelease      bool // as of the latest Assessment
	lastHeartbeats  map[string]lastHeartbeat
	releasedAt      map[string]time.Duration // release time of each machine
}

// New returns a Fencer that has not received any heartbeat.
func New(timing Timing) *Fencer {
	return &Fencer{timing: timing, lastHeartbeats: map[string]lastHeartbeat{}, releasedAt: map[string]time.Duration{}}
}

// Step processes an event and returns the effects that the caller must carry out, in order.
func (f *Fencer) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Assessment:
		return f.assess(now, e)
	case HeartbeatReceived:
		f.recordHeartbeat(now, e.Heartbeat)
	case MachinesListed:
		if unreachable := f.unreachableMachines(now, e.Machines); f.mayRelease && len(unreachable) > 0 {
			return []Effect{QueryPeers{Machines: unreachable}}
		}
	case UnreachableConfirmed:
		// Heartbeats may have arrived while the peers were queried.
		unreachable := slices.DeleteFunc(
			slices.Clone(e.Machines),
			func(name string) bool { return f.hasRecentHeartbeat(now, name) },
		)
		if f.mayRelease && len(unreachable) > 0 {
			return []Effect{ReleaseMachines{Machines: unreachable}}
		}
	case MachinesReleased:
		for _, name := range e.Machines {
			f.releasedAt[name] = now
		}
	case PeerQuery:
		live := slices.DeleteFunc(
			slices.Clone(e.Machines),
			func(name string) bool { return !f.hasRecentHeartbeat(now, name) },
		)
		return []Effect{AnswerPeer{LiveMachines: live, Reply: e.Reply}}
	}
	return nil
}

// assess determines whether machines may be released until the next assessment.
func (f *Fencer) assess(now time.Duration, a Assessment) []Effect {
	f.dropOutdated(now)
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

// recordHeartbeat records a heartbeat unless it repeats an older one, which does not prove that the machine is alive.
func (f *Fencer) recordHeartbeat(now time.Duration, h *protocol.WorkerHeartbeat) {
	last := f.lastHeartbeats[h.Machine]
	if h.Incarnation > last.incarnation || h.Incarnation == last.incarnation && h.Sequence > last.sequence {
		f.lastHeartbeats[h.Machine] = lastHeartbeat{incarnation: h.Incarnation, sequence: h.Sequence, receivedAt: now}
	}
}

// hasRecentHeartbeat reports whether a heartbeat of the machine was received within the grace period.
func (f *Fencer) hasRecentHeartbeat(now time.Duration, name string) bool {
	last, ok := f.lastHeartbeats[name]
	return ok && now-last.receivedAt <= f.timing.GracePeriod
}

// unreachableMachines returns the machines that are running according to the cloud, have not been released, and have
// sent no recent heartbeat to this controller.
func (f *Fencer) unreachableMachines(now time.Duration, list []protocol.ListedMachine) (names []string) {
	for i := range list {
		name := list[i].Name
		_, released := f.releasedAt[name]
		if list[i].State == protocol.MachineRunning && !released && !f.hasRecentHeartbeat(now, name) {
			names = append(names, name)
		}
	}
	return names
}

// dropOutdated drops outdated entries, so that memory use does not grow with every machine that has ever existed.
func (f *Fencer) dropOutdated(now time.Duration) {
	for name, last := range f.lastHeartbeats {
		if now-last.receivedAt > f.timing.Retention {
			delete(f.lastHeartbeats, name)
		}
	}
	for name, at := range f.releasedAt {
		if now-at > f.timing.Retention {
			delete(f.releasedAt, name)
		}
	}
}
