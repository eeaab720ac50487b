package partition

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// Fact is something that a partition learnt of a placement.
type Fact struct {
	Placement *Placement
	Lost      bool // gone without having exited by itself
}

// Report takes in a worker's message. It returns what changed; newer is false
// for copies and latecomers, whose task lists prove nothing but exits.
func (p *Partition) Report(now time.Duration, r *protocol.WorkerHeartbeat) (m *Machine, facts []Fact, newer bool) {
	m = p.Ensure(now, r.Machine)
	if !p.Open(now, m) {
		defer p.touch(m) // it may be open now
	}
	newer = r.Incarnation > m.Session || r.Incarnation == m.Session && r.Sequence > m.Seq
	if r.Incarnation > m.Session {
		// The worker has killed everything of its earlier sessions.
		for _, pl := range sorted(m.placements) {
			if pl.Session < r.Incarnation {
				p.remove(now, m, pl)
				facts = append(facts, Fact{pl, true})
			}
		}
		if m.Session != 0 {
			// Its lease ran out while we may have been answering: wait until it
			// has shown that it takes commands.
			m.MutedUntil = now + config.Seconds(p.workers.ReportS)
		}
		m.exits, m.stray = map[protocol.TaskID]*exit{}, map[protocol.TaskID]uint64{}
		m.Session, m.Seq = r.Incarnation, 0
	}
	if r.Incarnation < m.Session {
		return m, facts, false
	}
	if newer {
		m.Seq = r.Sequence
		m.Heard, m.Up = now, true
		if m.Type != r.Type || m.Zone != r.Zone || m.Spot != r.Spot {
			p.touch(m)
		}
		m.Addr, m.Type, m.Zone, m.Spot = r.Addr, r.Type, r.Zone, r.Spot
		m.Token = max(m.Token, r.FencingToken)
		if r.InterruptionNoticeSeconds != nil && !m.Notice {
			m.Notice = true
			p.views.noticed.Set(m)
		}
		clear(m.stray)
	}
	listed := make(map[protocol.TaskID]uint64, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, err := protocol.ParseTaskID(t.TaskName)
		if err != nil {
			continue // a stranger's task is nothing that we can command
		}
		listed[id] = t.Attempt
		if f, ok := p.task(now, m, id, t, newer); ok {
			facts = append(facts, f)
		}
	}
	if newer {
		facts = append(facts, p.absent(now, m, r.FencingToken, listed)...)
	}
	return m, facts, newer
}

// Alive takes in that an owner has answered a report which told nothing new, and says whether it knows as much of the
// machine: if not, or if the machine has commands to take, the next report is to be passed on.
func (p *Partition) Alive(now time.Duration, name string, session, seq uint64) bool {
	m := p.machines[name]
	if m == nil || !m.Up || m.Session != session {
		return false
	}
	if seq > m.Seq {
		if !p.Open(now, m) {
			defer p.touch(m) // it may be open now
		}
		m.Seq, m.Heard, m.Relayed = seq, now, false
	}
	return p.commandsDue[name] != m && len(m.stray) == 0 && len(m.exits) == 0
}

// absent finds the placements that are to end and are proven not to be there.
// A worker refuses runs whose token is below the highest that it has seen. So
// when it reports a token above all those that a run of the attempt was sent
// with, none can be executed any more, and an attempt that it does not list is
// not there and will not be. Without the token, absence proves nothing.
func (p *Partition) absent(now time.Duration, m *Machine, token uint64, listed map[protocol.TaskID]uint64) (facts []Fact) {
	for _, pl := range sorted(m.placements) {
		if !pl.Stopping || pl.Seen || pl.Session != m.Session || token <= pl.runToken || listed[pl.Task] == pl.Attempt {
			continue
		}
		p.remove(now, m, pl)
		p.dropFetch(m, pl)
		facts = append(facts, Fact{pl, true})
	}
	return facts
}

// task takes in one task of a report.
func (p *Partition) task(now time.Duration, m *Machine, id protocol.TaskID, t *protocol.TaskStatus, newer bool) (Fact, bool) {
	pl := m.placements[id]
	if pl == nil || pl.Attempt != t.Attempt || pl.Session != m.Session {
		e := m.exits[id]
		known := e != nil && e.attempt == t.Attempt
		switch {
		case t.State == protocol.TaskExited && !known && (pl == nil || pl.Attempt > t.Attempt) && (e == nil || e.attempt < t.Attempt):
			// Nothing of this term: an earlier leader's, whose outcome is
			// recorded, or else the record would still name it.
			m.exits[id] = &exit{attempt: t.Attempt, settled: true, runToken: protocol.FencingToken(p.term, 0) - 1, at: now}
		case t.State != protocol.TaskExited && newer && !known:
			m.stray[id] = t.Attempt
		}
		return Fact{}, false
	}
	pl.sent = true
	changed := !pl.Seen
	pl.Seen = true
	if t.State == protocol.TaskExited {
		pl.State, pl.Cause, pl.Saved, pl.Since = t.State, t.Cause, t.CheckpointSaved, now
		p.remove(now, m, pl)
		m.exits[id] = &exit{attempt: pl.Attempt, runToken: pl.runToken, at: now}
		switch t.Cause {
		case protocol.CauseDone:
			clear(m.Errors)
		case protocol.CauseError:
			m.Errors[id.JobID] = true
		}
		if t.Cause != protocol.CauseDone {
			p.dropFetch(m, pl)
		}
		return Fact{Placement: pl}, true
	}
	if newer && pl.State != t.State {
		pl.State, pl.Since = t.State, now
		changed = true
		if t.State != protocol.TaskFetching && pl.Job != nil {
			if im := m.images[pl.Job.Image]; im != nil {
				if !im.sure {
					im.sure = true
					p.setImage(m, pl.Job.Image, im)
				}
			} else {
				p.setImage(m, pl.Job.Image, &image{sizeGB: pl.Job.ImageGB, sure: true, used: now})
			}
		}
	}
	return Fact{Placement: pl}, changed
}

// Lost says that a machine is proven gone, with all that was on it.
func (p *Partition) Lost(now time.Duration, name string) []Fact {
	m := p.machines[name]
	if m == nil {
		return nil
	}
	var facts []Fact
	for _, pl := range sorted(m.placements) {
		p.remove(now, m, pl)
		facts = append(facts, Fact{pl, true})
	}
	p.forget(m)
	delete(p.machines, name)
	if i, ok := slices.BinarySearchFunc(p.ordered, name, compareToName); ok {
		p.ordered = slices.Delete(p.ordered, i, i+1)
	}
	return facts
}

func sorted(ps map[protocol.TaskID]*Placement) []*Placement {
	list := make([]*Placement, 0, len(ps))
	for _, id := range inOrder(ps) {
		list = append(list, ps[id])
	}
	return list
}
