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
	ID            protocol.TaskID
	Attempt       uint64
	State         protocol.TaskState
	Cause         protocol.ExitCause
	HasCheckpoint bool
	StateSince    time.Duration // when the task entered its state

	worker *Worker
}

// OnMachine reports whether the task occupies its machine. It does not while its image is fetched.
func (t *Task) OnMachine() bool {
	return t.State != protocol.TaskExited && t.State != protocol.TaskFetching
}

// hasJoinedGang reports whether a task of a gang waits for the other tasks or runs.
func (t *Task) hasJoinedGang() bool {
	return t.State == protocol.TaskWaiting || t.State == protocol.TaskRunning
}

// Worker is a model of a machine and its worker process. It is not safe for concurrent use.
type Worker struct {
	Name, Type, Zone      string
	Spot                  bool
	Capacity              Resources
	Incarnation, Sequence uint64
	FencingToken          uint64
	Tasks                 map[protocol.TaskID]*Task
	LeaseTimeout          time.Duration
	// FailsTasks makes every task fail when it starts.
	FailsTasks bool
	// Hung is set while the machine is suspended. It neither runs tasks nor handles messages then.
	Hung bool
	// LateCommandsAllowedUntil is the time until which commands may arrive that were delayed because the machine was
	// hung or unreachable. Starts of jobs that were cancelled before that time do not count as World.LateStarts.
	LateCommandsAllowedUntil time.Duration
	// Changed is set while a heartbeat is due because of a state change. OnChange, if set, is called when a state
	// change sets Changed.
	Changed  bool
	OnChange func()
	World    *World

	leaseStart time.Duration // send time of the last heartbeat that was answered
	nextDueAt  time.Duration // time of the next timed state change, see nextDue
	remote     bool          // the worker runs in another process, see World.AddRemoteWorker
}

// markChanged makes a heartbeat due.
func (m *Worker) markChanged() {
	m.Changed = true
	if m.OnChange != nil {
		m.OnChange()
	}
}

// NextHeartbeat returns the next heartbeat to send, with a new sequence number.
func (m *Worker) NextHeartbeat() *protocol.WorkerHeartbeat {
	m.Sequence++
	heartbeat := m.PeekHeartbeat()
	m.Changed = false
	return heartbeat
}

// PeekHeartbeat returns a heartbeat with the current state and the sequence number of the last heartbeat.
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
			CheckpointSaved: t.HasCheckpoint,
		})
	}
	return heartbeat
}

// sortedTasks returns the tasks sorted by ID.
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

// HandleReply executes the commands in the reply to a heartbeat and renews the worker's lease. sent and incarnation are
// those of the heartbeat. A reply from a deposed leader or to an earlier incarnation is ignored.
func (m *Worker) HandleReply(now, sent time.Duration, incarnation uint64, reply protocol.WorkerHeartbeatReply) {
	if reply.FencingToken < m.FencingToken || incarnation != m.Incarnation {
		return
	}
	m.FencingToken = reply.FencingToken
	m.leaseStart = max(m.leaseStart, sent)
	m.execute(now, reply.Commands)
}

// HandleCommands executes commands that were sent to the worker's address. It returns the heartbeat for the response
// and whether the commands were executed. Commands of a deposed leader or for another incarnation are not.
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

// stop stops a task. A running task saves a checkpoint first if its job supports that and the grace period is long
// enough.
func (m *Worker) stop(now time.Duration, t *Task, graceSeconds *float64) {
	job := m.World.Jobs[t.ID.JobID]
	grace := 0.0
	if graceSeconds != nil {
		grace = *graceSeconds
	}
	switch {
	case t.State == protocol.TaskRunning && job.CheckpointIntervalSeconds > 0 && grace >= job.CheckpointSaveSeconds:
		m.setTaskState(t, protocol.TaskSaving)
		t.StateSince = now
	case t.State != protocol.TaskSaving || grace == 0:
		m.exit(now, t, protocol.CauseStopped)
	}
}

// setTaskState sets the state of a task and updates World.onMachines.
func (m *Worker) setTaskState(t *Task, state protocol.TaskState) {
	wasOnMachine, wasInGang := t.OnMachine(), t.hasJoinedGang()
	t.State = state
	j := m.World.Jobs[t.ID.JobID]
	if j == nil {
		return // the worker refused to start a task of an unknown job
	}
	switch {
	case !wasOnMachine && t.OnMachine():
		m.World.onMachines.add(t.ID, j, m.Zone)
	case wasOnMachine && !t.OnMachine():
		m.World.onMachines.remove(t.ID, j, m.Zone)
	}
	if j.Shape != protocol.Gang || wasInGang == t.hasJoinedGang() {
		return
	}
	if wasInGang {
		m.World.onMachines.leaveGang(t)
	} else {
		m.World.onMachines.joinGang(t)
	}
	for _, o := range m.World.onMachines.gang(j.ID, t.Attempt) {
		if o.worker != m {
			m.World.schedule(o.worker) // the other task may now start or have to end
		}
	}
}

