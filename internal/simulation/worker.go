package simulation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// Task is an attempt of a task on a worker.
type Task struct {
	ID      protocol.TaskID
	Attempt uint64
	State   protocol.TaskState
	Cause   protocol.ExitCause
	Saved   bool
	Since   time.Duration // when it entered its state

	worker *Worker
}

// OnMachine reports whether the task counts as being on its machine.
func (t *Task) OnMachine() bool {
	return t.State != protocol.TaskExited && t.State != protocol.TaskFetching
}

// inRunningGang reports whether a task of a gang waits for the others or runs with them.
func (t *Task) inRunningGang() bool {
	return t.State == protocol.TaskWaiting || t.State == protocol.TaskRunning
}

// Worker is a model of a machine with its worker. Its methods are called by one goroutine at a time.
type Worker struct {
	Name, Type, Zone      string
	Spot                  bool
	Capacity              Resources
	Incarnation, Sequence uint64
	FencingToken          uint64
	Tasks                 map[protocol.TaskID]*Task
	LeaseTimeout          time.Duration
	// FailsTasks makes every task fail as it starts.
	FailsTasks bool
	// Hung machines execute nothing, and may resume later.
	Hung bool
	// ExcusedUntil is the time until which commands may arrive that were delayed for long, because the machine hung or
	// was unreachable.
	ExcusedUntil time.Duration
	// Changed says that a heartbeat is due because of a change. OnChange, if set, is called when it becomes true.
	Changed  bool
	OnChange func()
	World    *World

	answeredSentAt time.Duration // when the last answered heartbeat was sent
	nextDueAt      time.Duration // when something happens next on the machine by itself
	mirrored       bool          // the worker runs in another process
}

// markChanged makes a heartbeat due.
func (m *Worker) markChanged() {
	m.Changed = true
	if m.OnChange != nil {
		m.OnChange()
	}
}

// NextHeartbeat returns the worker's next heartbeat.
func (m *Worker) NextHeartbeat() *protocol.WorkerHeartbeat {
	m.Sequence++
	heartbeat := m.PeekHeartbeat()
	m.Changed = false
	return heartbeat
}

// PeekHeartbeat returns the content of the next heartbeat without sending it.
func (m *Worker) PeekHeartbeat() *protocol.WorkerHeartbeat {
	heartbeat := &protocol.WorkerHeartbeat{
		Machine:      m.Name,
		Addr:         "addr:" + m.Name,
		Type:         m.Type,
		Zone:         m.Zone,
		Spot:         m.Spot,
		Incarnation:  m.Incarnation,
		Sequence:     m.Sequence,
		FencingToken: m.FencingToken,
	}
	for _, t := range m.sortedTasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
			TaskName:        t.ID.String(),
			Attempt:         t.Attempt,
			State:           t.State,
			Cause:           t.Cause,
			CheckpointSaved: t.Saved,
		})
	}
	return heartbeat
}

// sortedTasks returns the tasks in the order of their ids.
func (m *Worker) sortedTasks() []*Task {
	tasks := make([]*Task, 0, len(m.Tasks))
	for _, t := range m.Tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(a.ID.JobID, b.ID.JobID), cmp.Compare(a.ID.Index, b.ID.Index))
	})
	return tasks
}

// HandleReply executes the reply to a heartbeat that was sent at the given time by the given incarnation.
func (m *Worker) HandleReply(now, sent time.Duration, incarnation uint64, reply protocol.WorkerHeartbeatReply) {
	if reply.FencingToken < m.FencingToken || incarnation != m.Incarnation {
		return
	}
	m.FencingToken = reply.FencingToken
	m.answeredSentAt = max(m.answeredSentAt, sent)
	m.execute(now, reply.Commands)
}

// HandleCommands executes commands that were sent to the worker's address. It returns the heartbeat for the response,
// and whether the commands were executed.
func (m *Worker) HandleCommands(now time.Duration, batch protocol.CommandBatch) (*protocol.WorkerHeartbeat, bool) {
	if batch.FencingToken < m.FencingToken || batch.Incarnation != m.Incarnation {
		return m.NextHeartbeat(), false
	}
	m.FencingToken = batch.FencingToken
	m.execute(now, batch.Commands)
	return m.NextHeartbeat(), true
}

func (m *Worker) execute(now time.Duration, commands []protocol.Command) {
	if len(commands) == 0 {
		return
	}
	for i := range commands {
		m.executeOne(now, &commands[i])
	}
	m.World.schedule(m)
}

func (m *Worker) executeOne(now time.Duration, command *protocol.Command) {
	id, err := protocol.ParseTaskID(command.TaskName)
	if err != nil {
		return
	}
	t := m.Tasks[id]
	sameAttempt := t != nil && t.Attempt == command.Attempt
	switch {
	case command.Verb == protocol.VerbRun && !sameAttempt:
		m.run(now, id, command.Attempt, t)
	case command.Verb == protocol.VerbStop && sameAttempt && t.State != protocol.TaskExited:
		m.stop(now, t, command.GraceSeconds)
	case command.Verb == protocol.VerbForget && sameAttempt && t.State == protocol.TaskExited:
		delete(m.Tasks, id)
	}
}

