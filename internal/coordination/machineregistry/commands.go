package machineregistry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// maxCommandsPerBatch limits the number of commands per message, so that a heartbeat reply stays within the size
// limit of the protocol.
const maxCommandsPerBatch = 400

// commandState is the state of command delivery to one machine. It holds no commands: the commands that are due are
// derived from the machine's placements, unknown tasks and exited tasks, and a command stays due until a heartbeat
// shows that it was executed.
type commandState struct {
	inFlight commandBatch  // direct commands that have not been answered yet; nil if there are none
	retryAt  time.Duration // earliest time of the next direct command
	// newCommandDue is set if a command has become due since the last batch was taken.
	newCommandDue bool

	// epoch is the part of the fencing token that this leader increments to make the worker reject delayed copies of
	// earlier commands.
	epoch              uint64
	epochIncrementedAt time.Duration
}

// exitedTask is an exited task that the worker still lists. The worker refuses to start that attempt again until it
// is told to forget the task.
type exitedTask struct {
	attempt         uint64
	outcomeRecorded bool   // no record lists the attempt as running any more
	runFencingToken uint64 // token of the last run command
	exitedAt        time.Duration
}

// commandBatch collects commands for one machine.
type commandBatch []protocol.Command

// isFull reports whether the batch has reached maxCommandsPerBatch.
func (b *commandBatch) isFull() bool { return len(*b) >= maxCommandsPerBatch }

func (b *commandBatch) addRun(task protocol.TaskID, attempt uint64) {
	*b = append(*b, protocol.Command{Verb: protocol.VerbRun, TaskName: task.String(), Attempt: attempt})
}

func (b *commandBatch) addStop(task protocol.TaskID, attempt uint64, graceSeconds float64) {
	*b = append(*b, protocol.Command{
		Verb:         protocol.VerbStop,
		TaskName:     task.String(),
		Attempt:      attempt,
		GraceSeconds: &graceSeconds,
	})
}

func (b *commandBatch) addForget(task protocol.TaskID, attempt uint64) {
	*b = append(*b, protocol.Command{Verb: protocol.VerbForget, TaskName: task.String(), Attempt: attempt})
}

// starts reports whether the batch contains the run command of a placement.
func (b commandBatch) starts(pl *Placement) bool {
	if len(b) == 0 {
		return false // the usual case
	}
	name := pl.Task.String()
	return slices.ContainsFunc(b, func(c protocol.Command) bool {
		return c.Verb == protocol.VerbRun && c.TaskName == name && c.Attempt == pl.Attempt
	})
}

// TakeDueCommands returns the commands that are due for a machine, in a deterministic order, and marks them as sent.
// Commands that exceed the limit of a batch are left for the next batch.
func (r *Registry) TakeDueCommands(now time.Duration, m *Machine) []protocol.Command {
	r.incrementEpochIfNeeded(now, m)
	m.commands.newCommandDue = false
	var batch commandBatch
	if len(m.placements) > 0 {
		for _, pl := range sortedPlacements(m.placements) {
			if !batch.isFull() {
				r.addPlacementCommand(&batch, m, pl)
			}
		}
	}
	for _, id := range sortedTaskIDs(m.unknownTasks) {
		if !batch.isFull() {
			batch.addStop(id, m.unknownTasks[id], 0)
		}
	}
	for _, id := range sortedTaskIDs(m.exitedTasks) {
		if e := m.exitedTasks[id]; !batch.isFull() && canForget(m, e) {
			batch.addForget(id, e.attempt)
			delete(m.exitedTasks, id)
		}
	}
	return batch
}

// addPlacementCommand adds the command that is due for a placement, if any.
func (r *Registry) addPlacementCommand(batch *commandBatch, m *Machine, pl *Placement) {
	if !pl.needsCommand() || pl.Incarnation != m.Incarnation {
		return
	}
	switch {
	case !pl.Stopping:
		pl.runSent = true
		pl.runFencingToken = r.FencingToken(m)
		batch.addRun(pl.Task, pl.Attempt)
	case pl.Reported:
		batch.addStop(pl.Task, pl.Attempt, pl.GraceSeconds)
	default:
		// A copy of the run command may still be in transit. The run command is not sent again just to be able to
		// stop the task, because a cancelled task must not run even for a moment. Instead, the increased epoch makes
		// the worker reject the run command, and the next heartbeat confirms that (see terminateAbsent).
		batch.addStop(pl.Task, pl.Attempt, 0)
	}
}