// transition moves a task to a state at the given time and makes a heartbeat due.
func (m *Worker) transition(now time.Duration, t *Task, state protocol.TaskState) {
	m.setTaskState(t, state)
	t.StateSince = now
	m.markChanged()
}

// exit ends a task. The worker reports the status of the task until it is told to forget it.
func (m *Worker) exit(now time.Duration, t *Task, cause protocol.ExitCause) {
	t.Cause = cause
	m.transition(now, t, protocol.TaskExited)
}

// killAllTasks ends all tasks and discards their statuses.
func (m *Worker) killAllTasks() {
	for _, t := range m.sortedTasks() {
		m.setTaskState(t, protocol.TaskExited)
	}
	m.Tasks = map[protocol.TaskID]*Task{}
}

// run executes a command to start an attempt of a task. other is another attempt of the task on the machine, or nil.
func (m *Worker) run(now time.Duration, id protocol.TaskID, attempt uint64, other *Task) {
	t := &Task{ID: id, Attempt: attempt, State: protocol.TaskFetching, StateSince: now, worker: m}
	m.markChanged()
	j := m.World.job(id.JobID)
	if at, ok := m.World.Cancelled[id.JobID]; ok && now > at+m.World.CommandTransitTime &&
		m.LateCommandsAllowedUntil <= at {
		m.World.LateStarts++
	}
	if other != nil && other.State != protocol.TaskExited {
		return // refused; the status of the other attempt is reported
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

// fits reports whether the machine has enough free resources for a task.
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

// advance updates the machine to the given time. If the lease has expired, the worker restarts without tasks.
func (m *Worker) advance(now time.Duration) {
	if now-m.leaseStart > m.LeaseTimeout {
		m.killAllTasks()
		m.Incarnation++
		m.Sequence, m.leaseStart = 0, now
		m.markChanged()
	}
	for _, t := range m.sortedTasks() {
		m.advanceTask(now, t)
	}
	m.World.schedule(m)
}

// advanceTask updates a task to the given time.
func (m *Worker) advanceTask(now time.Duration, t *Task) {
	w := m.World
	job := w.Jobs[t.ID.JobID]
	switch t.State {
	case protocol.TaskFetching:
		if now-t.StateSince >= w.FetchTime {
			m.start(now, t, job)
		}
	case protocol.TaskWaiting:
		if w.onMachines.gangComplete(job, t.Attempt) {
			m.transition(now, t, protocol.TaskRunning)
		} else if now-t.StateSince > w.gangWaitTimeout() {
			m.exit(now, t, protocol.CauseIncomplete)
		}
	case protocol.TaskRunning:
		if job.Shape == protocol.Gang && !w.onMachines.gangComplete(job, t.Attempt) {
			m.exit(now, t, protocol.CausePeerLost)
			return
		}
		if job.Shape != protocol.Service && now-t.StateSince >= w.runTime(t.ID) {
			m.complete(now, t, job)
		}
	case protocol.TaskSaving:
		if now-t.StateSince >= time.Duration(job.CheckpointSaveSeconds*float64(time.Second)) {
			t.HasCheckpoint = true
			m.exit(now, t, protocol.CauseStopped)
		}
	}
}

// start starts a task whose image has been fetched.
func (m *Worker) start(now time.Duration, t *Task, job *protocol.Job) {
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

// complete completes a task, or all tasks of its gang together.
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

// gangWaitTimeout returns how long a task waits for the other tasks of its gang.
func (w *World) gangWaitTimeout() time.Duration { return 10*w.FetchTime + 10*time.Second }

// nextDue returns the time of the next state change on the machine that is caused by the passage of time.
func (m *Worker) nextDue() time.Duration {
	if m.remote {
		return math.MaxInt64
	}
	due := m.leaseStart + m.LeaseTimeout + 1
	for _, t := range m.Tasks {
		due = min(due, m.taskDue(t))
	}
	return due
}

// taskDue returns the time of the next state change of a task that is caused by the passage of time.
func (m *Worker) taskDue(t *Task) time.Duration {
	w := m.World
	j := w.Jobs[t.ID.JobID]
	switch t.State {
	case protocol.TaskFetching:
		return t.StateSince + w.FetchTime
	case protocol.TaskWaiting:
		if w.onMachines.gangComplete(j, t.Attempt) {
			return t.StateSince
		}
		return t.StateSince + w.gangWaitTimeout() + 1
	case protocol.TaskRunning:
		switch {
		case j.Shape == protocol.Service:
		case j.Shape == protocol.Gang && !w.onMachines.gangComplete(j, t.Attempt):
			return t.StateSince
		default:
			return t.StateSince + w.runTime(t.ID)
		}
	case protocol.TaskSaving:
		return t.StateSince + time.Duration(j.CheckpointSaveSeconds*float64(time.Second))
	}
	return math.MaxInt64
}
