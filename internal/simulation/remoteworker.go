package simulation

import (
	"time"

	"pinebay/internal/protocol"
)

// AddRemoteWorker adds a machine whose worker runs in another process. Each heartbeat of that worker must be passed to
// ApplyHeartbeat before a controller receives it, so that the rules are also checked for its tasks.
func (w *World) AddRemoteWorker(now time.Duration, name, zone string, machineType *protocol.MachineType) *Worker {
	m := w.AddMachine(now, name, zone, false, machineType, 0)
	m.remote = true
	w.schedule(m)
	return m
}

// ApplyHeartbeat updates the tasks of a remote worker from a heartbeat. Tasks that the heartbeat does not list have
// ended.
func (w *World) ApplyHeartbeat(now time.Duration, heartbeat *protocol.WorkerHeartbeat) {
	m := w.Workers[heartbeat.Machine]
	if m == nil || !m.remote {
		return
	}
	listed := map[protocol.TaskID]bool{}
	for i := range heartbeat.Tasks {
		id, err := protocol.ParseTaskID(heartbeat.Tasks[i].TaskName)
		if err != nil {
			continue
		}
		listed[id] = true
		m.applyTaskStatus(now, id, &heartbeat.Tasks[i])
	}
	for _, t := range m.sortedTasks() {
		if !listed[t.ID] {
			m.setTaskState(t, protocol.TaskExited)
			delete(m.Tasks, t.ID)
		}
	}
}

// applyTaskStatus updates a task of a remote worker, or adds it if its attempt is new.
func (m *Worker) applyTaskStatus(now time.Duration, id protocol.TaskID, status *protocol.TaskStatus) {
	w := m.World
	j := w.Jobs[id.JobID]
	if j == nil {
		return // the worker refused to start a task of an unknown job
	}
	t := m.Tasks[id]
	if t == nil || t.Attempt != status.Attempt {
		if t != nil {
			m.setTaskState(t, protocol.TaskExited)
		}
		t = &Task{ID: id, Attempt: status.Attempt, State: protocol.TaskFetching, StateSince: now, worker: m}
		m.Tasks[id] = t
	}
	after := Task{State: status.State}
	if !t.OnMachine() && after.OnMachine() {
		w.checkStart(now, m, t, j)
	}
	m.setTaskState(t, status.State)
	if status.State == protocol.TaskExited && status.Cause == protocol.CauseDone {
		w.recordCompletion(now, id)
	}
}
