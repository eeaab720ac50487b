package simulation

import (
	"sort"
	"time"

	"github.com/tidwall/btree"

	"pinebay/internal/protocol"
)

// World holds the workers and the jobs of a simulation, and checks the rules of the protocol for every task. World and
// its workers are not safe for concurrent use. The cost of Advance depends on the number of tasks of the workers that
// are due and not on the total number of workers.
type World struct {
	Jobs    map[string]*protocol.Job
	Workers map[string]*Worker
	Done    map[protocol.TaskID]bool
	DoneAt  map[string]time.Duration // time of the latest completion of a task, by job
	// Cancelled has the times at which users were told that their jobs are cancelled.
	Cancelled map[string]time.Duration
	// CancelTimeout limits how long tasks of a cancelled job may occupy a machine after a user was told.
	CancelTimeout time.Duration
	TeamLimits    map[string]Resources // CPUs and GPUs of a team; 0: no limit
	FetchTime     time.Duration
	RunTime       time.Duration
	RunTimes      map[string]time.Duration // overrides RunTime by job, see runTime
	// RunTimeOf, if set, returns the run time of a task and replaces RunTime and RunTimes.
	RunTimeOf func(protocol.TaskID) time.Duration
	// Starts is the number of task starts, each counted when the task began to occupy a machine.
	Starts int
	// LateStarts is the number of start commands that were executed after a user was told that the job is cancelled.
	// Commands within CommandTransitTime, and commands to machines that have been hung or unreachable since the
	// cancellation, do not count.
	LateStarts int
	// CommandTransitTime is how long after the cancellation of a job a start command may still arrive: the time that a
	// slow controller needs to learn of the cancellation plus the delay of its last command to a worker.
	CommandTransitTime time.Duration
	// LookupJob, if set, returns a job that is not in Jobs, or nil if there is no such job.
	LookupJob func(id string) *protocol.Job
	// OnStart, if set, is called for each task that starts to occupy a machine.
	OnStart func(now time.Duration, id protocol.TaskID)
	// Violations describes the violations that were found so far.
	Violations []string

	onMachines occupancy
	dueQueue   *btree.BTreeG[*Worker] // sorted by nextDueAt, then by name
}

// NewWorld returns a World without machines or jobs. Its parameters are CancelTimeout, FetchTime and RunTime.
func NewWorld(cancel, fetch, run time.Duration) *World {
	return &World{
		Jobs:          map[string]*protocol.Job{},
		Workers:       map[string]*Worker{},
		Done:          map[protocol.TaskID]bool{},
		DoneAt:        map[string]time.Duration{},
		Cancelled:     map[string]time.Duration{},
		CancelTimeout: cancel,
		TeamLimits:    map[string]Resources{},
		FetchTime:     fetch,
		RunTime:       run,
		RunTimes:      map[string]time.Duration{},
		onMachines:    newOccupancy(),
		dueQueue:      btree.NewBTreeGOptions(lessByDueTime, btree.Options{NoLocks: true}),
	}
}

// lessByDueTime reports whether a is due before b. Workers that are due at the same time are ordered by name.
func lessByDueTime(a, b *Worker) bool {
	if a.nextDueAt != b.nextDueAt {
		return a.nextDueAt < b.nextDueAt
	}
	return a.Name < b.Name
}

// AddMachine adds a running machine and returns its worker.
func (w *World) AddMachine(
	now time.Duration,
	name, zone string,
	spot bool,
	machineType *protocol.MachineType,
	lease time.Duration,
) *Worker {
	m := &Worker{
		Name:         name,
		Type:         machineType.Name,
		Zone:         zone,
		Spot:         spot,
		Capacity:     Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB},
		Incarnation:  1,
		Tasks:        map[protocol.TaskID]*Task{},
		LeaseTimeout: lease,
		World:        w,
		leaseStart:   now,
	}
	w.Workers[name] = m
	w.schedule(m)
	return m
}

// job returns a job, or nil if there is no such job.
func (w *World) job(id string) *protocol.Job {
	j := w.Jobs[id]
	if j == nil && w.LookupJob != nil {
		if j = w.LookupJob(id); j != nil {
			w.Jobs[id] = j
		}
	}
	return j
}

// RemoveMachine removes a machine and kills its tasks. It does nothing if there is no such machine.
func (w *World) RemoveMachine(name string) {
	m := w.Workers[name]
	if m == nil {
		return
	}
	m.killAllTasks()
	w.dueQueue.Delete(m)
	delete(w.Workers, name)
}

// schedule updates the position of a worker in dueQueue.
func (w *World) schedule(m *Worker) {
	if w.Workers[m.Name] != m {
		return // requests to a machine may still arrive after its removal
	}
	w.dueQueue.Delete(m)
	m.nextDueAt = m.nextDue()
	w.dueQueue.Set(m)
}

// Advance updates all machines to the given time, except hung ones, and checks the rules of the protocol.
func (w *World) Advance(now time.Duration) {
	var due []*Worker
	w.dueQueue.Scan(func(m *Worker) bool {
		if m.nextDueAt <= now {
			due = append(due, m)
		}
		return m.nextDueAt <= now
	})
	sort.Slice(due, func(i, j int) bool { return due[i].Name < due[j].Name })
	for _, m := range due {
		if !m.Hung {
			m.advance(now)
		}
	}
	w.checkCancelled(now)
}

// runTime returns the run time of a task. The tasks of a job in RunTimes end one after the other: task i runs i+1 times
// as long as the first one.
func (w *World) runTime(id protocol.TaskID) time.Duration {
	if w.RunTimeOf != nil {
		return w.RunTimeOf(id)
	}
	if d, ok := w.RunTimes[id.JobID]; ok {
		return d * time.Duration(1+id.Index)
	}
	return w.RunTime
}

// finishGang ends all tasks of an attempt of a gang that has completed.
func (w *World) finishGang(now time.Duration, job string, attempt uint64) {
	for _, t := range w.onMachines.gang(job, attempt) {
		t.worker.exit(now, t, protocol.CauseDone)
	}
}

// sortedWorkers returns the workers sorted by name.
func (w *World) sortedWorkers() []*Worker {
	var workers []*Worker
	for _, m := range w.Workers {
		workers = append(workers, m)
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Name < workers[j].Name })
	return workers
}

// recordCompletion records the time at which a task has first completed.
func (w *World) recordCompletion(now time.Duration, id protocol.TaskID) {
	if !w.Done[id] {
		w.Done[id] = true
		w.DoneAt[id.JobID] = now
	}
}

// UnblockedAt returns the time at which the last dependency of a job was done, or false if the job has no dependencies.
func (w *World) UnblockedAt(j *protocol.Job) (at time.Duration, ok bool) {
	for _, dependency := range j.Dependencies {
		at = max(at, w.DoneAt[dependency])
	}
	return at, len(j.Dependencies) > 0
}

// allTasksDone reports whether all tasks of a job have completed.
func (w *World) allTasksDone(id string) bool {
	j := w.job(id)
	if j == nil {
		return false
	}
	for i := range j.TaskCount {
		if !w.Done[protocol.TaskID{JobID: id, Index: i}] {
			return false
		}
	}
	return true
}

// TasksOnMachines returns the number of tasks that occupy a machine.
func (w *World) TasksOnMachines() int {
	n := 0
	for _, u := range w.onMachines.teams {
		n += u.tasks
	}
	return n
}
