package simulation

import (
	"cmp"
	"slices"

	"pinebay/internal/protocol"
)

// occupancy counts the tasks on all machines by several keys, so that a rule can be checked without a scan of the
// machines.
type occupancy struct {
	tasks map[protocol.TaskID]int       // number of attempts of a task
	zones map[string]map[string]int     // number of tasks by job and zone
	teams map[string]*teamUsage         // usage by team
	gangs map[gangAttempt]map[int]*Task // tasks that have joined their gang, by index
}

// teamUsage is the number and the total resources of a team's tasks on machines.
type teamUsage struct {
	tasks     int
	resources Resources
}

// gangAttempt identifies an attempt to run a gang. Its tasks run together.
type gangAttempt struct {
	job     string
	attempt uint64
}

func newOccupancy() occupancy {
	return occupancy{
		tasks: map[protocol.TaskID]int{},
		zones: map[string]map[string]int{},
		teams: map[string]*teamUsage{},
		gangs: map[gangAttempt]map[int]*Task{},
	}
}

// usage returns the resources that the tasks of a team use.
func (o *occupancy) usage(team string) Resources {
	if u := o.teams[team]; u != nil {
		return u.resources
	}
	return Resources{}
}

// add counts a task that has started to occupy its machine.
func (o *occupancy) add(id protocol.TaskID, j *protocol.Job, zone string) {
	o.tasks[id]++
	if o.zones[j.ID] == nil {
		o.zones[j.ID] = map[string]int{}
	}
	o.zones[j.ID][zone]++
	u := o.teams[j.Team]
	if u == nil {
		u = &teamUsage{}
		o.teams[j.Team] = u
	}
	u.tasks++
	u.resources = u.resources.plus(resourcesOf(j))
}

// remove reverses add for a task that no longer occupies its machine.
func (o *occupancy) remove(id protocol.TaskID, j *protocol.Job, zone string) {
	if o.tasks[id]--; o.tasks[id] == 0 {
		delete(o.tasks, id)
	}
	zones := o.zones[j.ID]
	if zones[zone]--; zones[zone] == 0 {
		delete(zones, zone)
	}
	if len(zones) == 0 {
		delete(o.zones, j.ID)
	}
	u := o.teams[j.Team]
	u.tasks--
	u.resources = u.resources.minus(resourcesOf(j))
	if u.tasks == 0 {
		u.resources = Resources{} // discard accumulated rounding errors
	}
}

// joinGang records that a task of a gang waits for the other tasks or runs.
func (o *occupancy) joinGang(t *Task) {
	key := gangAttempt{t.ID.JobID, t.Attempt}
	if o.gangs[key] == nil {
		o.gangs[key] = map[int]*Task{}
	}
	o.gangs[key][t.ID.Index] = t
}

// leaveGang reverses joinGang. It does nothing if another task with the same index has joined since.
func (o *occupancy) leaveGang(t *Task) {
	key := gangAttempt{t.ID.JobID, t.Attempt}
	if o.gangs[key][t.ID.Index] == t {
		delete(o.gangs[key], t.ID.Index)
	}
	if len(o.gangs[key]) == 0 {
		delete(o.gangs, key)
	}
}

// gang returns the tasks that have joined an attempt of a gang, sorted by index.
func (o *occupancy) gang(job string, attempt uint64) []*Task {
	var tasks []*Task
	for _, t := range o.gangs[gangAttempt{job, attempt}] {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *Task) int { return cmp.Compare(a.ID.Index, b.ID.Index) })
	return tasks
}

// gangComplete reports whether all tasks of a gang have joined an attempt.
func (o *occupancy) gangComplete(j *protocol.Job, attempt uint64) bool {
	return len(o.gangs[gangAttempt{j.ID, attempt}]) == j.TaskCount
}
