package simulation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// Task is a task on a worker.
type Task struct {
	ID      protocol.TaskID
	Attempt uint64
	State   protocol.TaskState
	Cause   protocol.ExitCause
	Saved   bool
	Since   time.Duration

	worker *Worker
}

// OnMachine says whether the task counts as being on its machine.
func (t *Task) OnMachine() bool {
	return t.State != protocol.TaskExited && t.State != protocol.TaskFetching
}

// inRunningGang says whether a task of a gang waits for the others or runs with them.
func (t *Task) inRunningGang() bool {
	return t.State == protocol.TaskWaiting || t.State == protocol.TaskRunning
}

// Worker is a machine with its worker.
type Worker struct {
	Name, Type, Zone      string
	Spot                  bool
	Capacity              [3]float64 // CPUs, GPUs, memory
	Incarnation, Sequence uint64
	FencingToken          uint64
	Tasks                 map[protocol.TaskID]*Task
	LeaseTimeout          time.Duration
	answeredSentAt        time.Duration // when the last answered report was sent
	// FailsTasks makes every task fail as it starts.
	FailsTasks bool
	// Hung machines execute nothing, and may go on later.
	Hung bool
	// ExcusedUntil is until when commands may have been under way to the machine for long:
	// when it last hung or was cut off.
	ExcusedUntil time.Duration
	// Changed says that a report is due for a change; Notify, if set, is told when it
	// becomes so.
	Changed  bool
	OnChange func()
	// World knows the jobs.
	World *World

	nextDueAt time.Duration // when it must be looked at next, at the earliest
	mirrored  bool          // it runs elsewhere, and tells what becomes of its tasks
}

// markChanged says that a report is due.
func (m *Worker) markChanged() {
	m.Changed = true
	if m.OnChange != nil {
		m.OnChange()
	}
}

// NextHeartbeat returns the worker's next report.
func (m *Worker) NextHeartbeat() *protocol.WorkerHeartbeat {
	m.Sequence++
	r := m.PeekHeartbeat()
	m.Changed = false
	return r
}

// PeekHeartbeat returns what the worker would report, without reporting it.
func (m *Worker) PeekHeartbeat() *protocol.WorkerHeartbeat {
	r := &protocol.WorkerHeartbeat{
		Machine: m.Name, Addr: "addr:" + m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.Incarnation, Sequence: m.Sequence, FencingToken: m.FencingToken,
	}
	for _, t := range m.sortedTasks() {
		r.Tasks = append(
			r.Tasks,
			protocol.TaskStatus{
				TaskName:        t.ID.String(),
				Attempt:         t.Attempt,
				State:           t.State,
				Cause:           t.Cause,
				CheckpointSaved: t.Saved,
			},
		)
	}
	return r
}

