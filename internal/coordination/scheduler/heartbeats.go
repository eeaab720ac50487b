package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// handleHeartbeat applies a heartbeat from a worker and answers it with the commands that are due. A heartbeat older
// than the last one applied is answered without commands.
func (s *Scheduler) handleHeartbeat(now time.Duration, e HeartbeatReceived) {
	heartbeat := e.Heartbeat
	if s.stepDownForLaterTerm(heartbeat) {
		return
	}
	reply := protocol.WorkerHeartbeatReply{
		FencingToken: protocol.FencingToken(s.term.number, 0),
		Commands:     []protocol.Command{},
	}
	if s.autoscaler.RecentlyReleased(heartbeat.Machine) {
		s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Body: reply})
		return
	}
	m, newer := s.applyHeartbeat(now, heartbeat)
	if newer {
		m.Relayed = e.Relayed
		if commands := s.machines.TakeDueCommands(now, m); commands != nil {
			reply.Commands = commands
		}
	}
	reply.FencingToken = s.machines.FencingToken(m)
	s.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Body: reply})
}

// handleUnchangedHeartbeats renews the machines whose heartbeats were answered by the owner of a shard. For machines
// where that is not sufficient, it asks the owner to forward the next heartbeat.
func (s *Scheduler) handleUnchangedHeartbeats(now time.Duration, e UnchangedHeartbeats) {
	var forward []string
	for _, h := range e.Heartbeats {
		if !s.machines.HandleUnchangedHeartbeat(now, h.Machine, h.Incarnation, h.Sequence) {
			forward = append(forward, h.Machine)
		}
	}
	e.ForwardNext(forward)
}

// stepDownForLaterTerm ends the term if the fencing token in a heartbeat is of a later term, and reports whether it is.
func (s *Scheduler) stepDownForLaterTerm(heartbeat *protocol.WorkerHeartbeat) bool {
	term := protocol.TermOfToken(heartbeat.FencingToken)
	if term <= s.term.number {
		return false
	}
	s.emit(StepDown{LaterTerm: term, Reason: "a worker has seen a later term"})
	return true
}

// applyHeartbeat applies a heartbeat, regardless of how it was received. It returns no machine if the machine was
// released or if a later term has begun. newer is set if the heartbeat is newer than the last one applied.
func (s *Scheduler) applyHeartbeat(
	now time.Duration, heartbeat *protocol.WorkerHeartbeat,
) (m *machineregistry.Machine, newer bool) {
	if s.stepDownForLaterTerm(heartbeat) || s.autoscaler.RecentlyReleased(heartbeat.Machine) {
		return nil, false
	}
	registered := s.machines.Registered(heartbeat.Machine)
	result := s.machines.HandleHeartbeat(now, heartbeat)
	s.cycle.due = s.cycle.due || !registered
	s.applyObservations(now, result.Observations)
	s.quarantineIfFailing(result.Machine)
	return result.Machine, result.Newer
}

// quarantineIfFailing quarantines a machine on which tasks of several jobs have failed.
func (s *Scheduler) quarantineIfFailing(m *machineregistry.Machine) {
	if len(m.FailedJobs) >= quarantineThreshold && !m.Quarantined {
		m.Quarantine()
		s.log.Info("machine quarantined", "machine", m.Name, "reason", "tasks of several jobs failed")
	}
}

// The leadership is transferred if more than minRelayedMachines machines, and more than relayedRatio times as many as
// send heartbeats to this controller, reach only other controllers.
const (
	minRelayedMachines = 2
	relayedRatio       = 2
)

// checkReachability transfers the leadership if most machines reach only other controllers. Their heartbeats are
// relayed, but a controller that they can reach would serve them better and could send them commands directly.
func (s *Scheduler) checkReachability(now time.Duration) {
	if now-s.term.startedAt < config.Seconds(s.cfg.Workers.LeaseSeconds/2) {
		return // machines have not had enough time to find this controller
	}
	direct, relayed := 0, 0
	s.machines.Each(func(m *machineregistry.Machine) {
		switch {
		case !m.Registered || now-m.LastHeartbeat > s.machines.UnreachableTimeout():
		case m.Relayed:
			relayed++
		default:
			direct++
		}
	})
	if relayed > relayedRatio*direct && relayed > minRelayedMachines {
		s.emit(StepDown{
			Reason:             fmt.Sprintf("%d machines reach other controllers only", relayed),
			TransferLeadership: true,
		})
	}
}
