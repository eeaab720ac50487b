// Package jobstate holds what a leader knows of one job: its tasks and their placements, the pages that record
// them, its progress towards its end, and the queues that it stands in. It does no I/O and reads no clock.
package jobstate

import (
	"strings"
	"time"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placementpages"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// TaskState is where a task stands in the leader's books.
type TaskState uint8

const (
	TaskPending TaskState = iota
	TaskPlaced            // has a placement that is not proven gone
	TaskDone
)

// Job is an accepted job, or one that is over but not yet gone.
type Job struct {
	Spec              protocol.Job
	TaskResources     machineregistry.Resources
	EffectivePriority int
	AllowedTypes      string // the allowed types, in one word
	LiveRevision      uint64 // version of its live record; 0 once it is over
	AcceptedMS        int64
	WaitingSince      time.Duration // when it was submitted, by this leader's clock

	TaskStates    []TaskState
	TaskCounts    [3]int
	lowestPending int // no task below it is pending
	Placements    map[int]*machineregistry.Placement
	HasRun        map[int]bool       // replicas that have run, and should be back soon if lost
	Pages         placementpages.Set // the records of its placements

	// Blocked says that a job that it awaits is not durably done, or that it is cancelled with one.
	Blocked bool
	// LatestStart is by when it must start so that all deadlines can be met that depend on it.
	LatestStart time.Duration

	Ended         bool // cancelled, or its end is recorded
	Ending        bool // the transaction that ends it is under way
	WriteInFlight bool
	Unstarted     []*machineregistry.Placement // wait for their record
	// What follows is the place in the queue of starts, while inStartQueue, and when the record may be
	// tried again after it was found not to be what the books say, and how often it was.
	inStartQueue        bool
	startTurn           uint64
	startNumber         uint64
	RecordNotBefore     time.Duration
	RecordAttempts      int
	GangStopping        bool          // gang: being stopped as a whole
	LastTaskStart       time.Duration // when a task of it was last seen to start running
	StartCounted        bool          // it has run so long that its start counts
	UnschedulableCycles int           // cycles in a row without enough room
	LastWaitingCycle    uint64        // the last cycle in which it waited
	LastTriedCycle      uint64        // the last cycle in which it had its turn
	BackoffUntil        time.Duration
	Failures            int
	FailedOn            map[string]bool

	// NominatedMachines are the machines on which room was cleared for it, as far as known.
	NominatedMachines map[*machineregistry.Machine]bool
	// SearchDoublings is how often the looks of its searches were doubled.
	SearchDoublings int
	// completionQueued says that it is queued for the record of what has ended, since completionQueuedAt.
	completionQueued   bool
	completionQueuedAt time.Duration
	// PreemptionRound and PreemptionCycle are when work to stop was last looked for.
	PreemptionRound, PreemptionCycle uint64
	Queues                           *Queues // nil until it is in some
}

func New(spec protocol.Job, stamp uint64, atMS int64, now time.Duration, layout storage.PageLayout) *Job {
	return &Job{
		Spec:              spec,
		TaskResources:     machineregistry.TaskResources(&spec),
		EffectivePriority: spec.Priority.Rank(),
		AllowedTypes:      strings.Join(spec.MachineTypes, " "),
		LiveRevision:      stamp,
		AcceptedMS:        atMS,
		WaitingSince:      now,
		LatestStart:       dependency.NoDeadline,
		TaskStates:        make([]TaskState, spec.TaskCount),
		TaskCounts:        [3]int{spec.TaskCount, 0, 0},
		Placements:        map[int]*machineregistry.Placement{},
		HasRun:            map[int]bool{},
		Pages:             placementpages.NewSet(spec.ID, spec.TaskCount, layout),
		FailedOn:          map[string]bool{},
	}
}

func (j *Job) SetTask(task int, s TaskState) {
	if task < 0 || task >= len(j.TaskStates) {
		return
	}
	waited := j.TaskCounts[TaskPending] > 0
	j.TaskCounts[j.TaskStates[task]]--
	j.TaskCounts[s]++
	j.TaskStates[task] = s
	if s == TaskPending && task < j.lowestPending {
		j.lowestPending = task
	}
	if waited != (j.TaskCounts[TaskPending] > 0) {
		j.Queues.Update(j)
	}
}

// NextPending returns the first pending task from the given one on, or -1.
func (j *Job) NextPending(from int) int {
	for t := max(from, j.lowestPending); t < len(j.TaskStates); t++ {
		if j.TaskStates[t] == TaskPending {
			if from <= j.lowestPending {
				j.lowestPending = t
			}
			return t
		}
	}
	return -1
}

// NextAttempt returns the next attempt number of a task; those of a gang agree.
func (j *Job) NextAttempt(task int) uint64 {
	if j.Spec.Shape != protocol.Gang {
		return j.Pages.PageOf(task).HighestAttempt + 1
	}
	return j.Pages.HighestAttempt() + 1
}

// HasStoppingTasks says whether tasks are being stopped, and will have to be placed anew.
func (j *Job) HasStoppingTasks() bool {
	for _, pl := range j.Placements {
		if pl.Stopping {
			return true
		}
	}
	return false
}

// LikelyFaulty says whether a job's tasks have failed on so many machines that the
// job itself is likely to be at fault. One that has done tasks is not.
func (j *Job) LikelyFaulty() bool { return len(j.FailedOn) > 2 && j.TaskCounts[TaskDone] == 0 }

// AvoidedMachines names the machines that a job's tasks should not go to again: those
// that have failed one, unless it is the job that fails.
func (j *Job) AvoidedMachines() map[string]bool {
	if j.LikelyFaulty() {
		return nil
	}
	return j.FailedOn
}

// Status is the job's state as its user should see it.
func (j *Job) Status() protocol.JobStatus {
	s := protocol.JobStatus{ID: j.Spec.ID, State: protocol.JobQueued, DoneTasks: j.TaskCounts[TaskDone]}
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

// HasStarted says whether a task of the job was ever placed.
func (j *Job) HasStarted() bool { return j.Pages.HighestAttempt() > 0 }
