package simulation

import (
	"time"

	"pinebay/internal/protocol"
)

// AddMirror brings up a machine whose worker runs in a process of its own. It tells what
// becomes of its tasks before any controller hears of it, so that the rules are checked
// for them as for all others.
func (w *World) AddMirror(now time.Duration, name, zone string, kind *protocol.MachineType) *Worker {
	m := w.Add(now, name, zone, false, kind, 0)
	m.mirrored = true
	w.schedule(m)
	return m
}

// Mirror takes in what a worker in a process of its own says of its tasks.
func (w *World) Mirror(now time.Duration, r *protocol.Report) {
	m := w.Workers[r.Machine]
	if m == nil || !m.mirrored {
		return
	}
	listed := map[protocol.TaskID]bool{}
	for i := range r.Tasks {
		id, err := protocol.ParseTaskID(r.Tasks[i].Name)
		if err != nil {
			continue
		}
		listed[id] = true
		m.mirrorTask(now, id, &r.Tasks[i])
	}
	for _, t := range m.sorted() {
		if !listed[t.ID] {
			m.set(t, protocol.Exited)
			delete(m.Tasks, t.ID)
		}
	}
}

// mirrorTask takes in what has become of a task.
func (m *Worker) mirrorTask(now time.Duration, id protocol.TaskID, said *protocol.TaskReport) {
	w := m.World
	j := w.Jobs[id.Job]
	if j == nil {
		return // it was refused for that
	}
	t := m.Tasks[id]
	if t == nil || t.Attempt != said.Attempt {
		if t != nil {
			m.set(t, protocol.Exited)
		}
		t = &Task{ID: id, Attempt: said.Attempt, State: protocol.Fetching, Since: now, worker: m}
		m.Tasks[id] = t
	}
	after := Task{State: said.State}
	if !t.On() && after.On() {
		w.started(now, m, t, j)
	}
	m.set(t, said.State)
	if said.State == protocol.Exited && said.Cause == protocol.CauseDone {
		w.complete(now, id)
	}
}
