// Package scheduler is the leader's state machine: jobs and their tasks, the
// cycle that places them, and what follows from reports, records and failures.
// It does no I/O and reads no clock: a step takes an event and the time, and
// returns effects.
package scheduler

import (
	"strings"
	"time"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// taskState is where a task stands in the leader's books.
type taskState uint8

const (
	pending taskState = iota
	placed            // has a placement that is not proven gone
	done
)

// job is an accepted job, or one that is over but not yet gone.
type job struct {
	spec  protocol.Job
	need  partition.Resources
	level int
	types string // the allowed types, in one word
	stamp uint64 // version of its live record; 0 once it is over
	atMS  int64
	known time.Duration // when it was submitted, by this leader's clock

	tasks  []taskState
	counts [3]int
	low    int // no task below it is pending
	places map[int]*partition.Placement
	ran    map[int]bool // replicas that have run, and should be back soon if lost
	pages  map[int]*placementPage
	layout storage.PageLayout
	// supersededPages are stored pages of other layouts, wider than the job's own. They count for tasks of
	// whose own page nothing is stored yet, and are dropped when they count for none.
	supersededPages []supersededPage

	// blocked says that a job that it awaits is not durably done, or that it is cancelled with one.
	blocked bool
	// latestStart is by when it must start so that all deadlines can be met that depend on it.
	latestStart time.Duration

	over          bool // cancelled, or its end is recorded
	finishing     bool // the transaction that ends it is under way
	writeInFlight bool
	unstarted     []*partition.Placement // wait for their record
	// What follows is the place in the queue of starts, while inStartQueue, and when the record may be
	// tried again after it was found not to be what the books say, and how often it was.
	inStartQueue    bool
	startTurn       uint64
	startNumber     uint64
	recordNotBefore time.Duration
	recordAttempts  int
	stopping        bool          // gang: being stopped as a whole
	runAt           time.Duration // when a task of it was last seen to start running
	begun           bool          // it has run so long that its start counts
	short           int           // cycles in a row without enough room
	queued          uint64        // the last cycle in which it waited
	served          uint64        // the last cycle in which it had its turn
	notBefore       time.Duration
	failures        int
	failedOn        map[string]bool
	// displacedFrom is the zone that it lost tasks with, or "".
	displacedFrom string
	// searchAgain is when room outside a lost zone is looked for again, after none was found.
	searchAgain time.Duration

	// reserved are the machines on which room was cleared for it, as far as known.
	reserved map[*partition.Machine]bool
	// widened is how often the looks of its searches were doubled.
	widened int
	// ended says that it is queued for the record of what has ended, since endedAt.
	ended   bool
	endedAt time.Duration
	// preemptionRound and preemptionCycle are when work to stop was last looked for.
	preemptionRound, preemptionCycle uint64
	queues                           *jobQueues // nil until it is in some
}

func newJob(spec protocol.Job, stamp uint64, atMS int64, now time.Duration, layout storage.PageLayout) *job {
	return &job{
		spec: spec, need: partition.TaskResources(&spec), level: spec.Priority.Rank(), types: strings.Join(spec.MachineTypes, " "), stamp: stamp, atMS: atMS, known: now,
		latestStart: dependency.Never,
		tasks:       make([]taskState, spec.TaskCount), counts: [3]int{spec.TaskCount, 0, 0},
		places: map[int]*partition.Placement{}, ran: map[int]bool{}, pages: map[int]*placementPage{}, layout: layout, failedOn: map[string]bool{},
	}
}

func (j *job) set(task int, s taskState) {
	if task < 0 || task >= len(j.tasks) {
		return
	}
	waited := j.counts[pending] > 0
	j.counts[j.tasks[task]]--
	j.counts[s]++
	j.tasks[task] = s
	if s == pending && task < j.low {
		j.low = task
	}
	if waited != (j.counts[pending] > 0) {
		j.queues.update(j)
	}
}

// nextPending returns the first pending task from the given one on, or -1.
func (j *job) nextPending(from int) int {
	for t := max(from, j.low); t < len(j.tasks); t++ {
		if j.tasks[t] == pending {
			if from <= j.low {
				j.low = t
			}
			return t
		}
	}
	return -1
}

// attempt returns the next attempt number of a task; those of a gang agree.
func (j *job) attempt(task int) uint64 {
	if j.spec.Shape != protocol.Gang {
		return j.pageOfTask(task).highestAttempt + 1
	}
	n := uint64(0)
	for _, p := range j.pages {
		n = max(n, p.highestAttempt)
	}
	return n + 1
}

// leaving says whether tasks are being stopped, and will have to be placed anew.
func (j *job) leaving() bool {
	for _, pl := range j.places {
		if pl.Stopping {
			return true
		}
	}
	return false
}

// suspect says whether a job's tasks have failed on so many machines that the
// job itself is likely to be at fault. One that has done tasks is not.
func (j *job) suspect() bool { return len(j.failedOn) > 2 && j.counts[done] == 0 }

// avoids names the machines that a job's tasks should not go to again: those
// that have failed one, unless it is the job that fails.
func (j *job) avoids() map[string]bool {
	if j.suspect() {
		return nil
	}
	return j.failedOn
}

// standing is the job's state as its user should see it.
func (j *job) standing() protocol.JobStatus {
	s := protocol.JobStatus{ID: j.spec.ID, State: protocol.JobQueued, DoneTasks: j.counts[done]}
	for _, pl := range j.places {
		if pl.State == protocol.TaskRunning {
			s.RunningTasks++
		}
	}
	if s.RunningTasks > 0 {
		s.State = protocol.JobRunning
	}
	return s
}
