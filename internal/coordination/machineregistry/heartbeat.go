package machineregistry

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// Observation is a change of a placement that was detected through a heartbeat or the removal of its machine.
type Observation struct {
	Placement *Placement
	Lost      bool // the placement was terminated, but its task was not reported as exited
}

// HeartbeatResult is the result of processing a heartbeat.
type HeartbeatResult struct {
	Machine      *Machine
	Observations []Observation
	// Newer is false for duplicate and delayed heartbeats. These are evidence only of the exits that they list.
	Newer bool
}

// HandleHeartbeat updates a machine from a heartbeat of its worker and reconciles its placements with the tasks that
// the worker lists. It creates the machine if it is unknown. Heartbeats may be duplicated, delayed and reordered.
func (r *Registry) HandleHeartbeat(now time.Duration, heartbeat *protocol.WorkerHeartbeat) HeartbeatResult {
	m := r.GetOrCreate(now, heartbeat.Machine)
	if !r.Schedulable(now, m) {
		defer r.markChanged(m) // it may become schedulable
	}
	rec := reconciliation{
		registry: r,
		now:      now,
		machine:  m,
		newer: heartbeat.Incarnation > m.Incarnation ||
			heartbeat.Incarnation == m.Incarnation && heartbeat.Sequence > m.Sequence,
	}
	if heartbeat.Incarnation > m.Incarnation {
		rec.beginIncarnation(heartbeat.Incarnation)
	}
	if heartbeat.Incarnation < m.Incarnation {
		return HeartbeatResult{Machine: m}
	}
	if rec.newer {
		rec.updateMachine(heartbeat)
	}
	rec.reconcileTasks(heartbeat)
	return HeartbeatResult{Machine: m, Observations: rec.observations, Newer: rec.newer}
}

// HandleUnchangedHeartbeat records that another controller, the owner of the machine, has answered a heartbeat
// without changes. It returns false if the next heartbeat must reach the leader itself, because the leader knows less
// about the machine than the owner does or has commands for it.
func (r *Registry) HandleUnchangedHeartbeat(now time.Duration, machine string, incarnation, sequence uint64) bool {
	m := r.machines[machine]
	if m == nil || !m.Registered || m.Incarnation != incarnation {
		return false
	}
	if sequence > m.Sequence {
		if !r.Schedulable(now, m) {
			defer r.markChanged(m) // it may become schedulable
		}
		m.Sequence, m.LastHeartbeat, m.Relayed = sequence, now, false
	}
	return r.commandsDue[machine] != m && len(m.unknownTasks) == 0 && len(m.exitedTasks) == 0
}

// reconciliation is the state of processing one heartbeat.
type reconciliation struct {
	registry     *Registry
	now          time.Duration
	machine      *Machine
	newer        bool
	observations []Observation
}

// beginIncarnation drops the state of earlier incarnations of the worker. A new incarnation has killed all their
// tasks before its first heartbeat.
func (c *reconciliation) beginIncarnation(incarnation uint64) {
	m := c.machine
	for _, pl := range sortedPlacements(m.placements) {
		if pl.Incarnation < incarnation {
			c.terminateLost(pl)
		}
	}
	if m.Incarnation != 0 {
		// The worker's lease expired although the leader may have answered its heartbeats. The machine gets no new
		// tasks until the worker has had time to show that commands reach it.
		m.MarkUnresponsive(c.now + config.Seconds(c.registry.workerSettings.HeartbeatSeconds))
	}
	m.exitedTasks, m.unknownTasks = map[protocol.TaskID]*exitedTask{}, map[protocol.TaskID]uint64{}
	m.Incarnation, m.Sequence = incarnation, 0
}

// updateMachine updates the attributes of the machine from a newer heartbeat.
func (c *reconciliation) updateMachine(heartbeat *protocol.WorkerHeartbeat) {
	m := c.machine
	m.Sequence = heartbeat.Sequence
	m.LastHeartbeat, m.Registered = c.now, true
	if m.Type != heartbeat.Type || m.Zone != heartbeat.Zone || m.Spot != heartbeat.Spot {
		c.registry.markChanged(m)
	}
	m.Addr, m.Type, m.Zone, m.Spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	m.HighestFencingToken = max(m.HighestFencingToken, heartbeat.FencingToken)
	if heartbeat.InterruptionNoticeSeconds != nil && !m.InterruptionNotice {
		m.InterruptionNotice = true
		c.registry.indexes.withInterruptionNotice.Set(m)
	}
	clear(m.unknownTasks)
}