func (m *Worker) sortedTasks() []*Task {
	ts := make([]*Task, 0, len(m.Tasks))
	for _, t := range m.Tasks {
		ts = append(ts, t)
	}
	slices.SortFunc(ts, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(a.ID.JobID, b.ID.JobID), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	return ts
}

// HandleReply takes in the answer to a report that was sent at the given time in
// the given session.
func (m *Worker) HandleReply(now, sent time.Duration, session uint64, a protocol.WorkerHeartbeatReply) {
	if a.FencingToken < m.FencingToken || session != m.Incarnation {
		return
	}
	m.FencingToken = a.FencingToken
	m.answeredSentAt = max(m.answeredSentAt, sent)
	m.execute(now, a.Commands)
}

// HandleCommands takes in a direct command; ok is false for a 409.
func (m *Worker) HandleCommands(now time.Duration, o protocol.CommandBatch) (*protocol.WorkerHeartbeat, bool) {
	if o.FencingToken < m.FencingToken || o.Incarnation != m.Incarnation {
		return m.NextHeartbeat(), false
	}
	m.FencingToken = o.FencingToken
	m.execute(now, o.Commands)
	return m.NextHeartbeat(), true
}

func (m *Worker) execute(now time.Duration, cmds []protocol.Command) {
	if len(cmds) == 0 {
		return
	}
	for _, c := range cmds {
		id, err := protocol.ParseTaskID(c.TaskName)
		if err != nil {
			continue
		}
		t := m.Tasks[id]
		switch c.Verb {
		case protocol.VerbRun:
			if t != nil && t.Attempt == c.Attempt {
				continue
			}
			m.run(now, id, c.Attempt, t)
		case protocol.VerbStop:
			if t == nil || t.Attempt != c.Attempt || t.State == protocol.TaskExited {
				continue
			}
			j := m.World.Jobs[id.JobID]
			grace := 0.0
			if c.GraceSeconds != nil {
				grace = *c.GraceSeconds
			}
			if t.State == protocol.TaskRunning && j.CheckpointIntervalSeconds > 0 && grace >= j.SaveSeconds {
				m.setTaskState(t, protocol.TaskSaving)
				t.Since = now
			} else if t.State != protocol.TaskSaving || grace == 0 {
				m.exit(now, t, protocol.CauseStopped)
			}
		case protocol.VerbForget:
			if t != nil && t.Attempt == c.Attempt && t.State == protocol.TaskExited {
				delete(m.Tasks, id)
			}
		}
	}
	m.World.schedule(m)
}

// setTaskState changes a task's state, and what is counted of it.
func (m *Worker) setTaskState(t *Task, state protocol.TaskState) {
	on, met := t.OnMachine(), t.inRunningGang()
	t.State = state
	j := m.World.Jobs[t.ID.JobID]
	if j == nil {
		return // a task that never gets onto the machine
	}
	switch {
	case !on && t.OnMachine():
		m.World.occupied.add(t.ID, j, m.Zone)
	case on && !t.OnMachine():
		m.World.occupied.remove(t.ID, j, m.Zone)
	}
	if j.Shape != protocol.Gang || met == t.inRunningGang() {
		return
	}
	if met {
		m.World.occupied.leaveGang(t)
	} else {
		m.World.occupied.joinGang(t)
	}
	for _, o := range m.World.occupied.gang(j.ID, t.Attempt) {
		if o.worker != m {
			m.World.schedule(o.worker) // it may start, or must end, because of this one
		}
	}
}

// transition is a change of state that is reported.
func (m *Worker) transition(now time.Duration, t *Task, state protocol.TaskState) {
	m.setTaskState(t, state)
	t.Since = now
	m.markChanged()
}

func (m *Worker) exit(now time.Duration, t *Task, cause protocol.ExitCause) {
	t.Cause = cause
	m.transition(now, t, protocol.TaskExited)
}

// killAllTasks ends all tasks without a trace.
func (m *Worker) killAllTasks() {
	for _, t := range m.sortedTasks() {
		m.setTaskState(t, protocol.TaskExited)
	}
	m.Tasks = map[protocol.TaskID]*Task{}
}

func (m *Worker) run(now time.Duration, id protocol.TaskID, attempt uint64, old *Task) {
	t := &Task{ID: id, Attempt: attempt, State: protocol.TaskFetching, Since: now, worker: m}
	m.markChanged()
	j := m.World.job(id.JobID)
	if at, ok := m.World.Cancelled[id.JobID]; ok && now > at+m.World.CommandTransitTime && m.ExcusedUntil <= at {
		m.World.LateStarts++
	}
	if old != nil && old.State != protocol.TaskExited {
		return // refused as busy; the entry of the other attempt stays
	}
	m.Tasks[id] = t
	if j == nil || id.Index >= j.TaskCount {
		m.exit(now, t, protocol.CauseUnknownTask)
		return
	}
	used := [3]float64{j.CPUs, j.GPUs, j.MemoryGB}
	for _, o := range m.Tasks {
		if o != t && o.State != protocol.TaskExited {
			k := m.World.Jobs[o.ID.JobID]
			used[0], used[1], used[2] = used[0]+k.CPUs, used[1]+k.GPUs, used[2]+k.MemoryGB
		}
	}
	for i := range used {
		if used[i] > m.Capacity[i]+1e-6 {
			m.exit(now, t, protocol.CauseNoCapacity)
			return
		}
	}
}

// advance lets time pass on the machine.
func (m *Worker) advance(now time.Duration) {
	if now-m.answeredSentAt > m.LeaseTimeout {
		m.killAllTasks()
		m.Incarnation++
		m.Sequence, m.answeredSentAt = 0, now
		m.markChanged()
	}
	for _, t := range m.sortedTasks() {
		m.advanceTask(now, t)
	}
	m.World.schedule(m)
}

func (m *Worker) advanceTask(now time.Duration, t *Task) {
	w := m.World
	j := w.Jobs[t.ID.JobID]
	switch t.State {
	case protocol.TaskFetching:
		if now-t.Since < w.FetchTime {
			return
		}
		w.checkStart(now, m, t, j)
		switch {
		case m.FailsTasks:
			m.exit(now, t, protocol.CauseError)
		case w.Done[t.ID]:
			m.exit(now, t, protocol.CauseDone)
		case j.Shape == protocol.Gang:
			m.transition(now, t, protocol.TaskWaiting)
		default:
			m.transition(now, t, protocol.TaskRunning)
		}
	case protocol.TaskWaiting:
		if w.occupied.gangComplete(j, t.Attempt) {
			m.transition(now, t, protocol.TaskRunning)
		} else if now-t.Since > w.gangWaitTimeout() {
			m.exit(now, t, protocol.CauseIncomplete)
		}
	case protocol.TaskRunning:
		if j.Shape == protocol.Gang && !w.occupied.gangComplete(j, t.Attempt) {
			m.exit(now, t, protocol.CausePeerLost)
			return
		}
		if j.Shape != protocol.Service && now-t.Since >= w.runTime(t.ID) {
			if j.Shape == protocol.Gang {
				for i := range j.TaskCount {
					w.recordCompletion(now, protocol.TaskID{JobID: j.ID, Index: i})
				}
				w.finishGang(now, j.ID, t.Attempt)
				return
			}
			w.recordCompletion(now, t.ID)
			m.exit(now, t, protocol.CauseDone)
		}
	case protocol.TaskSaving:
		if now-t.Since >= time.Duration(j.SaveSeconds*float64(time.Second)) {
			t.Saved = true
			m.exit(now, t, protocol.CauseStopped)
		}
	}
}

// gangWaitTimeout is how long a task waits for the others of its gang.
func (w *World) gangWaitTimeout() time.Duration { return 10*w.FetchTime + 10*time.Second }

// nextDue is when something can happen on the machine by itself.
func (m *Worker) nextDue() time.Duration {
	if m.mirrored {
		return math.MaxInt64
	}
	due := m.answeredSentAt + m.LeaseTimeout + 1
	for _, t := range m.Tasks {
		due = min(due, m.taskDue(t))
	}
	return due
}

func (m *Worker) taskDue(t *Task) time.Duration {
	w := m.World
	j := w.Jobs[t.ID.JobID]
	switch t.State {
	case protocol.TaskFetching:
		return t.Since + w.FetchTime
	case protocol.TaskWaiting:
		if w.occupied.gangComplete(j, t.Attempt) {
			return t.Since
		}
		return t.Since + w.gangWaitTimeout() + 1
	case protocol.TaskRunning:
		switch {
		case j.Shape == protocol.Service:
		case j.Shape == protocol.Gang && !w.occupied.gangComplete(j, t.Attempt):
			return t.Since
		default:
			return t.Since + w.runTime(t.ID)
		}
	case protocol.TaskSaving:
		return t.Since + time.Duration(j.SaveSeconds*float64(time.Second))
	}
	return math.MaxInt64
}
