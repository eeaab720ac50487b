package protocol

import (
	"strconv"
	"strings"
)

// TaskState is the state of a task on the machine that runs it.
type TaskState string

// States of tasks.
const (
	TaskFetching TaskState = "fetching"  // the machine is still fetching the image
	TaskWaiting  TaskState = "gathering" // a task of a gang that waits until the other tasks of the attempt are ready
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving" // saving a checkpoint before it stops
	TaskExited   TaskState = "exited"
)

// ExitCause is the reason why a task exited.
type ExitCause string

// Causes of exits.
const (
	CauseDone         ExitCause = "done"
	CauseStopped      ExitCause = "halted"     // stopped by a command
	CausePeerLost     ExitCause = "peers"      // another task of the gang was lost
	CauseIncomplete   ExitCause = "incomplete" // the tasks of the gang were not all ready in time
	CauseError        ExitCause = "error"
	CauseNoCapacity   ExitCause = "full"    // start refused: the machine does not have enough free resources
	CauseOtherAttempt ExitCause = "in_use"  // start refused: another attempt of the task is on the machine
	CauseUnknownTask  ExitCause = "no_such" // start refused: no such job or task
)

// TaskID identifies a task by the ID of its job and its index within the job.
type TaskID struct {
	JobID string
	Index int
}

// String returns the name of the task on the wire, such as "j-000412/3".
func (t TaskID) String() string { return t.JobID + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses the name of a task on the wire. It is the inverse of [TaskID.String].
func ParseTaskID(name string) (TaskID, error) {
	job, number, ok := strings.Cut(name, "/")
	if ok {
		index, err := strconv.Atoi(number)
		if err == nil && index >= 0 && index < MaxTasks && ValidJobID(job) {
			return TaskID{JobID: job, Index: index}, nil
		}
	}
	return TaskID{}, NewMalformedError("task %q", name)
}

// TaskStatus is the status of one attempt of a task as the worker reports it.
type TaskStatus struct {
	TaskName        string    `msgpack:"piece"`
	Attempt         uint64    `msgpack:"try"`
	State           TaskState `msgpack:"standing"`
	Cause           ExitCause `msgpack:"cause,omitempty"`
	CheckpointSaved bool      `msgpack:"kept,omitempty"`
}
