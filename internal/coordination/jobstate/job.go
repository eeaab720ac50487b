// Package jobstate holds the state of one job as the leader knows it: its tasks and their placements, the pages that
// record them, its progress, and the queues that contain the job. It does no I/O and reads no clock.
//
// The methods of Job keep its counters and its queues consistent with the states of its tasks. Blocked, Ended,
// EffectivePriority and LatestStart determine the queues and must be changed only by methods; the other exported fields
// are maintained by the scheduler, and no counter or queue is derived from them.
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
	// TaskPending is the state of a task that has to be placed.
	TaskPending TaskState = iota
	// TaskPlaced is the state of a task with a placement that has not been proven to be terminated.
	TaskPlaced
	// TaskDone is the state of a task that has succeeded, or whose job has ended.
	TaskDone

	taskStateCount = iota
)

// faultyJobThreshold is the number of machines on which tasks of a job must fail for the job itself to be considered
// faulty.
const faultyJobThreshold = 3

// Job is an accepted job, or an ended one that still has placements or records. The zero value is not usable; use New.
type Job struct {
	Spec          protocol.Job
	TaskResources machineregistry.Resources // resources of each task
	// EffectivePriority is the rank of the highest priority among those of the job and of all jobs that depend on it; 0
	// is the highest.
	EffectivePriority int
	// AllowedTypes are the names of the allowed machine types, separated by spaces.
	AllowedTypes string
	// LiveRevision is the revision of the live record of the job, or 0 once the job has ended.
	LiveRevision uint64
	// AcceptedMS is when the job was accepted, as Unix time in milliseconds.
	AcceptedMS int64
	// WaitingSince is the time, by the leader's clock, since which the job has been waiting: when it was accepted or
	// unblocked.
	WaitingSince time.Duration

	taskStates    []TaskState
	taskCounts    [taskStateCount]int // number of tasks by state
	lowestPending int                 // no task with a lower index is pending
	// Placements are the placements by task that have not been proven to be terminated.
	Placements map[int]*machineregistry.Placement
	// HasRun holds the replicas of a service that have run before. They should be restarted soon if they are lost.
	HasRun map[int]bool
	Pages  placementpages.Set // records of the placements

	// Blocked is set while a dependency is not durably recorded as done, and permanently if a dependency was cancelled.
	Blocked bool
	// LatestStart is the latest time at which the job can start for all deadlines that depend on it to be met, or
	// dependency.NoDeadline.
	LatestStart time.Duration

	// Ended is set once the job is cancelled or its end is recorded.
	Ended bool
	// Ending is set while the transaction that records the end of the job is in flight.
	Ending bool

	// WriteInFlight is set while a write of the job's pages is in flight.
	WriteInFlight bool
	// Unstarted are the placements that may start once they are recorded.
	Unstarted []*machineregistry.Placement
	// RecordNotBefore is the earliest time at which a failed write of the job's pages is retried. RecordAttempts is the
	// number of failed attempts.
	RecordNotBefore time.Duration
	RecordAttempts  int

	// GangStopping is set while all tasks of a gang are being stopped together.
	GangStopping bool
	// LastTaskStart is when a task of the job was last observed to start running, or 0 if no task is running.
	LastTaskStart time.Duration
	// StartCounted is set once the job has run long enough for its start to count for the start latency objective.
	StartCounted bool

	// UnschedulableCycles is the number of consecutive scheduling cycles that had insufficient capacity for the job.
	UnschedulableCycles int
	LastWaitingCycle    uint64 // last cycle in which the job was waiting
	LastTriedCycle      uint64 // last cycle in which the scheduler tried to place the job
	// SearchDoublings is how many times the number of machines examined by a search for the job has been doubled.
	SearchDoublings int
	// PreemptionRound and PreemptionCycle identify the last search for preemption victims for the job.
	PreemptionRound, PreemptionCycle uint64
	// NominatedMachines are the machines on which tasks were preempted in favor of the job, as far as known.
	NominatedMachines map[*machineregistry.Machine]bool

	// BackoffUntil is the time before which no task of the job starts, after failures.
	BackoffUntil time.Duration
	// Failures is the number of failures that determine the backoff. A start of a task reduces it by one.
	Failures int
	// FailedOn holds the machines on which tasks of the job have failed.
	FailedOn map[string]bool

	// DisplacedFromZone is the lost zone in which the job had tasks, or "".
	DisplacedFromZone string
	// NextLoanSearch is when the next search for capacity to borrow takes place, after the last one found none.
	NextLoanSearch time.Duration

	queues        *Queues // nil until the job is added to queues
	inStartQueue  bool
	startRound    uint64
	startSequence uint64
	// completionQueued is set while the job waits in the queue of completions, since completionQueuedAt.
	completionQueued   bool
	completionQueuedAt time.Duration
}

// New returns a job that was accepted at acceptedMS, a Unix time in milliseconds, and has been waiting since
// waitingSince by the leader's clock.
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

