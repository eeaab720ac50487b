package machineregistry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// maxCommandsPerBatch keeps a batch, and a heartbeat's reply with it, within the protocol's limit.
const maxCommandsPerBatch = 400

// commandQueue is the state of the commands to one machine. What is due follows from the
// machine's placements, unknown tasks and exited tasks; commands that the machine has not
// executed, as far as its heartbeats say, are due again.
type commandQueue struct {
	inFlight bool          // a direct command has no answer yet
	retryAt  time.Duration // when the next direct command may be sent
	// newDue says that something new is due since the last batch was taken.
	newDue bool

	// epoch is the part of the fencing token that this leader raises to make the worker refuse
	// delayed copies of earlier commands.
	epoch         uint64
	epochRaisedAt time.Duration
}

// exitedTask is an exited task that the worker still lists, and refuses to start again, until it
// is told to forget it.
type exitedTask struct {
	attempt         uint64
	outcomeRecorded bool   // no record names the attempt as running any more
	runFencingToken uint64 // of the last run command
	exitedAt        time.Duration
}

// commandBatch collects the commands to one machine up to the limit.
type commandBatch []protocol.Command

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

// TakeDueCommands returns the commands that are due to a machine, in a fixed order, and marks
// them as sent. Commands beyond the limit of a batch are left for the next one.
func (r *Registry) TakeDueCommands(now time.Duration, m *Machine) []protocol.Command {
	r.raiseEpochIfNeeded(now, m)
	m.commands.newDue = false
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
		// The run command may still be delayed on its way. It is not repeated in order to stop the
		// task then: a cancelled task must not run even for a moment. The raised epoch makes the
		// worker refuse the run, and its next heartbeat proves that (see removeAbsent).
		batch.addStop(pl.Task, pl.Attempt, 0)
	}
}

// needsCommand reports whether a run or stop command is due for the placement. A task that is
// saving a checkpoint already needs no other stop command, unless its grace period was cut to 0.
func (pl *Placement) needsCommand() bool {
	if !pl.StartAllowed {
		return false
	}
	return !pl.Reported || pl.Stopping && (pl.State != protocol.TaskSaving || pl.GraceSeconds == 0)
}

// canForget reports whether the worker may forget an exited task. A run command that arrived
// after that would start the attempt again, so none may be acceptable to the worker any more: it
// refuses commands whose token is below the highest that it has seen.
func canForget(m *Machine, e *exitedTask) bool {
	return e.outcomeRecorded && e.runFencingToken < m.HighestFencingToken
}

// FencingToken returns the token that commands to the machine carry now.
func (r *Registry) FencingToken(m *Machine) uint64 {
	return protocol.FencingToken(r.term, m.commands.epoch)
}

// lastTokenOfEarlierTerms is the highest token that an earlier leader may have sent.
func (r *Registry) lastTokenOfEarlierTerms() uint64 { return protocol.FencingToken(r.term, 0) - 1 }

// raiseEpochIfNeeded raises the machine's command epoch in two cases: to make the worker refuse a
// run that is to be stopped before the machine has reported it, and to be able to forget exited
// tasks. It waits for a command in flight, and the second case for starts as well, which the new
// epoch would only delay.
func (r *Registry) raiseEpochIfNeeded(now time.Duration, m *Machine) {
	if m.commands.inFlight || m.commands.epoch >= protocol.MaxTokenEpoch {
		return
	}
	starting, stopping := r.unreportedRuns(m)
	if stopping || !starting && r.exitedTasksWait(now, m) {
		m.commands.epoch++
		m.commands.epochRaisedAt = now
	}
}

// unreportedRuns reports whether a placement is starting, and whether one is stopping whose run
// command the worker would still accept, among those that the machine has not reported.
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

// exitedTasksWait reports whether an exited task has been waiting for a higher epoch for half a
// lease, and the epoch is as old.
func (r *Registry) exitedTasksWait(now time.Duration, m *Machine) bool {
	pause := config.Seconds(r.workerSettings.LeaseSeconds / 2)
	if now-m.commands.epochRaisedAt < pause {
		return false
	}
	for _, e := range m.exitedTasks {
		if e.outcomeRecorded && e.runFencingToken >= r.FencingToken(m) && now-e.exitedAt > pause {
			return true
		}
	}
	return false
}

// MachinesToCommand returns, in name order, the machines to which due commands should be sent
// directly, as waiting for their next heartbeat would delay a start or a stop. It is called after
// every event and looks only at machines on which something may be due.
func (r *Registry) MachinesToCommand(now time.Duration) []*Machine {
	var list []*Machine
	for name, m := range r.commandsDue {
		if r.machines[name] != m {
			delete(r.commandsDue, name)
			continue
		}
		due, reachable := m.placementsNeedCommand()
		switch {
		case !due:
			delete(r.commandsDue, name)
		case reachable && m.canBeCommanded(now):
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// placementsNeedCommand reports whether a command is due for any placement, and for any of the
// worker's present incarnation.
func (m *Machine) placementsNeedCommand() (due, ofIncarnation bool) {
	for _, pl := range m.placements {
		if pl.needsCommand() {
			due = true
			ofIncarnation = ofIncarnation || pl.Incarnation == m.Incarnation
		}
	}
	return due, ofIncarnation
}

// canBeCommanded reports whether a direct command may be sent to the machine now.
func (m *Machine) canBeCommanded(now time.Duration) bool {
	return m.Registered && !m.Relayed && m.Addr != "" && !m.commands.inFlight && now >= m.commands.retryAt
}

// CommandSent notes that a direct command has been sent to the machine. No other is sent until
// CommandAnswered.
func (r *Registry) CommandSent(m *Machine) { m.commands.inFlight = true }

// CommandAnswered notes the outcome of a direct command. After a success, commands are repeated
// only once a heartbeat could have confirmed them. After a failure the next heartbeat is the
// natural moment to try again; a silent machine is tried more seldom, as hundreds that are cut off
// would otherwise delay the commands to those that answer.
func (r *Registry) CommandAnswered(now time.Duration, m *Machine, ok bool) {
	const pausesPerHeartbeat = 4
	m.commands.inFlight = false
	heartbeat := r.workerSettings.HeartbeatSeconds
	switch {
	case ok && m.commands.newDue:
	case ok:
		m.commands.retryAt = now + config.Seconds(heartbeat/pausesPerHeartbeat)
	case now-m.LastHeartbeat > r.SilenceTimeout():
		m.commands.retryAt = now + config.Seconds(r.workerSettings.LeaseSeconds/2)
	default:
		m.commands.retryAt = now + config.Seconds(heartbeat)
	}
}

// expediteCommand lets the next command to a placement's machine be sent without a pause.
func (r *Registry) expediteCommand(pl *Placement) {
	if m := r.machines[pl.Machine]; m != nil {
		m.commands.retryAt, m.commands.newDue = 0, true
		r.commandsDue[m.Name] = m
	}
}

// sortedTaskIDs returns the keys of a map in task order.
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
