package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

func (c *Core) reported(now time.Duration, e Reported) {
	r := e.Report
	if c.outdated(r) {
		return
	}
	answer := protocol.WorkerHeartbeatReply{FencingToken: protocol.FencingToken(c.term, 0), Commands: []protocol.Command{}}
	if c.fleet.RecentlyReleased(r.Machine) {
		c.emit(Answer{e.Tag, answer})
		return
	}
	m, newer := c.heard(now, r)
	if newer {
		m.Relayed = e.Relayed
		if cmds := c.machines.TakeDueCommands(now, m); cmds != nil {
			answer.Commands = cmds
		}
	}
	answer.FencingToken = c.machines.FencingToken(m)
	c.emit(Answer{e.Tag, answer})
}

// alive takes in that owners have answered reports that told nothing new.
func (c *Core) alive(now time.Duration, e Alive) {
	var passOn []string
	for _, m := range e.Machines {
		if !c.machines.HandleUnchangedHeartbeat(now, m.Name, m.Session, m.Seq) {
			passOn = append(passOn, m.Name)
		}
	}
	e.Reply(passOn)
}

func (c *Core) ordersDone(now time.Duration, e OrdersDone) {
	m := c.machines.Machine(e.Machine)
	if m == nil {
		return
	}
	if e.Report != nil && c.outdated(e.Report) {
		return
	}
	if e.Report != nil && e.Report.Machine == e.Machine {
		c.heard(now, e.Report)
	}
	c.machines.CommandAnswered(now, m, e.OK || e.Report != nil)
	if e.Report == nil {
		// Its reports may arrive though commands don't: nothing new goes there
		// until it has had time for another report.
		m.UnresponsiveUntil = now + config.Seconds(2*c.cfg.Workers.HeartbeatSeconds)
	}
}

// outdated says whether a worker has seen a later term, and if so ends ours.
func (c *Core) outdated(r *protocol.WorkerHeartbeat) bool {
	t := protocol.TermOfToken(r.FencingToken)
	if t > c.term {
		c.emit(Depose{Term: t, Reason: "a worker has seen a later term"})
	}
	return t > c.term
}

// heard takes in what a machine says, in whichever way it came.
func (c *Core) heard(now time.Duration, r *protocol.WorkerHeartbeat) (m *partition.Machine, newer bool) {
	if c.outdated(r) || c.fleet.RecentlyReleased(r.Machine) {
		return nil, false
	}
	up := c.machines.Registered(r.Machine)
	m, facts, newer := c.machines.HandleHeartbeat(now, r)
	c.due = c.due || !up
	c.facts(now, facts)
	c.judgeMachine(m)
	return m, newer
}

// judgeMachine sets a machine aside that fails the tasks of several jobs.
func (c *Core) judgeMachine(m *partition.Machine) {
	if len(m.FailedJobs) >= 2 && !m.Quarantined {
		m.Quarantined = true
		c.log.Info("machine set aside: it fails tasks of several jobs", "machine", m.Name)
	}
}

// send sends what is urgent straight to the machines.
func (c *Core) send(now time.Duration) {
	for _, m := range c.machines.MachinesToCommand(now) {
		cmds := c.machines.TakeDueCommands(now, m)
		if len(cmds) == 0 {
			continue
		}
		m.CommandInFlight = true
		c.emit(Order{Machine: m.Name, Addr: m.Addr, Orders: protocol.CommandBatch{FencingToken: c.machines.FencingToken(m), Incarnation: m.Incarnation, Commands: cmds}})
	}
}

// checkReach gives the leadership away when most machines can reach other
// controllers only. Their reports are passed on here, but whoever they reach
// would serve them better, and can command them directly.
func (c *Core) checkReach(now time.Duration) {
	half := config.Seconds(c.cfg.Workers.LeaseSeconds / 2)
	if now-c.began < half {
		return
	}
	direct, relayed := 0, 0
	c.machines.Each(func(m *partition.Machine) {
		switch {
		case !m.Registered || now-m.LastHeartbeat > c.machines.SilenceTimeout():
		case m.Relayed:
			relayed++
		default:
			direct++
		}
	})
	if relayed > 2*direct && relayed > 2 {
		c.emit(Depose{Reason: fmt.Sprintf("%d machines reach other controllers only", relayed), Away: true})
	}
}