// TaskCount returns the number of tasks of the job.
func (j *Job) TaskCount() int { return len(j.taskStates) }

// TaskState returns the state of a task.
func (j *Job) TaskState(task int) TaskState { return j.taskStates[task] }

// PendingTasks returns the number of tasks that have to be placed.
func (j *Job) PendingTasks() int { return j.taskCounts[TaskPending] }

// PlacedTasks returns the number of placed tasks.
func (j *Job) PlacedTasks() int { return j.taskCounts[TaskPlaced] }

// DoneTasks returns the number of done tasks.
func (j *Job) DoneTasks() int { return j.taskCounts[TaskDone] }

// AllTasksDone reports whether all tasks are done.
func (j *Job) AllTasksDone() bool { return j.taskCounts[TaskDone] == len(j.taskStates) }

// SetTask changes the state of a task. It ignores a task that the job does not have.
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

// ExtendTasks adds pending tasks, up to the given total, to a job whose specification is unknown.
func (j *Job) ExtendTasks(count int) {
	if added := count - len(j.taskStates); added > 0 {
		j.taskStates = append(j.taskStates, make([]TaskState, added)...)
		j.taskCounts[TaskPending] += added
	}
}

// NextPending returns the first pending task at or after the given index, or -1 if there is none.
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

// NextAttempt returns the next attempt number of a task. All tasks of a gang have the same attempt number.
func (j *Job) NextAttempt(task int) uint64 {
	if j.Spec.Shape != protocol.Gang {
		return j.Pages.PageOf(task).HighestAttempt + 1
	}
	return j.Pages.HighestAttempt() + 1
}

// Bind adds the placement of a pending task. The task may start once the placement is recorded.
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

// UnrecordedStarts returns the placements that wait to be recorded before they may start.
func (j *Job) UnrecordedStarts() []*machineregistry.Placement {
	var unrecorded []*machineregistry.Placement
	for _, pl := range j.Unstarted {
		if !pl.Recorded {
			unrecorded = append(unrecorded, pl)
		}
	}
	return unrecorded
}

// SortedPlacements returns the placements sorted by task.
func (j *Job) SortedPlacements() []*machineregistry.Placement {
	list := make([]*machineregistry.Placement, 0, len(j.Placements))
	for _, pl := range j.Placements {
		list = append(list, pl)
	}
	slices.SortFunc(list, func(a, b *machineregistry.Placement) int { return a.Task.Index - b.Task.Index })
	return list
}

// PlacedAsWhole reports whether every task that is not done is placed, and all placements are of the same attempt.
func (j *Job) PlacedAsWhole() bool {
	attempt := uint64(0)
	for _, pl := range j.Placements {
		if attempt != 0 && pl.Attempt != attempt {
			return false
		}
		attempt = pl.Attempt
	}
	return j.PendingTasks() == 0
}

// HasStarted reports whether any task of the job was ever placed.
func (j *Job) HasStarted() bool { return j.Pages.HighestAttempt() > 0 }

// HasStoppingTasks reports whether any task is being stopped. Such tasks have to be placed again.
func (j *Job) HasStoppingTasks() bool {
	for _, pl := range j.Placements {
		if pl.Stopping {
			return true
		}
	}
	return false
}

// SetBlocked sets whether the job must wait for its dependencies.
func (j *Job) SetBlocked(blocked bool) {
	j.Blocked = blocked
	j.queues.update(j)
}

// Unblock removes the block of a job whose dependencies are all done. The job counts as waiting from now on.
func (j *Job) Unblock(now time.Duration) {
	j.WaitingSince = now
	j.SetBlocked(false)
}

// MarkEnded marks the job as cancelled or its end as recorded.
func (j *Job) MarkEnded() {
	j.Ended, j.LiveRevision = true, 0
	j.queues.update(j)
}

// Reprioritise changes the effective priority and the latest start of the job, and moves it within its queues
// accordingly.
func (j *Job) Reprioritise(priority int, latestStart time.Duration) {
	j.queues.reorder(j, func() { j.EffectivePriority, j.LatestStart = priority, latestStart })
}

// QueueCompletion adds the job to the queue of completions, unless it is queued already.
func (j *Job) QueueCompletion(now time.Duration) { j.queues.addCompletion(now, j) }

// LikelyFaulty reports whether tasks have failed on so many machines that the job itself is probably faulty. A job with
// done tasks is not considered faulty.
func (j *Job) LikelyFaulty() bool { return len(j.FailedOn) >= faultyJobThreshold && j.DoneTasks() == 0 }

// AvoidedMachines returns the machines on which no further tasks of the job should be placed because a task has failed
// there. There are none if the job itself is likely to be faulty.
func (j *Job) AvoidedMachines() map[string]bool {
	if j.LikelyFaulty() {
		return nil
	}
	return j.FailedOn
}

// Status returns the status of the job as reported to its user.
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
