package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

func (c *Scheduler) handleHeartbeat(now time.Duration, e HeartbeatReceived) {
	r := e.Heartbeat
	if c.hasSeenLaterTerm(r) {
		return
	}
	answer := protocol.WorkerHeartbeatReply{
		FencingToken: protocol.FencingToken(c.term, 0),
		Commands:     []protocol.Command{},
	}
	if c.autoscaler.RecentlyReleased(r.Machine) {
		c.emit(HeartbeatReply{e.ReplyTo, answer})
		return
	}
	m, newer := c.applyHeartbeat(now, r)
	if newer {
		m.Relayed = e.Relayed
		if cmds := c.machines.TakeDueCommands(now, m); cmds != nil {
			answer.Commands = cmds
		}
	}
	answer.FencingToken = c.machines.FencingToken(m)
	c.emit(HeartbeatReply{e.ReplyTo, answer})
}

// handleUnchangedHeartbeats takes in that owners have answered reports that told nothing new.
func (c *Scheduler) handleUnchangedHeartbeats(now time.Duration, e UnchangedHeartbeats) {
	var passOn []string
	for _, m := range e.Heartbeats {
		if !c.machines.HandleUnchangedHeartbeat(now, m.Machine, m.Incarnation, m.Seq) {
			passOn = append(passOn, m.Machine)
		}
	}
	e.ForwardNext(passOn)
}

func (c *Scheduler) handleCommandBatchResult(now time.Duration, e CommandBatchResult) {
	m := c.machines.Machine(e.Machine)
	if m == nil {
		return
	}
	if e.Heartbeat != nil && c.hasSeenLaterTerm(e.Heartbeat) {
		return
	}
	if e.Heartbeat != nil && e.Heartbeat.Machine == e.Machine {
		c.applyHeartbeat(now, e.Heartbeat)
	}
	c.machines.CommandAnswered(now, m, e.Acknowledged || e.Heartbeat != nil)
	if e.Heartbeat == nil {
		// Its reports may arrive though commands don't: nothing new goes there
		// until it has had time for another report.
		m.MarkUnresponsive(now + config.Seconds(2*c.cfg.Workers.HeartbeatSeconds))
	}
}

// hasSeenLaterTerm says whether a worker has seen a later term, and if so ends ours.
func (c *Scheduler) hasSeenLaterTerm(r *protocol.WorkerHeartbeat) bool {
	t := protocol.TermOfToken(r.FencingToken)
	if t > c.term {
		c.emit(StepDown{LaterTerm: t, Reason: "a worker has seen a later term"})
	}
	return t > c.term
}

// applyHeartbeat takes in what a machine says, in whichever way it came.
func (c *Scheduler) applyHeartbeat(
	now time.Duration,
	r *protocol.WorkerHeartbeat,
) (m *machineregistry.Machine, newer bool) {
	if c.hasSeenLaterTerm(r) || c.autoscaler.RecentlyReleased(r.Machine) {
		return nil, false
	}
	up := c.machines.Registered(r.Machine)
	result := c.machines.HandleHeartbeat(now, r)
	c.cycle.due = c.cycle.due || !up
	c.applyObservations(now, result.Observations)
	c.quarantineIfFailing(result.Machine)
	return result.Machine, result.Newer
}

// quarantineIfFailing sets a machine aside that fails the tasks of several jobs.
func (c *Scheduler) quarantineIfFailing(m *machineregistry.Machine) {
	if len(m.FailedJobs) >= 2 && !m.Quarantined {
		m.Quarantine()
		c.log.Info("machine set aside: it fails tasks of several jobs", "machine", m.Name)
	}
}

// sendUrgentCommands sends what is urgent straight to the machines.
func (c *Scheduler) sendUrgentCommands(now time.Duration) {
	for _, m := range c.machines.MachinesToCommand(now) {
		cmds := c.machines.TakeDueCommands(now, m)
		if len(cmds) == 0 {
			continue
		}
		c.machines.CommandSent(m)
		c.emit(
			SendCommandBatch{
				Machine: m.Name,
				Addr:    m.Addr,
				Batch: protocol.CommandBatch{
					FencingToken: c.machines.FencingToken(m),
					Incarnation:  m.Incarnation,
					Commands:     cmds,
				},
			},
		)
	}
}

// checkReachability gives the leadership away when most machines can reach other
// controllers only. Their reports are passed on here, but whoever they reach
// would serve them better, and can command them directly.
func (c *Scheduler) checkReachability(now time.Duration) {
	half := config.Seconds(c.cfg.Workers.LeaseSeconds / 2)
	if now-c.termStartedAt < half {
		return
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
	if relayed > 2*direct && relayed > 2 {
		c.emit(
			StepDown{
				Reason:             fmt.Sprintf("%d machines reach other controllers only", relayed),
				TransferLeadership: true,
			},
		)
	}
}
