// Package jobstate holds what a leader knows of one job: its tasks and their placements, the pages that record
// them, its progress towards its end, and the queues that it stands in. It does no I/O and reads no clock.
//
// A Job keeps its counters and its queues consistent with the states of its tasks: those change through its methods
// only. Fields that are exported are facts of the scheduler's which nothing here derives from.
package jobstate

import (
	"slices"
	"strings"
	"time"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placementpages"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// TaskState is the state of a task as the leader knows it.
type TaskState uint8

const (
	// TaskPending is a task that has to be placed.
	TaskPending TaskState = iota
	// TaskPlaced is a task with a placement that has not been proven gone.
	TaskPlaced
	// TaskDone is a task that has ended successfully, or whose job is over.
	TaskDone

	taskStateCount = iota
)

// faultyMachineCount is on how many machines tasks of a job must fail for the job itself to be considered faulty.
const faultyMachineCount = 3

// Job is an accepted job, or one that has ended but of which placements or records are left. The zero value is not
// usable: see New.
type Job struct {
	Spec          protocol.Job
	TaskResources machineregistry.Resources // of each task
	// EffectivePriority is the rank of the highest priority of the job and of all that depend on it; 0 is the highest.
	EffectivePriority int
	// AllowedTypes are the allowed machine types, separated by spaces.
	AllowedTypes string
	// LiveRevision is the revision of its live record, 0 once it has ended.
	LiveRevision uint64
	// AcceptedMS is the time of day in milliseconds at which it was accepted.
	AcceptedMS int64
	// WaitingSince is the leader's time from which its waiting counts: when it was accepted or unblocked.
	WaitingSince time.Duration

	taskStates    []TaskState
	taskCounts    [taskStateCount]int // by state
	lowestPending int                 // no task below it is pending
	// Placements are those that have not been proven gone, by task.
	Placements map[int]*machineregistry.Placement
	// HasRun holds the replicas that have run, and should be back soon when they are lost.
	HasRun map[int]bool
	Pages  placementpages.Set // the records of its placements

	// Blocked is set while a dependency is not durably done, and for good when one was cancelled.
	Blocked bool
	// LatestStart is by when it must start for all deadlines that depend on it to be met, or dependency.NoDeadline.
	LatestStart time.Duration

	// Ended is set once it is cancelled or its end is recorded.
	Ended bool
	// Ending is set while the transaction that records its end is in flight.
	Ending bool

	// WriteInFlight is set while a write of its pages is in flight.
	WriteInFlight bool
	// Unstarted are the placements that may start once they are recorded.
	Unstarted []*machineregistry.Placement
	// RecordNotBefore is when its record may be tried again after a write of it failed, and RecordAttempts how often
	// that has happened.
	RecordNotBefore time.Duration
	RecordAttempts  int

	// GangStopping is set while a gang is being stopped as a whole.
	GangStopping bool
	// LastTaskStart is when a task of it was last seen to start running, 0 if none runs.
	LastTaskStart time.Duration
	// StartCounted is set once it has run so long that its start counts for the start latency objective.
	StartCounted bool

	// UnschedulableCycles is how many cycles in a row had not enough capacity for it.
	UnschedulableCycles int
	LastWaitingCycle    uint64 // in which it waited
	LastTriedCycle      uint64 // in which it had its turn
	// SearchDoublings is how often the number of machines that its searches examine was doubled.
	SearchDoublings int
	// PreemptionRound and PreemptionCycle are when victims were last searched for it.
	PreemptionRound, PreemptionCycle uint64
	// NominatedMachines are those on which victims were preempted for it, as far as known.
	NominatedMachines map[*machineregistry.Machine]bool

	// BackoffUntil is until when no task of it starts, after failures.
	BackoffUntil time.Duration
	Failures     int
	// FailedOn holds the machines on which tasks of it have failed.
	FailedOn map[string]bool

	// DisplacedFromZone is the lost zone in which it had tasks, or "".
	DisplacedFromZone string
	// NextLoanSearch is when capacity to borrow is searched for it again, after none was found.
	NextLoanSearch time.Duration

	queues       *Queues // nil until it is added to some
	inStartQueue bool
	startTurn    uint64
	startNumber  uint64
	// completionQueued is set while it is queued for the record of what has ended, since completionQueuedAt.
	completionQueued   bool
	completionQueuedAt time.Duration
}

// New returns a job that was accepted at acceptedMS, a time of day in milliseconds, and waits since the given time of
// the leader.
func New(
	spec protocol.Job, liveRevision uint64, acceptedMS int64, waitingSince time.Duration, layout storage.PageLayout,
) *Job {
	return &Job{
		Spec:              spec,
		TaskResources:     machineregistry.TaskResources(&spec),
		EffectivePriority: spec.Priority.Rank(),
		AllowedTypes:      strings.Join(spec.MachineTypes, " "),
		LiveRevision:      liveRevision,
		AcceptedMS:        acceptedMS,
		WaitingSince:      waitingSince,
		LatestStart:       dependency.NoDeadline,
		taskStates:        make([]TaskState, spec.TaskCount),
		taskCounts:        [taskStateCount]int{TaskPending: spec.TaskCount},
		Placements:        map[int]*machineregistry.Placement{},
		HasRun:            map[int]bool{},
		Pages:             placementpages.NewSet(spec.ID, spec.TaskCount, layout),
		FailedOn:          map[string]bool{},
	}
}

// TaskCount returns the number of its tasks.
func (j *Job) TaskCount() int { return len(j.taskStates) }

// TaskState returns the state of a task.
func (j *Job) TaskState(task int) TaskState { return j.taskStates[task] }

// PendingTasks returns the number of tasks that have to be placed.
func (j *Job) PendingTasks() int { return j.taskCounts[TaskPending] }

// PlacedTasks returns the number of tasks with a placement.
func (j *Job) PlacedTasks() int { return j.taskCounts[TaskPlaced] }

// DoneTasks returns the number of tasks that are done.
func (j *Job) DoneTasks() int { return j.taskCounts[TaskDone] }

// AllTasksDone reports whether all tasks are done.
func (j *Job) AllTasksDone() bool { return j.taskCounts[TaskDone] == len(j.taskStates) }

// SetTask changes the state of a task. A task that the job does not have is ignored.
func (j *Job) SetTask(task int, state TaskState) {
	if task < 0 || task >= len(j.taskStates) {
		return
	}
	hadPending := j.PendingTasks() > 0
	j.taskCounts[j.taskStates[task]]--
	j.taskCounts[state]++
	j.taskStates[task] = state
	if state == TaskPending && task < j.lowestPending {
		j.lowestPending = task
	}
	if hadPending != (j.PendingTasks() > 0) {
		j.queues.update(j)
	}
}

// ExtendTasks adds pending tasks to a job whose specification is not known, up to a count.
func (j *Job) ExtendTasks(count int) {
	if added := count - len(j.taskStates); added > 0 {
		j.taskStates = append(j.taskStates, make([]TaskState, added)...)
		j.taskCounts[TaskPending] += added
	}
}

// NextPending returns the first pending task from the given one on, or -1.
func (j *Job) NextPending(from int) int {
	for t := max(from, j.lowestPending); t < len(j.taskStates); t++ {
		if j.taskStates[t] == TaskPending {
			if from <= j.lowestPending {
				j.lowestPending = t
			}
			return t
		}
	}
	return -1
}

// NextAttempt returns the next attempt number of a task. All tasks of a gang have the same.
func (j *Job) NextAttempt(task int) uint64 {
	if j.Spec.Shape != protocol.Gang {
		return j.Pages.PageOf(task).HighestAttempt + 1
	}
	return j.Pages.HighestAttempt() + 1
}

// Bind adds the placement of a pending task, which starts once it is recorded.
func (j *Job) Bind(now time.Duration, pl *machineregistry.Placement) {
	task := pl.Task.Index
	j.SetTask(task, TaskPlaced)
	j.Placements[task] = pl
	j.MarkDirty(task, now)
	j.Unstarted = append(j.Unstarted, pl)
	j.queues.AddPlaced(j)
}

// RestorePlacement adds a placement that an earlier leader recorded.
func (j *Job) RestorePlacement(pl *machineregistry.Placement) {
	task := pl.Task.Index
	j.Placements[task] = pl
	if j.taskStates[task] != TaskDone {
		j.SetTask(task, TaskPlaced)
	}
}

// SortedPlacements returns its placements in the order of their tasks.
func (j *Job) SortedPlacements() []*machineregistry.Placement {
	list := make([]*machineregistry.Placement, 0, len(j.Placements))
	for _, pl := range j.Placements {
		list = append(list, pl)
	}
	slices.SortFunc(list, func(a, b *machineregistry.Placement) int { return a.Task.Index - b.Task.Index })
	return list
}

// HasStarted reports whether a task of the job was ever placed.
func (j *Job) HasStarted() bool { return j.Pages.HighestAttempt() > 0 }

// HasStoppingTasks reports whether tasks are being stopped, which will have to be placed again.
func (j *Job) HasStoppingTasks() bool {
	for _, pl := range j.Placements {
		if pl.Stopping {
			return true
		}
	}
	return false
}

// SetBlocked records whether it must wait because of its dependencies.
func (j *Job) SetBlocked(blocked bool) {
	j.Blocked = blocked
	j.queues.update(j)
}

// Unblock records that all its dependencies are done. Its waiting counts from now on.
func (j *Job) Unblock(now time.Duration) {
	j.WaitingSince = now
	j.SetBlocked(false)
}

// MarkEnded records that it was cancelled or that its end is recorded.
func (j *Job) MarkEnded() {
	j.Ended, j.LiveRevision = true, 0
	j.queues.update(j)
}

// Reprioritise changes its effective priority and its latest start, and with them its place in its queues.
func (j *Job) Reprioritise(priority int, latestStart time.Duration) {
	j.queues.reorder(j, func() { j.EffectivePriority, j.LatestStart = priority, latestStart })
}

// QueueCompletion queues it for the record of what has ended, unless it is queued already.
func (j *Job) QueueCompletion(now time.Duration) { j.queues.addCompletion(now, j) }

// LikelyFaulty reports whether tasks have failed on so many machines that the job itself is likely to be at fault.
// One that has done tasks is not.
func (j *Job) LikelyFaulty() bool { return len(j.FailedOn) >= faultyMachineCount && j.DoneTasks() == 0 }

// AvoidedMachines returns the machines on which its tasks should not be placed again: those where one has failed,
// unless the job itself is likely to be at fault.
func (j *Job) AvoidedMachines() map[string]bool {
	if j.LikelyFaulty() {
		return nil
	}
	return j.FailedOn
}

// Status returns the state that its user sees.
func (j *Job) Status() protocol.JobStatus {
	s := protocol.JobStatus{ID: j.Spec.ID, State: protocol.JobQueued, DoneTasks: j.DoneTasks()}
	for _, pl := range j.Placements {
		if pl.State == protocol.TaskRunning {
			s.RunningTasks++
		}
	}
	if s.RunningTasks > 0 {
		s.State = protocol.JobRunning
	}
	return s
}