// reconcileTasks compares the tasks that the worker lists with the machine's placements.
func (c *reconciliation) reconcileTasks(heartbeat *protocol.WorkerHeartbeat) {
	listed := make(map[protocol.TaskID]uint64, len(heartbeat.Tasks))
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		id, err := protocol.ParseTaskID(status.TaskName)
		if err != nil {
			continue // not a task of this system; no command could name it
		}
		listed[id] = status.Attempt
		c.reconcileTask(id, status)
	}
	if c.newer {
		c.terminateAbsent(heartbeat.FencingToken, listed)
	}
}

// reconcileTask updates the placement of a listed task.
func (c *reconciliation) reconcileTask(id protocol.TaskID, status *protocol.TaskStatus) {
	pl := c.machine.placements[id]
	if pl == nil || pl.Attempt != status.Attempt || pl.Incarnation != c.machine.Incarnation {
		c.recordUnplacedTask(id, status, pl)
		return
	}
	first := !pl.Reported
	pl.runSent, pl.Reported = true, true
	switch {
	case status.State == protocol.TaskExited:
		c.recordExit(pl, status)
		c.observations = append(c.observations, Observation{Placement: pl})
	case c.updateState(pl, status) || first:
		c.observations = append(c.observations, Observation{Placement: pl})
	}
}

// recordUnplacedTask records a listed task whose attempt has no placement on the machine; pl is the placement of
// another attempt or incarnation of the task, or nil. The worker will be told to forget the task if it has exited,
// and to stop it otherwise.
func (c *reconciliation) recordUnplacedTask(id protocol.TaskID, status *protocol.TaskStatus, pl *Placement) {
	m := c.machine
	exited := m.exitedTasks[id]
	if exited != nil && exited.attempt == status.Attempt {
		return
	}
	if status.State != protocol.TaskExited {
		if c.newer {
			m.unknownTasks[id] = status.Attempt
		}
		return
	}
	if pl != nil && pl.Attempt <= status.Attempt || exited != nil && exited.attempt >= status.Attempt {
		return
	}
	// A leader of an earlier term placed this attempt, and its outcome is recorded: otherwise the record would still
	// list it and this leader would have adopted it.
	m.exitedTasks[id] = &exitedTask{
		attempt:         status.Attempt,
		outcomeRecorded: true,
		runFencingToken: c.registry.lastTokenOfEarlierTerms(),
		exitedAt:        c.now,
	}
}

// recordExit terminates a placement whose task has exited.
func (c *reconciliation) recordExit(pl *Placement, status *protocol.TaskStatus) {
	m := c.machine
	pl.State, pl.StateSince = status.State, c.now
	pl.Cause, pl.CheckpointSaved = status.Cause, status.CheckpointSaved
	c.registry.removePlacement(c.now, m, pl)
	m.exitedTasks[pl.Task] = &exitedTask{
		attempt:         pl.Attempt,
		runFencingToken: pl.runFencingToken,
		exitedAt:        c.now,
	}
	switch status.Cause {
	case protocol.CauseDone:
		clear(m.FailedJobs)
		return
	case protocol.CauseError:
		m.FailedJobs[pl.Task.JobID] = true
	}
	c.registry.abandonFetch(m, pl)
}

// updateState updates the state of a task that has not exited, and reports whether it has changed.
func (c *reconciliation) updateState(pl *Placement, status *protocol.TaskStatus) bool {
	if !c.newer || pl.State == status.State {
		return false
	}
	pl.State, pl.StateSince = status.State, c.now
	if status.State != protocol.TaskFetching && pl.Job != nil {
		c.registry.confirmImage(c.now, c.machine, pl.Job)
	}
	return true
}

// terminateAbsent terminates the stopping placements that are proven to be absent from the machine. A worker rejects
// run commands with a fencing token below the highest one that it has received. Once it reports a token above that of
// every run command of an attempt, no such command can be executed any more, so an attempt that it does not list is
// absent for good. Without that token, absence proves nothing, because a run command may still be in transit.
func (c *reconciliation) terminateAbsent(reportedToken uint64, listed map[protocol.TaskID]uint64) {
	for _, pl := range sortedPlacements(c.machine.placements) {
		if !pl.Stopping || pl.Reported || pl.Incarnation != c.machine.Incarnation {
			continue
		}
		if reportedToken <= pl.runFencingToken || listed[pl.Task] == pl.Attempt {
			continue
		}
		c.terminateLost(pl)
		c.registry.abandonFetch(c.machine, pl)
	}
}

// terminateLost terminates a placement whose task is gone without a reported exit.
func (c *reconciliation) terminateLost(pl *Placement) {
	c.registry.removePlacement(c.now, c.machine, pl)
	c.observations = append(c.observations, Observation{Placement: pl, Lost: true})
}
