package machineregistry

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// Observation is something that a partition learnt of a placement.
type Observation struct {
	Placement *Placement
	Lost      bool // gone without having exited by itself
}

// HandleHeartbeat takes in a worker's message. It returns what changed; newer is false
// for copies and latecomers, whose task lists prove nothing but exits.
func (p *Registry) HandleHeartbeat(
	now time.Duration,
	r *protocol.WorkerHeartbeat,
) (m *Machine, facts []Observation, newer bool) {
	m = p.GetOrCreate(now, r.Machine)
	if !p.Schedulable(now, m) {
		defer p.markChanged(m) // it may be open now
	}
	newer = r.Incarnation > m.Incarnation || r.Incarnation == m.Incarnation && r.Sequence > m.Seq
	if r.Incarnation > m.Incarnation {
		// The worker has killed everything of its earlier sessions.
		for _, pl := range sortedPlacements(m.placements) {
			if pl.Incarnation < r.Incarnation {
				p.removePlacement(now, m, pl)
				facts = append(facts, Observation{pl, true})
			}
		}
		if m.Incarnation != 0 {
			// Its lease ran out while we may have been answering: wait until it
			// has shown that it takes commands.
			m.UnresponsiveUntil = now + config.Seconds(p.workerSettings.HeartbeatSeconds)
		}
		m.exitedTasks, m.unknownTasks = map[protocol.TaskID]*exitedTask{}, map[protocol.TaskID]uint64{}
		m.Incarnation, m.Seq = r.Incarnation, 0
	}
	if r.Incarnation < m.Incarnation {
		return m, facts, false
	}
	if newer {
		m.Seq = r.Sequence
		m.LastHeartbeat, m.Registered = now, true
		if m.Type != r.Type || m.Zone != r.Zone || m.Spot != r.Spot {
			p.markChanged(m)
		}
		m.Addr, m.Type, m.Zone, m.Spot = r.Addr, r.Type, r.Zone, r.Spot
		m.HighestFencingToken = max(m.HighestFencingToken, r.FencingToken)
		if r.InterruptionNoticeSeconds != nil && !m.InterruptionNotice {
			m.InterruptionNotice = true
			p.indexes.withInterruptionNotice.Set(m)
		}
		clear(m.unknownTasks)
	}
	listed := make(map[protocol.TaskID]uint64, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, err := protocol.ParseTaskID(t.TaskName)
		if err != nil {
			continue // a stranger's task is nothing that we can command
		}
		listed[id] = t.Attempt
		if f, ok := p.handleTaskStatus(now, m, id, t, newer); ok {
			facts = append(facts, f)
		}
	}
	if newer {
		facts = append(facts, p.removeAbsent(now, m, r.FencingToken, listed)...)
	}
	return m, facts, newer
}

// HandleUnchangedHeartbeat takes in that an owner has answered a report which told nothing new, and says whether it
// knows as much of the machine: if not, or if the machine has commands to take, the next report is to be passed on.
func (p *Registry) HandleUnchangedHeartbeat(now time.Duration, name string, session, seq uint64) bool {
	m := p.machines[name]
	if m == nil || !m.Registered || m.Incarnation != session {
		return false
	}
	if seq > m.Seq {
		if !p.Schedulable(now, m) {
			defer p.markChanged(m) // it may be open now
		}
		m.Seq, m.LastHeartbeat, m.Relayed = seq, now, false
	}
	return p.commandsDue[name] != m && len(m.unknownTasks) == 0 && len(m.exitedTasks) == 0
}

