package simulation

import (
	"sort"
	"time"

	"github.com/tidwall/btree"

	"pinebay/internal/protocol"
)

// World is what workers share: jobs and gangs, and the check of the protocol's rules. Its methods and those of its
// workers are called by one goroutine at a time. The cost of a step grows with the tasks of the workers on which
// something is due, not with the number of workers.
type World struct {
	Jobs    map[string]*protocol.Job
	Workers map[string]*Worker
	Done    map[protocol.TaskID]bool
	DoneAt  map[string]time.Duration // when the last task of a job completed
	// Cancelled has the times at which users were told that their jobs are cancelled.
	Cancelled     map[string]time.Duration
	CancelTimeout time.Duration
	TeamLimits    map[string]Resources // CPUs and GPUs of a team; 0: no limit
	FetchTime     time.Duration
	RunTime       time.Duration
	RunTimes      map[string]time.Duration // of jobs with another run time
	// RunTimeOf, if set, returns the run time of a task, instead of RunTime and RunTimes.
	RunTimeOf func(protocol.TaskID) time.Duration
	// Starts is the number of tasks that got onto a machine.
	Starts int
	// LateStarts is the number of commands to start a task that were executed after the cancellation of its job was
	// confirmed, on machines to which no command was delayed since.
	LateStarts int
	// CommandTransitTime is how long a command may be under way after the cancellation of its job: the time of the news
	// to a slow controller, and of its last command to a worker.
	CommandTransitTime time.Duration
	// LookupJob, if set, returns a job that is not among Jobs, or nil.
	LookupJob func(id string) *protocol.Job
	// OnStart, if set, is called for each task that gets onto a machine.
	OnStart func(now time.Duration, id protocol.TaskID)
	// Violations are the rules that were broken so far.
	Violations []string

	occupied occupancy
	agenda   *btree.BTreeG[*Worker] // by nextDueAt, then by name
}

// NewWorld returns a world without machines or jobs.
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
		occupied:      newOccupancy(),
		agenda:        btree.NewBTreeGOptions(lessByDueTime, btree.Options{NoLocks: true}),
	}
}

// lessByDueTime orders workers by when something is due on them.
func lessByDueTime(a, b *Worker) bool {
	if a.nextDueAt != b.nextDueAt {
		return a.nextDueAt < b.nextDueAt
	}
	return a.Name < b.Name
}

// AddMachine adds a machine that is up.
func (w *World) AddMachine(
	now time.Duration,
	name, zone string,
	spot bool,
	machineType *protocol.MachineType,
	lease time.Duration,
) *Worker {
	m := &Worker{
		Name:           name,
		Type:           machineType.Name,
		Zone:           zone,
		Spot:           spot,
		Capacity:       Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB},
		Incarnation:    1,
		Tasks:          map[protocol.TaskID]*Task{},
		LeaseTimeout:   lease,
		World:          w,
		answeredSentAt: now,
	}
	w.Workers[name] = m
	w.schedule(m)
	return m
}

// job returns a job's description, or nil if there is no such job.
func (w *World) job(id string) *protocol.Job {
	j := w.Jobs[id]
	if j == nil && w.LookupJob != nil {
		if j = w.LookupJob(id); j != nil {
			w.Jobs[id] = j
		}
	}
	return j
}

// RemoveMachine removes a machine with everything on it.
func (w *World) RemoveMachine(name string) {
	m := w.Workers[name]
	if m == nil {
		return
	}
	m.killAllTasks()
	w.agenda.Delete(m)
	delete(w.Workers, name)
}

// schedule updates when something is due on a worker.
func (w *World) schedule(m *Worker) {
	if w.Workers[m.Name] != m {
		return // the machine was removed; requests to it may still arrive
	}
	w.agenda.Delete(m)
	m.nextDueAt = m.nextDue()
	w.agenda.Set(m)
}

// Advance lets time pass on all machines, and checks the rules at each start.
func (w *World) Advance(now time.Duration) {
	var due []*Worker
	w.agenda.Scan(func(m *Worker) bool {
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

// runTime returns the run time of a task. The tasks of a job with a run time of its own end one after the other.
func (w *World) runTime(id protocol.TaskID) time.Duration {
	if w.RunTimeOf != nil {
		return w.RunTimeOf(id)
	}
	if d, ok := w.RunTimes[id.JobID]; ok {
		return d * time.Duration(1+id.Index)
	}
	return w.RunTime
}

// finishGang ends the tasks of a gang that is done.
func (w *World) finishGang(now time.Duration, job string, attempt uint64) {
	for _, t := range w.occupied.gang(job, attempt) {
		t.worker.exit(now, t, protocol.CauseDone)
	}
}

// sortedWorkers returns the workers in the order of their names.
func (w *World) sortedWorkers() []*Worker {
	var workers []*Worker
	for _, m := range w.Workers {
		workers = append(workers, m)
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Name < workers[j].Name })
	return workers
}

// recordCompletion records that a task has completed.
func (w *World) recordCompletion(now time.Duration, id protocol.TaskID) {
	if !w.Done[id] {
		w.Done[id] = true
		w.DoneAt[id.JobID] = now
	}
}

// UnblockedAt returns when the last dependency of a job was done, or false if the job has none.
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

// TasksOnMachines returns the number of tasks that are on machines.
func (w *World) TasksOnMachines() int {
	n := 0
	for _, u := range w.occupied.teams {
		n += u.tasks
	}
	return n
}
