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
	Cause   protocol.Cause
	Saved   bool
	Since   time.Duration

	worker *Worker
}

// On says whether the task counts as being on its machine.
func (t *Task) On() bool { return t.State != protocol.Exited && t.State != protocol.Fetching }

// meets says whether a task of a gang waits for the others or runs with them.
func (t *Task) meets() bool { return t.State == protocol.Waiting || t.State == protocol.TaskRunning }

// Worker is a machine with its worker.
type Worker struct {
	Name, Type, Zone string
	Spot             bool
	Room             [3]float64 // CPUs, GPUs, memory
	Session, Seq     uint64
	Token            uint64
	Tasks            map[protocol.TaskID]*Task
	Lease            time.Duration
	answered         time.Duration // when the last answered report was sent
	// Sick makes every task fail as it starts.
	Sick bool
	// Hung machines execute nothing, and may go on later.
	Hung bool
	// Excused is until when commands may have been under way to the machine for long:
	// when it last hung or was cut off.
	Excused time.Duration
	// Changed says that a report is due for a change; Notify, if set, is told when it
	// becomes so.
	Changed bool
	Notify  func()
	// World knows the jobs.
	World *World

	due      time.Duration // when it must be looked at next, at the earliest
	mirrored bool          // it runs elsewhere, and tells what becomes of its tasks
}

// change says that a report is due.
func (m *Worker) change() {
	m.Changed = true
	if m.Notify != nil {
		m.Notify()
	}
}

// Report returns the worker's next report.
func (m *Worker) Report() *protocol.Report {
	m.Seq++
	r := m.Peek()
	m.Changed = false
	return r
}

// Peek returns what the worker would report, without reporting it.
func (m *Worker) Peek() *protocol.Report {
	r := &protocol.Report{
		Machine: m.Name, Addr: "addr:" + m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Session: m.Session, Seq: m.Seq, Token: m.Token,
	}
	for _, t := range m.sorted() {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Name: t.ID.String(), Attempt: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved})
	}
	return r
}

func (m *Worker) sorted() []*Task {
	ts := make([]*Task, 0, len(m.Tasks))
	for _, t := range m.Tasks {
		ts = append(ts, t)
	}
	slices.SortFunc(ts, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Task, b.ID.Task))
	})
	return ts
}

// Answer takes in the answer to a report that was sent at the given time in
// the given session.
func (m *Worker) Answer(now, sent time.Duration, session uint64, a protocol.ReportAnswer) {
	if a.Token < m.Token || session != m.Session {
		return
	}
	m.Token = a.Token
	m.answered = max(m.answered, sent)
	m.execute(now, a.Commands)
}

// Command takes in a direct command; ok is false for a 409.
func (m *Worker) Command(now time.Duration, o protocol.Orders) (*protocol.Report, bool) {
	if o.Token < m.Token || o.Session != m.Session {
		return m.Report(), false
	}
	m.Token = o.Token
	m.execute(now, o.Commands)
	return m.Report(), true
}

func (m *Worker) execute(now time.Duration, cmds []protocol.Command) {
	if len(cmds) == 0 {
		return
	}
	for _, c := range cmds {
		id, err := protocol.ParseTaskID(c.Name)
		if err != nil {
			continue
		}
		t := m.Tasks[id]
		switch c.Verb {
		case protocol.Run:
			if t != nil && t.Attempt == c.Attempt {
				continue
			}
			m.run(now, id, c.Attempt, t)
		case protocol.Stop:
			if t == nil || t.Attempt != c.Attempt || t.State == protocol.Exited {
				continue
			}
			j := m.World.Jobs[id.Job]
			grace := 0.0
			if c.GraceS != nil {
				grace = *c.GraceS
			}
			if t.State == protocol.TaskRunning && j.CheckpointS > 0 && grace >= j.SaveS {
				m.set(t, protocol.Saving)
				t.Since = now
			} else if t.State != protocol.Saving || grace == 0 {
				m.exit(now, t, protocol.CauseStopped)
			}
		case protocol.Forget:
			if t != nil && t.Attempt == c.Attempt && t.State == protocol.Exited {
				delete(m.Tasks, id)
			}
		}
	}
	m.World.schedule(m)
}

// set changes a task's state, and what is counted of it.
func (m *Worker) set(t *Task, state protocol.TaskState) {
	on, met := t.On(), t.meets()
	t.State = state
	j := m.World.Jobs[t.ID.Job]
	if j == nil {
		return // a task that never gets onto the machine
	}
	switch {
	case !on && t.On():
		m.World.occupied.enter(t.ID, j, m.Zone)
	case on && !t.On():
		m.World.occupied.leave(t.ID, j, m.Zone)
	}
	if j.Shape != protocol.Gang || met == t.meets() {
		return
	}
	if met {
		m.World.occupied.part(t)
	} else {
		m.World.occupied.join(t)
	}
	for _, o := range m.World.occupied.gang(j.ID, t.Attempt) {
		if o.worker != m {
			m.World.schedule(o.worker) // it may start, or must end, because of this one
		}
	}
}