// stop stops a task, which saves a checkpoint if it can and the grace period allows it.
func (m *Worker) stop(now time.Duration, t *Task, graceSeconds *float64) {
	job := m.World.Jobs[t.ID.JobID]
	grace := 0.0
	if graceSeconds != nil {
		grace = *graceSeconds
	}
	switch {
	case t.State == protocol.TaskRunning && job.CheckpointIntervalSeconds > 0 && grace >= job.SaveSeconds:
		m.setTaskState(t, protocol.TaskSaving)
		t.Since = now
	case t.State != protocol.TaskSaving || grace == 0:
		m.exit(now, t, protocol.CauseStopped)
	}
}

// setTaskState changes a task's state, and counts the task accordingly.
func (m *Worker) setTaskState(t *Task, state protocol.TaskState) {
	on, met := t.OnMachine(), t.inRunningGang()
	t.State = state
	j := m.World.Jobs[t.ID.JobID]
	if j == nil {
		return // its start was refused
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
			m.World.schedule(o.worker) // its task may start, or must end, because of this one
		}
	}
}

// transition changes a task's state, and makes a heartbeat due.
func (m *Worker) transition(now time.Duration, t *Task, state protocol.TaskState) {
	m.setTaskState(t, state)
	t.Since = now
	m.markChanged()
}

// exit ends a task, whose status the worker reports until it is told to forget it.
func (m *Worker) exit(now time.Duration, t *Task, cause protocol.ExitCause) {
	t.Cause = cause
	m.transition(now, t, protocol.TaskExited)
}

// killAllTasks ends all tasks, of which the worker then knows nothing.
func (m *Worker) killAllTasks() {
	for _, t := range m.sortedTasks() {
		m.setTaskState(t, protocol.TaskExited)
	}
	m.Tasks = map[protocol.TaskID]*Task{}
}

// run starts an attempt of a task. other is another attempt of it on the machine, or nil.
func (m *Worker) run(now time.Duration, id protocol.TaskID, attempt uint64, other *Task) {
	t := &Task{ID: id, Attempt: attempt, State: protocol.TaskFetching, Since: now, worker: m}
	m.markChanged()
	j := m.World.job(id.JobID)
	if at, ok := m.World.Cancelled[id.JobID]; ok && now > at+m.World.CommandTransitTime && m.ExcusedUntil <= at {
		m.World.LateStarts++
	}
	if other != nil && other.State != protocol.TaskExited {
		return // refused; the status of the other attempt stays
	}
	m.Tasks[id] = t
	if j == nil || id.Index >= j.TaskCount {
		m.exit(now, t, protocol.CauseUnknownTask)
		return
	}
	if !m.fits(t, j) {
		m.exit(now, t, protocol.CauseNoCapacity)
	}
}

// fits reports whether a task fits on the machine beside the others.
func (m *Worker) fits(t *Task, job *protocol.Job) bool {
	used := resourcesOf(job)
	for _, other := range m.Tasks {
		if other == t || other.State == protocol.TaskExited {
			continue
		}
		used = used.plus(resourcesOf(m.World.Jobs[other.ID.JobID]))
	}
	return used.fitsIn(m.Capacity)
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

// advanceTask lets time pass for a task.
func (m *Worker) advanceTask(now time.Duration, t *Task) {
	w := m.World
	job := w.Jobs[t.ID.JobID]
	switch t.State {
	case protocol.TaskFetching:
		if now-t.Since >= w.FetchTime {
			m.begin(now, t, job)
		}
	case protocol.TaskWaiting:
		if w.occupied.gangComplete(job, t.Attempt) {
			m.transition(now, t, protocol.TaskRunning)
		} else if now-t.Since > w.gangWaitTimeout() {
			m.exit(now, t, protocol.CauseIncomplete)
		}
	case protocol.TaskRunning:
		if job.Shape == protocol.Gang && !w.occupied.gangComplete(job, t.Attempt) {
			m.exit(now, t, protocol.CausePeerLost)
			return
		}
		if job.Shape != protocol.Service && now-t.Since >= w.runTime(t.ID) {
			m.complete(now, t, job)
		}
	case protocol.TaskSaving:
		if now-t.Since >= time.Duration(job.SaveSeconds*float64(time.Second)) {
			t.Saved = true
			m.exit(now, t, protocol.CauseStopped)
		}
	}
}

// begin starts a task whose image has been fetched.
func (m *Worker) begin(now time.Duration, t *Task, job *protocol.Job) {
	m.World.checkStart(now, m, t, job)
	switch {
	case m.FailsTasks:
		m.exit(now, t, protocol.CauseError)
	case m.World.Done[t.ID]:
		m.exit(now, t, protocol.CauseDone)
	case job.Shape == protocol.Gang:
		m.transition(now, t, protocol.TaskWaiting)
	default:
		m.transition(now, t, protocol.TaskRunning)
	}
}

// complete completes a task, or all tasks of a gang together.
func (m *Worker) complete(now time.Duration, t *Task, job *protocol.Job) {
	w := m.World
	if job.Shape != protocol.Gang {
		w.recordCompletion(now, t.ID)
		m.exit(now, t, protocol.CauseDone)
		return
	}
	for i := range job.TaskCount {
		w.recordCompletion(now, protocol.TaskID{JobID: job.ID, Index: i})
	}
	w.finishGang(now, job.ID, t.Attempt)
}

// gangWaitTimeout returns how long a task waits for the others of its gang.
func (w *World) gangWaitTimeout() time.Duration { return 10*w.FetchTime + 10*time.Second }

// nextDue returns when something can happen next on the machine by itself.
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

// taskDue returns when something can happen next to a task by itself.
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
