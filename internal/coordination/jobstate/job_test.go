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

// newTestPlacement returns a placement of a task.
func newTestPlacement(j *Job, task int) *machineregistry.Placement {
	return &machineregistry.Placement{Task: protocol.TaskID{JobID: j.Spec.ID, Index: task}, Machine: "m1"}
}

// TestCountersFollowTasks checks that the counters, the next pending task and the queues of a job match the states of
// its tasks after any sequence of changes.
func TestCountersFollowTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueues()
		tasks := rapid.IntRange(1, 6).Draw(t, "tasks")
		j := newTestJob("j-1", tasks)
		q.Add(j)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			task := rapid.IntRange(-1, tasks).Draw(t, "task") // includes indices of tasks that the job does not have
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
					"got %d pending, %d placed, %d done, want %v",
					j.PendingTasks(),
					j.PlacedTasks(),
					j.DoneTasks(),
					counts,
				)
			}
			if got := j.NextPending(0); got != firstPending {
				t.Fatalf("got first pending task %d, want %d", got, firstPending)
			}
			waiting := counts[TaskPending] > 0
			if _, pending := q.Pending.Get(j); pending != (waiting && !j.Blocked) {
				t.Fatalf("in the queue of pending jobs: %v; blocked: %v, waiting: %v", pending, j.Blocked, waiting)
			}
			if _, blocked := q.Blocked.Get(j); blocked != (waiting && j.Blocked) {
				t.Fatalf("in the queue of blocked jobs: %v; blocked: %v, waiting: %v", blocked, j.Blocked, waiting)
			}
		}
	})
}

// TestBindQueuesStart checks that binding a placement changes the state of the task, queues its start and the job as
// possibly fetching, and marks its page to be written.
func TestBindQueuesStart(t *testing.T) {
	q := NewQueues()
	j := newTestJob("j-1", 2)
	q.Add(j)
	pl := newTestPlacement(j, 1)
	j.Bind(time.Second, pl)
	if j.TaskState(1) != TaskPlaced || j.Placements[1] != pl ||
		!slices.Equal(j.Unstarted, []*machineregistry.Placement{pl}) {
		t.Errorf(
			"task 1 is %v, placements %v, unstarted %v, want it placed and unstarted",
			j.TaskState(1),
			j.Placements,
			j.Unstarted,
		)
	}
	if q.Starts.Next(time.Second, nil) != j {
		t.Error("the start is not queued")
	}
	if _, fetching := q.Fetching.Get(j); !fetching {
		t.Error("the job is not in the queue of fetching jobs")
	}
	if !slices.Equal(j.PagesToWrite(1), []int{0}) {
		t.Errorf("got pages to write %v, want [0]", j.PagesToWrite(1))
	}
}

// TestRestoredPlacementOfDoneTask checks that restoring the placement of a done task does not change the state of the
// task.
func TestRestoredPlacementOfDoneTask(t *testing.T) {
	j := newTestJob("j-1", 2)
	j.SetTask(0, TaskDone)
	j.RestorePlacement(newTestPlacement(j, 0))
	j.RestorePlacement(newTestPlacement(j, 1))
	if j.TaskState(0) != TaskDone || j.TaskState(1) != TaskPlaced || len(j.Placements) != 2 {
		t.Errorf(
			"states %v and %v, %d placements, want done, placed and 2",
			j.TaskState(0),
			j.TaskState(1),
			len(j.Placements),
		)
	}
}

// TestReprioritisedJobStaysInQueues checks that a job with a new priority remains in its queues, at the position of its
// new priority.
func TestReprioritisedJobStaysInQueues(t *testing.T) {
	q := NewQueues()
	first, second := newTestJob("j-1", 2), newTestJob("j-2", 2)
	for _, j := range []*Job{first, second} {
		q.Add(j)
		j.Bind(0, newTestPlacement(j, 0))
	}
	second.Reprioritise(0, time.Minute)
	if got := q.Pending.Items(); !slices.Equal(got, []*Job{second, first}) {
		t.Errorf("pending jobs are in the order %s, %s, want j-2, j-1", got[0].Spec.ID, got[1].Spec.ID)
	}
	if got := q.Fetching.Items(); !slices.Equal(got, []*Job{second, first}) {
		t.Errorf("%d fetching jobs, want both in the new order", len(got))
	}
	if q.Starts.Next(0, nil) != second {
		t.Error("the start of the reprioritised job is not first")
	}
}

// TestEndedJobLeavesQueues checks that a job is no longer pending once it has ended.
func TestEndedJobLeavesQueues(t *testing.T) {
	q := NewQueues()
	j := newTestJob("j-1", 2)
	q.Add(j)
	j.MarkEnded()
	if !j.Ended || j.LiveRevision != 0 || q.Pending.Len() != 0 {
		t.Errorf(
			"ended: %v, live revision %d, %d pending jobs, want true, 0 and 0",
			j.Ended,
			j.LiveRevision,
			q.Pending.Len(),
		)
	}
}

// TestCompletionOrder checks that completions are dequeued in the order in which they were queued, only if they were
// queued by the given time, and not while another write of the job is in flight.
func TestCompletionOrder(t *testing.T) {
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
		j.QueueCompletion(time.Hour) // has no effect: the job is queued already
		jobs = append(jobs, j)
	}
	jobs[1].WriteInFlight = true // the job is queued again after that write
	if got := ids(2 * time.Second); !slices.Equal(got, []string{"j-1", "j-3"}) {
		t.Errorf("got %v up to two seconds, want j-1 and j-3", got)
	}
	if got := ids(time.Minute); !slices.Equal(got, []string{"j-4"}) {
		t.Errorf("got %v up to a minute, want j-4", got)
	}
}

// TestLikelyFaultyJob checks that a job counts as faulty after failures on three machines if none of its tasks is done,
// and that no machines are avoided then.
func TestLikelyFaultyJob(t *testing.T) {
	j := newTestJob("j-1", 2)
	for _, machine := range []string{"m1", "m2"} {
		j.FailedOn[machine] = true
	}
	if j.LikelyFaulty() || len(j.AvoidedMachines()) != 2 {
		t.Errorf(
			"failed on two machines: faulty %v, avoided machines %v, want false and both",
			j.LikelyFaulty(),
			j.AvoidedMachines(),
		)
	}
	j.FailedOn["m3"] = true
	if !j.LikelyFaulty() || len(j.AvoidedMachines()) != 0 {
		t.Errorf(
			"failed on three machines: faulty %v, avoided machines %v, want true and none",
			j.LikelyFaulty(),
			j.AvoidedMachines(),
		)
	}
	j.SetTask(0, TaskDone)
	if j.LikelyFaulty() {
		t.Error("job is faulty although a task is done")
	}
}