// transit is a change of state that is reported.
func (m *Worker) transit(now time.Duration, t *Task, state protocol.TaskState) {
	m.set(t, state)
	t.Since = now
	m.change()
}

func (m *Worker) exit(now time.Duration, t *Task, cause protocol.Cause) {
	t.Cause = cause
	m.transit(now, t, protocol.Exited)
}

// clear ends all tasks without a trace.
func (m *Worker) clear() {
	for _, t := range m.sorted() {
		m.set(t, protocol.Exited)
	}
	m.Tasks = map[protocol.TaskID]*Task{}
}

func (m *Worker) run(now time.Duration, id protocol.TaskID, attempt uint64, old *Task) {
	t := &Task{ID: id, Attempt: attempt, State: protocol.Fetching, Since: now, worker: m}
	m.change()
	j := m.World.job(id.Job)
	if at, ok := m.World.Cancelled[id.Job]; ok && now > at+m.World.UnderWay && m.Excused <= at {
		m.World.LateStarts++
	}
	if old != nil && old.State != protocol.Exited {
		return // refused as busy; the entry of the other attempt stays
	}
	m.Tasks[id] = t
	if j == nil || id.Task >= j.Tasks {
		m.exit(now, t, protocol.CauseUnknown)
		return
	}
	used := [3]float64{j.CPUs, j.GPUs, j.MemoryGB}
	for _, o := range m.Tasks {
		if o != t && o.State != protocol.Exited {
			k := m.World.Jobs[o.ID.Job]
			used[0], used[1], used[2] = used[0]+k.CPUs, used[1]+k.GPUs, used[2]+k.MemoryGB
		}
	}
	for i := range used {
		if used[i] > m.Room[i]+1e-6 {
			m.exit(now, t, protocol.CauseNoRoom)
			return
		}
	}
}

// advance lets time pass on the machine.
func (m *Worker) advance(now time.Duration) {
	if now-m.answered > m.Lease {
		m.clear()
		m.Session++
		m.Seq, m.answered = 0, now
		m.change()
	}
	for _, t := range m.sorted() {
		m.advanceTask(now, t)
	}
	m.World.schedule(m)
}

func (m *Worker) advanceTask(now time.Duration, t *Task) {
	w := m.World
	j := w.Jobs[t.ID.Job]
	switch t.State {
	case protocol.Fetching:
		if now-t.Since < w.Fetch {
			return
		}
		w.started(now, m, t, j)
		switch {
		case m.Sick:
			m.exit(now, t, protocol.CauseError)
		case w.Done[t.ID]:
			m.exit(now, t, protocol.CauseDone)
		case j.Shape == protocol.Gang:
			m.transit(now, t, protocol.Waiting)
		default:
			m.transit(now, t, protocol.TaskRunning)
		}
	case protocol.Waiting:
		if w.occupied.together(j, t.Attempt) {
			m.transit(now, t, protocol.TaskRunning)
		} else if now-t.Since > w.gangPatience() {
			m.exit(now, t, protocol.CauseIncomplete)
		}
	case protocol.TaskRunning:
		if j.Shape == protocol.Gang && !w.occupied.together(j, t.Attempt) {
			m.exit(now, t, protocol.CausePeers)
			return
		}
		if j.Shape != protocol.Service && now-t.Since >= w.runTime(t.ID) {
			if j.Shape == protocol.Gang {
				for i := range j.Tasks {
					w.complete(now, protocol.TaskID{Job: j.ID, Task: i})
				}
				w.finishGang(now, j.ID, t.Attempt)
				return
			}
			w.complete(now, t.ID)
			m.exit(now, t, protocol.CauseDone)
		}
	case protocol.Saving:
		if now-t.Since >= time.Duration(j.SaveS*float64(time.Second)) {
			t.Saved = true
			m.exit(now, t, protocol.CauseStopped)
		}
	}
}

// gangPatience is how long a task waits for the others of its gang.
func (w *World) gangPatience() time.Duration { return 10*w.Fetch + 10*time.Second }

// nextDue is when something can happen on the machine by itself.
func (m *Worker) nextDue() time.Duration {
	if m.mirrored {
		return math.MaxInt64
	}
	due := m.answered + m.Lease + 1
	for _, t := range m.Tasks {
		due = min(due, m.taskDue(t))
	}
	return due
}

func (m *Worker) taskDue(t *Task) time.Duration {
	w := m.World
	j := w.Jobs[t.ID.Job]
	switch t.State {
	case protocol.Fetching:
		return t.Since + w.Fetch
	case protocol.Waiting:
		if w.occupied.together(j, t.Attempt) {
			return t.Since
		}
		return t.Since + w.gangPatience() + 1
	case protocol.TaskRunning:
		switch {
		case j.Shape == protocol.Service:
		case j.Shape == protocol.Gang && !w.occupied.together(j, t.Attempt):
			return t.Since
		default:
			return t.Since + w.runTime(t.ID)
		}
	case protocol.Saving:
		return t.Since + time.Duration(j.SaveS*float64(time.Second))
	}
	return math.MaxInt64
}