// needsCommand reports whether a run or stop command is due for the placement. A task that is already saving a
// checkpoint needs no further stop command unless its grace period has been reduced to 0.
func (pl *Placement) needsCommand() bool {
	if !pl.StartAllowed {
		return false
	}
	return !pl.Reported || pl.Stopping && (pl.State != protocol.TaskSaving || pl.GraceSeconds == 0)
}

// canForget reports whether the worker may be told to forget an exited task. A run command that arrived afterwards
// would start the attempt again, so the worker must already be rejecting it: it rejects commands with a fencing token
// below the highest one that it has received.
func canForget(m *Machine, e *exitedTask) bool {
	return e.outcomeRecorded && e.runFencingToken < m.HighestFencingToken
}

// FencingToken returns the fencing token of commands that are sent to the machine now.
func (r *Registry) FencingToken(m *Machine) uint64 {
	return protocol.FencingToken(r.term, m.commands.epoch)
}

// lastTokenOfEarlierTerms returns the highest fencing token that a leader of an earlier term may have used.
func (r *Registry) lastTokenOfEarlierTerms() uint64 { return protocol.FencingToken(r.term, 0) - 1 }

// incrementEpochIfNeeded increments the command epoch of a machine for two purposes: to make the worker reject the
// run command of a placement that is to be stopped before the machine has reported it, and to be able to forget
// exited tasks. It never does so while a command is in flight. The second purpose also waits until no placement is
// starting, because a new epoch would delay these starts.
func (r *Registry) incrementEpochIfNeeded(now time.Duration, m *Machine) {
	if m.commands.inFlight != nil || m.commands.epoch >= protocol.MaxTokenEpoch {
		return
	}
	starting, stopping := r.unreportedRuns(m)
	if stopping || !starting && r.exitedTasksNeedEpoch(now, m) {
		m.commands.epoch++
		m.commands.epochIncrementedAt = now
	}
}

// unreportedRuns reports on the placements that the machine has not listed yet: whether any is starting, and whether
// any is stopping although the worker would still accept its run command.
func (r *Registry) unreportedRuns(m *Machine) (starting, stopping bool) {
	for _, pl := range m.placements {
		switch {
		case !pl.StartAllowed || pl.Reported || pl.Incarnation != m.Incarnation:
		case !pl.Stopping:
			starting = true
		case pl.runFencingToken >= r.FencingToken(m):
			stopping = true
		}
	}
	return starting, stopping
}

// exitedTasksNeedEpoch reports whether an exited task has waited for a higher epoch for more than half a lease and
// the epoch has not been incremented for as long.
func (r *Registry) exitedTasksNeedEpoch(now time.Duration, m *Machine) bool {
	minWait := config.Seconds(r.workerSettings.LeaseSeconds / 2)
	if now-m.commands.epochIncrementedAt < minWait {
		return false
	}
	for _, e := range m.exitedTasks {
		if e.outcomeRecorded && e.runFencingToken >= r.FencingToken(m) && now-e.exitedAt > minWait {
			return true
		}
	}
	return false
}

// MachinesToCommand returns, in name order, at most limit machines to which due commands should be sent directly,
// because waiting for the next heartbeat would delay a start or a stop. It reports whether there are more. It is called
// after every event and therefore examines only machines for which a command may be due.
//
// If there are too many machines, those that have sent a heartbeat most recently go first, because they are the most
// likely to answer. Each of the others may be unreachable, and would take up a request until its timeout.
func (r *Registry) MachinesToCommand(now time.Duration, limit int) (list []*Machine, more bool) {
	for name, m := range r.commandsDue {
		if r.machines[name] != m {
			delete(r.commandsDue, name)
			continue
		}
		due, ofCurrentIncarnation := m.placementsNeedCommand()
		switch {
		case !due:
			delete(r.commandsDue, name)
		case ofCurrentIncarnation && m.acceptsDirectCommand(now):
			list = append(list, m)
		}
	}
	if more = len(list) > limit; more {
		list = mostRecentlyHeard(list, limit)
	}
	slices.SortFunc(list, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
	return list, more
}

// mostRecentlyHeard returns the n machines with the newest heartbeats, ordered by them and then by name. It is fast if
// n is small.
func mostRecentlyHeard(machines []*Machine, n int) []*Machine {
	newestFirst := func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(b.LastHeartbeat, a.LastHeartbeat), cmp.Compare(a.Name, b.Name))
	}
	selected := make([]*Machine, 0, n+1)
	for _, m := range machines {
		if i, _ := slices.BinarySearchFunc(selected, m, newestFirst); i < n {
			selected = slices.Insert(selected, i, m)
			selected = selected[:min(n, len(selected))]
		}
	}
	return selected
}

