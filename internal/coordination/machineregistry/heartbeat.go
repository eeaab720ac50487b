package machineregistry

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// Observation is a change of a placement that a heartbeat, or a removal, has shown.
type Observation struct {
	Placement *Placement
	Lost      bool // terminated without an exit of the task
}

// HeartbeatResult is the outcome of a heartbeat.
type HeartbeatResult struct {
	Machine      *Machine
	Observations []Observation
	// Newer is false for duplicates and delayed heartbeats, which prove nothing but the exits that
	// they list.
	Newer bool
}

// HandleHeartbeat brings a machine up to date with a heartbeat of its worker and reconciles its
// placements with the tasks that the worker lists. An unknown machine is created. Heartbeats may
// be duplicated, delayed and reordered.
func (r *Registry) HandleHeartbeat(now time.Duration, heartbeat *protocol.WorkerHeartbeat) HeartbeatResult {
	m := r.GetOrCreate(now, heartbeat.Machine)
	if !r.Schedulable(now, m) {
		defer r.markChanged(m) // it may be schedulable from now on
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

// HandleUnchangedHeartbeat notes that another controller, the machine's owner, has answered a
// heartbeat in which nothing had changed. It returns false if that is not enough: the leader knows
// less of the machine than the owner, or the machine has commands to receive, so that the next
// heartbeat must reach the leader.
func (r *Registry) HandleUnchangedHeartbeat(now time.Duration, machine string, incarnation, sequence uint64) bool {
	m := r.machines[machine]
	if m == nil || !m.Registered || m.Incarnation != incarnation {
		return false
	}
	if sequence > m.Sequence {
		if !r.Schedulable(now, m) {
			defer r.markChanged(m) // it may be schedulable from now on
		}
		m.Sequence, m.LastHeartbeat, m.Relayed = sequence, now, false
	}
	return r.commandsDue[machine] != m && len(m.unknownTasks) == 0 && len(m.exitedTasks) == 0
}

// reconciliation is the work on one heartbeat.
type reconciliation struct {
	registry     *Registry
	now          time.Duration
	machine      *Machine
	newer        bool
	observations []Observation
}

// beginIncarnation drops what belonged to earlier incarnations of the worker: a new one has killed
// all their tasks before its first heartbeat.
func (c *reconciliation) beginIncarnation(incarnation uint64) {
	m := c.machine
	for _, pl := range sortedPlacements(m.placements) {
		if pl.Incarnation < incarnation {
			c.terminateLost(pl)
		}
	}
	if m.Incarnation != 0 {
		// The worker's lease expired while the leader may have answered its heartbeats. It has yet
		// to show that commands reach it.
		m.MarkUnresponsive(c.now + config.Seconds(c.registry.workerSettings.HeartbeatSeconds))
	}
	m.exitedTasks, m.unknownTasks = map[protocol.TaskID]*exitedTask{}, map[protocol.TaskID]uint64{}
	m.Incarnation, m.Sequence = incarnation, 0
}

// updateMachine takes over what a newer heartbeat says of the machine itself.
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
			continue // not a task of ours, and no command could name it
		}
		listed[id] = status.Attempt
		c.reconcileTask(id, status)
	}
	if c.newer {
		c.terminateAbsent(heartbeat.FencingToken, listed)
	}
}

// reconcileTask brings the placement of a listed task up to date.
func (c *reconciliation) reconcileTask(id protocol.TaskID, status *protocol.TaskStatus) {
	pl := c.machine.placements[id]
	if pl == nil || pl.Attempt != status.Attempt || pl.Incarnation != c.machine.Incarnation {
		c.noteUnplaced(id, status, pl)
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

// noteUnplaced notes a listed task without a placement of that attempt; pl is the placement of
// another attempt or incarnation, or nil. The machine is to forget it if it has exited, and to stop
// it otherwise.
func (c *reconciliation) noteUnplaced(id protocol.TaskID, status *protocol.TaskStatus, pl *Placement) {
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
	// An earlier leader placed it, and its outcome is recorded: otherwise the record would still
	// name it, and this leader would have adopted it.
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

// updateState takes over the state of a task that has not exited, and reports whether it is new.
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

// terminateAbsent terminates the placements that are to end and are proven not to be on the
// machine. A worker refuses run commands whose token is below the highest that it has seen. So
// once it reports a token above that of every run command of an attempt, none of these is executed
// any more, and an attempt that it does not list is not there and will not be. Without that token,
// absence proves nothing: a run command may still be delayed on its way.
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

// terminateLost terminates a placement whose task is gone without having exited.
func (c *reconciliation) terminateLost(pl *Placement) {
	c.registry.removePlacement(c.now, c.machine, pl)
	c.observations = append(c.observations, Observation{Placement: pl, Lost: true})
}
