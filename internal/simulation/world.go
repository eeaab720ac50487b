package simulation

import (
	"fmt"
	"sort"
	"time"

	"github.com/tidwall/btree"

	"pinebay/internal/protocol"
)

// World is what the workers share: jobs and their gangs, and the watch over
// the protocol's rules. Its methods and those of its workers are called by one
// goroutine at a time. What a step costs grows with the tasks of the workers on
// which something is due, not with the number of workers.
type World struct {
	Jobs    map[string]*protocol.Job
	Workers map[string]*Worker
	Done    map[protocol.TaskID]bool
	DoneAt  map[string]time.Duration // when a task of a job last completed
	// Cancelled says when users were told that their jobs are cancelled.
	Cancelled     map[string]time.Duration
	CancelTimeout time.Duration
	TeamLimits    map[string][2]float64 // CPUs and GPUs of a team, 0: none
	FetchTime     time.Duration
	RunTime       time.Duration
	RunTimes      map[string]time.Duration // of jobs that take another time
	// RunTimeOf, if set, says how long a task runs, in place of the two before.
	RunTimeOf func(protocol.TaskID) time.Duration
	Starts    int
	// LateStarts counts commands to start that were executed after the cancellation
	// was confirmed, on machines to which nothing was held up since.
	LateStarts int
	// CommandTransitTime is how long the news of a cancellation to a slow controller, and then its
	// last command to a worker, take together: such a start was still in flight.
	CommandTransitTime time.Duration
	// LookupJob, if set, finds a job that is not among Jobs.
	LookupJob func(id string) *protocol.Job
	// OnStart, if set, is told of every task that gets past its fetch.
	OnStart    func(now time.Duration, id protocol.TaskID)
	Violations []string

	occupied occupancy
	agenda   *btree.BTreeG[*Worker] // by when something is due, then by name
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
		TeamLimits:    map[string][2]float64{},
		FetchTime:     fetch,
		RunTime:       run,
		RunTimes:      map[string]time.Duration{},
		occupied:      newOccupancy(),
		agenda:        btree.NewBTreeGOptions(lessByDueTime, btree.Options{NoLocks: true}),
	}
}

func lessByDueTime(a, b *Worker) bool {
	if a.nextDueAt != b.nextDueAt {
		return a.nextDueAt < b.nextDueAt
	}
	return a.Name < b.Name
}

func (w *World) addViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf(format, args...))
}

// AddMachine brings up a machine.
func (w *World) AddMachine(
	now time.Duration,
	name, zone string,
	spot bool,
	kind *protocol.MachineType,
	lease time.Duration,
) *Worker {
	m := &Worker{
		Name: name, Type: kind.Name, Zone: zone, Spot: spot, Capacity: [3]float64{kind.CPUs, kind.GPUs, kind.MemoryGB},
		Incarnation: 1, Tasks: map[protocol.TaskID]*Task{}, LeaseTimeout: lease, answeredSentAt: now, World: w,
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

// RemoveMachine takes a machine away with everything on it.
func (w *World) RemoveMachine(name string) {
	m := w.Workers[name]
	if m == nil {
		return
	}
	m.killAllTasks()
	w.agenda.Delete(m)
	delete(w.Workers, name)
}

// schedule enters a worker by when it must be looked at next.
func (w *World) schedule(m *Worker) {
	if w.Workers[m.Name] != m {
		return // it was taken away, whatever still arrives for it
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

// runTime is how long a task runs: those of a job end one after the other.
func (w *World) runTime(id protocol.TaskID) time.Duration {
	if w.RunTimeOf != nil {
		return w.RunTimeOf(id)
	}
	if d, ok := w.RunTimes[id.JobID]; ok {
		return d * time.Duration(1+id.Index)
	}
	return w.RunTime
}

func (w *World) finishGang(now time.Duration, job string, attempt uint64) {
	for _, t := range w.occupied.gang(job, attempt) {
		t.worker.exit(now, t, protocol.CauseDone)
	}
}

func (w *World) sortedWorkers() []*Worker {
	var ms []*Worker
	for _, m := range w.Workers {
		ms = append(ms, m)
	}
	sort.Slice(ms, func(i, j int) bool { return ms[i].Name < ms[j].Name })
	return ms
}

// checkStart checks the rules for a task that gets onto its machine.
func (w *World) checkStart(now time.Duration, m *Worker, t *Task, j *protocol.Job) {
	w.Starts++
	for _, need := range j.Dependencies {
		if !w.allTasksDone(need) {
			w.addViolation("too_early: %s started before %s was done", t.ID, need)
		}
	}
	if w.OnStart != nil {
		w.OnStart(now, t.ID)
	}
	if at, ok := w.Cancelled[j.ID]; ok && now > at+w.CancelTimeout {
		w.addViolation("ran_cancelled: %s started %v after its cancellation", t.ID, now-at)
	}
	if m.Spot && !j.SpotAllowed || j.Zone != "" && j.Zone != m.Zone {
		w.addViolation("wrong_place: %s on %s", t.ID, m.Name)
	}
	if w.occupied.tasks[t.ID] > 0 {
		w.addViolation("ran_twice: %s on %s and elsewhere", t.ID, m.Name)
	}
	others := w.occupied.zones[j.ID]
	elsewhere := 0
	for zone, n := range others {
		if zone != m.Zone {
			elsewhere += n
		}
	}
	if j.SameZone && elsewhere > 0 {
		w.addViolation("wrong_place: %s is in several zones", j.ID)
	}
	if here := others[m.Zone] + 1; j.Spread && here > (j.TaskCount+1)/2 {
		w.addViolation("wrong_place: %s has %d tasks in %s", j.ID, here, m.Zone)
	}
	used := w.occupied.usage(j.Team)
	used[0] += j.CPUs
	used[1] += j.GPUs
	for i, most := range w.TeamLimits[j.Team] {
		if most > 0 && used[i] > most+1e-6 {
			w.addViolation("quota: %s uses %v of %v", j.Team, used[i], most)
		}
	}
}

// recordCompletion notes that a task has completed.
func (w *World) recordCompletion(now time.Duration, id protocol.TaskID) {
	if !w.Done[id] {
		w.Done[id] = true
		w.DoneAt[id.JobID] = now
	}
}

// UnblockedAt returns when the last of the jobs that a job awaits was done, or false if it awaits none.
func (w *World) UnblockedAt(j *protocol.Job) (at time.Duration, ok bool) {
	for _, need := range j.Dependencies {
		at = max(at, w.DoneAt[need])
	}
	return at, len(j.Dependencies) > 0
}

// allTasksDone says whether all tasks of a job have completed.
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

func (w *World) checkCancelled(now time.Duration) {
	for id, at := range w.Cancelled {
		if now <= at+w.CancelTimeout || len(w.occupied.zones[id]) == 0 {
			continue
		}
		for _, m := range w.Workers {
			for _, t := range m.Tasks {
				if t.ID.JobID == id && t.OnMachine() {
					w.addViolation("ran_cancelled: %s is on %s %v after", t.ID, m.Name, now-at)
				}
			}
		}
	}
}

// TasksOnMachines counts the tasks that are on machines.
func (w *World) TasksOnMachines() int {
	n := 0
	for _, u := range w.occupied.teams {
		n += u.tasks
	}
	return n
}
