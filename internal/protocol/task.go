package protocol

import (
	"strconv"
	"strings"
)

// TaskState is the state of a task on its machine.
type TaskState string

// The states of tasks.
const (
	TaskFetching TaskState = "fetching"  // the image is not on the machine yet
	TaskWaiting  TaskState = "gathering" // a gang's task, waiting for the other tasks of its attempt
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving" // stopping, and saving a checkpoint first
	TaskExited   TaskState = "exited"
)

// ExitCause is the reason for which a task exited.
type ExitCause string

// The causes of exits.
const (
	CauseDone         ExitCause = "done"
	CauseStopped      ExitCause = "halted"     // by a command
	CausePeerLost     ExitCause = "peers"      // another task of its gang is gone
	CauseIncomplete   ExitCause = "incomplete" // its gang was not complete in time
	CauseError        ExitCause = "error"
	CauseNoCapacity   ExitCause = "full"    // start refused: not enough free resources
	CauseOtherAttempt ExitCause = "in_use"  // start refused: another attempt of the task is on the machine
	CauseUnknownTask  ExitCause = "no_such" // start refused: no such job or task
)

// TaskID identifies a task by its job and its index within the job.
type TaskID struct {
	JobID string
	Index int
}

// String returns the task's name on the wire, such as "j-000412/3".
func (t TaskID) String() string { return t.JobID + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses a task's name on the wire.
func ParseTaskID(name string) (TaskID, error) {
	job, number, ok := strings.Cut(name, "/")
	if ok {
		index, err := strconv.Atoi(number)
		if err == nil && index >= 0 && index < MaxTasks && ValidJobID(job) {
			return TaskID{JobID: job, Index: index}, nil
		}
	}
	return TaskID{}, Malformed("task %q", name)
}

// TaskStatus is the status of one attempt of a task, as its worker reports it.
type TaskStatus struct {
	TaskName        string    `msgpack:"piece"`
	Attempt         uint64    `msgpack:"try"`
	State           TaskState `msgpack:"standing"`
	Cause           ExitCause `msgpack:"cause,omitempty"`
	CheckpointSaved bool      `msgpack:"kept,omitempty"`
}
