package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// handleHeartbeat applies a worker's heartbeat and answers it with the commands that are due. A heartbeat that is
// older than the last one applied gets none.
func (c *Scheduler) handleHeartbeat(now time.Duration, e HeartbeatReceived) {
	heartbeat := e.Heartbeat
	if c.stepDownForLaterTerm(heartbeat) {
		return
	}
	reply := protocol.WorkerHeartbeatReply{
		FencingToken: protocol.FencingToken(c.term.number, 0),
		Commands:     []protocol.Command{},
	}
	if c.autoscaler.RecentlyReleased(heartbeat.Machine) {
		c.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Body: reply})
		return
	}
	m, newer := c.applyHeartbeat(now, heartbeat)
	if newer {
		m.Relayed = e.Relayed
		if commands := c.machines.TakeDueCommands(now, m); commands != nil {
			reply.Commands = commands
		}
	}
	reply.FencingToken = c.machines.FencingToken(m)
	c.emit(HeartbeatReply{ReplyTo: e.ReplyTo, Body: reply})
}

// handleUnchangedHeartbeats renews machines whose heartbeats a shard's owner has answered, and has the next heartbeat
// forwarded of those for which that is not enough.
func (c *Scheduler) handleUnchangedHeartbeats(now time.Duration, e UnchangedHeartbeats) {
	var forward []string
	for _, h := range e.Heartbeats {
		if !c.machines.HandleUnchangedHeartbeat(now, h.Machine, h.Incarnation, h.Seq) {
			forward = append(forward, h.Machine)
		}
	}
	e.ForwardNext(forward)
}

// handleCommandBatchResult applies the heartbeat with which a machine has answered commands. One that did not answer
// gets no new tasks until it has had time for a heartbeat: heartbeats may arrive although commands don't.
func (c *Scheduler) handleCommandBatchResult(now time.Duration, e CommandBatchResult) {
	m := c.machines.Machine(e.Machine)
	if m == nil {
		return
	}
	if e.Heartbeat != nil && c.stepDownForLaterTerm(e.Heartbeat) {
		return
	}
	if e.Heartbeat != nil && e.Heartbeat.Machine == e.Machine {
		c.applyHeartbeat(now, e.Heartbeat)
	}
	c.machines.CommandAnswered(now, m, e.Acknowledged || e.Heartbeat != nil)
	if e.Heartbeat == nil {
		m.MarkUnresponsive(now + config.Seconds(2*c.cfg.Workers.HeartbeatSeconds))
	}
}

// stepDownForLaterTerm ends the term if a worker has seen a later one, and reports whether it has.
func (c *Scheduler) stepDownForLaterTerm(heartbeat *protocol.WorkerHeartbeat) bool {
	term := protocol.TermOfToken(heartbeat.FencingToken)
	if term <= c.term.number {
		return false
	}
	c.emit(StepDown{LaterTerm: term, Reason: "a worker has seen a later term"})
	return true
}

// applyHeartbeat applies a heartbeat, however it was received. It returns no machine if the machine was returned to
// the cloud, and newer if the heartbeat is newer than the last one applied.
func (c *Scheduler) applyHeartbeat(
	now time.Duration, heartbeat *protocol.WorkerHeartbeat,
) (m *machineregistry.Machine, newer bool) {
	if c.stepDownForLaterTerm(heartbeat) || c.autoscaler.RecentlyReleased(heartbeat.Machine) {
		return nil, false
	}
	registered := c.machines.Registered(heartbeat.Machine)
	result := c.machines.HandleHeartbeat(now, heartbeat)
	c.cycle.due = c.cycle.due || !registered
	c.applyObservations(now, result.Observations)
	c.quarantineIfFailing(result.Machine)
	return result.Machine, result.Newer
}

// quarantineIfFailing quarantines a machine that fails the tasks of several jobs.
func (c *Scheduler) quarantineIfFailing(m *machineregistry.Machine) {
	if len(m.FailedJobs) >= quarantineJobs && !m.Quarantined {
		m.Quarantine()
		c.log.Info("machine quarantined", "machine", m.Name, "reason", "tasks of several jobs failed")
	}
}

// sendUrgentCommands sends commands to machines that should not wait for the machines' next heartbeats.
func (c *Scheduler) sendUrgentCommands(now time.Duration) {
	for _, m := range c.machines.MachinesToCommand(now) {
		commands := c.machines.TakeDueCommands(now, m)
		if len(commands) == 0 {
			continue
		}
		c.machines.CommandSent(m)
		c.emit(SendCommandBatch{
			Machine: m.Name,
			Addr:    m.Addr,
			Batch: protocol.CommandBatch{
				FencingToken: c.machines.FencingToken(m),
				Incarnation:  m.Incarnation,
				Commands:     commands,
			},
		})
	}
}

// Leadership is transferred when more than minRelayedMachines, and more than relayedRatio times as many as send their
// heartbeats here, reach other controllers only.
const (
	minRelayedMachines = 2
	relayedRatio       = 2
)

// checkReachability transfers the leadership when most machines reach other controllers only. Their heartbeats are
// relayed, but a controller that they reach would serve them better, and can command them directly.
func (c *Scheduler) checkReachability(now time.Duration) {
	if now-c.term.startedAt < config.Seconds(c.cfg.Workers.LeaseSeconds/2) {
		return // machines have not had the time to find this controller
	}
	direct, relayed := 0, 0
	c.machines.Each(func(m *machineregistry.Machine) {
		switch {
		case !m.Registered || now-m.LastHeartbeat > c.machines.SilenceTimeout():
		case m.Relayed:
			relayed++
		default:
			direct++
		}
	})
	if relayed > relayedRatio*direct && relayed > minRelayedMachines {
		c.emit(StepDown{
			Reason:             fmt.Sprintf("%d machines reach other controllers only", relayed),
			TransferLeadership: true,
		})
	}
}