// placementsNeedCommand reports whether a command is due for any placement, and whether one is due for any placement
// of the worker's current incarnation.
func (m *Machine) placementsNeedCommand() (due, ofCurrentIncarnation bool) {
	for _, pl := range m.placements {
		if pl.needsCommand() {
			due = true
			ofCurrentIncarnation = ofCurrentIncarnation || pl.Incarnation == m.Incarnation
		}
	}
	return due, ofCurrentIncarnation
}

// acceptsDirectCommand reports whether a direct command may be sent to the machine now.
func (m *Machine) acceptsDirectCommand(now time.Duration) bool {
	return m.Registered && !m.Relayed && m.Addr != "" && m.commands.inFlight == nil && now >= m.commands.retryAt
}

// RecordCommandSent records that commands, of which there must be at least one, are being sent to the machine directly.
// No others are sent until RecordCommandResult or RecordCommandNotSent is called.
func (r *Registry) RecordCommandSent(m *Machine, commands []protocol.Command) {
	m.commands.inFlight = commands
}

// TakeOutdatedBatches returns the machines whose batch in flight contains the run command of a placement that was
// stopped since the last call. If the batch has not been written to a connection yet, it must not be sent.
func (r *Registry) TakeOutdatedBatches() []*Machine {
	machines := r.outdatedBatches
	r.outdatedBatches = nil
	return machines
}

// RecordCommandNotSent records that the batch in flight was not sent. Commands that are still due may be sent at once.
func (r *Registry) RecordCommandNotSent(m *Machine) { m.commands.inFlight = nil }

// RecordCommandResult records the outcome of a direct command. After a success, unconfirmed commands are repeated only
// after a pause, so that a heartbeat can confirm them first. After a failure, the next attempt is made at about the
// time of the next heartbeat. A machine that is no longer sending heartbeats is retried less often: otherwise, if
// hundreds of machines are unreachable, they would delay commands to the others.
func (r *Registry) RecordCommandResult(now time.Duration, m *Machine, ok bool) {
	const repeatsPerHeartbeat = 4
	m.commands.inFlight = nil
	heartbeat := r.workerSettings.HeartbeatSeconds
	switch {
	case ok && m.commands.newCommandDue:
	case ok:
		m.commands.retryAt = now + config.Seconds(heartbeat/repeatsPerHeartbeat)
	case now-m.LastHeartbeat > r.UnreachableTimeout():
		m.commands.retryAt = now + config.Seconds(r.workerSettings.LeaseSeconds/2)
	default:
		m.commands.retryAt = now + config.Seconds(heartbeat)
	}
}

// expediteCommand allows the next command to a placement's machine to be sent without a pause.
func (r *Registry) expediteCommand(pl *Placement) {
	if m := r.machines[pl.Machine]; m != nil {
		m.commands.retryAt, m.commands.newCommandDue = 0, true
		r.commandsDue[m.Name] = m
	}
}

// sortedTaskIDs returns the keys of a map, sorted by job ID and task index.
func sortedTaskIDs[V any](tasks map[protocol.TaskID]V) []protocol.TaskID {
	if len(tasks) == 0 {
		return nil
	}
	list := slices.AppendSeq(make([]protocol.TaskID, 0, len(tasks)), maps.Keys(tasks))
	slices.SortFunc(list, func(a, b protocol.TaskID) int {
		return cmp.Or(cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Index, b.Index))
	})
	return list
}