// removeAbsent finds the placements that are to end and are proven not to be there.
// A worker refuses runs whose token is below the highest that it has seen. So
// when it reports a token above all those that a run of the attempt was sent
// with, none can be executed any more, and an attempt that it does not list is
// not there and will not be. Without the token, absence proves nothing.
func (p *Registry) removeAbsent(
	now time.Duration,
	m *Machine,
	token uint64,
	listed map[protocol.TaskID]uint64,
) (facts []Observation) {
	for _, pl := range sortedPlacements(m.placements) {
		if !pl.Stopping || pl.Reported || pl.Incarnation != m.Incarnation || token <= pl.runFencingToken ||
			listed[pl.Task] == pl.Attempt {
			continue
		}
		p.removePlacement(now, m, pl)
		p.abandonFetch(m, pl)
		facts = append(facts, Observation{pl, true})
	}
	return facts
}

// handleTaskStatus takes in one task of a report.
func (p *Registry) handleTaskStatus(
	now time.Duration,
	m *Machine,
	id protocol.TaskID,
	t *protocol.TaskStatus,
	newer bool,
) (Observation, bool) {
	pl := m.placements[id]
	if pl == nil || pl.Attempt != t.Attempt || pl.Incarnation != m.Incarnation {
		e := m.exitedTasks[id]
		known := e != nil && e.attempt == t.Attempt
		switch {
		case t.State == protocol.TaskExited && !known && (pl == nil || pl.Attempt > t.Attempt) && (e == nil || e.attempt < t.Attempt):
			// Nothing of this term: an earlier leader's, whose outcome is
			// recorded, or else the record would still name it.
			m.exitedTasks[id] = &exitedTask{
				attempt:         t.Attempt,
				outcomeRecorded: true,
				runFencingToken: protocol.FencingToken(p.term, 0) - 1,
				exitedAt:        now,
			}
		case t.State != protocol.TaskExited && newer && !known:
			m.unknownTasks[id] = t.Attempt
		}
		return Observation{}, false
	}
	pl.runSent = true
	changed := !pl.Reported
	pl.Reported = true
	if t.State == protocol.TaskExited {
		pl.State, pl.Cause, pl.CheckpointSaved, pl.StateSince = t.State, t.Cause, t.CheckpointSaved, now
		p.removePlacement(now, m, pl)
		m.exitedTasks[id] = &exitedTask{attempt: pl.Attempt, runFencingToken: pl.runFencingToken, exitedAt: now}
		switch t.Cause {
		case protocol.CauseDone:
			clear(m.FailedJobs)
		case protocol.CauseError:
			m.FailedJobs[id.JobID] = true
		}
		if t.Cause != protocol.CauseDone {
			p.abandonFetch(m, pl)
		}
		return Observation{Placement: pl}, true
	}
	if newer && pl.State != t.State {
		pl.State, pl.StateSince = t.State, now
		changed = true
		if t.State != protocol.TaskFetching && pl.Job != nil {
			if im := m.images[pl.Job.Image]; im != nil {
				if !im.confirmed {
					im.confirmed = true
					p.setImage(m, pl.Job.Image, im)
				}
			} else {
				p.setImage(m, pl.Job.Image, &imageEntry{sizeGB: pl.Job.ImageGB, confirmed: true, lastUsed: now})
			}
		}
	}
	return Observation{Placement: pl}, changed
}

// Remove says that a machine is proven gone, with all that was on it.
func (p *Registry) Remove(now time.Duration, name string) []Observation {
	m := p.machines[name]
	if m == nil {
		return nil
	}
	var facts []Observation
	for _, pl := range sortedPlacements(m.placements) {
		p.removePlacement(now, m, pl)
		facts = append(facts, Observation{pl, true})
	}
	p.unindexMachine(m)
	delete(p.machines, name)
	if i, ok := slices.BinarySearchFunc(p.sortedMachines, name, compareName); ok {
		p.sortedMachines = slices.Delete(p.sortedMachines, i, i+1)
	}
	return facts
}

func sortedPlacements(ps map[protocol.TaskID]*Placement) []*Placement {
	list := make([]*Placement, 0, len(ps))
	for _, id := range sortedTaskIDs(ps) {
		list = append(list, ps[id])
	}
	return list
}
