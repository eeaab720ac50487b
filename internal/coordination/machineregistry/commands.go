package machineregistry

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// exitedTask is an exited task that the machine still reports.
type exitedTask struct {
	attempt         uint64
	outcomeRecorded bool // the record no longer counts on it
	runFencingToken uint64
	exitedAt        time.Duration
}

// TakeDueCommands returns the commands that are due to a machine, and notes that they
// are on their way. maxOrders keeps an answer inside the protocol's limit.
func (p *Registry) TakeDueCommands(now time.Duration, m *Machine) []protocol.Command {
	const maxOrders = 400
	p.raiseCommandEpochIfNeeded(now, m)
	m.newCommandsDue = false
	var out []protocol.Command
	run := func(pl *Placement) {
		pl.runSent = true
		pl.runFencingToken = p.FencingToken(m)
		out = append(out, protocol.Command{Verb: protocol.VerbRun, TaskName: pl.Task.String(), Attempt: pl.Attempt})
	}
	stop := func(id protocol.TaskID, attempt uint64, graceS float64) {
		out = append(
			out,
			protocol.Command{Verb: protocol.VerbStop, TaskName: id.String(), Attempt: attempt, GraceSeconds: &graceS},
		)
	}
	if len(m.placements) > 0 {
		for _, pl := range sortedPlacements(m.placements) {
			if len(out) >= maxOrders || !pl.StartAllowed || pl.Incarnation != m.Incarnation {
				continue
			}
			switch {
			case !pl.Stopping && !pl.Reported:
				run(pl)
			case pl.Stopping && pl.Reported:
				if pl.State != protocol.TaskSaving || pl.GraceS == 0 {
					stop(pl.Task, pl.Attempt, pl.GraceS)
				}
			case pl.Stopping:
				// A run may still be under way. It is not repeated, for long after
				// a cancel not even a moment on the machine is allowed; the raised
				// epoch makes it invalid, and the next report tells (see absent).
				stop(pl.Task, pl.Attempt, 0)
			}
		}
	}
	for _, id := range sortedTaskIDs(m.unknownTasks) {
		if len(out) < maxOrders {
			stop(id, m.unknownTasks[id], 0)
		}
	}
	for _, id := range sortedTaskIDs(m.exitedTasks) {
		if e := m.exitedTasks[id]; len(out) < maxOrders && p.canForget(m, e) {
			out = append(out, protocol.Command{Verb: protocol.VerbForget, TaskName: id.String(), Attempt: e.attempt})
			delete(m.exitedTasks, id)
		}
	}
	return out
}

// sortedTaskIDs lists the tasks of a machine in an order that does not depend on chance.
func sortedTaskIDs[V any](tasks map[protocol.TaskID]V) []protocol.TaskID {
	if len(tasks) == 0 {
		return nil
	}
	list := slices.AppendSeq(make([]protocol.TaskID, 0, len(tasks)), maps.Keys(tasks))
	slices.SortFunc(list, func(a, b protocol.TaskID) int {
		return cmp.Or(cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Index, b.Index))
	})
	return list
}

// canForget says whether no run of an exited attempt can reach the machine
// any more: after forget, a late copy would start the attempt again. Commands
// with a token below the highest that the worker has seen are refused.
func (p *Registry) canForget(m *Machine, e *exitedTask) bool {
	return e.outcomeRecorded && e.runFencingToken < m.HighestFencingToken
}

// FencingToken is what commands to the machine carry now.
func (p *Registry) FencingToken(m *Machine) uint64 {
	return protocol.FencingToken(p.term, m.commandEpoch)
}

// raiseCommandEpochIfNeeded raises the machine's epoch when exited entries wait for it, so that
// late copies of their runs are refused and the entries can be forgotten, or
// when a start without an answer is to be withdrawn. It waits for commands and
// starts under way, which the change would only delay.
func (p *Registry) raiseCommandEpochIfNeeded(now time.Duration, m *Machine) {
	pause := config.Seconds(p.workerSettings.LeaseSeconds / 2)
	if m.CommandInFlight || m.commandEpoch >= protocol.MaxTokenEpoch {
		return
	}
	starting, withdraw := false, false
	for _, pl := range m.placements {
		switch {
		case !pl.StartAllowed || pl.Reported || pl.Incarnation != m.Incarnation:
		case !pl.Stopping:
			starting = true
		case pl.runFencingToken >= p.FencingToken(m):
			withdraw = true
		}
	}
	settled := false
	if !starting && now-m.commandEpochRaisedAt >= pause {
		for _, e := range m.exitedTasks {
			if e.outcomeRecorded && e.runFencingToken >= p.FencingToken(m) && now-e.exitedAt > pause {
				settled = true
				break
			}
		}
	}
	if settled || withdraw {
		m.commandEpoch++
		m.commandEpochRaisedAt = now
	}
}

// needsCommand says whether a placement needs a command.
func (pl *Placement) needsCommand() bool {
	return pl.StartAllowed && (!pl.Reported || pl.Stopping && (pl.State != protocol.TaskSaving || pl.GraceS == 0))
}

// MachinesToCommand returns the machines that should be sent commands directly, since
// waiting for their next report would be noticed. Only those are looked at on
// which something is due: this is asked with every message.
func (p *Registry) MachinesToCommand(now time.Duration) []*Machine {
	var out []*Machine
	for name, m := range p.commandsDue {
		if p.machines[name] != m {
			delete(p.commandsDue, name)
			continue
		}
		any, here := false, false
		for _, pl := range m.placements {
			if pl.needsCommand() {
				any, here = true, here || pl.Incarnation == m.Incarnation
			}
		}
		switch {
		case !any:
			delete(p.commandsDue, name)
		case here && m.Registered && !m.CommandInFlight && !m.Relayed && m.Addr != "" && now >= m.CommandRetryAt:
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// CommandAnswered notes the outcome of a direct command: ok when it was executed.
func (p *Registry) CommandAnswered(now time.Duration, m *Machine, ok bool) {
	m.CommandInFlight = false
	if !ok {
		// The next report is the natural time for another try; a machine that is
		// silent is tried seldom, or hundreds behind a cut would take the turns of
		// those that answer.
		pause := p.workerSettings.HeartbeatSeconds
		if now-m.LastHeartbeat > p.SilenceTimeout() {
			pause = p.workerSettings.LeaseSeconds / 2
		}
		m.CommandRetryAt = now + config.Seconds(pause)
		return
	}
	if !m.newCommandsDue {
		m.CommandRetryAt = now + config.Seconds(p.workerSettings.HeartbeatSeconds/4)
	}
}
