package simulation

import (
	"time"

	"pinebay/internal/protocol"
)

// AddMirrored brings up a machine whose worker runs in a process of its own. It tells what
// becomes of its tasks before any controller hears of it, so that the rules are checked
// for them as for all others.
func (w *World) AddMirrored(now time.Duration, name, zone string, kind *protocol.MachineType) *Worker {
	m := w.AddMachine(now, name, zone, false, kind, 0)
	m.mirrored = true
	w.schedule(m)
	return m
}

// ApplyHeartbeat takes in what a worker in a process of its own says of its tasks.
func (w *World) ApplyHeartbeat(now time.Duration, r *protocol.WorkerHeartbeat) {
	m := w.Workers[r.Machine]
	if m == nil || !m.mirrored {
		return
	}
	listed := map[protocol.TaskID]bool{}
	for i := range r.Tasks {
		id, err := protocol.ParseTaskID(r.Tasks[i].TaskName)
		if err != nil {
			continue
		}
		listed[id] = true
		m.applyTaskStatus(now, id, &r.Tasks[i])
	}
	for _, t := range m.sortedTasks() {
		if !listed[t.ID] {
			m.setTaskState(t, protocol.TaskExited)
			delete(m.Tasks, t.ID)
		}
	}
}

// applyTaskStatus takes in what has become of a task.
func (m *Worker) applyTaskStatus(now time.Duration, id protocol.TaskID, said *protocol.TaskStatus) {
	w := m.World
	j := w.Jobs[id.JobID]
	if j == nil {
		return // it was refused for that
	}
	t := m.Tasks[id]
	if t == nil || t.Attempt != said.Attempt {
		if t != nil {
			m.setTaskState(t, protocol.TaskExited)
		}
		t = &Task{ID: id, Attempt: said.Attempt, State: protocol.TaskFetching, Since: now, worker: m}
		m.Tasks[id] = t
	}
	after := Task{State: said.State}
	if !t.OnMachine() && after.OnMachine() {
		w.checkStart(now, m, t, j)
	}
	m.setTaskState(t, said.State)
	if said.State == protocol.TaskExited && said.Cause == protocol.CauseDone {
		w.recordCompletion(now, id)
	}
}
