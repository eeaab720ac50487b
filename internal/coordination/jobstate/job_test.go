package jobstate

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// newTestJob returns a job of normal priority that is in no queue.
func newTestJob(id string, tasks int) *Job {
	spec := protocol.Job{ID: id, Team: "red", Shape: protocol.Array, Priority: "normal", TaskCount: tasks}
	return New(spec, 1, 0, 0, storage.PageLayout{TasksPerPage: 4})
}

// placementOf returns a placement of a task.
func placementOf(j *Job, task int) *machineregistry.Placement {
	return &machineregistry.Placement{Task: protocol.TaskID{JobID: j.Spec.ID, Index: task}, Machine: "m1"}
}

// TestCountersFollowTasks: whatever happens to the tasks, the counters, the next pending task and the queues are those
// of their states.
func TestCountersFollowTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueues()
		tasks := rapid.IntRange(1, 6).Draw(t, "tasks")
		j := newTestJob("j-1", tasks)
		q.Add(j)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			task := rapid.IntRange(-1, tasks).Draw(t, "task") // also of tasks that it does not have
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				j.SetTask(task, rapid.SampledFrom([]TaskState{TaskPending, TaskPlaced, TaskDone}).Draw(t, "state"))
			case 1:
				j.SetBlocked(!j.Blocked)
			case 2:
				j.NextPending(max(0, task))
			case 3:
				j.Reprioritise(
					rapid.IntRange(0, 3).Draw(t, "priority"),
					time.Duration(rapid.IntRange(0, 9).Draw(t, "start")),
				)
			}
			counts := map[TaskState]int{}
			firstPending := -1
			for task := range j.TaskCount() {
				counts[j.TaskState(task)]++
				if firstPending < 0 && j.TaskState(task) == TaskPending {
					firstPending = task
				}
			}
			if j.PendingTasks() != counts[TaskPending] || j.PlacedTasks() != counts[TaskPlaced] ||
				j.DoneTasks() != counts[TaskDone] {
				t.Fatalf(
					"%d pending, %d placed, %d done, want %v",
					j.PendingTasks(),
					j.PlacedTasks(),
					j.DoneTasks(),
					counts,
				)
			}
			if got := j.NextPending(0); got != firstPending {
				t.Fatalf("the first pending task is %d, want %d", got, firstPending)
			}
			waits := counts[TaskPending] > 0
			if _, pending := q.Pending.Get(j); pending != (waits && !j.Blocked) {
				t.Fatalf("in the queue of pending jobs: %v; blocked: %v, waits: %v", pending, j.Blocked, waits)
			}
			if _, blocked := q.Blocked.Get(j); blocked != (waits && j.Blocked) {
				t.Fatalf("in the queue of blocked jobs: %v; blocked: %v, waits: %v", blocked, j.Blocked, waits)
			}
		}
	})
}

func TestBindQueuesTheStart(t *testing.T) {
	q := NewQueues()
	j := newTestJob("j-1", 2)
	q.Add(j)
	pl := placementOf(j, 1)
	j.Bind(time.Second, pl)
	if j.TaskState(1) != TaskPlaced || j.Placements[1] != pl ||
		!slices.Equal(j.Unstarted, []*machineregistry.Placement{pl}) {
		t.Errorf("task 1 is %v, placements %v, unstarted %v", j.TaskState(1), j.Placements, j.Unstarted)
	}
	if q.Starts.Next(time.Second, nil) != j {
		t.Error("its start is not queued")
	}
	if _, fetching := q.Fetching.Get(j); !fetching {
		t.Error("it is not in the queue of jobs that may be fetching")
	}
	if !slices.Equal(j.PagesToWrite(1), []int{0}) {
		t.Errorf("pages to write %v", j.PagesToWrite(1))
	}
}

func TestRestoredPlacementOfDoneTask(t *testing.T) {
	j := newTestJob("j-1", 2)
	j.SetTask(0, TaskDone)
	j.RestorePlacement(placementOf(j, 0))
	j.RestorePlacement(placementOf(j, 1))
	if j.TaskState(0) != TaskDone || j.TaskState(1) != TaskPlaced || len(j.Placements) != 2 {
		t.Errorf("states %v and %v, %d placements", j.TaskState(0), j.TaskState(1), len(j.Placements))
	}
}

func TestReprioritisedJobKeepsItsQueues(t *testing.T) {
	q := NewQueues()
	first, second := newTestJob("j-1", 2), newTestJob("j-2", 2)
	for _, j := range []*Job{first, second} {
		q.Add(j)
		j.Bind(0, placementOf(j, 0))
	}
	second.Reprioritise(0, time.Minute)
	if got := q.Pending.Items(); !slices.Equal(got, []*Job{second, first}) {
		t.Errorf("pending jobs in the order of %s, %s", got[0].Spec.ID, got[1].Spec.ID)
	}
	if got := q.Fetching.Items(); !slices.Equal(got, []*Job{second, first}) {
		t.Errorf("fetching jobs: %d", len(got))
	}
	if q.Starts.Next(0, nil) != second {
		t.Error("its start does not go first")
	}
}

func TestEndedJobLeavesQueues(t *testing.T) {
	q := NewQueues()
	j := newTestJob("j-1", 2)
	q.Add(j)
	j.MarkEnded()
	if !j.Ended || j.LiveRevision != 0 || q.Pending.Len() != 0 {
		t.Errorf("ended %v, revision %d, %d pending jobs", j.Ended, j.LiveRevision, q.Pending.Len())
	}
}

func TestCompletionsInTheOrderOfWaiting(t *testing.T) {
	q := NewQueues()
	ids := func(before time.Duration) (ids []string) {
		for j := q.NextCompletion(before); j != nil; j = q.NextCompletion(before) {
			ids = append(ids, j.Spec.ID)
		}
		return ids
	}
	var jobs []*Job
	for i, id := range []string{"j-1", "j-2", "j-3", "j-4"} {
		j := newTestJob(id, 2)
		q.Add(j)
		j.MarkDirty(0, time.Duration(i)*time.Second)
		j.QueueCompletion(time.Hour) // it is queued already
		jobs = append(jobs, j)
	}
	jobs[1].WriteInFlight = true // the outcome of that write queues it again
	if got := ids(2 * time.Second); !slices.Equal(got, []string{"j-1", "j-3"}) {
		t.Errorf("after two seconds: %v", got)
	}
	if got := ids(time.Minute); !slices.Equal(got, []string{"j-4"}) {
		t.Errorf("after a minute: %v", got)
	}
}

func TestLikelyFaultyJob(t *testing.T) {
	j := newTestJob("j-1", 2)
	for _, machine := range []string{"m1", "m2"} {
		j.FailedOn[machine] = true
	}
	if j.LikelyFaulty() || len(j.AvoidedMachines()) != 2 {
		t.Errorf("failed on two machines: faulty %v, avoids %v", j.LikelyFaulty(), j.AvoidedMachines())
	}
	j.FailedOn["m3"] = true
	if !j.LikelyFaulty() || len(j.AvoidedMachines()) != 0 {
		t.Errorf("failed on three machines: faulty %v, avoids %v", j.LikelyFaulty(), j.AvoidedMachines())
	}
	j.SetTask(0, TaskDone)
	if j.LikelyFaulty() {
		t.Error("faulty although a task is done")
	}
}
