package partition

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// exit is an exited task that the machine still reports.
type exit struct {
	attempt  uint64
	settled  bool // the record no longer counts on it
	runToken uint64
	at       time.Duration
}

// Orders returns the commands that are due to a machine, and notes that they
// are on their way. maxOrders keeps an answer inside the protocol's limit.
func (p *Partition) Orders(now time.Duration, m *Machine) []protocol.Command {
	const maxOrders = 400
	p.raiseEpoch(now, m)
	m.fresh = false
	var out []protocol.Command
	run := func(pl *Placement) {
		pl.sent = true
		pl.runToken = p.Token(m)
		out = append(out, protocol.Command{Verb: protocol.VerbRun, TaskName: pl.Task.String(), Attempt: pl.Attempt})
	}
	stop := func(id protocol.TaskID, attempt uint64, graceS float64) {
		out = append(out, protocol.Command{Verb: protocol.VerbStop, TaskName: id.String(), Attempt: attempt, GraceSeconds: &graceS})
	}
	if len(m.placements) > 0 {
		for _, pl := range sorted(m.placements) {
			if len(out) >= maxOrders || !pl.Written || pl.Session != m.Session {
				continue
			}
			switch {
			case !pl.Stopping && !pl.Seen:
				run(pl)
			case pl.Stopping && pl.Seen:
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
	for _, id := range inOrder(m.stray) {
		if len(out) < maxOrders {
			stop(id, m.stray[id], 0)
		}
	}
	for _, id := range inOrder(m.exits) {
		if e := m.exits[id]; len(out) < maxOrders && p.forgettable(m, e) {
			out = append(out, protocol.Command{Verb: protocol.VerbForget, TaskName: id.String(), Attempt: e.attempt})
			delete(m.exits, id)
		}
	}
	return out
}

// inOrder lists the tasks of a machine in an order that does not depend on chance.
func inOrder[V any](tasks map[protocol.TaskID]V) []protocol.TaskID {
	if len(tasks) == 0 {
		return nil
	}
	list := slices.AppendSeq(make([]protocol.TaskID, 0, len(tasks)), maps.Keys(tasks))
	slices.SortFunc(list, func(a, b protocol.TaskID) int {
		return cmp.Or(cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Index, b.Index))
	})
	return list
}

// forgettable says whether no run of an exited attempt can reach the machine
// any more: after forget, a late copy would start the attempt again. Commands
// with a token below the highest that the worker has seen are refused.
func (p *Partition) forgettable(m *Machine, e *exit) bool {
	return e.settled && e.runToken < m.Token
}

// Token is what commands to the machine carry now.
func (p *Partition) Token(m *Machine) uint64 { return protocol.FencingToken(p.term, m.epoch) }

// raiseEpoch raises the machine's epoch when exited entries wait for it, so that
// late copies of their runs are refused and the entries can be forgotten, or
// when a start without an answer is to be withdrawn. It waits for commands and
// starts under way, which the change would only delay.
func (p *Partition) raiseEpoch(now time.Duration, m *Machine) {
	pause := config.Seconds(p.workers.LeaseS / 2)
	if m.Busy || m.epoch >= protocol.MaxTokenEpoch {
		return
	}
	starting, withdraw := false, false
	for _, pl := range m.placements {
		switch {
		case !pl.Written || pl.Seen || pl.Session != m.Session:
		case !pl.Stopping:
			starting = true
		case pl.runToken >= p.Token(m):
			withdraw = true
		}
	}
	settled := false
	if !starting && now-m.epochRaised >= pause {
		for _, e := range m.exits {
			if e.settled && e.runToken >= p.Token(m) && now-e.at > pause {
				settled = true
				break
			}
		}
	}
	if settled || withdraw {
		m.epoch++
		m.epochRaised = now
	}
}

// due says whether a placement needs a command.
func (pl *Placement) due() bool {
	return pl.Written && (!pl.Seen || pl.Stopping && (pl.State != protocol.TaskSaving || pl.GraceS == 0))
}

// Urgent returns the machines that should be sent commands directly, since
// waiting for their next report would be noticed. Only those are looked at on
// which something is due: this is asked with every message.
func (p *Partition) Urgent(now time.Duration) []*Machine {
	var out []*Machine
	for name, m := range p.commandsDue {
		if p.machines[name] != m {
			delete(p.commandsDue, name)
			continue
		}
		any, here := false, false
		for _, pl := range m.placements {
			if pl.due() {
				any, here = true, here || pl.Session == m.Session
			}
		}
		switch {
		case !any:
			delete(p.commandsDue, name)
		case here && m.Up && !m.Busy && !m.Relayed && m.Addr != "" && now >= m.RetryAt:
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Answered notes the outcome of a direct command: ok when it was executed.
func (p *Partition) Answered(now time.Duration, m *Machine, ok bool) {
	m.Busy = false
	if !ok {
		// The next report is the natural time for another try; a machine that is
		// silent is tried seldom, or hundreds behind a cut would take the turns of
		// those that answer.
		pause := p.workers.ReportS
		if now-m.Heard > p.Silent() {
			pause = p.workers.LeaseS / 2
		}
		m.RetryAt = now + config.Seconds(pause)
		return
	}
	if !m.fresh {
		m.RetryAt = now + config.Seconds(p.workers.ReportS/4)
	}
}
